//! Rating statistics of the whole system, and the evidence that they give for each rollout.
//!
//! The state is stored in one table row together with the cursor of the rating service. Each
//! rating therefore counts once whichever process collects, and the next collector continues
//! where the last one stopped.

use crate::alarm_threshold::alarm_threshold;
use crate::catalog::Catalog;
use crate::catalog::objects::{Policy, Rollout, RolloutPhase};
use crate::detect::{MeanChangeTest, RatingBaseline};
use crate::ids::{CascadeName, RolloutName, VersionName};
use crate::quality::QualityTable;
use crate::rollout::RolloutEvidence;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Ratings of the old version needed for a baseline; with fewer, the catalog's quality is used.
const BASELINE_RATINGS: u32 = 20;
/// Variance of single ratings that is assumed without enough ratings.
const ASSUMED_VARIANCE: f64 = 0.02;
/// Mean rating that is assumed without enough ratings and without a quality in the catalog.
const ASSUMED_MEAN: f64 = 0.8;

/// One rating of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRating {
    /// The task class.
    pub cascade: CascadeName,
    /// The version that answered.
    pub version: VersionName,
    /// The rating, from 0 to 1.
    pub score: f64,
}

/// Progress of one rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// The current step.
    pub step: u32,
    /// When the step was first observed.
    pub step_since: Timestamp,
    /// Ratings of the new version since the rollout began.
    pub ratings: u32,
    /// One test per task class.
    pub tests: BTreeMap<CascadeName, MeanChangeTest>,
}

impl RolloutProgress {
    const fn new(step: u32, now: Timestamp) -> Self {
        Self { step, step_since: now, ratings: 0, tests: BTreeMap::new() }
    }
}

/// Rating statistics of the whole system.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatistics {
    /// Incremented with each change.
    pub edition: u64,
    /// Cursor of the rating service.
    pub cursor: u64,
    /// Statistics per task class and version.
    pub table: QualityTable,
    /// Active rollouts.
    pub rollouts: BTreeMap<RolloutName, RolloutProgress>,
}

impl FleetStatistics {
    /// Adds ratings up to `cursor` and updates the active rollouts. Returns whether anything
    /// changed.
    pub fn update(
        &mut self,
        catalog: &Catalog,
        ratings: &[VersionRating],
        cursor: u64,
        now: Timestamp,
    ) -> bool {
        let before = (self.cursor, self.rollouts.clone());
        self.sync_rollouts(catalog, now);
        for rating in ratings {
            self.add(catalog, rating);
        }
        self.cursor = self.cursor.max(cursor);
        let changed = before != (self.cursor, self.rollouts.clone());
        self.edition += u64::from(changed);
        changed
    }

    /// The evidence for the next decision about a rollout.
    #[must_use]
    pub fn evidence(&self, catalog: &Catalog, name: &RolloutName) -> RolloutEvidence {
        let progress = self.rollouts.get(name);
        let rollout = catalog.rollouts.get(name);
        RolloutEvidence {
            ratings: progress.map_or(0, |progress| progress.ratings),
            alarmed: progress
                .is_some_and(|progress| progress.tests.values().any(MeanChangeTest::is_alarmed)),
            withdrawn: rollout.is_some_and(|r| catalog.withdrawals.contains_key(&r.to)),
        }
    }

    fn sync_rollouts(&mut self, catalog: &Catalog, now: Timestamp) {
        let active_rollout =
            |name: &RolloutName| catalog.rollouts.get(name).filter(|r| is_active(r));
        self.rollouts.retain(|name, _| active_rollout(name).is_some());
        for (name, rollout) in catalog.rollouts.iter().filter(|(_, rollout)| is_active(rollout)) {
            let new_progress = || RolloutProgress::new(rollout.step, now);
            let progress = self.rollouts.entry(name.clone()).or_insert_with(new_progress);
            if progress.step != rollout.step {
                (progress.step, progress.step_since) = (rollout.step, now);
            }
        }
    }

    fn add(&mut self, catalog: &Catalog, rating: &VersionRating) {
        for (name, progress) in &mut self.rollouts {
            let Some(rollout) = catalog.rollouts.get(name) else { continue };
            if rollout.to != rating.version {
                continue;
            }
            progress.ratings = progress.ratings.saturating_add(1);
            let test = progress
                .tests
                .entry(rating.cascade.clone())
                .or_insert_with(|| new_test(&self.table, catalog, &rollout.from, &rating.cascade));
            test.add(rating.score);
        }
        self.table.add(&rating.cascade, &rating.version, rating.score);
    }
}

const fn is_active(rollout: &Rollout) -> bool {
    matches!(rollout.phase, RolloutPhase::Running | RolloutPhase::Paused)
}

/// A test with the ratings of the replaced version as its baseline.
fn new_test(
    table: &QualityTable,
    catalog: &Catalog,
    from: &VersionName,
    cascade: &CascadeName,
) -> MeanChangeTest {
    let policy: &Policy = &catalog.policy;
    let rated = table.get(cascade, from).filter(|sum| sum.count >= BASELINE_RATINGS);
    let catalog_quality =
        catalog.versions.get(from).and_then(|version| version.quality.get(cascade));
    let mean = rated.map(|sum| sum.mean).or(catalog_quality.map(|quality| quality.get()));
    let variance = rated.map(|sum| sum.squared / f64::from(sum.count - 1));
    let baseline = RatingBaseline::new(
        mean.unwrap_or(ASSUMED_MEAN),
        variance.unwrap_or(ASSUMED_VARIANCE),
        policy.rating_drop,
    );
    let threshold = alarm_threshold(&baseline, f64::from(policy.false_alarm_ratings));
    MeanChangeTest::new(baseline, threshold).with_head_start()
}
