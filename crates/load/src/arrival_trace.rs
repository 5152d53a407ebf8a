//! Open-loop traces of request arrivals, generated from a seed.

use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::seeded_random::SeededRandom;

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// Time of arrival, in seconds.
    pub at: f64,
    /// Index of the task class.
    pub class: usize,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the complete answer.
    pub answer: u32,
    /// Id of the prompt prefix, unique across classes.
    pub prefix: u64,
    /// Tokens of the prefix.
    pub prefix_tokens: u32,
    /// Difficulty, as a standard normal variate; the same for every version.
    pub difficulty: f64,
}

/// Standard deviation of the logarithm of lengths.
const LENGTH_SPREAD: f64 = 0.35;
const MIN_LENGTH_TOKENS: f64 = 8.0;
/// Range of prefix ids of a class, which keeps ids of different classes distinct.
const PREFIXES_PER_CLASS: u64 = 1_000_000;

/// Arrival rate at `at`, relative to the mean over the run: a burst in the middle of the run for
/// [`DeploymentKind::Curbside`], a slow sine wave for [`DeploymentKind::Teranga`].
#[must_use]
pub fn relative_rate(kind: DeploymentKind, at: f64, seconds: f64) -> f64 {
    let position = at / seconds;
    match kind {
        DeploymentKind::Curbside if (0.4..0.6).contains(&position) => 2.0,
        DeploymentKind::Curbside => 0.75,
        DeploymentKind::Teranga => 1.0 + 0.25 * (std::f64::consts::TAU * 2.0 * position).sin(),
    }
}

/// Poisson arrivals over `seconds` with a mean of `rate` per second. The rate of a `steady` trace is
/// constant.
#[must_use]
pub fn arrivals(
    deployment: &DeploymentModel,
    rate: f64,
    seconds: f64,
    steady: bool,
    seed: u64,
) -> Vec<TraceRequest> {
    let mut random = SeededRandom::new(seed ^ 0xa881);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let relative = if steady { 1.0 } else { relative_rate(deployment.kind, at, seconds) };
        at += random.exponential(1.0 / (rate * relative));
        if at >= seconds {
            return requests;
        }
        requests.push(request(deployment, at, &mut random));
    }
}

fn request(deployment: &DeploymentModel, at: f64, random: &mut SeededRandom) -> TraceRequest {
    let class = pick_class(deployment, random.next_unit());
    let model = &deployment.classes[class];
    let prompt = random.lognormal(model.prompt, LENGTH_SPREAD).max(MIN_LENGTH_TOKENS);
    let prefix_number = (random.next_unit().powi(2) * model.prefixes as f64) as u64;
    TraceRequest {
        at,
        class,
        prompt: prompt as u32,
        answer: random.lognormal(model.answer, LENGTH_SPREAD).max(MIN_LENGTH_TOKENS) as u32,
        prefix: class as u64 * PREFIXES_PER_CLASS + prefix_number,
        prefix_tokens: (prompt * model.prefix_share) as u32,
        difficulty: random.normal(),
    }
}

fn pick_class(deployment: &DeploymentModel, point: f64) -> usize {
    let mut cumulative = 0.0;
    let found = deployment.classes.iter().position(|class| {
        cumulative += class.share;
        point < cumulative
    });
    found.unwrap_or(deployment.classes.len() - 1)
}
