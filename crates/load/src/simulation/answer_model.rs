//! Model of answers: their quality, the confidence of the engine and their rating.

use crate::arrival_trace::TraceRequest;
use crate::deployment::DeploymentModel;
use crate::seeded_random::SeededRandom;

/// Standard deviation of quality over requests.
const QUALITY_SPREAD: f64 = 0.12;
/// Magnitude of the negative correlation of an answer's quality with the request's difficulty.
const DIFFICULTY_WEIGHT: f64 = 0.7;
/// Correlation of the confidence, before the logistic function, with quality.
const CONFIDENCE_WEIGHT: f64 = 0.7;
/// Scale of the confidence before the logistic function.
const CONFIDENCE_SCALE: f64 = 1.3;
/// Concentration (sum of the parameters) of the beta distribution of a rating, whose mean is the
/// quality.
const RATING_CONCENTRATION: f64 = 15.0;
/// Minimum distance of the mean of a rating from 0 and from 1.
const MIN_RATING_MEAN: f64 = 0.02;

/// A simulated answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelAnswer {
    /// True quality.
    pub quality: f64,
    /// Confidence that the engine reports.
    pub confidence: f64,
    /// The rating that it gets if it is rated.
    pub rating: f64,
}

/// Draws the answer of one tier to a request.
pub fn draw_answer(
    deployment: &DeploymentModel,
    request: &TraceRequest,
    tier: usize,
    random: &mut SeededRandom,
) -> ModelAnswer {
    let mean = deployment.classes[request.class].quality[tier];
    let quality_score = correlated_normal(-request.difficulty, random.normal(), DIFFICULTY_WEIGHT);
    let quality = (mean + QUALITY_SPREAD * quality_score).clamp(0.0, 1.0);
    let confidence_score = correlated_normal(quality_score, random.normal(), CONFIDENCE_WEIGHT);
    let confidence = 1.0 / (1.0 + (-CONFIDENCE_SCALE * confidence_score).exp());
    let rating =
        random.beta(quality.clamp(MIN_RATING_MEAN, 1.0 - MIN_RATING_MEAN), RATING_CONCENTRATION);
    ModelAnswer { quality, confidence, rating }
}

/// A standard normal variate whose correlation with `base` is `weight`.
fn correlated_normal(base: f64, noise: f64, weight: f64) -> f64 {
    weight * base + (1.0 - weight * weight).sqrt() * noise
}
