//! Which versions a request is tried on, in order.
//!
//! The plan is the cheapest chain whose expected quality meets the target and whose expected
//! latency meets the deadline: one version alone, or a cheaper one first whose answer is kept
//! when its confidence reaches a threshold. A small, bounded share of requests explores a
//! version that would not be chosen, so that its estimate can get better.

use crate::admission::MAX_QUEUE_WAIT;
use crate::choice_mode::ChoiceMode;
use crate::confidence::{ConfidenceTable, ThresholdForecast};
use crate::ids::{ModelName, VersionName};
use crate::quality_estimate::QualityEstimate;
use crate::stable_hash::{mix, unit_point};
use crate::units::{Money, Quality};
use std::time::Duration;

/// Deviations of uncertainty that an estimate must have to spare above the target.
const SAFETY_DEVIATIONS: f64 = 1.0;
/// Threshold of confidence that no answer reaches.
pub const ESCALATE_ALL: f64 = 2.0;
/// Most deviations below the target for a version that is worth exploring.
const EXPLORE_DEVIATIONS: f64 = 2.0;

/// One version that may serve the request. Make these with [`crate::chain_input::candidates`].
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
    /// Expected time to the whole answer, queue included.
    pub latency: Duration,
    /// Expected wait for a slot, a part of the latency.
    pub wait: Duration,
    /// What its confidence is worth.
    pub confidence: ConfidenceTable,
}

/// What the chain must meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainGoal {
    /// Quality that answers must reach on average.
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

/// The plan of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainPlan {
    /// The steps, first tried first; the last keeps every answer.
    pub steps: Vec<ChainStep>,
    /// Expected price.
    pub cost: Money,
    /// Expected quality.
    pub quality: f64,
    /// Expected time to the whole answer when every step is taken.
    pub latency: Duration,
    /// Whether the plan explores.
    pub explored: bool,
}

/// Why there is no plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// No version is allowed.
    #[error("no version of the cascade is allowed")]
    NoVersion,
    /// No version can answer within the time left.
    #[error("no allowed version can answer in time; {needed:?} would be enough")]
    DeadlineTooShort {
        /// The least time that would be enough.
        needed: Duration,
    },
}

/// How a chain is planned; the last two are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ChainRule {
    /// The cheapest chain that meets the goal.
    #[default]
    ModelAware,
    /// The costliest version alone.
    AlwaysCostly,
    /// The cheapest version first; the costliest when its confidence is low.
    CheapThenEscalate {
        /// Answers with less confidence are escalated.
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
    /// Plans by a rule, without exploration.
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

    /// Sets the price of a second of expected latency, so that a chain that saves little money
    /// and takes long is not chosen.
    #[must_use]
    pub const fn with_latency_price(mut self, price_per_second: Money) -> Self {
        self.latency_price = price_per_second;
        self
    }

    /// Plans one request. `candidates` go from cheap to costly; `random` decides exploration.
    ///
    /// # Errors
    ///
    /// [`ChainError`] when there is no candidate or none fits the time left.
    pub fn plan(
        &self,
        candidates: &[ChainCandidate],
        goal: &ChainGoal,
        random: u64,
    ) -> Result<ChainPlan, ChainError> {
        let needed = candidates.iter().map(|candidate| candidate.latency).min();
        let needed = needed.ok_or(ChainError::NoVersion)?;
        let fits = |candidate: &&ChainCandidate| candidate.latency <= goal.left;
        let fitting: Vec<&ChainCandidate> = candidates.iter().filter(fits).collect();
        if fitting.is_empty() {
            return Err(ChainError::DeadlineTooShort { needed });
        }
        let plan = match self.rule {
            ChainRule::ModelAware => self.model_aware(&with_room(&fitting), goal, random),
            ChainRule::AlwaysCostly => costliest(&fitting).map(single),
            ChainRule::CheapThenEscalate { threshold } => escalating(&fitting, goal, threshold),
        };
        plan.ok_or(ChainError::NoVersion)
    }

    fn model_aware(
        &self,
        fitting: &[&ChainCandidate],
        goal: &ChainGoal,
        random: u64,
    ) -> Option<ChainPlan> {
        let best = self.cheapest_plan(fitting, goal, random)?;
        if unit_point(mix(random)) >= self.exploration {
            return Some(best);
        }
        Some(explore(fitting, goal, &best, random).unwrap_or(best))
    }

    /// The cheapest plan that meets the target, or the draw between a plan above the target and
    /// a cheaper one below it that meets it on average; the best plan when none meets it.
    fn cheapest_plan(
        &self,
        fitting: &[&ChainCandidate],
        goal: &ChainGoal,
        random: u64,
    ) -> Option<ChainPlan> {
        let plans = sure_plans(fitting, goal);
        let target = goal.quality.get();
        let (above, below): (Vec<&SurePlan>, Vec<&SurePlan>) =
            plans.iter().partition(|plan| plan.quality >= target);
        if above.is_empty() {
            let best = plans.iter().max_by(|a, b| a.quality.total_cmp(&b.quality));
            return best.map(|sure| sure.plan.clone());
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

/// Candidates whose pool has room, so that work goes on to a costlier version rather than being
/// refused; all of them when none has.
fn with_room<'a>(fitting: &[&'a ChainCandidate]) -> Vec<&'a ChainCandidate> {
    let has_room = |candidate: &&ChainCandidate| candidate.wait <= MAX_QUEUE_WAIT;
    let roomy: Vec<_> = fitting.iter().copied().filter(has_room).collect();
    if roomy.is_empty() { fitting.to_vec() } else { roomy }
}

