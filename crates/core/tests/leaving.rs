//! An upstream that left rejoins only with a newer incarnation.

use oleander_core::ids::{Incarnation, UpstreamName};
use oleander_core::leaving::LeavingSet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn order_of_reports_does_not_matter(reports in proptest::collection::vec((0u64..5, any::<bool>()), 0..20)) {
        let upstream = UpstreamName::new("runner-1").unwrap();
        let mut leaving = LeavingSet::new();
        for &(incarnation, leaves) in &reports {
            let incarnation = Incarnation::new(incarnation);
            if leaves {
                leaving.mark_leaving(&upstream, incarnation);
            } else {
                leaving.mark_present(&upstream, incarnation);
            }
        }
        let newest = reports.iter().map(|&(incarnation, _)| incarnation).max();
        let left = reports.iter().filter(|(_, leaves)| *leaves).map(|&(number, _)| number).max();
        prop_assert_eq!(leaving.is_leaving(&upstream), left.is_some() && left == newest);
    }
}
