//! The control cache when the store comes back from an older copy: single cases, and random
//! histories of several hosts over a model of the store.

#[path = "support/store_model.rs"]
mod store_model;

use oleander_core::stable_hash::mix;
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::control_cache::{ControlCache, ControlEvent, ControlSnapshot};
use oleander_gateway::control_port::{Topic, TopicChange, TopicRow, TopicValue};
use oleander_gateway::rollout_plan::{RolloutPhase, VersionRule};
use oleander_gateway::rollout_sums::{AnswerCount, HostSums, RolloutJudge, RouteSums};
use std::sync::Arc;
use std::time::Duration;
use store_model::{
    ModelHost, ModelStore, decision_value, order_value, routes_value, upstream_value,
};

const START: Timestamp = Timestamp::from_millis(10_000);
const HOLD_TIME: Duration = Duration::from_secs(6);

fn row(key: &str, version: u64, value: TopicValue) -> TopicRow {
    TopicRow { key: Arc::from(key), version, value }
}

fn change(is_full: bool, era: u32, version: u64, rows: Vec<TopicRow>) -> TopicChange {
    let cursor = StoreRevision::new(StoreEra::new(era), version);
    let store_now = Timestamp::from_millis(500);
    TopicChange { is_full, cursor, waited: Duration::ZERO, store_now, rows }
}

fn cache() -> ControlCache {
    ControlCache::new().with_hold_time(HOLD_TIME)
}

fn names(cache: &ControlCache) -> Vec<String> {
    let snapshot = cache.snapshot();
    snapshot.upstreams.values().flatten().map(|entry| entry.name.to_string()).collect()
}

fn phase(snapshot: &ControlSnapshot) -> Option<RolloutPhase> {
    snapshot.rollouts.values().next()?.decision.as_ref().map(|decision| decision.phase)
}

#[test]
fn the_configuration_stays_until_operators_write_it_again() {
    let mut cache = cache();
    let rows = vec![row("config", 90, routes_value(7))];
    cache.apply(Topic::Orders, &change(true, 1, 90, rows), START);
    let rows = vec![row("config", 40, routes_value(5))];
    cache.apply(Topic::Orders, &change(true, 2, 60, rows), START);
    assert_eq!(cache.snapshot().routes.unwrap().version(), 7);
    let rows = vec![row("config", 61, routes_value(8))];
    cache.apply(Topic::Orders, &change(false, 2, 61, rows), START);
    assert_eq!(cache.snapshot().routes.unwrap().version(), 8, "61 is newer than 90");
}

#[test]
fn a_feed_across_eras_is_not_believed() {
    let mut cache = cache();
    let rows = vec![row("config", 50, routes_value(7))];
    cache.apply(Topic::Orders, &change(true, 1, 50, rows), START);
    let rows = vec![row("config", 60, routes_value(9))];
    let events = cache.apply(Topic::Orders, &change(false, 2, 60, rows), START);
    assert_eq!(events, [ControlEvent::Stale(Topic::Orders)]);
}

#[test]
fn an_answer_of_an_earlier_era_is_stale() {
    let mut cache = cache();
    cache.apply(Topic::Upstreams, &change(true, 2, 30, vec![]), START);
    let rows = vec![row("i-1", 90, upstream_value("i-1", 1, 1, true))];
    let events = cache.apply(Topic::Upstreams, &change(true, 1, 90, rows), START);
    assert_eq!(events, [ControlEvent::Stale(Topic::Upstreams)]);
    assert!(names(&cache).is_empty());
}

#[yare::parameterized(draining = { true }, removed = { false })]
fn an_upstream_that_left_is_held_back(is_draining: bool) {
    let mut cache = cache();
    let rows = vec![
        row("i-1", 1, upstream_value("i-1", 1, 100, true)),
        row("i-2", 2, upstream_value("i-2", 2, 100, true)),
    ];
    cache.apply(Topic::Upstreams, &change(true, 1, 2, rows.clone()), START);
    let leaving =
        if is_draining { upstream_value("i-1", 1, 100, false) } else { TopicValue::Removed };
    cache.apply(Topic::Upstreams, &change(false, 1, 3, vec![row("i-1", 3, leaving)]), START);
    cache.apply(Topic::Upstreams, &change(true, 2, 2, rows), START);
    assert_eq!(names(&cache), ["i-2"]);
    let end = START + HOLD_TIME;
    assert!(cache.expire(end).is_empty(), "the store has said nothing since");
    cache.apply(Topic::Upstreams, &change(false, 2, 2, vec![]), end);
    let events = cache.expire(end);
    assert_eq!(events, [ControlEvent::UpstreamAdded("i-1".into())], "it is listed still");
    assert_eq!(names(&cache), ["i-1", "i-2"]);
}

