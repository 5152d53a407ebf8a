//! A stream is accepted as complete only if every chunk arrived in order.

use oleander_core::stream_order::{ChunkVerdict, StreamOrder};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// How a chunk is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamStep {
    Send,
    SendTwice,
    Skip,
}

fn steps() -> impl Strategy<Value = Vec<StreamStep>> {
    let step = prop_oneof![
        8 => Just(StreamStep::Send),
        2 => Just(StreamStep::SendTwice),
        1 => Just(StreamStep::Skip),
    ];
    proptest::collection::vec(step, 0..24)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn only_complete_streams_are_accepted(
        from in 0u32..9,
        steps in steps(),
        ends in any::<bool>()
    ) {
        let mut order = StreamOrder::resumed(from);
        let mut passed = Vec::new();
        let mut failed = false;
        for (offset, step) in (0u32..).zip(&steps) {
            let copies = match step {
                StreamStep::Send => 1,
                StreamStep::SendTwice => 2,
                StreamStep::Skip => 0,
            };
            for _ in 0..copies {
                match order.accept(from + offset) {
                    Ok(ChunkVerdict::Pass) => passed.push(from + offset),
                    Ok(ChunkVerdict::Duplicate) => {}
                    Err(_) => failed = true,
                }
            }
        }
        let total = from + steps.len() as u32;
        let is_complete = ends
            && !failed
            && order.finish(Some(total), Some(total)).is_ok()
            && order.end().is_ok();
        let skipped = steps.contains(&StreamStep::Skip);
        prop_assert_eq!(is_complete, ends && !skipped);
        let expected: Vec<u32> = (from..from + passed.len() as u32).collect();
        prop_assert_eq!(passed, expected);
    }

    #[test]
    fn a_resumed_stream_must_start_at_the_requested_position(asked in 1u32..50, found in 0u32..60) {
        let started = StreamOrder::resumed(asked).accept(found);
        prop_assert_eq!(started.is_ok(), asked == found);
    }
}
