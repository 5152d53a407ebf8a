//! Arrivals of requests: open loop, from a seed.

use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::seeded_source::SeededSource;

/// One request that arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// Time of arrival, in seconds.
    pub at: f64,
    /// Index of the task class.
    pub class: usize,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the whole answer.
    pub answer: u32,
    /// Number of its prompt prefix, unique over classes.
    pub prefix: u64,
    /// Tokens of the prefix.
    pub prefix_tokens: u32,
    /// How hard it is: standard normal, the same for every version.
    pub difficulty: f64,
}

/// Spread of the logarithm of lengths.
const LENGTH_SPREAD: f64 = 0.35;
const SHORTEST: f64 = 8.0;
/// Prefixes of one class, so that numbers of two classes differ.
const PREFIXES_PER_CLASS: u64 = 1_000_000;

/// Rate at `at`, relative to the mean over the run: a burst in the middle for morning prep, a
/// slow wave for the data centres.
#[must_use]
pub fn relative_rate(kind: DeploymentKind, at: f64, seconds: f64) -> f64 {
    let place = at / seconds;
    match kind {
        DeploymentKind::Curbside if (0.4..0.6).contains(&place) => 2.0,
        DeploymentKind::Curbside => 0.75,
        DeploymentKind::Teranga => 1.0 + 0.25 * (std::f64::consts::TAU * 2.0 * place).sin(),
    }
}

/// Arrivals over `seconds` with a mean of `rate` a second. A `steady` trace has no burst.
#[must_use]
pub fn arrivals(
    deployment: &DeploymentModel,
    rate: f64,
    seconds: f64,
    steady: bool,
    seed: u64,
) -> Vec<TraceRequest> {
    let mut source = SeededSource::new(seed ^ 0xa881);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let relative = if steady { 1.0 } else { relative_rate(deployment.kind, at, seconds) };
        at += source.exponential(1.0 / (rate * relative));
        if at >= seconds {
            return requests;
        }
        requests.push(request(deployment, at, &mut source));
    }
}

fn request(deployment: &DeploymentModel, at: f64, source: &mut SeededSource) -> TraceRequest {
    let class = pick_class(deployment, source.unit());
    let model = &deployment.classes[class];
    let prompt = source.length(model.prompt, LENGTH_SPREAD).max(SHORTEST);
    let number = (source.unit().powi(2) * model.prefixes as f64) as u64;
    TraceRequest {
        at,
        class,
        prompt: prompt as u32,
        answer: source.length(model.answer, LENGTH_SPREAD).max(SHORTEST) as u32,
        prefix: class as u64 * PREFIXES_PER_CLASS + number,
        prefix_tokens: (prompt * model.prefix_share) as u32,
        difficulty: source.normal(),
    }
}

fn pick_class(deployment: &DeploymentModel, point: f64) -> usize {
    let mut passed = 0.0;
    let found = deployment.classes.iter().position(|class| {
        passed += class.share;
        point < passed
    });
    found.unwrap_or(deployment.classes.len() - 1)
}
