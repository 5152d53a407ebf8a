//! Pools are looked at in turn, and the number of upstreams asked is bounded.

use oleander_core::ids::PoolName;
use oleander_core::pool_rotation::PoolRotation;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;

const ASKS: u32 = 60;
const LOOKS: usize = 400;

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
    fn asks_are_bounded_and_no_pool_starves(sizes in prop::collection::vec(1usize..200, 1..8)) {
        let name = |index: usize| PoolName::new(&format!("pool-{index}")).unwrap();
        let pools: Vec<_> = sizes.iter().enumerate().map(|(i, &size)| (name(i), size)).collect();
        let total: usize = sizes.iter().sum();
        let mut rotation = PoolRotation::new(ASKS);
        let mut asked = 0;
        let mut looks: BTreeMap<PoolName, usize> = BTreeMap::new();
        for _ in 0..LOOKS {
            for pool in rotation.next_pools(&pools) {
                asked += pools.iter().find(|(name, _)| *name == pool).unwrap().1;
                *looks.entry(pool).or_default() += 1;
            }
        }
        // One pool may be ahead of its share.
        prop_assert!(asked <= LOOKS * ASKS as usize + 200);
        let fair = (LOOKS * ASKS as usize / total.max(ASKS as usize)).min(LOOKS);
        for (pool, _) in &pools {
            let count = looks.get(pool).copied().unwrap_or(0);
            prop_assert!(count + 2 >= fair / 2, "{pool}: {count} looks, fair {fair}");
        }
    }
}

#[test]
fn small_deployment_is_looked_at_whole_each_time() {
    let pools: Vec<_> =
        ["a", "b", "c"].iter().map(|name| (PoolName::new(name).unwrap(), 4)).collect();
    let mut rotation = PoolRotation::new(ASKS);
    (0..10).for_each(|_| assert_eq!(rotation.next_pools(&pools).len(), 3));
}
