//! Planning of the versions that a request is sent to, in order.
//!
//! The plan is the cheapest chain whose expected quality meets the target and whose expected
//! latency meets the deadline: one version alone, or a cheaper one first whose answer is kept
//! when its confidence reaches a threshold. A small, bounded share of requests explores a
//! version that would not be chosen otherwise, to improve its quality estimate.

use crate::admission::MAX_QUEUE_WAIT;
use crate::choice_mode::ChoiceMode;
use crate::confidence::{ConfidenceTable, ThresholdForecast};
use crate::ids::{ModelName, VersionName};
use crate::quality_estimate::QualityEstimate;
use crate::stable_hash::{mix, unit_point};
use crate::units::{Money, Quality};
use std::time::Duration;

/// Standard deviations by which a quality estimate must exceed the target.
const SAFETY_DEVIATIONS: f64 = 1.0;
/// Confidence threshold that no answer reaches, so that every answer is escalated.
pub const ESCALATE_ALL: f64 = 2.0;
/// Standard deviations by which the estimate of an explored version may miss the target.
const EXPLORE_DEVIATIONS: f64 = 2.0;

/// One version that may serve the request; see [`crate::chain_input::candidates`].
#[derive(Clone, Debug, PartialEq)]
pub struct ChainCandidate {
    /// The version.
    pub version: VersionName,
    /// Its model.
    pub model: ModelName,
    /// Its estimated quality on the task class.
    pub quality: QualityEstimate,
    /// Expected price of the request.
    pub cost: Money,
    /// Expected time to the complete answer, including queueing.
    pub latency: Duration,
    /// Expected wait for a slot, included in the latency.
    pub wait: Duration,
    /// Calibration of the confidence that it reports.
    pub confidence: ConfidenceTable,
}

/// The requirements on a chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainGoal {
    /// Mean quality that answers must reach.
    pub quality: Quality,
    /// Time until the deadline.
    pub left: Duration,
}

/// One step of a chain.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainStep {
    /// The version.
    pub version: VersionName,
    /// Its model.
    pub model: ModelName,
    /// The answer is kept when its confidence is at least this; 0 keeps every answer.
    pub min_confidence: f64,
}

/// The chain planned for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainPlan {
    /// The steps in order of execution; the last one keeps every answer.
    pub steps: Vec<ChainStep>,
    /// Expected price.
    pub cost: Money,
    /// Expected quality.
    pub quality: f64,
    /// Expected time to the complete answer when every step runs.
    pub latency: Duration,
    /// Whether the plan explores a version outside the best plan.
    pub explored: bool,
}

/// Why no chain could be planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// No version is allowed.
    #[error("no version of the cascade is allowed")]
    NoVersion,
    /// No version can answer before the deadline.
    #[error("no allowed version can answer in time; {needed:?} would be enough")]
    DeadlineTooShort {
        /// The shortest time that would be enough.
        needed: Duration,
    },
}

/// How a chain is planned. The last two rules are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ChainRule {
    /// The cheapest chain that meets the goal.
    #[default]
    ModelAware,
    /// The most expensive version alone.
    AlwaysCostly,
    /// The cheapest version first, then the most expensive one if the answer has low confidence.
    CheapThenEscalate {
        /// Answers with a lower confidence are escalated.
        threshold: f64,
    },
}

impl From<ChoiceMode> for ChainRule {
    fn from(mode: ChoiceMode) -> Self {
        match mode {
            ChoiceMode::AlwaysCostly => Self::AlwaysCostly,
            ChoiceMode::CheapThenEscalate => Self::CheapThenEscalate { threshold: ESCALATE_ALL },
            _ => Self::ModelAware,
        }
    }
}

/// Plans chains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainPlanner {
    rule: ChainRule,
    exploration: f64,
    latency_price: Money,
}

impl ChainPlanner {
    /// A planner with a rule, without exploration.
    #[must_use]
    pub const fn new(rule: ChainRule) -> Self {
        Self { rule, exploration: 0.0, latency_price: Money::ZERO }
    }

    /// Sets the share of requests that explore, from 0 to 1.
    #[must_use]
    pub const fn with_exploration(mut self, exploration: f64) -> Self {
        self.exploration = exploration;
        self
    }

    /// Sets the price of a second of expected latency, so that a slow chain that is only a little
    /// cheaper is not chosen.
    #[must_use]
    pub const fn with_latency_price(mut self, price_per_second: Money) -> Self {
        self.latency_price = price_per_second;
        self
    }

