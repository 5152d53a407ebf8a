//! No order of stale reads, late peer messages and restarts lowers the head.

use oleander_core::catalog::objects::CutOff;
use oleander_core::head::{CatalogHead, ContactTracker, HeadTracker, HeadUpdate, StartGate};
use oleander_core::ids::Revision;
use oleander_core::units::{Millis, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use yare::parameterized;

fn head(number: u64) -> CatalogHead {
    CatalogHead { revision: Revision::new(number), digest: format!("digest-{number}").into() }
}

#[derive(Clone, Debug)]
enum Event {
    Observe(u64),
    Activate(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![(0u64..40).prop_map(Event::Observe), (0u64..40).prop_map(Event::Activate)]
}

fn config(seed: u64) -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(5))]

    #[test]
    fn no_order_of_events_lowers_a_revision(events in prop::collection::vec(event(), 0..60)) {
        let mut tracker = HeadTracker::new();
        let (mut newest, mut in_force) = (0, 0);
        for event in events {
            match event {
                Event::Observe(number) => { tracker.observe(head(number)); }
                Event::Activate(number) => { tracker.activate(&head(number)); }
            }
            let newest_now = tracker.newest().map_or(0, |head| head.revision.get());
            prop_assert!(newest_now >= newest);
            prop_assert!(tracker.in_force().get() >= in_force);
            prop_assert!(tracker.pending().is_none_or(|pending| pending.revision > tracker.in_force()));
            (newest, in_force) = (newest_now, tracker.in_force().get());
        }
    }
}

#[test]
fn conflicting_digest_of_a_revision_is_rejected() {
    let mut tracker = HeadTracker::new();
    tracker.observe(head(3));
    let forged = CatalogHead { digest: "forged".into(), ..head(3) };
    assert_eq!(tracker.observe(forged), HeadUpdate::Conflicting);
    assert_eq!(tracker.pending(), Some(&head(3)));
}

#[parameterized(
    nothing = { false, 0, 5, false },
    store = { true, 0, 5, true },
    one_of_many = { false, 1, 5, false },
    two_of_many = { false, 2, 5, true },
    the_only_other = { false, 1, 1, true },
    alone_without_store = { false, 0, 0, false },
)]
fn start_requires_the_store_or_enough_peers(store: bool, peers: usize, others: usize, open: bool) {
    let mut gate = StartGate::new();
    if store {
        gate.record_store_answer();
    }
    gate.record_peer_answers(peers);
    assert_eq!(gate.is_open(others), open);
}

#[parameterized(
    in_time = { CutOff::Refuse, 4_000, false },
    too_late = { CutOff::Refuse, 4_001, true },
    serves = { CutOff::Serve, 1_000_000, false },
)]
fn cut_off_follows_the_policy(policy: CutOff, passed: u64, refuses: bool) {
    let mut tracker = ContactTracker::new(Timestamp::from_millis(1_000));
    tracker.record_contact(Timestamp::from_millis(500));
    let now = Timestamp::from_millis(1_000 + passed);
    assert_eq!(tracker.refuses(policy, Millis::new(4_000), now), refuses);
}
