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

/// Confidence below which an answer of the small model is given up. Trials on the calm day of a
/// small deployment: 0.3 earned 0.706, 0.5 earned 0.775, 0.6 earned 0.772.
pub const KEEP_CONFIDENCE: f64 = 0.5;
/// Part of the price of a generated token that a token of the prompt costs.
const READ_PRICE: f64 = 0.25;
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
    pub left: Duration,
    /// Whether it goes on with a stream that was begun; then there is nothing to choose, and
    /// the model that answers everything is the only sure one.
    pub resumes: bool,
    /// Whether the retry budget lets an answer be given up.
    pub may_escalate: bool,
}

/// Price of a request on a model.
#[must_use]
pub fn price(model: &EngineModel, size: TokenSize) -> Money {
    let tokens = f64::from(size.prompt) * READ_PRICE + f64::from(size.answer);
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
///     left: Duration::from_secs(20),
///     resumes: false,
///     may_escalate: true,
/// };
/// let names = |steps: Vec<CascadeStep>| -> Vec<String> {
///     steps.iter().map(|step| step.model.to_string()).collect()
/// };
/// assert_eq!(names(plan_steps(&models, &request)), ["small", "large"]);
/// let short = CascadeRequest { left: Duration::from_millis(400), ..request };
/// assert_eq!(names(plan_steps(&models, &short)), ["large"]);
/// ```
#[must_use]
pub fn plan_steps(models: &[CascadeModel], request: &CascadeRequest) -> Vec<CascadeStep> {
    let rule = if request.resumes || !request.may_escalate {
        ChainRule::AlwaysCostly
    } else {
        ChainRule::CheapThenEscalate { threshold: KEEP_CONFIDENCE }
    };
    let candidates: Vec<ChainCandidate> =
        models.iter().filter_map(|model| candidate(model, request.size)).collect();
    // The two rules take no quality target.
    let goal = ChainGoal { quality: Quality::default(), left: request.left };
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
