//! Properties of admission, retry budgets, rate limits, hedging, prefix hints, detection and
//! placement.

use oleander_core::admission::{
    AdmissionDecision, AdmissionRequest, MAX_QUEUE_WAIT, PoolAdmission,
};
use oleander_core::alarm_threshold::alarm_threshold;
use oleander_core::backoff::RetryBackoff;
use oleander_core::catalog::objects::Priority;
use oleander_core::detect::{MeanChangeTest, RatingBaseline};
use oleander_core::hedge::{HedgeDecision, HedgePolicy};
use oleander_core::ids::{AccountName, UpstreamName, VersionName};
use oleander_core::placement::{
    PlacementOrder, PlacementPlanner, PlacementUpstream, VersionDemand,
};
use oleander_core::prefix_hints::{PrefixDigest, PrefixHints};
use oleander_core::retry_budget::RetryBudget;
use oleander_core::token_bucket::TokenBucket;
use oleander_core::units::{Timestamp, TokenCount};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use yare::parameterized;

const SEED: u64 = 13;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 128,
        ..ProptestConfig::default()
    }
}

fn request(account: &str, priority: Priority) -> AdmissionRequest {
    AdmissionRequest {
        account: AccountName::new(account).unwrap(),
        weight: 1,
        priority,
        left: Duration::from_secs(30),
        needed: Duration::from_secs(5),
    }
}

/// Offers requests of all accounts in turn and returns how many of each were admitted.
fn fill(admission: &mut PoolAdmission, offers: &[(&str, u32)]) -> Vec<u32> {
    let mut admitted = vec![0; offers.len()];
    for round in 0..200 {
        for (index, &(account, per_round)) in offers.iter().enumerate() {
            for _ in 0..per_round {
                let candidate = request(account, Priority::High);
                if matches!(admission.decide(&candidate), AdmissionDecision::Admit { .. }) {
                    admission.start(&candidate.account, candidate.weight);
                    admitted[index] += 1;
                }
            }
        }
        if round == 100 {
            // One slot of each account frees up, so that fair shares rather than the order of
            // arrival decide.
            for &(account, _) in offers {
                admission.finish(&AccountName::new(account).unwrap(), None);
            }
        }
    }
    admitted
}

#[test]
fn a_large_account_does_not_starve_a_small_one() {
    let mut admission = PoolAdmission::new(40.0);
    let admitted = fill(&mut admission, &[("large", 20), ("small", 1)]);
    assert!(
        admitted[1] >= 10,
        "{} requests of the small account were admitted, {} of the large one",
        admitted[1],
        admitted[0]
    );
}

#[parameterized(
    low = { Priority::Low, false },
    normal = { Priority::Normal, false },
    high = { Priority::High, true },
)]
fn the_last_capacity_is_reserved_for_high_priority(priority: Priority, admitted: bool) {
    let mut admission = PoolAdmission::new(10.0);
    let candidate = request("one", Priority::High);
    // With 1 s of service time, 18 requests in flight are 0.9 s of queue, which is above the
    // share of normal priority.
    (0..18).for_each(|_| admission.start(&candidate.account, 1));
    let decision = admission.decide(&request("one", priority));
    assert_eq!(matches!(decision, AdmissionDecision::Admit { .. }), admitted, "{decision:?}");
}

#[test]
fn requests_that_are_not_idempotent_are_never_hedged() {
    let mut budget = RetryBudget::new(1.0);
    (0..10).for_each(|_| budget.record_attempt());
    let policy = HedgePolicy::new(Duration::from_millis(100));
    let long = Duration::from_secs(9);
    let decide = |idempotent, budget: &mut RetryBudget| {
        policy.decide(idempotent, Duration::from_secs(1), long, Duration::from_secs(1), budget)
    };
    assert_eq!(decide(false, &mut budget), HedgeDecision::Never);
    assert_eq!(decide(true, &mut budget), HedgeDecision::Start);
}

#[test]
fn a_solved_threshold_detects_a_drop_and_tolerates_healthy_ratings() {
    let baseline = RatingBaseline::new(0.85, 0.018, 0.1);
    let threshold = alarm_threshold(&baseline, 10_000.0);
    let alarm = |scores: [f64; 2]| {
        let mut test = MeanChangeTest::new(baseline, threshold).with_head_start();
        (0..2_000).position(|number| test.add(scores[number % 2]))
    };
    assert_eq!(alarm([0.7, 1.0]), None);
    assert!(alarm([0.5, 0.9]).is_some_and(|at| at < 40), "{:?}", alarm([0.5, 0.9]));
}

