//! Eras of a store: they never fall, whatever its answers state.

use oleander_core::stable_hash::mix;
use oleander_core::store_era::{EraField, EraTracker, StoreEra};
use std::sync::Arc;

#[test]
fn the_known_era_never_falls() {
    for seed in 0..200u64 {
        let (mut tracker, mut highest) = (EraTracker::new(), None);
        for step in 0..100u64 {
            let word = mix(seed * 1_000 + step);
            let field = match word % 5 {
                0 => EraField::Missing,
                1 => EraField::Unusable(Arc::from("three")),
                _ => EraField::Stated(StoreEra::new((word >> 8) as u32 % 7)),
            };
            let result = tracker.observe(&field);
            if let EraField::Stated(found) = field {
                assert_eq!(result.is_ok(), Some(found) >= highest, "seed {seed} step {step}");
                highest = highest.max(Some(found));
            }
            assert_eq!(tracker.known(), highest, "seed {seed} step {step}");
        }
    }
}

#[yare::parameterized(
    words = { "one" },
    negative = { "-1" },
    fraction = { "1.5" },
    empty = { "" },
    too_large = { "99999999999" },
)]
fn a_text_that_is_no_era_is_refused(text: &str) {
    let error = text.parse::<StoreEra>().unwrap_err();
    assert_eq!(error.to_string(), format!("expected the number of an era, found {text:?}"));
}

#[test]
fn faults_state_what_was_expected_and_found() {
    let mut tracker = EraTracker::new();
    tracker.observe(&EraField::Stated(StoreEra::new(4))).unwrap();
    let fault = |field| tracker.clone().observe(&field).unwrap_err().to_string();
    assert_eq!(
        fault(EraField::Stated(StoreEra::new(3))),
        "expected an answer of era 4 or later, found era 3"
    );
    assert_eq!(fault(EraField::Missing), "expected an answer of era 4 or later, found no era");
}
