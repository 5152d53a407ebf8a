//! Splitting of event streams, and propagation of changes between hosts.

use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::control_port::Topic;
use oleander_gateway::event_splitter::{EventSplitter, MAX_EVENT_BYTES};
use oleander_gateway::store_calls::{ANSWER_TIMEOUT, LagDetector, StoreCalls};
use oleander_gateway::topic_watch::{LongPollSchedule, batch_delay};
use proptest::prelude::*;
use std::time::Duration;

const STREAM: &str =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 4\nweight-versions: 2\ndata: c\n\n";

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Events come out complete and in order, wherever the bytes are split.
    #[test]
    fn events_survive_any_split(cuts in proptest::collection::vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::after(None);
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            splitter.push(&STREAM.as_bytes()[pair[0]..pair[1]]).unwrap();
            while let Some(events) = splitter.take_complete() {
                prop_assert!(events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n"));
                out.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(out, STREAM.as_bytes());
        prop_assert!(!splitter.has_partial());
        prop_assert_eq!(splitter.last_id(), Some(4));
    }

    /// Arbitrary bytes are split without a panic.
    #[test]
    fn arbitrary_bytes_are_split(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = EventSplitter::after(Some(3));
        splitter.push(&bytes).unwrap();
        let _ = splitter.take_complete();
    }
}

#[test]
fn an_oversized_event_is_refused() {
    let mut splitter = EventSplitter::after(None);
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES]).unwrap();
    assert!(splitter.take_complete().is_none());
    assert!(splitter.push(b"x").is_err());
}

#[test]
fn a_missing_change_known_to_another_host_is_reported() {
    let (at, topic) = (Timestamp::from_millis, Topic::Orders);
    let revision = |version| StoreRevision::new(StoreEra::new(0), version);
    let (calls, mut lag) = (StoreCalls::default(), LagDetector::default());
    calls.confirm(topic, revision(10), at(900));
    calls.begin(topic, at(950));
    lag.record_peer_revision(topic, revision(10), &calls, at(1_000));
    assert_eq!(lag.lagging_for(&calls, at(9_000)), None, "nothing new");
    lag.record_peer_revision(topic, revision(12), &calls, at(10_000));
    assert_eq!(lag.lagging_for(&calls, at(10_399)), None, "it may still arrive");
    assert_eq!(lag.heard(topic), revision(12), "others are told at once");
    calls.confirm(topic, revision(12), at(950));
    assert_eq!(lag.lagging_for(&calls, at(12_000)), None, "it arrived");
    assert_eq!(lag.heard(topic), StoreRevision::default());
    lag.record_peer_revision(topic, revision(14), &calls, at(20_000));
    lag.record_peer_revision(topic, revision(15), &calls, at(21_000));
    assert_eq!(lag.lagging_for(&calls, at(25_000)), None, "the next call will bring it");
    calls.begin(topic, at(25_000));
    assert_eq!(lag.lagging_for(&calls, at(25_399)), None);
    let heard_for = Duration::from_millis(5_400);
    assert_eq!(lag.lagging_for(&calls, at(25_400)), Some(heard_for), "timed from the first");
    calls.end(topic);
    assert_eq!(lag.lagging_for(&calls, at(25_500)), None);
}

/// Guards against a forged or damaged datagram whose revision hosts tell each other for ever.
#[test]
fn a_revision_that_the_store_refutes_is_dropped() {
    let (at, topic) = (Timestamp::from_millis, Topic::Orders);
    let revision = |version| StoreRevision::new(StoreEra::new(0), version);
    let (calls, mut lag) = (StoreCalls::default(), LagDetector::default());
    lag.record_peer_revision(topic, revision(1_000_000), &calls, at(1_000));
    calls.confirm(topic, revision(10), at(999));
    assert_eq!(lag.lagging_for(&calls, at(2_000)), None);
    assert_eq!(lag.heard(topic), revision(1_000_000), "the call began before");
    calls.confirm(topic, revision(11), at(1_001));
    assert_eq!(lag.lagging_for(&calls, at(3_000)), None);
    lag.record_peer_revision(topic, revision(1_000_000), &calls, at(4_000));
    assert_eq!(lag.heard(topic), StoreRevision::default());
    lag.record_peer_revision(topic, revision(12), &calls, at(5_000));
    assert_eq!(lag.heard(topic), revision(12));
}

/// The store is not overloaded by the calls of all hosts for one change, and each host still learns
/// of it within the 3 s allowed for configurations and leaving upstreams, even if its next call is
/// lost: the delay, a lost call as others tell of it, and a call over a new connection.
#[yare::parameterized(few = { 7 }, many = { 84 }, target = { 370 })]
fn batch_delays_leave_time_for_a_dead_connection(hosts: usize) {
    let bound = Duration::from_millis(3_000);
    let (gossip, read) = (Duration::from_millis(250), Duration::from_millis(300));
    for topic in Topic::ALL {
        let delay = batch_delay(topic, hosts);
        let sum = delay + ANSWER_TIMEOUT + gossip + read;
        assert!(sum < bound, "{topic} among {hosts}: {sum:?}");
    }
    let calls = hosts as f64 / batch_delay(Topic::Upstreams, hosts).as_secs_f64();
    assert!(calls <= 200.0, "a tenth of 2,000 reads a second: {calls}");
}

/// Guards against a long outage when the store accepts all long-poll calls and answers none, at any
/// time after all hosts started together. The first call to time out shows it, and has to end soon.
#[yare::parameterized(few = { 4 }, many = { 82 }, target = { 370 })]
fn long_polls_do_not_all_end_late(hosts: usize) {
    const COUNTED_AT: f64 = 3.0;
    let mut ends = Vec::new();
    for host in 0..hosts as u64 {
        for topic in 0..2 {
            let (mut at, mut random) = (0.0, host * 2 + topic);
            while at < 60.0 {
                random = mix(random + 1);
                let counted = (at >= COUNTED_AT).then_some(hosts);
                at += LongPollSchedule.next(counted, unit_point(random)).as_secs_f64();
                ends.push(at);
            }
        }
    }
    ends.sort_by(f64::total_cmp);
    let longest = ends.windows(2).map(|pair| pair[1] - pair[0]).fold(ends[0], f64::max);
    assert!(longest <= 3.0, "for {longest} s no call of {hosts} hosts ends");
}

/// Guards against a silence of the store that no host notices: a change ends the calls of all hosts
/// at once, and all of them are lost when the store falls silent after they began again.
#[yare::parameterized(few = { 7 }, many = { 84 }, target = { 370 })]
fn a_call_ends_soon_after_all_hosts_began_theirs(hosts: usize) {
    for seed in 0..20 {
        let mut first_end = f64::INFINITY;
        for call in 0..hosts as u64 * 2 {
            let point = unit_point(mix(mix(seed) ^ mix(call * 2 + 1)));
            first_end = first_end.min(LongPollSchedule.next(Some(hosts), point).as_secs_f64());
        }
        assert!(first_end <= 2.0, "for {first_end} s no call of {hosts} hosts ends, seed {seed}");
    }
}
