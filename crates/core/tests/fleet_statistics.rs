//! Rating statistics do not depend on how ratings are split over pages and collectors.

use oleander_core::catalog::edit::{CatalogEdit, apply_edit};
use oleander_core::catalog::objects::{Rollout, RolloutPhase, RolloutStep};
use oleander_core::catalog::{Catalog, CatalogFile, parse_catalog};
use oleander_core::fleet_statistics::{FleetStatistics, VersionRating};
use oleander_core::ids::RolloutName;
use oleander_core::units::{Millis, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SMALL: &str = include_str!("data/small.jsonc");

fn name() -> RolloutName {
    RolloutName::new("spring").unwrap()
}

fn catalog() -> Catalog {
    let small = parse_catalog(&[CatalogFile::new("small.jsonc", SMALL)]).unwrap().0;
    let step = RolloutStep { share: 0.1, ratings: 10, hold: Millis::new(0) };
    let rollout = Rollout {
        model: "menu-large".parse().unwrap(),
        from: "menu-large@1".parse().unwrap(),
        to: "menu-large@2".parse().unwrap(),
        steps: vec![step],
        step: 0,
        phase: RolloutPhase::Running,
    };
    apply_edit(&small, &CatalogEdit::StartRollout { name: name(), rollout }).unwrap()
}

fn rating(new: bool, score: f64) -> VersionRating {
    let version = if new { "menu-large@2" } else { "menu-large@1" };
    VersionRating {
        cascade: "menu-plan".parse().unwrap(),
        version: version.parse().unwrap(),
        score,
    }
}

/// Rows are stored as JSON, which may round the last bit of a number.
fn is_close(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-9
}

fn config(seed: u64) -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(23))]

    #[test]
    fn statistics_do_not_depend_on_the_page_size(
        scores in prop::collection::vec((any::<bool>(), 0.0f64..1.0), 1..200),
        page_size in 1usize..50,
    ) {
        let (catalog, now) = (catalog(), Timestamp::from_millis(5));
        let ratings: Vec<_> = scores.iter().map(|&(new, score)| rating(new, score)).collect();
        let mut whole = FleetStatistics::default();
        whole.update(&catalog, &ratings, ratings.len() as u64, now);
        let mut split = FleetStatistics::default();
        let mut cursor = 0;
        for page in ratings.chunks(page_size) {
            cursor += page.len() as u64;
            split.update(&catalog, page, cursor, now);
            // Another collector reads the stored row.
            split = serde_json::from_slice(&serde_json::to_vec(&split).unwrap()).unwrap();
        }
        prop_assert_eq!(split.cursor, whole.cursor);
        prop_assert_eq!(split.table.sums.len(), whole.table.sums.len());
        for (one, other) in split.table.sums.iter().zip(&whole.table.sums) {
            prop_assert_eq!(one.count, other.count);
            prop_assert!(is_close(one.mean, other.mean) && is_close(one.squared, other.squared));
        }
        let (one, other) = (&split.rollouts[&name()], &whole.rollouts[&name()]);
        prop_assert_eq!((one.ratings, one.tests.len()), (other.ratings, other.tests.len()));
        for (one, other) in one.tests.values().zip(other.tests.values()) {
            prop_assert!(is_close(one.statistic(), other.statistic()));
        }
    }
}

#[test]
fn step_begins_only_when_it_is_first_observed() {
    let mut catalog = catalog();
    let mut statistics = FleetStatistics::default();
    assert!(statistics.update(&catalog, &[], 0, Timestamp::from_millis(10)));
    assert!(!statistics.update(&catalog, &[], 0, Timestamp::from_millis(20)));
    assert_eq!(statistics.rollouts[&name()].step_since, Timestamp::from_millis(10));
    catalog.rollouts.get_mut(&name()).unwrap().step = 1;
    assert!(statistics.update(&catalog, &[], 0, Timestamp::from_millis(30)));
    assert_eq!(statistics.rollouts[&name()].step_since, Timestamp::from_millis(30));
}

#[test]
fn ended_rollout_is_removed_and_its_ratings_stay() {
    let mut catalog = catalog();
    let mut statistics = FleetStatistics::default();
    statistics.update(&catalog, &[rating(true, 0.5)], 1, Timestamp::from_millis(10));
    assert_eq!(statistics.evidence(&catalog, &name()).ratings, 1);
    catalog.rollouts.get_mut(&name()).unwrap().phase = RolloutPhase::Completed;
    statistics.update(&catalog, &[], 1, Timestamp::from_millis(20));
    assert_eq!(statistics.evidence(&catalog, &name()).ratings, 0);
    assert_eq!(statistics.table.sums[0].count, 1);
}
