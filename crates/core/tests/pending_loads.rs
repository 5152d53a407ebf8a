//! Orders converge whatever upstreams lose or undo, and never load a whole pool at once.

use oleander_core::catalog::{Catalog, CatalogFile, parse_catalog};
use oleander_core::ids::{UpstreamName, VersionName};
use oleander_core::pending_loads::{LOAD_TIMEOUT, PendingLoads, VersionReport, demands_of_pool};
use oleander_core::placement::{PlacementOrder, PlacementPlanner};
use oleander_core::units::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const SMALL: &str = include_str!("data/small.jsonc");
const UPSTREAMS: usize = 8;
const LOOKS_TO_SETTLE: usize = 60;
/// Time between two looks.
const LOOK: Duration = Duration::from_secs(2);

fn catalog() -> Catalog {
    parse_catalog(&[CatalogFile::new("small.jsonc", SMALL)]).unwrap().0
}

struct Engine {
    versions: Vec<VersionName>,
    /// The load that is under way and the looks until it is done; `None` looks for never.
    loading: Option<(VersionName, Option<u32>)>,
}

struct World {
    now: Timestamp,
    book: PendingLoads,
    engines: Vec<Engine>,
}

fn name(index: usize) -> UpstreamName {
    UpstreamName::new(&format!("engine-{index}")).unwrap()
}

impl World {
    fn new() -> Self {
        let small: VersionName = "menu-small@1".parse().unwrap();
        let engine = |_| Engine { versions: vec![small.clone()], loading: None };
        let engines = (0..UPSTREAMS).map(engine).collect();
        Self { now: Timestamp::from_millis(1_000), book: PendingLoads::new(), engines }
    }

    /// One look; loads that are ordered are lost when `lose` says so. Returns loads under way.
    fn look(&mut self, catalog: &Catalog, lose: bool) -> usize {
        self.now = self.now + LOOK;
        for engine in &mut self.engines {
            engine.progress();
        }
        let report = |(index, engine): (usize, &Engine)| VersionReport {
            upstream: name(index),
            versions: engine.versions.clone(),
            available: true,
        };
        let reports: Vec<_> = self.engines.iter().enumerate().map(report).collect();
        let hosts = self.book.upstreams(&reports, self.now);
        let demands = demands_of_pool(catalog, &"engines".parse().unwrap());
        for order in PlacementPlanner::new(4).orders(&hosts, &demands, 2) {
            match order {
                PlacementOrder::Load(upstream, version) => {
                    let index = (0..UPSTREAMS).find(|&index| name(index) == upstream).unwrap();
                    let looks = if lose { None } else { Some(1) };
                    self.engines[index].loading = Some((version.clone(), looks));
                    self.book.record(upstream, version, self.now);
                }
                PlacementOrder::Unload(upstream, version) => {
                    let index = (0..UPSTREAMS).find(|&index| name(index) == upstream).unwrap();
                    self.engines[index].versions.retain(|held| *held != version);
                }
            }
        }
        self.engines.iter().filter(|engine| matches!(engine.loading, Some((_, Some(_))))).count()
    }

    fn holders(&self, version: &str) -> usize {
        let version: VersionName = version.parse().unwrap();
        self.engines.iter().filter(|engine| engine.versions.contains(&version)).count()
    }
}

impl Engine {
    fn progress(&mut self) {
        match self.loading.take() {
            Some((version, Some(0))) => self.versions.push(version),
            Some((version, Some(looks))) => self.loading = Some((version, Some(looks - 1))),
            other => self.loading = other,
        }
    }
}

fn config(seed: u64) -> Config {
    Config {
        cases: 100,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(29))]

    #[test]
    fn lost_loads_and_stale_unloads_are_put_right(
        events in prop::collection::vec((any::<bool>(), prop::option::of(0..UPSTREAMS)), 0..30),
    ) {
        let catalog = catalog();
        let mut world = World::new();
        for (lose, unload) in events {
            prop_assert!(world.look(&catalog, lose) <= UPSTREAMS / 4);
            if let Some(index) = unload {
                // Someone with an old order empties the engine.
                world.engines[index].versions.clear();
            }
        }
        let lost_loads_end = (LOAD_TIMEOUT.as_millis() / LOOK.as_millis()) as usize;
        for _ in 0..lost_loads_end + LOOKS_TO_SETTLE {
            prop_assert!(world.look(&catalog, false) <= UPSTREAMS / 4);
        }
        prop_assert_eq!(world.holders("menu-small@1"), UPSTREAMS);
        prop_assert_eq!(world.holders("menu-large@1"), UPSTREAMS);
        prop_assert!(world.holders("menu-large@2") >= 1);
    }
}
