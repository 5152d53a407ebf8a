//! Properties of the subset, the choice of upstreams and ejection.

use oleander_core::ejection::OutlierEjection;
use oleander_core::ids::{HostId, RegionName, UpstreamName};
use oleander_core::stable_hash::mix;
use oleander_core::subset::SubsetChooser;
use oleander_core::units::{Millis, Money, Timestamp, TokenCount};
use oleander_core::upstream_choice::{
    AttemptWork, ReportedLoad, UpstreamRule, UpstreamView, choose_upstream,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const SEED: u64 = 11;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 128,
        ..ProptestConfig::default()
    }
}

fn upstream(number: usize) -> UpstreamName {
    UpstreamName::new(&format!("runner-{number}")).unwrap()
}

fn work() -> AttemptWork {
    AttemptWork {
        prompt: TokenCount::new(800),
        answer: TokenCount::new(200),
        first_token: Millis::new(200),
        token_gap: Millis::new(20),
        price_per_second: Money::from_micros(500),
    }
}

/// Requests per upstream when `arrivals` requests arrive while the load reports do not change.
fn burst(rule: UpstreamRule, arrivals: u64) -> Vec<u32> {
    let mut views: Vec<UpstreamView> =
        (0..10).map(|number| UpstreamView::new(upstream(number), 8)).collect();
    for (number, view) in views.iter_mut().enumerate() {
        let running = if number == 0 { 0 } else { 4 };
        let age = Duration::from_millis(800);
        view.report = Some(ReportedLoad { running, queued: 0, own: 0, age });
    }
    for arrival in 0..arrivals {
        let chosen = choose_upstream(rule, &views, &work(), mix(arrival)).unwrap();
        views[chosen].in_flight += 1;
    }
    views.iter().map(|view| view.in_flight).collect()
}

#[test]
fn a_burst_does_not_herd_on_the_upstream_last_reported_idle() {
    let most = burst(UpstreamRule::ExpectedCost, 100).into_iter().max().unwrap();
    assert!(most <= 14, "one upstream received {most} of 100 requests, at most 14 expected");
}

#[test]
fn choice_by_least_reported_load_herds() {
    // Shows with the baseline rule that such a burst can herd.
    assert_eq!(burst(UpstreamRule::LeastReported, 40)[0], 40);
}

#[test]
fn an_upstream_that_fails_fast_does_not_attract_requests() {
    let mut views: Vec<UpstreamView> =
        (0..10).map(|number| UpstreamView::new(upstream(number), 8)).collect();
    views.iter_mut().skip(1).for_each(|view| view.in_flight = 6);
    views[0].failure_rate = 0.9;
    let draws = (0..1_000).filter(|&n| {
        choose_upstream(UpstreamRule::ExpectedCost, &views, &work(), mix(n)) == Some(0)
    });
    let count = draws.count();
    assert!(
        count < 30,
        "the failing upstream received {count} of 1000 requests, fewer than 30 expected"
    );
}

#[test]
fn hosts_spread_over_a_large_pool() {
    let region = RegionName::new("puget").unwrap();
    let names: Vec<UpstreamName> = (0..600).map(upstream).collect();
    let mut watched = vec![0; names.len()];
    for number in 0..370 {
        let host = HostId::new(&format!("host-{number}")).unwrap();
        let pool = names.iter().map(|name| (name, &region));
        for chosen in SubsetChooser::new(30).choose(&host, &region, pool) {
            watched[names.iter().position(|name| *name == chosen).unwrap()] += 1;
        }
    }
    let (least, most) = (watched.iter().min().unwrap(), watched.iter().max().unwrap());
    // 370 hosts with 30 upstreams each, over 600 upstreams, are 18.5 hosts per upstream.
    assert!(*least >= 5 && *most <= 36, "an upstream is watched by {least} to {most} hosts");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn only_available_upstreams_are_chosen(
        flags in prop::collection::vec((any::<bool>(), any::<bool>(), 0u32..4, 0u32..4), 1..12),
        random in any::<u64>(),
    ) {
        let views: Vec<UpstreamView> = flags
            .iter()
            .enumerate()
            .map(|(number, &(leaving, ejected, in_flight, limit))| {
                let mut view = UpstreamView::new(upstream(number), 8);
                (view.leaving, view.ejected) = (leaving, ejected);
                (view.in_flight, view.limit) = (in_flight, limit);
                view.cached = TokenCount::new(700);
                view
            })
            .collect();
        for rule in
            [UpstreamRule::ExpectedCost, UpstreamRule::UniformRandom, UpstreamRule::LeastReported]
        {
            let chosen = choose_upstream(rule, &views, &work(), random);
            let is_available = |&(leaving, ejected, in_flight, limit): &(bool, bool, u32, u32)| {
                !leaving && !ejected && in_flight < limit
            };
            prop_assert_eq!(chosen.is_some(), flags.iter().any(is_available));
            prop_assert!(chosen.is_none_or(|index| is_available(&flags[index])));
        }
    }

    #[test]
    fn a_removed_upstream_changes_at_most_two_members(
        size in 1usize..40,
        removed in 0usize..60,
        host in 0u32..400,
    ) {
        let regions = [RegionName::new("puget").unwrap(), RegionName::new("inland").unwrap()];
        let names: Vec<UpstreamName> = (0..60).map(upstream).collect();
        let pool = |skip: Option<usize>| {
            let all = names.iter().enumerate().filter(move |(index, _)| Some(*index) != skip);
            all.map(|(index, name)| (name, &regions[index % 3 / 2])).collect::<Vec<_>>()
        };
        let host = HostId::new(&format!("host-{host}")).unwrap();
        let chooser = SubsetChooser::new(size);
        let before = chooser.choose(&host, &regions[0], pool(None).into_iter());
        let after = chooser.choose(&host, &regions[0], pool(Some(removed)).into_iter());
        let kept = before.iter().filter(|name| after.contains(name)).count();
        prop_assert!(before.len() - kept <= 2, "{before:?} became {after:?}");
        prop_assert_eq!(before.len(), size.min(60));
    }

    #[test]
    fn ejection_never_exceeds_its_share_nor_takes_a_whole_pool(
        size in 1usize..30,
        share in 0.0f64..=1.0,
        failures in prop::collection::vec((0usize..30, 0u64..20_000), 0..600),
    ) {
        let names: Vec<UpstreamName> = (0..size).map(upstream).collect();
        let mut ejection = OutlierEjection::new(share);
        ejection.set_pool(names.iter());
        let mut now = 0;
        for (index, wait) in failures {
            now += wait / 100;
            let at = Timestamp::from_millis(now);
            ejection.record_failure(&names[index % size], at);
            let ejected_count = ejection.ejected(at);
            prop_assert!(ejected_count < size && ejected_count as f64 <= size as f64 * share);
        }
    }
}
