//! Quality of a version on a task class: a mean with its uncertainty.

use crate::quality::QualitySum;
use crate::units::Quality;

/// Ratings that the catalog's expected quality counts for.
pub const DEFAULT_PRIOR_RATINGS: f64 = 10.0;
/// Spread of single ratings that is assumed before ratings are in.
const PRIOR_DEVIATION: f64 = 0.2;
/// Expected quality of a version for which the catalog names none.
const UNKNOWN_QUALITY: f64 = 0.5;

/// An estimate of quality.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QualityEstimate {
    /// Expected quality.
    pub mean: f64,
    /// Standard deviation of the expected quality (not of single ratings).
    pub deviation: f64,
    /// Ratings behind it.
    pub ratings: u32,
}

impl QualityEstimate {
    /// The quality that is surpassed with the given number of deviations to spare.
    #[must_use]
    pub fn lower_bound(&self, deviations: f64) -> f64 {
        (self.mean - deviations * self.deviation).clamp(0.0, 1.0)
    }
}

/// Estimates quality from the catalog's expectation and ratings.
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
    /// An estimator whose prior counts for so many ratings.
    #[must_use]
    pub const fn new(prior_ratings: f64) -> Self {
        Self { prior_ratings }
    }

    /// The posterior mean and its deviation, the spread of single ratings being learned too.
    #[must_use]
    pub fn estimate(&self, prior: Option<Quality>, sum: Option<&QualitySum>) -> QualityEstimate {
        let expected = prior.map_or(UNKNOWN_QUALITY, Quality::get);
        let (count, mean, squared) =
            sum.map_or((0, expected, 0.0), |sum| (sum.count, sum.mean, sum.squared));
        let total = self.prior_ratings + f64::from(count);
        let posterior = (self.prior_ratings * expected + f64::from(count) * mean) / total;
        let spread = self.prior_ratings * PRIOR_DEVIATION * PRIOR_DEVIATION + squared;
        let variance = spread / total;
        QualityEstimate { mean: posterior, deviation: (variance / total).sqrt(), ratings: count }
    }
}
