//! A bad version in a rollout is detected with half the ratings that a fixed window of 50 needs.

use oleander_core::catalog::edit::{CatalogEdit, apply_edit};
use oleander_core::catalog::objects::{Rollout, RolloutPhase, RolloutStep};
use oleander_core::catalog::{Catalog, CatalogFile, parse_catalog};
use oleander_core::fleet_statistics::{FleetStatistics, VersionRating};
use oleander_core::ids::RolloutName;
use oleander_core::units::{Millis, Timestamp};

/// Half of the ratings that a fixed window of 50 needs.
const MAX_RATINGS: usize = 25;

fn name() -> RolloutName {
    RolloutName::new("spring").unwrap()
}

fn catalog() -> Catalog {
    let file = CatalogFile::new("small.jsonc", include_str!("data/small.jsonc"));
    let step = RolloutStep { share: 0.1, ratings: 1_000, hold: Millis::new(0) };
    let rollout = Rollout {
        model: "menu-large".parse().unwrap(),
        from: "menu-large@1".parse().unwrap(),
        to: "menu-large@2".parse().unwrap(),
        steps: vec![step],
        step: 0,
        phase: RolloutPhase::Running,
    };
    let edit = CatalogEdit::StartRollout { name: name(), rollout };
    apply_edit(&parse_catalog(&[file]).unwrap().0, &edit).unwrap()
}

/// Ratings alternately 0.1 above and below `mean`.
fn ratings(version: &str, mean: f64, count: usize) -> Vec<VersionRating> {
    let score = |index: usize| if index.is_multiple_of(2) { mean + 0.1 } else { mean - 0.1 };
    let rating = |index| VersionRating {
        cascade: "menu-plan".parse().unwrap(),
        version: version.parse().unwrap(),
        score: score(index),
    };
    (0..count).map(rating).collect()
}

/// Number of ratings of the new version until the alarm, if one is raised.
fn ratings_until_alarm(mean: f64, max_ratings: usize) -> Option<usize> {
    let (catalog, now) = (catalog(), Timestamp::from_millis(5));
    let mut statistics = FleetStatistics::default();
    let old = ratings("menu-large@1", 0.8, 200);
    statistics.update(&catalog, &old, 200, now);
    for (index, rating) in ratings("menu-large@2", mean, max_ratings).into_iter().enumerate() {
        statistics.update(&catalog, &[rating], 201 + index as u64, now);
        if statistics.evidence(&catalog, &name()).alarmed {
            return Some(index + 1);
        }
    }
    None
}

#[test]
fn a_drop_of_0_2_raises_an_alarm_within_half_a_window() {
    let needed = ratings_until_alarm(0.6, 1_000);
    assert!(
        needed.is_some_and(|needed| needed <= MAX_RATINGS),
        "alarm after {needed:?} ratings, at most {MAX_RATINGS} expected"
    );
}

#[test]
fn a_healthy_version_raises_no_alarm() {
    assert_eq!(ratings_until_alarm(0.8, 1_000), None);
}
