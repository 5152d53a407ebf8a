//! Placement converges when upstreams lose loads or undo them, and never loads a whole pool at
//! once.

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
const PASSES_TO_CONVERGE: usize = 60;
/// Interval between two reconciliation passes.
const PASS_INTERVAL: Duration = Duration::from_secs(2);

fn catalog() -> Catalog {
    parse_catalog(&[CatalogFile::new("small.jsonc", SMALL)]).unwrap().0
}

struct Engine {
    versions: Vec<VersionName>,
    /// The load in progress and the passes until it is done; `None` if it never finishes.
    loading: Option<(VersionName, Option<u32>)>,
}

struct Simulation {
    now: Timestamp,
    pending_loads: PendingLoads,
    engines: Vec<Engine>,
}

fn name(index: usize) -> UpstreamName {
    UpstreamName::new(&format!("engine-{index}")).unwrap()
}

impl Simulation {
    fn new() -> Self {
        let small: VersionName = "menu-small@1".parse().unwrap();
        let engine = |_| Engine { versions: vec![small.clone()], loading: None };
        let engines = (0..UPSTREAMS).map(engine).collect();
        Self { now: Timestamp::from_millis(1_000), pending_loads: PendingLoads::new(), engines }
    }

    /// Runs one pass. Loads ordered in it are lost if `lose` is set. Returns the number of loads in
    /// progress that will finish.
    fn run_pass(&mut self, catalog: &Catalog, lose: bool) -> usize {
        self.now = self.now + PASS_INTERVAL;
        for engine in &mut self.engines {
            engine.advance();
        }
        let report = |(index, engine): (usize, &Engine)| VersionReport {
            upstream: name(index),
            versions: engine.versions.clone(),
            available: true,
        };
        let reports: Vec<_> = self.engines.iter().enumerate().map(report).collect();
        let upstreams = self.pending_loads.upstreams(&reports, self.now);
        let demands = demands_of_pool(catalog, &"engines".parse().unwrap());
        for order in PlacementPlanner::new(4).orders(&upstreams, &demands, 2) {
            match order {
                PlacementOrder::Load(upstream, version) => {
                    let index = (0..UPSTREAMS).find(|&index| name(index) == upstream).unwrap();
                    let passes = if lose { None } else { Some(1) };
                    self.engines[index].loading = Some((version.clone(), passes));
                    self.pending_loads.record(upstream, version, self.now);
                }
                PlacementOrder::Unload(upstream, version) => {
                    let index = (0..UPSTREAMS).find(|&index| name(index) == upstream).unwrap();
                    self.engines[index].versions.retain(|loaded| *loaded != version);
                }
            }
        }
        self.engines.iter().filter(|engine| matches!(engine.loading, Some((_, Some(_))))).count()
    }

    fn loaded_on(&self, version: &str) -> usize {
        let version: VersionName = version.parse().unwrap();
        self.engines.iter().filter(|engine| engine.versions.contains(&version)).count()
    }
}

impl Engine {
    fn advance(&mut self) {
        match self.loading.take() {
            Some((version, Some(0))) => self.versions.push(version),
            Some((version, Some(passes))) => self.loading = Some((version, Some(passes - 1))),
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
    fn lost_loads_and_stale_unloads_are_corrected(
        events in prop::collection::vec((any::<bool>(), prop::option::of(0..UPSTREAMS)), 0..30),
    ) {
        let catalog = catalog();
        let mut simulation = Simulation::new();
        for (lose, unload) in events {
            prop_assert!(simulation.run_pass(&catalog, lose) <= UPSTREAMS / 4);
            if let Some(index) = unload {
                // A stale unload order removes all versions from the engine.
                simulation.engines[index].versions.clear();
            }
        }
        let passes_to_timeout = (LOAD_TIMEOUT.as_millis() / PASS_INTERVAL.as_millis()) as usize;
        for _ in 0..passes_to_timeout + PASSES_TO_CONVERGE {
            prop_assert!(simulation.run_pass(&catalog, false) <= UPSTREAMS / 4);
        }
        prop_assert_eq!(simulation.loaded_on("menu-small@1"), UPSTREAMS);
        prop_assert_eq!(simulation.loaded_on("menu-large@1"), UPSTREAMS);
        prop_assert!(simulation.loaded_on("menu-large@2") >= 1);
    }
}
