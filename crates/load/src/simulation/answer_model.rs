//! How good an answer is, how sure its engine is of it, and how it is rated.

use crate::arrival_trace::TraceRequest;
use crate::deployment::DeploymentModel;
use crate::seeded_source::SeededSource;

/// Spread of quality over requests.
const QUALITY_SPREAD: f64 = 0.12;
/// Correlation of an answer's quality with the request's difficulty.
const DIFFICULTY_WEIGHT: f64 = 0.7;
/// Correlation of confidence with quality.
const CONFIDENCE_WEIGHT: f64 = 0.7;
const CONFIDENCE_SCALE: f64 = 1.3;
/// Sum of the parameters of the Beta that a rating is drawn from, with the quality as its mean.
const RATING_CONCENTRATION: f64 = 15.0;
const LEAST_MEAN: f64 = 0.02;

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelAnswer {
    /// True quality.
    pub quality: f64,
    /// The engine's confidence.
    pub confidence: f64,
    /// The rating, if it is rated.
    pub rating: f64,
}

/// Draws the answer of one tier to a request.
pub fn draw_answer(
    deployment: &DeploymentModel,
    request: &TraceRequest,
    tier: usize,
    source: &mut SeededSource,
) -> ModelAnswer {
    let mean = deployment.classes[request.class].quality[tier];
    let standard = mix(-request.difficulty, source.normal(), DIFFICULTY_WEIGHT);
    let quality = (mean + QUALITY_SPREAD * standard).clamp(0.0, 1.0);
    let sureness = mix(standard, source.normal(), CONFIDENCE_WEIGHT);
    let confidence = 1.0 / (1.0 + (-CONFIDENCE_SCALE * sureness).exp());
    let rating = source.beta(quality.clamp(LEAST_MEAN, 1.0 - LEAST_MEAN), RATING_CONCENTRATION);
    ModelAnswer { quality, confidence, rating }
}

/// A standard normal that is correlated with `known`.
fn mix(known: f64, noise: f64, weight: f64) -> f64 {
    weight * known + (1.0 - weight * weight).sqrt() * noise
}