    /// Plans one request. `candidates` are ordered by rising cost; `random` selects exploration.
    ///
    /// # Errors
    ///
    /// [`ChainError`] when there is no candidate or none can answer before the deadline.
    pub fn plan(
        &self,
        candidates: &[ChainCandidate],
        goal: &ChainGoal,
        random: u64,
    ) -> Result<ChainPlan, ChainError> {
        let needed = candidates.iter().map(|candidate| candidate.latency).min();
        let needed = needed.ok_or(ChainError::NoVersion)?;
        let is_feasible = |candidate: &&ChainCandidate| candidate.latency <= goal.left;
        let feasible: Vec<&ChainCandidate> = candidates.iter().filter(is_feasible).collect();
        if feasible.is_empty() {
            return Err(ChainError::DeadlineTooShort { needed });
        }
        let plan = match self.rule {
            ChainRule::ModelAware => self.model_aware(&with_free_slots(&feasible), goal, random),
            ChainRule::AlwaysCostly => most_expensive(&feasible).map(single),
            ChainRule::CheapThenEscalate { threshold } => escalating(&feasible, goal, threshold),
        };
        plan.ok_or(ChainError::NoVersion)
    }

    fn model_aware(
        &self,
        feasible: &[&ChainCandidate],
        goal: &ChainGoal,
        random: u64,
    ) -> Option<ChainPlan> {
        let best = self.cheapest_plan(feasible, goal, random)?;
        if unit_point(mix(random)) >= self.exploration {
            return Some(best);
        }
        Some(explore(feasible, goal, &best, random).unwrap_or(best))
    }

    /// The cheapest plan that meets the target, or a random mixture of a plan above the target
    /// and a cheaper one below it whose mean quality meets it. When no plan meets the target, the
    /// plan with the highest quality.
    fn cheapest_plan(
        &self,
        feasible: &[&ChainCandidate],
        goal: &ChainGoal,
        random: u64,
    ) -> Option<ChainPlan> {
        let plans = plan_estimates(feasible, goal);
        let target = goal.quality.get();
        let (above, below): (Vec<&PlanEstimate>, Vec<&PlanEstimate>) =
            plans.iter().partition(|plan| plan.quality >= target);
        if above.is_empty() {
            let best = plans.iter().max_by(|a, b| a.quality.total_cmp(&b.quality));
            return best.map(|estimate| estimate.plan.clone());
        }
        let mixtures = above.iter().flat_map(|upper| {
            let alone = PlanMixture { upper, lower: upper, share: 1.0 };
            let mixed = below.iter().map(|lower| PlanMixture::new(upper, lower, target));
            std::iter::once(alone).chain(mixed)
        });
        let price = |mixture: &PlanMixture<'_>| mixture.price(self.latency_price);
        let cheapest = mixtures.min_by(|a, b| price(a).total_cmp(&price(b)))?;
        Some(cheapest.draw(random).plan.clone())
    }
}

/// Candidates whose pool has free capacity, so that a request is sent to a more expensive version
/// rather than refused; all candidates when no pool has.
fn with_free_slots<'a>(feasible: &[&'a ChainCandidate]) -> Vec<&'a ChainCandidate> {
    let has_capacity = |candidate: &&ChainCandidate| candidate.wait <= MAX_QUEUE_WAIT;
    let available: Vec<_> = feasible.iter().copied().filter(has_capacity).collect();
    if available.is_empty() { feasible.to_vec() } else { available }
}

fn plan_estimates(feasible: &[&ChainCandidate], goal: &ChainGoal) -> Vec<PlanEstimate> {
    let mut plans: Vec<PlanEstimate> = feasible.iter().map(|only| single_estimate(only)).collect();
    for first in feasible {
        for second in feasible.iter().filter(|second| second.cost > first.cost) {
            plans.extend(pair_estimates(first, second, goal));
        }
    }
    plans
}

/// A random mixture of two plans.
struct PlanMixture<'a> {
    upper: &'a PlanEstimate,
    lower: &'a PlanEstimate,
    /// Share of requests that use the upper plan.
    share: f64,
}

impl<'a> PlanMixture<'a> {
    /// The mixture of a plan above the target and one below it whose mean quality is the target.
    fn new(upper: &'a PlanEstimate, lower: &'a PlanEstimate, target: f64) -> Self {
        let share = (target - lower.quality) / (upper.quality - lower.quality);
        Self { upper, lower, share }
    }

    fn price(&self, latency_price: Money) -> f64 {
        let (upper, lower) = (self.upper.price(latency_price), self.lower.price(latency_price));
        self.share * upper + (1.0 - self.share) * lower
    }

    fn draw(&self, random: u64) -> &'a PlanEstimate {
        if unit_point(mix(random ^ 2)) < self.share { self.upper } else { self.lower }
    }
}