fn sure_plans(fitting: &[&ChainCandidate], goal: &ChainGoal) -> Vec<SurePlan> {
    let mut plans: Vec<SurePlan> = fitting.iter().map(|only| sure_single(only)).collect();
    for first in fitting {
        for second in fitting.iter().filter(|second| second.cost > first.cost) {
            plans.extend(pairs(first, second, goal));
        }
    }
    plans
}

/// A draw between two plans.
struct PlanMixture<'a> {
    upper: &'a SurePlan,
    lower: &'a SurePlan,
    /// Share of requests that take the upper plan.
    share: f64,
}

impl<'a> PlanMixture<'a> {
    /// The mixture of a plan above the target and one below it that just meets it.
    fn new(upper: &'a SurePlan, lower: &'a SurePlan, target: f64) -> Self {
        let share = (target - lower.quality) / (upper.quality - lower.quality);
        Self { upper, lower, share }
    }

    fn price(&self, latency_price: Money) -> f64 {
        let (upper, lower) = (self.upper.price(latency_price), self.lower.price(latency_price));
        self.share * upper + (1.0 - self.share) * lower
    }

    fn draw(&self, random: u64) -> &'a SurePlan {
        if unit_point(mix(random ^ 2)) < self.share { self.upper } else { self.lower }
    }
}

/// A plan with the quality that it reaches with some certainty.
struct SurePlan {
    quality: f64,
    /// Mean latency; the plan's own is that of every step taken.
    seconds: f64,
    plan: ChainPlan,
}

impl SurePlan {
    /// Expected price in millionths, latency included.
    fn price(&self, latency_price: Money) -> f64 {
        self.plan.cost.as_micros() as f64 + self.seconds * latency_price.as_micros() as f64
    }
}

fn sure_single(candidate: &ChainCandidate) -> SurePlan {
    let seconds = candidate.latency.as_secs_f64();
    SurePlan { quality: safe_quality(candidate), seconds, plan: single(candidate) }
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

fn costliest<'a>(fitting: &[&'a ChainCandidate]) -> Option<&'a ChainCandidate> {
    fitting.iter().copied().max_by_key(|candidate| candidate.cost)
}

fn safe_quality(candidate: &ChainCandidate) -> f64 {
    candidate.quality.lower_bound(SAFETY_DEVIATIONS)
}

/// Chains of two, one for each threshold, with the quality that they surely reach.
fn pairs(first: &ChainCandidate, second: &ChainCandidate, goal: &ChainGoal) -> Vec<SurePlan> {
    if first.latency + second.latency > goal.left {
        return Vec::new();
    }
    let forecasts = first.confidence.forecasts(first.quality.mean);
    let useful = forecasts.filter(|forecast| forecast.kept > 0.0 && forecast.threshold > 0.0);
    let chains = useful.map(|forecast| pair(first, second, &forecast));
    // A chain that costs more than its last step alone is no saving.
    chains.filter(|sure| sure.plan.cost < second.cost).collect()
}

fn pair(first: &ChainCandidate, second: &ChainCandidate, forecast: &ThresholdForecast) -> SurePlan {
    let escalated = 1.0 - forecast.kept;
    let quality = forecast.kept * forecast.quality + escalated * second.quality.mean;
    let spread = forecast.kept * first.quality.deviation + escalated * second.quality.deviation;
    let micros = second.cost.as_micros() as f64 * escalated;
    let plan = ChainPlan {
        steps: vec![step(first, forecast.threshold), step(second, 0.0)],
        cost: first.cost + Money::from_micros(micros as u64),
        quality,
        latency: first.latency + second.latency,
        explored: false,
    };
    let seconds = first.latency.as_secs_f64() + escalated * second.latency.as_secs_f64();
    SurePlan { quality: quality - SAFETY_DEVIATIONS * spread, seconds, plan }
}

fn escalating(fitting: &[&ChainCandidate], goal: &ChainGoal, threshold: f64) -> Option<ChainPlan> {
    let cheap = fitting.iter().copied().min_by_key(|candidate| candidate.cost)?;
    let costly = costliest(fitting)?;
    let latency = cheap.latency + costly.latency;
    if cheap.version == costly.version || latency > goal.left {
        return Some(single(costly));
    }
    let steps = vec![step(cheap, threshold), step(costly, 0.0)];
    let cost = cheap.cost + costly.cost;
    Some(ChainPlan { steps, cost, quality: costly.quality.mean, latency, explored: false })
}

/// A version outside the best plan whose estimate is uncertain enough to be worth a look: it
/// is cheaper, and it might meet the target.
fn explore(
    fitting: &[&ChainCandidate],
    goal: &ChainGoal,
    best: &ChainPlan,
    random: u64,
) -> Option<ChainPlan> {
    let target = goal.quality.get();
    let planned = |candidate: &ChainCandidate| {
        best.steps.iter().any(|step| step.version == candidate.version)
    };
    let hopeful = |candidate: &ChainCandidate| {
        candidate.quality.mean + EXPLORE_DEVIATIONS * candidate.quality.deviation >= target
    };
    let worth: Vec<_> =
        fitting.iter().filter(|candidate| !planned(candidate) && hopeful(candidate)).collect();
    if worth.is_empty() {
        return None;
    }
    let index = (unit_point(mix(random ^ 1)) * worth.len() as f64) as usize;
    let mut plan = single(worth[index.min(worth.len() - 1)]);
    plan.explored = true;
    Some(plan)
}
