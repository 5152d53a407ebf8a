//! Estimated quality of a version on a task class, with its uncertainty.

use crate::quality::QualitySum;
use crate::units::Quality;

/// Weight of the catalog's expected quality, in ratings.
pub const DEFAULT_PRIOR_RATINGS: f64 = 10.0;
/// Standard deviation of single ratings in the prior.
const PRIOR_DEVIATION: f64 = 0.2;
/// Expected quality of a version without one in the catalog.
const UNKNOWN_QUALITY: f64 = 0.5;

/// A quality estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QualityEstimate {
    /// Expected quality.
    pub mean: f64,
    /// Standard error of the expected quality (not the deviation of single ratings).
    pub deviation: f64,
    /// Number of ratings behind the estimate.
    pub ratings: u32,
}

impl QualityEstimate {
    /// The expected quality minus `deviations` standard errors, within 0 and 1.
    #[must_use]
    pub fn lower_bound(&self, deviations: f64) -> f64 {
        (self.mean - deviations * self.deviation).clamp(0.0, 1.0)
    }
}

/// Estimates quality from the catalog's expected quality and the ratings.
///
/// ```
/// use oleander_core::quality_estimate::QualityEstimator;
/// use oleander_core::units::Quality;
///
/// let estimate = QualityEstimator::default().estimate(Quality::new(0.8).ok(), None);
/// assert_eq!(estimate.mean, 0.8);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QualityEstimator {
    prior_ratings: f64,
}

impl Default for QualityEstimator {
    fn default() -> Self {
        Self { prior_ratings: DEFAULT_PRIOR_RATINGS }
    }
}

impl QualityEstimator {
    /// An estimator whose prior has the weight of `prior_ratings` ratings.
    #[must_use]
    pub const fn new(prior_ratings: f64) -> Self {
        Self { prior_ratings }
    }

    /// The posterior mean and its standard error. The variance of single ratings is learned too.
    #[must_use]
    pub fn estimate(&self, prior: Option<Quality>, sum: Option<&QualitySum>) -> QualityEstimate {
        let expected = prior.map_or(UNKNOWN_QUALITY, Quality::get);
        let (count, mean, squared) =
            sum.map_or((0, expected, 0.0), |sum| (sum.count, sum.mean, sum.squared));
        let total = self.prior_ratings + f64::from(count);
        let posterior = (self.prior_ratings * expected + f64::from(count) * mean) / total;
        let squared_deviations = self.prior_ratings * PRIOR_DEVIATION * PRIOR_DEVIATION + squared;
        let variance = squared_deviations / total;
        QualityEstimate { mean: posterior, deviation: (variance / total).sqrt(), ratings: count }
    }
}