/// A plan with a conservative estimate of its quality.
struct PlanEstimate {
    quality: f64,
    /// Mean latency; the latency in the plan is that of running every step.
    seconds: f64,
    plan: ChainPlan,
}

impl PlanEstimate {
    /// Expected price in millionths, including the price of latency.
    fn price(&self, latency_price: Money) -> f64 {
        self.plan.cost.as_micros() as f64 + self.seconds * latency_price.as_micros() as f64
    }
}

fn single_estimate(candidate: &ChainCandidate) -> PlanEstimate {
    let seconds = candidate.latency.as_secs_f64();
    PlanEstimate { quality: conservative_quality(candidate), seconds, plan: single(candidate) }
}

fn single(candidate: &ChainCandidate) -> ChainPlan {
    ChainPlan {
        steps: vec![step(candidate, 0.0)],
        cost: candidate.cost,
        quality: candidate.quality.mean,
        latency: candidate.latency,
        explored: false,
    }
}

fn step(candidate: &ChainCandidate, min_confidence: f64) -> ChainStep {
    ChainStep { version: candidate.version.clone(), model: candidate.model.clone(), min_confidence }
}

fn most_expensive<'a>(feasible: &[&'a ChainCandidate]) -> Option<&'a ChainCandidate> {
    feasible.iter().copied().max_by_key(|candidate| candidate.cost)
}

fn conservative_quality(candidate: &ChainCandidate) -> f64 {
    candidate.quality.lower_bound(SAFETY_DEVIATIONS)
}

/// Chains of two versions, one for each threshold, with conservative quality estimates.
fn pair_estimates(
    first: &ChainCandidate,
    second: &ChainCandidate,
    goal: &ChainGoal,
) -> Vec<PlanEstimate> {
    if first.latency + second.latency > goal.left {
        return Vec::new();
    }
    let forecasts = first.confidence.forecasts(first.quality.mean);
    let useful = forecasts.filter(|forecast| forecast.kept > 0.0 && forecast.threshold > 0.0);
    let chains = useful.map(|forecast| pair_estimate(first, second, &forecast));
    // A chain that costs more than its last step alone saves nothing.
    chains.filter(|estimate| estimate.plan.cost < second.cost).collect()
}

fn pair_estimate(
    first: &ChainCandidate,
    second: &ChainCandidate,
    forecast: &ThresholdForecast,
) -> PlanEstimate {
    let escalated = 1.0 - forecast.kept;
    let quality = forecast.kept * forecast.quality + escalated * second.quality.mean;
    let deviation = forecast.kept * first.quality.deviation + escalated * second.quality.deviation;
    let micros = second.cost.as_micros() as f64 * escalated;
    let plan = ChainPlan {
        steps: vec![step(first, forecast.threshold), step(second, 0.0)],
        cost: first.cost + Money::from_micros(micros as u64),
        quality,
        latency: first.latency + second.latency,
        explored: false,
    };
    let seconds = first.latency.as_secs_f64() + escalated * second.latency.as_secs_f64();
    PlanEstimate { quality: quality - SAFETY_DEVIATIONS * deviation, seconds, plan }
}

fn escalating(feasible: &[&ChainCandidate], goal: &ChainGoal, threshold: f64) -> Option<ChainPlan> {
    let first = feasible.iter().copied().min_by_key(|candidate| candidate.cost)?;
    let last = most_expensive(feasible)?;
    let latency = first.latency + last.latency;
    if first.version == last.version || latency > goal.left {
        return Some(single(last));
    }
    let steps = vec![step(first, threshold), step(last, 0.0)];
    let cost = first.cost + last.cost;
    Some(ChainPlan { steps, cost, quality: last.quality.mean, latency, explored: false })
}

/// A plan for a version outside the best plan that may meet the target, given the uncertainty of
/// its quality estimate.
fn explore(
    feasible: &[&ChainCandidate],
    goal: &ChainGoal,
    best: &ChainPlan,
    random: u64,
) -> Option<ChainPlan> {
    let target = goal.quality.get();
    let planned = |candidate: &ChainCandidate| {
        best.steps.iter().any(|step| step.version == candidate.version)
    };
    let may_meet_target = |candidate: &ChainCandidate| {
        candidate.quality.mean + EXPLORE_DEVIATIONS * candidate.quality.deviation >= target
    };
    let explorable: Vec<_> = feasible
        .iter()
        .filter(|candidate| !planned(candidate) && may_meet_target(candidate))
        .collect();
    if explorable.is_empty() {
        return None;
    }
    let index = (unit_point(mix(random ^ 1)) * explorable.len() as f64) as usize;
    let mut plan = single(explorable[index.min(explorable.len() - 1)]);
    plan.explored = true;
    Some(plan)
}
