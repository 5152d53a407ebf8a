//! Cutting streams into events, and news between hosts.

use oleander_core::units::Timestamp;
use oleander_gateway::beacon::{NEWS_PATIENCE, NewsWatch};
use oleander_gateway::control_port::Topic;
use oleander_gateway::event_splitter::{EventSplitter, MAX_EVENT_BYTES};
use proptest::prelude::*;
use std::collections::BTreeMap;

const STREAM: &str =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 4\nweight-versions: 2\ndata: c\n\n";

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Wherever the bytes are cut, the events come out whole and in order.
    #[test]
    fn cuts_change_nothing(cuts in proptest::collection::vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::after(None);
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            splitter.push(&STREAM.as_bytes()[pair[0]..pair[1]]).unwrap();
            while let Some(events) = splitter.take_whole() {
                prop_assert!(events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n"));
                out.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(out, STREAM.as_bytes());
        prop_assert!(!splitter.has_partial());
        prop_assert_eq!(splitter.last_id(), Some(4));
    }

    /// Any bytes at all are cut without a panic.
    #[test]
    fn any_bytes_are_cut(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = EventSplitter::after(Some(3));
        splitter.push(&bytes).unwrap();
        let _ = splitter.take_whole();
    }
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = EventSplitter::after(None);
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES]).unwrap();
    assert!(splitter.take_whole().is_none());
    assert!(splitter.push(b"x").is_err());
}

#[test]
fn news_that_another_host_had_and_that_does_not_come_raises_doubt_once() {
    let at = Timestamp::from_millis;
    let mut watch = NewsWatch::default();
    let mut own = BTreeMap::from([(Topic::Orders, 10)]);
    watch.note(Topic::Orders, 10, 10, at(1_000));
    assert!(!watch.is_late(&own, at(9_000)), "nothing new");
    watch.note(Topic::Orders, 12, 10, at(10_000));
    assert!(!watch.is_late(&own, at(10_500)), "it may still come");
    own.insert(Topic::Orders, 12);
    assert!(!watch.is_late(&own, at(12_000)), "it came");
    watch.note(Topic::Orders, 14, 12, at(20_000));
    watch.note(Topic::Orders, 15, 12, at(21_000));
    assert!(!watch.is_late(&own, at(19_999) + NEWS_PATIENCE));
    assert!(watch.is_late(&own, at(20_000) + NEWS_PATIENCE), "counted from the first of them");
    assert!(!watch.is_late(&own, at(20_001) + NEWS_PATIENCE));
}
