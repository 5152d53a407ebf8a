//! Detection of a drop in the ratings of a version.
//!
//! Three tests on the stream of a version's ratings, all for a drop of the mean from `mean` by
//! at least `drop`: a fixed window, a CUSUM for Gaussian ratings, and the mean-change test (MCT)
//! of Liang and Veeravalli, "Non-Parametric Quickest Mean Change Detection". The last needs only
//! the mean and variance before the change and remains valid when the ratings drift after it.
//! The threshold of each is calibrated to a mean number of ratings between false alarms.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Statistics of the ratings before any change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RatingBaseline {
    /// Mean rating.
    pub mean: f64,
    /// Variance of single ratings.
    pub variance: f64,
    /// Smallest drop of the mean to detect.
    pub drop: f64,
}

/// Initial statistic of a test with a head start, as a fraction of the threshold.
pub const HEAD_START: f64 = 0.5;
const MIN_VARIANCE: f64 = 1e-4;
const MIN_DROP: f64 = 1e-3;

impl RatingBaseline {
    /// A baseline with lower bounds on variance and drop, which avoid division by zero.
    #[must_use]
    pub const fn new(mean: f64, variance: f64, drop: f64) -> Self {
        Self { mean, variance: variance.max(MIN_VARIANCE), drop: drop.max(MIN_DROP) }
    }
}

/// Threshold of the mean-change test with a mean of `ratings` ratings between false alarms:
/// equation (60) of Liang and Veeravalli, for ratings within 0 and 1.
///
/// ```
/// use oleander_core::detect::{RatingBaseline, mct_threshold};
///
/// let baseline = RatingBaseline::new(0.8, 0.02, 0.1);
/// assert!(mct_threshold(&baseline, 10_000.0) > mct_threshold(&baseline, 100.0));
/// ```
#[must_use]
pub fn mct_threshold(baseline: &RatingBaseline, ratings: f64) -> f64 {
    let half = baseline.drop / 2.0;
    let reach = baseline.mean.max(1.0 - baseline.mean) / 3.0;
    let ratio = baseline.variance / (baseline.variance + half * reach);
    ratings.max(2.0).ln() * baseline.variance / (2.0 * ratio * ratio * half)
}

/// The mean-change test for a drop in ratings. Its only state is the statistic.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeanChangeTest {
    baseline: RatingBaseline,
    threshold: f64,
    statistic: f64,
}

impl MeanChangeTest {
    /// A test with a threshold from [`crate::alarm_threshold`] or [`mct_threshold`].
    #[must_use]
    pub const fn new(baseline: RatingBaseline, threshold: f64) -> Self {
        Self { baseline, threshold, statistic: 0.0 }
    }

    /// The same test with another baseline and threshold, e.g. when more ratings from before the
    /// change are known.
    #[must_use]
    pub const fn with_baseline(self, baseline: RatingBaseline, threshold: f64) -> Self {
        Self { baseline, threshold, statistic: self.statistic }
    }

    /// Starts the statistic at [`HEAD_START`], for a version that may be bad from its first answer.
    #[must_use]
    pub fn with_head_start(mut self) -> Self {
        self.statistic = self.threshold * HEAD_START;
        self
    }

    /// Adds one rating; `true` when a drop is detected.
    pub fn add(&mut self, score: f64) -> bool {
        self.add_sum(1, score)
    }

    /// Adds the sum of a batch of `count` ratings. A peak of the statistic within the batch is
    /// missed, which delays an alarm by less than one batch.
    pub fn add_sum(&mut self, count: u32, sum: f64) -> bool {
        let midpoint = self.baseline.mean - self.baseline.drop / 2.0;
        self.statistic = (self.statistic + f64::from(count) * midpoint - sum).max(0.0);
        self.is_alarmed()
    }

    /// Whether the statistic has reached the threshold.
    #[must_use]
    pub fn is_alarmed(&self) -> bool {
        self.statistic >= self.threshold
    }

    /// The current statistic.
    #[must_use]
    pub const fn statistic(&self) -> f64 {
        self.statistic
    }
}

/// CUSUM of the log-likelihood ratio of two Gaussians with different means and variances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GaussianCusum {
    before: (f64, f64),
    after: (f64, f64),
    threshold: f64,
    statistic: f64,
}

impl GaussianCusum {
    /// A test for a change from one (mean, variance) to another.
    #[must_use]
    pub const fn new(before: (f64, f64), after: (f64, f64), threshold: f64) -> Self {
        Self { before, after, threshold, statistic: 0.0 }
    }

    /// Adds one rating; `true` when the change is detected.
    pub fn add(&mut self, score: f64) -> bool {
        let ratio = log_density(score, self.after) - log_density(score, self.before);
        self.statistic = (self.statistic + ratio).max(0.0);
        self.statistic >= self.threshold
    }
}

fn log_density(score: f64, (mean, variance): (f64, f64)) -> f64 {
    let variance = variance.max(MIN_VARIANCE);
    -0.5 * (variance.ln() + (score - mean).powi(2) / variance)
}

/// Compares the mean of a sliding window of ratings with a threshold.
#[derive(Clone, Debug, PartialEq)]
pub struct FixedWindow {
    size: usize,
    min_mean: f64,
    scores: VecDeque<f64>,
    sum: f64,
}

impl FixedWindow {
    /// Raises an alarm when the mean of the last `size` ratings is below `min_mean`.
    #[must_use]
    pub fn new(size: usize, min_mean: f64) -> Self {
        Self { size: size.max(1), min_mean, scores: VecDeque::new(), sum: 0.0 }
    }

    /// Adds one rating; `true` when the window is full and its mean is too low.
    pub fn add(&mut self, score: f64) -> bool {
        self.scores.push_back(score);
        self.sum += score;
        if self.scores.len() > self.size {
            self.sum -= self.scores.pop_front().unwrap_or(0.0);
        }
        self.scores.len() == self.size && self.sum / (self.size as f64) < self.min_mean
    }
}
