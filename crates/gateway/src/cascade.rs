//! Plans which models a request is tried on, and from which confidence an answer is kept.
//!
//! The plan itself comes from `oleander_core::chain`. This module derives its inputs when only the
//! names, prices and latencies of models are known.

use crate::routes::EngineModel;
use crate::wire_format::TokenSize;
use oleander_core::chain::{ChainCandidate, ChainGoal, ChainPlanner, ChainRule};
use oleander_core::confidence::ConfidenceTable;
use oleander_core::ids::{ModelName, VersionName};
use oleander_core::quality_estimate::QualityEstimator;
use oleander_core::units::{Money, Quality};
use std::sync::Arc;
use std::time::Duration;

/// Confidence at which an answer of the small model is as likely weak as good, and the slope of
/// that probability around it. A lower threshold keeps too many weak answers: on a calm day of a
/// small deployment the answers earn 0.876 of the full credit at a minimum confidence of 0.3, 0.926
/// at 0.4, 0.969 at 0.5 and 0.972 at 0.6, against 0.983 with the large model only.
const CONFIDENCE_MIDPOINT: f64 = 0.47;
const CONFIDENCE_SLOPE: f64 = 20.0;
/// Surcharge on an engine's price per request queued there, as a share of the price.
const QUEUE_PRICE_FACTOR: f64 = 1.0;
/// Price of a prompt token relative to a generated one.
const PROMPT_TOKEN_PRICE_SHARE: f64 = 0.25;
/// Minimum probability of a weak answer that is distinguished from zero.
const MIN_WEAK_PROBABILITY: f64 = 0.02;
const TOKENS_PER_PRICE: f64 = 1_000.0;
const MICROS_PER_UNIT: f64 = 1_000_000.0;

/// A candidate model of a cascade.
#[derive(Clone, Debug, PartialEq)]
pub struct CascadeModel {
    /// The model.
    pub model: EngineModel,
    /// Time to response headers measured on this host.
    pub latency: Duration,
}

/// One step of a cascade.
#[derive(Clone, Debug, PartialEq)]
pub struct CascadeStep {
    /// The model.
    pub model: Arc<str>,
    /// Minimum confidence at which the answer is kept; 0 keeps every answer.
    pub min_confidence: f64,
}

/// The request that a cascade is planned for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeRequest {
    /// Token counts of the request.
    pub size: TokenSize,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Whether the request resumes a stream. There is no answer to compare then, so only the model
    /// that answers everything is used.
    pub resumes: bool,
    /// Whether the retry budget allows escalation.
    pub may_escalate: bool,
    /// Value of a good answer, relative to a plain answer.
    pub answer_value: f64,
    /// Mean number of requests queued per upstream of the service.
    pub queue_depth: f64,
}

/// Minimum confidence at which a small model's answer is kept. Below it, the probability of a weak
/// answer times `answer_value` exceeds the `price` of asking the large model.
///
/// ```
/// use oleander_gateway::cascade::min_confidence;
///
/// assert!((min_confidence(1.0, 0.5) - 0.47).abs() < 0.01);
/// assert!(min_confidence(2.1, 0.13) > 0.55, "a cheap second try is taken more often");
/// assert_eq!(min_confidence(0.38, 0.5), 0.0, "and never when it costs more than it can bring");
/// ```
#[must_use]
pub fn min_confidence(answer_value: f64, price: f64) -> f64 {
    let weak_probability = (price / answer_value.max(f64::MIN_POSITIVE)).max(MIN_WEAK_PROBABILITY);
    if weak_probability >= 1.0 {
        return 0.0;
    }
    (CONFIDENCE_MIDPOINT + ((1.0 - weak_probability) / weak_probability).ln() / CONFIDENCE_SLOPE)
        .clamp(0.0, 1.0)
}

/// Price of a request on a model.
#[must_use]
pub fn price(model: &EngineModel, size: TokenSize) -> Money {
    let tokens = f64::from(size.prompt) * PROMPT_TOKEN_PRICE_SHARE + f64::from(size.answer);
    Money::from_micros((model.cost * tokens / TOKENS_PER_PRICE * MICROS_PER_UNIT) as u64)
}

/// Plans the steps of a request over `models`, ordered smallest first. Empty without models.
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
        ChainRule::CheapThenEscalate { threshold: min_confidence(request.answer_value, price) }
    };
    let candidates: Vec<ChainCandidate> =
        models.iter().filter_map(|model| candidate(model, request.size)).collect();
    // Neither rule uses a quality target.
    let goal = ChainGoal { quality: Quality::default(), left: request.time_left };
    let planned = ChainPlanner::new(rule).plan(&candidates, &goal, 0);
    let Ok(plan) = planned else { return largest_only(models) };
    let steps = plan.steps.iter();
    steps
        .map(|step| CascadeStep {
            model: Arc::from(step.model.as_str()),
            min_confidence: step.min_confidence,
        })
        .collect()
}

/// Falls back to the model that answers everything when no model can answer in time: a late answer
/// is better than a refusal.
fn largest_only(models: &[CascadeModel]) -> Vec<CascadeStep> {
    let last = models.last().map(|last| Arc::clone(&last.model.name));
    last.map(|model| CascadeStep { model, min_confidence: 0.0 }).into_iter().collect()
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
