//! When a roll-out of a new version goes on, ends or is taken back.
//!
//! A new version first gets a small, constant share of sessions. A bad one may show it late,
//! under load or on one route only, so the share stays small until what the deployment allows a
//! bad version to get covers all traffic for the rest of the time. Then all new work moves, and
//! the roll-out ends before its deadline, when the old upstreams have no work left.

use oleander_core::ids::ServiceName;
use oleander_core::rollout::session_point;
use oleander_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Largest share of sessions that the new version gets first: half of the least share
/// (0.12 to 0.15) that deployments allow a bad version, since it also gets all requests at the end.
const CANARY_SHARE: f64 = 0.06;
/// Least such share.
const MIN_CANARY_SHARE: f64 = 0.005;
/// Requests a second that are enough to judge a version within seconds. More of them only
/// expose more, and move more sessions that run when the roll-out begins: each of those changes
/// its version once, whichever host sees it.
const CANARY_REQUESTS_PER_SECOND: f64 = 6.0;
const PER_MILLE: f64 = 1_000.0;
/// Time before the deadline at which a roll-out is ended: a conditional write at a store that
/// answers sixty times as slowly as usual (540 ms), the 200 ms after which an order may be seen,
/// the 500 ms over which hosts spread their looks, and some.
pub const FINISH_MARGIN: Duration = Duration::from_millis(1_400);
/// Part of the allowance that is used by plan; the rest is for hosts that learn late.
const PLANNED_ALLOWANCE_SHARE: f64 = 0.75;
/// Part of it that a short roll-out may use, so that its move is not too short.
const MAX_ALLOWANCE_SHARE: f64 = 0.85;
/// Least time, where the allowance covers it, between moving all work and the end, so that short answers of old upstreams end.
const MIN_MOVE_TIME: Duration = Duration::from_millis(1_500);
/// Most time between them: longer gains nothing once the answers of old upstreams have ended.
const MAX_MOVE_TIME: Duration = Duration::from_secs(6);

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub to: Arc<str>,
    /// Time within which it must be over.
    pub duration: Duration,
    /// Row version of the order, which names it.
    pub order: u64,
}

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The new version gets a small share of sessions.
    Canary,
    /// All new work goes to the new version; the old upstreams finish what they have.
    Moving,
    /// The new version is the only one.
    Done,
    /// The new version gets nothing more.
    Reverted,
}

impl RolloutPhase {
    /// Whether the roll-out is over.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::Reverted)
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Canary => "canary",
            Self::Moving => "moving",
            Self::Done => "done",
            Self::Reverted => "reverted",
        })
    }
}

/// What was decided on a roll-out, as all hosts read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutDecision {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub to: Arc<str>,
    /// Row version of the order.
    pub order: u64,
    /// Where the roll-out stands.
    pub phase: RolloutPhase,
    /// When it began, on the store's steady clock.
    pub began: Timestamp,
    /// Share of sessions that the new version gets first, in thousandths.
    pub canary: u16,
}

/// Share of sessions for a canary, in thousandths, at a rate of requests.
///
/// ```
/// use oleander_gateway::rollout_plan::canary_share;
///
/// assert_eq!(canary_share(45.0), 60);
/// assert_eq!(canary_share(400.0), 15);
/// ```
#[must_use]
pub fn canary_share(requests_per_second: f64) -> u16 {
    let share = CANARY_REQUESTS_PER_SECOND / requests_per_second.max(1.0);
    (share.clamp(MIN_CANARY_SHARE, CANARY_SHARE) * PER_MILLE) as u16
}

/// Which upstreams a request may go to, by their version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version.
    Any,
    /// This version only; another where it has no upstream.
    Prefer(Arc<str>),
    /// Never this version.
    Not(Arc<str>),
}

impl VersionRule {
    /// Whether the rule lets a version be used at all.
    #[must_use]
    pub fn permits(&self, version: &str) -> bool {
        !matches!(self, Self::Not(excluded) if **excluded == *version)
    }

    /// Whether the rule wants this version rather than another.
    #[must_use]
    pub fn prefers(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Prefer(wanted) => **wanted == *version,
            Self::Not(excluded) => **excluded != *version,
        }
    }
}

