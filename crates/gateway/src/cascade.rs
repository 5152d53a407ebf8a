//! Which models of a route a request is tried on, and when a weak answer is given up.
//!
//! The chain itself is planned by `oleander_core::chain`. This module says what its inputs are
//! when nothing is known of models but their names, prices and how long they take here.

use crate::routes::EngineModel;
use crate::wire_format::TokenSize;
use oleander_core::chain::{ChainCandidate, ChainGoal, ChainPlanner, ChainRule};
use oleander_core::confidence::ConfidenceTable;
use oleander_core::ids::{ModelName, VersionName};
use oleander_core::quality_estimate::QualityEstimator;
use oleander_core::units::{Money, Quality};
use std::sync::Arc;
use std::time::Duration;

/// Confidence at which an answer of the small model is as likely weak as good, and how fast that
/// turns around it. Trials on the calm day of a small deployment, credit by the confidence from
/// which answers are kept: 0.3 0.876, 0.4 0.926, 0.5 0.969, 0.6 0.972, always the large model 0.983.
const CONFIDENCE_MIDPOINT: f64 = 0.47;
const CONFIDENCE_SLOPE: f64 = 20.0;
/// How much an engine's time is worth above its price for each request that waits there, in
/// parts of the price.
const QUEUE_PRICE_FACTOR: f64 = 1.0;
/// Part of the price of a generated token that a token of the prompt costs.
const PROMPT_TOKEN_PRICE_SHARE: f64 = 0.25;
/// Least chance of a weak answer that is told apart from none.
const MIN_WEAK_PROBABILITY: f64 = 0.02;
const TOKENS_PER_PRICE: f64 = 1_000.0;
const MICROS_PER_UNIT: f64 = 1_000_000.0;

/// A model as a cascade sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct CascadeModel {
    /// The model.
    pub model: EngineModel,
    /// Time to the head of its answer here, as measured.
    pub latency: Duration,
}

/// What a request is tried on.
#[derive(Clone, Debug, PartialEq)]
pub struct CascadeStep {
    /// The model.
    pub model: Arc<str>,
    /// The answer is kept when its confidence is at least this; 0 keeps every answer.
    pub keep_from: f64,
}

/// The request that a cascade is planned for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeRequest {
    /// Its tokens.
    pub size: TokenSize,
    /// Time that is left.
    pub time_left: Duration,
    /// Whether it goes on with a stream that was begun; then there is nothing to choose, and
    /// the model that answers everything is the only sure one.
    pub resumes: bool,
    /// Whether the retry budget lets an answer be given up.
    pub may_escalate: bool,
    /// What a good answer is worth, in plain answers.
    pub answer_value: f64,
    /// Requests that wait at an upstream of the service, in the mean.
    pub queue_depth: f64,
}

/// Confidence from which an answer of a small model is kept: below it, the chance that it is weak
/// times what a good one is `worth` is more than the `price` of asking the large model.
///
/// ```
/// use oleander_gateway::cascade::keep_from;
///
/// assert!((keep_from(1.0, 0.5) - 0.47).abs() < 0.01);
/// assert!(keep_from(2.1, 0.13) > 0.55, "a cheap second try is taken more often");
/// assert_eq!(keep_from(0.38, 0.5), 0.0, "and never when it costs more than it can bring");
/// ```
#[must_use]
pub fn keep_from(answer_value: f64, price: f64) -> f64 {
    let chance = (price / answer_value.max(f64::MIN_POSITIVE)).max(MIN_WEAK_PROBABILITY);
    if chance >= 1.0 {
        return 0.0;
    }
    (CONFIDENCE_MIDPOINT + ((1.0 - chance) / chance).ln() / CONFIDENCE_SLOPE).clamp(0.0, 1.0)
}

/// Price of a request on a model.
#[must_use]
pub fn price(model: &EngineModel, size: TokenSize) -> Money {
    let tokens = f64::from(size.prompt) * PROMPT_TOKEN_PRICE_SHARE + f64::from(size.answer);
    Money::from_micros((model.cost * tokens / TOKENS_PER_PRICE * MICROS_PER_UNIT) as u64)
}

/// Plans the steps of a request over models, smallest first. Empty without models.
///
/// ```
/// use oleander_gateway::cascade::*;
/// use oleander_gateway::routes::EngineModel;
/// use oleander_gateway::wire_format::TokenSize;
/// use std::time::Duration;
///
/// let model = |name: &str, cost| CascadeModel {
///     model: EngineModel { name: name.into(), cost },
///     latency: Duration::from_millis(300),
/// };
/// let models = [model("small", 0.02), model("large", 0.26)];
/// let request = CascadeRequest {
///     size: TokenSize { prompt: 800, answer: 200 },
///     time_left: Duration::from_secs(20),
///     resumes: false,
///     may_escalate: true,
///     answer_value: 2.0,
///     queue_depth: 0.2,
/// };
/// let names = |steps: Vec<CascadeStep>| -> Vec<String> {
///     steps.iter().map(|step| step.model.to_string()).collect()
/// };
/// assert_eq!(names(plan_steps(&models, &request)), ["small", "large"]);
/// let short = CascadeRequest { time_left: Duration::from_millis(400), ..request };
/// assert_eq!(names(plan_steps(&models, &short)), ["large"]);
/// ```
#[must_use]
pub fn plan_steps(models: &[CascadeModel], request: &CascadeRequest) -> Vec<CascadeStep> {
    let rule = if request.resumes || !request.may_escalate {
        ChainRule::AlwaysCostly
    } else {
        let costly = models.last().map(|last| price(&last.model, request.size));
        let price = costly.map_or(0.0, |price| price.as_micros() as f64 / MICROS_PER_UNIT);
        let price = price * (1.0 + QUEUE_PRICE_FACTOR * request.queue_depth);
        ChainRule::CheapThenEscalate { threshold: keep_from(request.answer_value, price) }
    };
    let candidates: Vec<ChainCandidate> =
        models.iter().filter_map(|model| candidate(model, request.size)).collect();
    // The two rules take no quality target.
    let goal = ChainGoal { quality: Quality::default(), left: request.time_left };
    let planned = ChainPlanner::new(rule).plan(&candidates, &goal, 0);
    let Ok(plan) = planned else { return last_alone(models) };
    let steps = plan.steps.iter();
    steps
        .map(|step| CascadeStep {
            model: Arc::from(step.model.as_str()),
            keep_from: step.keep_from,
        })
        .collect()
}

/// When no model can answer in time, the one that answers everything is tried all the same: a
/// late answer is worth more than a refusal.
fn last_alone(models: &[CascadeModel]) -> Vec<CascadeStep> {
    let last = models.last().map(|last| Arc::clone(&last.model.name));
    last.map(|model| CascadeStep { model, keep_from: 0.0 }).into_iter().collect()
}

fn candidate(model: &CascadeModel, size: TokenSize) -> Option<ChainCandidate> {
    let name = ModelName::new(&model.model.name).ok()?;
    Some(ChainCandidate {
        version: VersionName::new(&model.model.name).ok()?,
        model: name,
        quality: QualityEstimator::default().estimate(None, None),
        cost: price(&model.model, size),
        latency: model.latency,
        wait: Duration::ZERO,
        confidence: ConfidenceTable::default(),
    })
}