fn upstream(number: usize) -> UpstreamName {
    UpstreamName::new(&format!("runner-{number}")).unwrap()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_stay_below_their_share_with_a_third_of_the_pool_failing(
        share in 0.0f64..0.09,
        random in prop::collection::vec(any::<u16>(), 2_000..4_000),
    ) {
        let mut budget = RetryBudget::new(share);
        let mut retries = 0;
        for bits in &random {
            budget.record_attempt();
            let mut failed = bits % 3 == 0;
            let mut attempts = 0;
            while failed && attempts < 3 && budget.try_spend() {
                retries += 1;
                attempts += 1;
                failed = (bits >> attempts) % 3 == 0;
            }
        }
        prop_assert!(f64::from(retries) <= share * random.len() as f64);
    }

    #[test]
    fn admitted_requests_wait_no_longer_than_the_limit_and_the_deadline(
        slots in 1.0f64..200.0,
        loaded in 0u32..600,
        (left, needed) in (0u64..60_000, 1u64..20_000),
    ) {
        let mut admission = PoolAdmission::new(slots);
        let mut candidate = request("one", Priority::High);
        (0..loaded).for_each(|_| admission.start(&candidate.account, 1));
        candidate.left = Duration::from_millis(left);
        candidate.needed = Duration::from_millis(needed);
        match admission.decide(&candidate) {
            AdmissionDecision::Admit { wait } => {
                prop_assert!(wait <= MAX_QUEUE_WAIT && wait + candidate.needed <= candidate.left);
            }
            AdmissionDecision::DeadlineTooShort { needed } => prop_assert!(needed > candidate.left),
            AdmissionDecision::Overloaded { retry_after }
            | AdmissionDecision::OverFairShare { retry_after } => {
                prop_assert!(retry_after > Duration::ZERO);
            }
        }
    }

    #[test]
    fn a_bucket_never_exceeds_burst_and_rate(
        (rate, burst) in (0.1f64..100.0, 1.0f64..50.0),
        waits in prop::collection::vec(0u64..200, 1..400),
    ) {
        let mut bucket = TokenBucket::new(rate, burst, Timestamp::from_millis(0));
        let (mut now, mut taken) = (0, 0u32);
        for wait in waits {
            now += wait;
            let at = Timestamp::from_millis(now);
            match bucket.try_take(at) {
                Ok(()) => taken += 1,
                // One extra millisecond, because timestamps are whole milliseconds.
                Err(wait) => {
                    let mut later = bucket;
                    prop_assert!(later.try_take(at + wait + Duration::from_millis(1)).is_ok());
                }
            }
        }
        prop_assert!(f64::from(taken) <= burst + rate * now as f64 / 1_000.0 + 1e-6);
    }

    #[test]
    fn a_backoff_is_bounded(retry in any::<u32>(), random in any::<u64>()) {
        let longest = Duration::from_secs(2);
        let backoff = RetryBackoff::new(Duration::from_millis(50), longest);
        prop_assert!(backoff.wait(retry, random) <= longest);
    }

    #[test]
    fn hints_stay_within_their_capacity(
        capacity in 0usize..50,
        events in prop::collection::vec((0usize..4, 0u64..200, any::<bool>()), 0..400),
    ) {
        let mut hints = PrefixHints::new(capacity);
        for (number, (index, prefix, cached)) in events.into_iter().enumerate() {
            let now = Timestamp::from_millis(number as u64);
            let (name, prefix) = (upstream(index), PrefixDigest::new(&prefix.to_string()));
            hints.record_dispatch(&name, prefix, TokenCount::new(100), now);
            hints.record_event(&name, number as u64, prefix, cached, now);
            prop_assert!(hints.len() <= capacity);
            prop_assert!((0.0..=1.0).contains(&hints.probability(&name, prefix, now)));
        }
    }

    #[test]
    fn placement_never_loads_more_of_a_pool_than_its_share(
        states in prop::collection::vec(
            (0usize..3, 0usize..3, any::<bool>(), any::<bool>()),
            1..30
        ),
        (share, loads) in (0.0f64..=1.0, 0usize..10),
    ) {
        let version = |number: usize| VersionName::new(&format!("v{number}")).unwrap();
        let upstreams: Vec<PlacementUpstream> = states
            .iter()
            .enumerate()
            .map(|(index, &(loaded, loading, is_loading, available))| PlacementUpstream {
                name: upstream(index),
                loaded: vec![version(loaded)],
                loading: is_loading.then(|| version(loading)),
                available,
            })
            .collect();
        let demand =
            |number| VersionDemand { version: version(number), demand: 3.0, min_upstreams: 1 };
        let demands: Vec<VersionDemand> = (0..3).map(demand).collect();
        let orders =
            PlacementPlanner::new(1).with_loading_share(share).orders(&upstreams, &demands, loads);
        let started = orders.iter().filter(|order| matches!(order, PlacementOrder::Load(..)));
        let started = started.count();
        let loading = upstreams.iter().filter(|upstream| upstream.loading.is_some()).count();
        let max_loading = ((upstreams.len() as f64 * share) as usize).max(1);
        prop_assert!(started <= loads && started <= max_loading.saturating_sub(loading));
    }
}

#[test]
fn a_lower_reserve_reduces_the_balance() {
    let budget = RetryBudget::new(0.5).with_balance(8.0).with_reserve(3.0);
    assert!((budget.balance() - 3.0).abs() < f64::EPSILON, "{}", budget.balance());
}
