//! Decisions about the steps of a rollout.

use crate::catalog::objects::{Policy, Rollout, RolloutPhase};
use crate::stable_hash::{hash_parts, unit_point};
use crate::units::Timestamp;
use std::sync::Arc;

/// Stable hash in 0..1 of a session, request or account. A rollout step serves the new version
/// to the points below its share, so that all hosts decide alike without communication.
#[must_use]
pub fn session_point(key: &str) -> f64 {
    unit_point(hash_parts(&["rollout", key]))
}

/// Evidence about the new version of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutEvidence {
    /// Ratings of the new version since the rollout began.
    pub ratings: u32,
    /// Whether a detection test has found the new version worse.
    pub alarmed: bool,
    /// Whether the new version was withdrawn independently of the rollout.
    pub withdrawn: bool,
}

/// The next action on a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutDecision {
    /// Stay at the current step, for the given reason.
    Hold(Arc<str>),
    /// Advance to this step.
    Advance(u32),
    /// Complete the rollout: make the new version current.
    Complete,
    /// Withdraw the new version, for the given reason.
    RollBack(Arc<str>),
}

/// Decides on a rollout whose current step began at `step_since`.
///
/// Without any rating, the rollout does not advance to a step whose share is above
/// `policy.unrated_share`.
#[must_use]
pub fn decide_step(
    rollout: &Rollout,
    evidence: &RolloutEvidence,
    step_since: Timestamp,
    now: Timestamp,
    policy: &Policy,
) -> RolloutDecision {
    if rollout.phase != RolloutPhase::Running && rollout.phase != RolloutPhase::Paused {
        return RolloutDecision::Hold(Arc::from("the rollout has ended"));
    }
    if evidence.alarmed {
        return RolloutDecision::RollBack(Arc::from("its ratings fell"));
    }
    if evidence.withdrawn {
        return RolloutDecision::RollBack(Arc::from("the new version was withdrawn"));
    }
    if rollout.phase == RolloutPhase::Paused {
        return RolloutDecision::Hold(Arc::from("the rollout is paused"));
    }
    let Some(step) = rollout.steps.get(rollout.step as usize) else {
        return advance(rollout, evidence, policy);
    };
    if now.since(step_since) < step.hold.as_duration() {
        return RolloutDecision::Hold(Arc::from("the hold time of the step has not passed"));
    }
    if evidence.ratings < step.ratings {
        let text = format!("{} of {} required ratings received", evidence.ratings, step.ratings);
        return RolloutDecision::Hold(Arc::from(text));
    }
    advance(rollout, evidence, policy)
}

fn advance(rollout: &Rollout, evidence: &RolloutEvidence, policy: &Policy) -> RolloutDecision {
    let next = rollout.step + 1;
    let step = rollout.steps.get(next as usize);
    // A completed rollout serves the new version to all sessions.
    let share = step.map_or(1.0, |step| step.share);
    if evidence.ratings == 0 && share > policy.unrated_share {
        return RolloutDecision::Hold(Arc::from("no rating received yet"));
    }
    if step.is_some() { RolloutDecision::Advance(next) } else { RolloutDecision::Complete }
}

/// Share of new sessions sent to the new version in the current step: the step's share, capped
/// at `policy.unrated_share` while the version has no ratings.
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
