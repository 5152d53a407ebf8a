//! The steps of a roll-out.

use crate::catalog::objects::{Policy, Rollout, RolloutPhase};
use crate::stable_hash::{hash_parts, unit_point};
use crate::units::Timestamp;
use std::sync::Arc;

/// Stable point in 0..1 of a session, request or account; a roll-out's step serves the new
/// version to the points below its share. No host has to ask another.
#[must_use]
pub fn session_point(key: &str) -> f64 {
    unit_point(hash_parts(&["rollout", key]))
}

/// What the driver knows about the new version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutEvidence {
    /// Ratings of the new version since the roll-out began.
    pub ratings: u32,
    /// Whether detection says that the new version is worse.
    pub alarmed: bool,
    /// Whether the new version was withdrawn by someone else.
    pub withdrawn: bool,
}

/// What to do with a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutDecision {
    /// Leave it as it is, for the stated reason.
    Hold(Arc<str>),
    /// Take this step.
    Advance(u32),
    /// Make the new version current.
    Complete,
    /// Withdraw the new version, for the stated reason.
    RollBack(Arc<str>),
}

/// Decides the next step of a roll-out whose step is in force since `step_since`.
///
/// Before any rating is in, a step whose share is above `policy.unrated_share` is not taken.
#[must_use]
pub fn decide_step(
    rollout: &Rollout,
    evidence: &RolloutEvidence,
    step_since: Timestamp,
    now: Timestamp,
    policy: &Policy,
) -> RolloutDecision {
    if rollout.phase != RolloutPhase::Running && rollout.phase != RolloutPhase::Paused {
        return RolloutDecision::Hold(Arc::from("the roll-out is over"));
    }
    if evidence.alarmed {
        return RolloutDecision::RollBack(Arc::from("its ratings fell"));
    }
    if evidence.withdrawn {
        return RolloutDecision::RollBack(Arc::from("the new version was withdrawn"));
    }
    if rollout.phase == RolloutPhase::Paused {
        return RolloutDecision::Hold(Arc::from("it is paused"));
    }
    let Some(step) = rollout.steps.get(rollout.step as usize) else {
        return advance(rollout, evidence, policy);
    };
    if now.since(step_since) < step.hold.as_duration() {
        return RolloutDecision::Hold(Arc::from("the step's time is not over"));
    }
    if evidence.ratings < step.ratings {
        let text = format!("{} of {} ratings are in", evidence.ratings, step.ratings);
        return RolloutDecision::Hold(Arc::from(text));
    }
    advance(rollout, evidence, policy)
}

fn advance(rollout: &Rollout, evidence: &RolloutEvidence, policy: &Policy) -> RolloutDecision {
    let next = rollout.step + 1;
    let step = rollout.steps.get(next as usize);
    // A completed roll-out serves the new version to everyone.
    let share = step.map_or(1.0, |step| step.share);
    if evidence.ratings == 0 && share > policy.unrated_share {
        return RolloutDecision::Hold(Arc::from("no rating is in yet"));
    }
    if step.is_some() { RolloutDecision::Advance(next) } else { RolloutDecision::Complete }
}

/// Share of new sessions that the new version gets in the step in force: the step's share,
/// capped by `policy.unrated_share` while the version has no ratings.
///
/// ```
/// use oleander_core::catalog::objects::Policy;
/// use oleander_core::rollout::exposure_share;
///
/// let policy = Policy::default();
/// assert_eq!(exposure_share(0.5, 0, &policy), policy.unrated_share);
/// assert_eq!(exposure_share(0.5, 40, &policy), 0.5);
/// ```
#[must_use]
pub fn exposure_share(step_share: f64, ratings: u32, policy: &Policy) -> f64 {
    if ratings == 0 { step_share.min(policy.unrated_share) } else { step_share }
}