#[test]
fn a_restarted_upstream_is_not_replaced_by_its_former_incarnation() {
    let mut cache = cache();
    let rows = vec![row("i-1", 1, upstream_value("i-1", 1, 100, true))];
    cache.apply(Topic::Upstreams, &change(true, 1, 1, rows.clone()), START);
    let rows_new = vec![row("i-1", 9, upstream_value("i-1", 4, 200, true))];
    cache.apply(Topic::Upstreams, &change(false, 1, 9, rows_new), START);
    cache.apply(Topic::Upstreams, &change(true, 2, 3, rows), START);
    let snapshot = cache.snapshot();
    let entry = snapshot.upstreams.values().flatten().next().unwrap();
    assert_eq!(entry.started_ms, 200);
}

#[test]
fn an_address_belongs_to_the_upstream_that_started_last() {
    let mut cache = cache();
    let rows = vec![row("i-new", 90, upstream_value("i-new", 1, 200, true))];
    cache.apply(Topic::Upstreams, &change(true, 1, 90, rows), START);
    // The copy has the upstream that used the address before, and not yet the one that does now.
    let rows = vec![row("i-old", 20, upstream_value("i-old", 1, 100, true))];
    cache.apply(Topic::Upstreams, &change(true, 2, 30, rows), START);
    assert_eq!(names(&cache), ["i-new"]);
}

#[test]
fn upstreams_that_the_copy_lacks_have_time_to_come_back() {
    let mut cache = cache();
    let rows = vec![row("i-1", 9, upstream_value("i-1", 1, 100, true))];
    cache.apply(Topic::Upstreams, &change(true, 1, 9, rows), START);
    cache.apply(Topic::Upstreams, &change(true, 2, 3, vec![]), START);
    assert_eq!(names(&cache), ["i-1"]);
    cache.expire(START + Duration::from_secs(3));
    assert!(names(&cache).is_empty());
}

#[yare::parameterized(
    reverted_and_missing = { RolloutPhase::Reverted, None },
    reverted_and_canary = { RolloutPhase::Reverted, Some(RolloutPhase::Canary) },
    done_and_moving = { RolloutPhase::Done, Some(RolloutPhase::Moving) },
    moving_and_canary = { RolloutPhase::Moving, Some(RolloutPhase::Canary) },
)]
fn a_decision_that_the_copy_lacks_stays(known: RolloutPhase, copied: Option<RolloutPhase>) {
    let (mut cache, order) = (cache(), StoreRevision::new(StoreEra::new(1), 10));
    let orders = vec![row("rollout/desk", 10, order_value("v2", order))];
    cache.apply(Topic::Orders, &change(true, 1, 10, orders), START);
    let rows = vec![row("rollout/desk", 30, decision_value("v2", order, known))];
    cache.apply(Topic::Decisions, &change(true, 1, 30, rows), START);
    let copied = copied.map(|phase| row("rollout/desk", 20, decision_value("v2", order, phase)));
    let expected =
        StoreRevision::new(StoreEra::new(2), copied.as_ref().map_or(0, |row| row.version));
    cache.apply(Topic::Decisions, &change(true, 2, 25, copied.into_iter().collect()), START);
    let rollout = &cache.snapshot().rollouts[&"desk".parse().unwrap()];
    assert_eq!(rollout.decision.as_ref().map(|decision| decision.phase), Some(known));
    assert!(rollout.is_unsaved());
    assert_eq!(rollout.decision_row, expected, "the row to overwrite");
    assert!(cache.snapshot().needs_decisions());
    let rows = vec![row("rollout/desk", 26, decision_value("v2", order, known))];
    cache.apply(Topic::Decisions, &change(false, 2, 26, rows), START);
    assert!(!cache.snapshot().rollouts[&"desk".parse().unwrap()].is_unsaved());
}

