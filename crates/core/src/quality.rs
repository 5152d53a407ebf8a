//! Rating statistics per task class and version.

use crate::ids::{CascadeName, VersionName};
use serde::{Deserialize, Serialize};

/// Ratings of one version on one task class: count, mean and sum of squared deviations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QualitySum {
    /// The task class.
    pub cascade: CascadeName,
    /// The version.
    pub version: VersionName,
    /// Number of ratings.
    pub count: u32,
    /// Mean rating.
    pub mean: f64,
    /// Sum of squared deviations from the mean.
    pub squared: f64,
}

impl QualitySum {
    /// Statistics without any rating.
    #[must_use]
    pub const fn new(cascade: CascadeName, version: VersionName) -> Self {
        Self { cascade, version, count: 0, mean: 0.0, squared: 0.0 }
    }

    /// Adds one rating (Welford's update).
    pub fn add(&mut self, score: f64) {
        self.count += 1;
        let delta = score - self.mean;
        self.mean += delta / f64::from(self.count);
        self.squared += delta * (score - self.mean);
    }
}

/// Statistics of every rated pair of task class and version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QualityTable {
    /// The statistics, sorted by task class and version.
    pub sums: Vec<QualitySum>,
}

impl QualityTable {
    /// The statistics of one version on one task class.
    #[must_use]
    pub fn get(&self, cascade: &CascadeName, version: &VersionName) -> Option<&QualitySum> {
        let found =
            self.sums.binary_search_by(|sum| (&sum.cascade, &sum.version).cmp(&(cascade, version)));
        found.ok().map(|index| &self.sums[index])
    }

    /// Adds one rating.
    pub fn add(&mut self, cascade: &CascadeName, version: &VersionName, score: f64) {
        let key = (cascade, version);
        let index = match self.sums.binary_search_by(|s| (&s.cascade, &s.version).cmp(&key)) {
            Ok(index) => index,
            Err(index) => {
                self.sums.insert(index, QualitySum::new(cascade.clone(), version.clone()));
                index
            }
        };
        self.sums[index].add(score);
    }
}