/// The rule for a request of `session` while `order` is in force. `last_version` is the version that
/// the session ran on a moment ago, if it is known: a young roll-out does not move it.
///
/// ```
/// use oleander_core::ids::ServiceName;
/// use oleander_core::units::Timestamp;
/// use oleander_gateway::rollout_plan::*;
/// use std::time::Duration;
///
/// let service = ServiceName::new("writer").unwrap();
/// let order = RolloutOrder {
///     service: service.clone(),
///     to: "v2".into(),
///     duration: Duration::from_secs(24),
///     order: 7,
/// };
/// assert_eq!(version_rule(&order, None, "van-1", None), VersionRule::Not("v2".into()));
/// let decision = RolloutDecision {
///     service,
///     to: "v2".into(),
///     order: 7,
///     phase: RolloutPhase::Done,
///     began: Timestamp::from_millis(0),
///     canary: 80,
/// };
/// assert_eq!(version_rule(&order, Some(&decision), "van-1", None), VersionRule::Prefer("v2".into()));
/// ```
#[must_use]
pub fn version_rule(
    order: &RolloutOrder,
    decision: Option<&RolloutDecision>,
    session: &str,
    last_version: Option<&str>,
) -> VersionRule {
    let to = Arc::clone(&order.to);
    let Some(decision) = decision.filter(|decision| decision.order == order.order) else {
        return VersionRule::Not(to);
    };
    match decision.phase {
        RolloutPhase::Reverted => VersionRule::Not(to),
        RolloutPhase::Canary => {
            let drawn = session_point(session) < f64::from(decision.canary) / PER_MILLE;
            let is_new = last_version.map_or(drawn, |version| *version == *to);
            if is_new { VersionRule::Prefer(to) } else { VersionRule::Not(to) }
        }
        RolloutPhase::Moving | RolloutPhase::Done => VersionRule::Prefer(to),
    }
}

/// What a deployment lets a version get that turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of the service's requests between the order and its deadline.
    pub share: f64,
    /// Requests beside that.
    pub slack: f64,
}

/// What is known when a step is decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepEvidence {
    /// Time since the roll-out began.
    pub elapsed: Duration,
    /// Requests that the service got since.
    pub requests: u64,
    /// Those of them that the new version got.
    pub exposed: u64,
    /// Whether the new version is worse than the old one.
    pub alarmed: bool,
    /// Whether its answers on some route, or the lack of them, leave it likely to be bad there,
    /// which is no alarm yet.
    pub doubtful: bool,
    /// Whether it is doubtful for bad answers and not for the lack of answers alone.
    pub suspected: bool,
}

/// The phase to move to, or `None` to stay, with the reason as text.
#[must_use]
pub fn next_phase(
    phase: RolloutPhase,
    duration: Duration,
    evidence: &StepEvidence,
    bound: &ExposureBound,
) -> Option<(RolloutPhase, &'static str)> {
    if phase.is_over() {
        return None;
    }
    if evidence.alarmed {
        return Some((RolloutPhase::Reverted, "the new version answers worse than the old one"));
    }
    let left = duration.saturating_sub(FINISH_MARGIN).saturating_sub(evidence.elapsed);
    let is_over = left.is_zero();
    let moves = phase == RolloutPhase::Canary && left <= move_time(duration, evidence, bound);
    match phase {
        // The end cannot be taken back: the old upstreams are gone then.
        _ if is_over && evidence.doubtful => Some((
            RolloutPhase::Reverted,
            "its answers on some route are too few or too bad to go on",
        )),
        _ if is_over => Some((RolloutPhase::Done, "no worse answer was seen")),
        _ if moves && evidence.suspected => {
            Some((RolloutPhase::Reverted, "its answers on some route are too bad to go on"))
        }
        // Where answers are missing the move brings them, within what a bad version may get.
        _ if moves => Some((RolloutPhase::Moving, "the allowance covers the rest of the time")),
        _ => None,
    }
}

/// Time before the end that the allowance lets all requests go to the new version. It gets them
/// from the end to the deadline too, which the allowance has to cover first.
fn move_time(duration: Duration, evidence: &StepEvidence, bound: &ExposureBound) -> Duration {
    let elapsed = evidence.elapsed.as_secs_f64().max(1.0);
    let rate = evidence.requests as f64 / elapsed;
    let expected = rate * duration.as_secs_f64();
    let allowance = bound.share * expected + bound.slack;
    let covered = |used: f64| {
        let at_the_end = rate * FINISH_MARGIN.as_secs_f64();
        let left = (allowance * used - at_the_end - evidence.exposed as f64).max(0.0);
        let seconds = if rate > 0.0 { left / rate } else { f64::INFINITY };
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_MOVE_TIME)
    };
    let least = MIN_MOVE_TIME.min(covered(MAX_ALLOWANCE_SHARE));
    covered(PLANNED_ALLOWANCE_SHARE).max(least).min(MAX_MOVE_TIME).min(duration / 2)
}