#[test]
fn an_order_that_is_written_again_is_the_same_rollout() {
    let (mut cache, order) = (cache(), StoreRevision::new(StoreEra::new(1), 10));
    let orders = vec![row("rollout/desk", 10, order_value("v2", order))];
    cache.apply(Topic::Orders, &change(true, 1, 10, orders), START);
    let rows = vec![row("rollout/desk", 30, decision_value("v2", order, RolloutPhase::Reverted))];
    cache.apply(Topic::Decisions, &change(true, 1, 30, rows), START);
    cache.apply(Topic::Orders, &change(true, 2, 5, vec![]), START);
    let service = "desk".parse().unwrap();
    let rule =
        |cache: &ControlCache| cache.snapshot().version_rule(&service, "session", None, START);
    assert_eq!(rule(&cache), VersionRule::Not("v2".into()), "the order is kept meanwhile");
    let again = StoreRevision::new(StoreEra::new(2), 8);
    let orders = vec![row("rollout/desk", 8, order_value("v2", again))];
    cache.apply(Topic::Orders, &change(false, 2, 8, orders), START);
    assert_eq!(phase(&cache.snapshot()), Some(RolloutPhase::Reverted));
    // Only one repetition is expected. A second one is an order of its own.
    let anew = StoreRevision::new(StoreEra::new(2), 80);
    let orders = vec![row("rollout/desk", 80, order_value("v2", anew))];
    cache.apply(Topic::Orders, &change(false, 2, 80, orders.clone()), START);
    cache.apply(
        Topic::Orders,
        &change(false, 2, 81, vec![row("config", 81, routes_value(2))]),
        START,
    );
    assert_eq!(cache.snapshot().rollouts[&service].order.revision, anew);
}

#[test]
fn an_earlier_order_of_the_copy_does_not_replace_the_known_one() {
    let mut cache = cache();
    let (first, second) = (10, 50);
    let revision = |era, version| StoreRevision::new(StoreEra::new(era), version);
    let earlier = row("rollout/desk", first, order_value("v2", revision(1, first)));
    let later = row("rollout/desk", second, order_value("v3", revision(1, second)));
    cache.apply(Topic::Orders, &change(true, 1, 50, vec![later]), START);
    cache.apply(Topic::Orders, &change(true, 2, 20, vec![earlier]), START);
    let service = "desk".parse().unwrap();
    assert_eq!(&*cache.snapshot().rollouts[&service].order.to, "v3");
    let again = row("rollout/desk", 21, order_value("v3", revision(2, 21)));
    cache.apply(Topic::Orders, &change(false, 2, 21, vec![again]), START);
    cache.apply(Topic::Orders, &change(false, 2, 22, vec![]), START + HOLD_TIME);
    cache.expire(START + HOLD_TIME);
    assert_eq!(&*cache.snapshot().rollouts[&service].order.to, "v3");
}

#[test]
fn an_order_that_nobody_writes_again_ends_when_the_hold_time_is_over() {
    let mut cache = cache();
    let revision = |era, version| StoreRevision::new(StoreEra::new(era), version);
    let later = row("rollout/desk", 50, order_value("v3", revision(1, 50)));
    cache.apply(Topic::Orders, &change(true, 1, 50, vec![later]), START);
    let other = row("rollout/desk", 20, order_value("v2", revision(2, 20)));
    cache.apply(Topic::Orders, &change(true, 2, 20, vec![other]), START);
    cache.apply(Topic::Orders, &change(false, 2, 20, vec![]), START + HOLD_TIME);
    cache.expire(START + HOLD_TIME);
    assert_eq!(&*cache.snapshot().rollouts[&"desk".parse().unwrap()].order.to, "v2");
}

/// A host that pauses between two calls finds an order at once when it asks again. The order may
/// have been given at any time of the pause, and its deadline counts from then.
#[yare::parameterized(found_at_once = { 5, 500 }, arrived_while_waiting = { 900, 2_000 })]
fn an_order_counts_from_the_earliest_time_at_which_it_may_have_been_given(
    waited_ms: u64,
    expected_ms: u64,
) {
    let mut cache = cache();
    cache.apply(Topic::Orders, &change(true, 1, 5, vec![]), START);
    let revision = StoreRevision::new(StoreEra::new(1), 10);
    let mut found =
        change(false, 1, 10, vec![row("rollout/desk", 10, order_value("v2", revision))]);
    found.store_now = Timestamp::from_millis(2_000);
    found.waited = Duration::from_millis(waited_ms);
    cache.apply(Topic::Orders, &found, START + Duration::from_millis(1_500));
    let rollout = &cache.snapshot().rollouts[&"desk".parse().unwrap()];
    assert_eq!(rollout.ordered_at, Timestamp::from_millis(expected_ms));
}

