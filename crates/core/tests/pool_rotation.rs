//! Pools are polled in turn, and the number of polled upstreams is bounded.

use oleander_core::ids::PoolName;
use oleander_core::pool_rotation::PoolRotation;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;

const POLLS_PER_PASS: u32 = 60;
const PASSES: usize = 400;

fn config(seed: u64) -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(37))]

    #[test]
    fn polls_are_bounded_and_no_pool_starves(sizes in prop::collection::vec(1usize..200, 1..8)) {
        let name = |index: usize| PoolName::new(&format!("pool-{index}")).unwrap();
        let pools: Vec<_> = sizes.iter().enumerate().map(|(i, &size)| (name(i), size)).collect();
        let total: usize = sizes.iter().sum();
        let mut rotation = PoolRotation::new(POLLS_PER_PASS);
        let mut polled = 0;
        let mut passes: BTreeMap<PoolName, usize> = BTreeMap::new();
        for _ in 0..PASSES {
            for pool in rotation.next_pools(&pools) {
                polled += pools.iter().find(|(name, _)| *name == pool).unwrap().1;
                *passes.entry(pool).or_default() += 1;
            }
        }
        // One pool may exceed the budget and be charged to later passes.
        prop_assert!(polled <= PASSES * POLLS_PER_PASS as usize + 200);
        let fair =
            (PASSES * POLLS_PER_PASS as usize / total.max(POLLS_PER_PASS as usize)).min(PASSES);
        for (pool, _) in &pools {
            let count = passes.get(pool).copied().unwrap_or(0);
            prop_assert!(count + 2 >= fair / 2, "{pool}: polled in {count} passes, fair: {fair}");
        }
    }
}

#[test]
fn small_deployment_is_polled_completely_in_each_pass() {
    let pools: Vec<_> =
        ["a", "b", "c"].iter().map(|name| (PoolName::new(name).unwrap(), 4)).collect();
    let mut rotation = PoolRotation::new(POLLS_PER_PASS);
    (0..10).for_each(|_| assert_eq!(rotation.next_pools(&pools).len(), 3));
}
