//! Detection of a version whose ratings fell.
//!
//! Three tests on the stream of a version's ratings, all for a fall of the mean from `mean` by
//! at least `drop`: a fixed window, an ordinary CUSUM for Gaussian ratings, and the mean-change
//! test (MCT) of Liang and Veeravalli, "Non-Parametric Quickest Mean Change Detection", which
//! needs no more than the mean and variance before the change and stays sound when the ratings
//! after it drift. The threshold of each is calibrated to a mean number of ratings between
//! false alarms.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What is known of the ratings before any change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RatingBaseline {
    /// Mean rating.
    pub mean: f64,
    /// Variance of single ratings.
    pub variance: f64,
    /// Fall of the mean that has to be detected.
    pub drop: f64,
}

/// Part of the threshold at which a test with a head start begins.
pub const HEAD_START: f64 = 0.5;
const MIN_VARIANCE: f64 = 1e-4;
const MIN_DROP: f64 = 1e-3;

impl RatingBaseline {
    /// A baseline whose values are kept within sane bounds.
    #[must_use]
    pub const fn new(mean: f64, variance: f64, drop: f64) -> Self {
        Self { mean, variance: variance.max(MIN_VARIANCE), drop: drop.max(MIN_DROP) }
    }
}

/// Threshold of the mean-change test for a mean of `ratings` ratings between false alarms:
/// equation (60) of the paper, for ratings within 0 and 1.
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

/// The mean-change test on falling ratings. Its whole state is one number.
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

    /// Goes on with another baseline and threshold, as when more is known of the ratings before
    /// the change.
    #[must_use]
    pub const fn with_baseline(self, baseline: RatingBaseline, threshold: f64) -> Self {
        Self { baseline, threshold, statistic: self.statistic }
    }

    /// Begins with a head start, for a version that may be bad from its first answer.
    #[must_use]
    pub fn with_head_start(mut self) -> Self {
        self.statistic = self.threshold * HEAD_START;
        self
    }

    /// Adds one rating; `true` when the mean has fallen.
    pub fn add(&mut self, score: f64) -> bool {
        self.add_sum(1, score)
    }

    /// Adds the sum of `count` ratings that came together. The statistic may then pass over a
    /// peak within the batch, which delays an alarm by less than the batch.
    pub fn add_sum(&mut self, count: u32, sum: f64) -> bool {
        let middle = self.baseline.mean - self.baseline.drop / 2.0;
        self.statistic = (self.statistic + f64::from(count) * middle - sum).max(0.0);
        self.is_alarmed()
    }

    /// Whether the statistic has reached the threshold.
    #[must_use]
    pub fn is_alarmed(&self) -> bool {
        self.statistic >= self.threshold
    }

    /// The statistic.
    #[must_use]
    pub const fn statistic(&self) -> f64 {
        self.statistic
    }
}

/// CUSUM of the log-likelihood ratio of two Gaussians of unlike mean and deviation.
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

/// The mean of each window of ratings against a threshold.
#[derive(Clone, Debug, PartialEq)]
pub struct FixedWindow {
    size: usize,
    lowest: f64,
    scores: VecDeque<f64>,
    sum: f64,
}

impl FixedWindow {
    /// Alarms when the mean of the last `size` ratings is below `lowest`.
    #[must_use]
    pub fn new(size: usize, lowest: f64) -> Self {
        Self { size: size.max(1), lowest, scores: VecDeque::new(), sum: 0.0 }
    }

    /// Adds one rating; `true` when the window is full and its mean too low.
    pub fn add(&mut self, score: f64) -> bool {
        self.scores.push_back(score);
        self.sum += score;
        if self.scores.len() > self.size {
            self.sum -= self.scores.pop_front().unwrap_or(0.0);
        }
        self.scores.len() == self.size && self.sum / (self.size as f64) < self.lowest
    }
}