/// Sums that a copy shows lower, and then as before, count once.
#[test]
fn sums_that_go_back_and_return_count_once() {
    let order = StoreRevision::new(StoreEra::new(1), 7);
    let sums = |answers, bad| HostSums {
        host: "host-1".parse().unwrap(),
        incarnation: 1,
        service: "desk".parse().unwrap(),
        order,
        routes: [(
            Arc::from("look"),
            RouteSums {
                new: AnswerCount { answers, bad },
                old: AnswerCount { answers: 300, bad: 3 },
                exposed: answers,
                requests: 300 + answers,
            },
        )]
        .into(),
    };
    let mut judge = RolloutJudge::new(order);
    // Two bad answers of thirty are not enough for an alarm; counted ten times they would be.
    for _ in 0..10 {
        assert!(!judge.evaluate(&[sums(30, 2)]));
        assert!(!judge.evaluate(&[sums(0, 0)]));
    }
    let evidence = judge.evidence(&[sums(0, 0)], Duration::from_secs(5), None);
    assert_eq!((evidence.exposed, evidence.requests), (30, 330));
}

#[test]
fn sums_are_read_and_written_by_releases_without_eras() {
    let sums = HostSums {
        host: "host-1".parse().unwrap(),
        incarnation: 1,
        service: "desk".parse().unwrap(),
        order: StoreRevision::new(StoreEra::new(3), 7),
        routes: [(Arc::from("look"), RouteSums::default())].into(),
    };
    let bytes = sums.encode().unwrap();
    assert_eq!(HostSums::decode(&bytes).unwrap(), sums);
    let earlier: HostSums = postcard::from_bytes(&bytes).expect("earlier releases ignore the era");
    assert_eq!((earlier.order.version, &earlier.routes), (7, &sums.routes));
    let without_era = postcard::to_allocvec(&sums).unwrap();
    assert_eq!(
        HostSums::decode(&without_era).unwrap().order,
        StoreRevision::new(StoreEra::new(0), 7)
    );
}

/// Several hosts follow a store that comes back from older copies, while operators change the
/// configuration and order rollouts, upstreams come and go, and hosts decide and write their
/// decisions again. Operators and upstreams write again what was lost.
#[test]
fn hosts_keep_their_beliefs_and_agree_in_the_end() {
    for seed in 0..300u64 {
        let mut store = ModelStore::new();
        let mut hosts: Vec<ModelHost> = (0..4).map(|_| ModelHost::new(HOLD_TIME)).collect();
        let mut now = START;
        for step in 0..240u64 {
            now = now + Duration::from_millis(250);
            let word = mix(seed * 10_000 + step);
            store.step(word, now);
            for (number, host) in hosts.iter_mut().enumerate() {
                let word = mix(word ^ (number as u64 + 1));
                host.step(&mut store, word, now);
                host.check(&store).unwrap_or_else(|text| panic!("seed {seed} step {step}: {text}"));
            }
        }
        for _ in 0..60 {
            now = now + Duration::from_millis(250);
            store.settle(now);
            for host in &mut hosts {
                host.read_all(&mut store, now);
            }
        }
        for host in &hosts {
            host.check_agrees(&store).unwrap_or_else(|text| panic!("seed {seed}: {text}"));
        }
    }
}

/// An entry may lack the start of its upstream. It cannot be told from the known incarnation then,
/// so that it is leaving has to be believed.
#[test]
fn a_restored_entry_without_a_start_is_believed_when_it_is_leaving() {
    let mut cache = cache();
    let rows = vec![row("i-1", 9, upstream_value("i-1", 1, 200, true))];
    cache.apply(Topic::Upstreams, &change(true, 1, 9, rows), START);
    let rows = vec![row("i-1", 4, upstream_value("i-1", 1, 0, false))];
    cache.apply(Topic::Upstreams, &change(true, 2, 4, rows), START);
    assert!(names(&cache).is_empty());
}

#[test]
fn a_restored_entry_without_a_start_does_not_replace_a_known_one() {
    let mut cache = cache();
    let rows = vec![row("i-1", 9, upstream_value("i-1", 1, 200, true))];
    cache.apply(Topic::Upstreams, &change(true, 1, 9, rows), START);
    let rows = vec![row("i-1", 4, upstream_value("i-1", 1, 0, true))];
    cache.apply(Topic::Upstreams, &change(true, 2, 4, rows), START);
    let snapshot = cache.snapshot();
    assert_eq!(snapshot.upstreams.values().flatten().next().unwrap().started_ms, 200);
}
