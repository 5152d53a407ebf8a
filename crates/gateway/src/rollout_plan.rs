//! Decides when the rollout of a new version advances, completes or is reverted.
//!
//! A new version first gets a small, constant share of sessions. A bad version may fail late, under
//! load or on one route only, so the share stays small until the remaining exposure allowance
//! covers all traffic for the rest of the time. Then all new work moves, and the rollout completes
//! before its deadline, once the old upstreams have drained.

use oleander_core::ids::ServiceName;
use oleander_core::rollout::session_point;
use oleander_core::store_era::StoreRevision;
use oleander_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Maximum initial share of sessions for the new version.
const MAX_CANARY_SHARE: f64 = 0.06;
/// Minimum initial share.
const MIN_CANARY_SHARE: f64 = 0.005;
/// Canary request rate that is enough to judge a version within seconds. A higher rate only
/// increases exposure and moves more running sessions when the rollout begins, each of which
/// changes its version once, whichever host serves it.
const CANARY_REQUESTS_PER_SECOND: f64 = 12.0;
/// Load of the upstreams that a canary uses, relative to the mean load in normal work: that of a busy
/// one.
const CANARY_LOAD: f64 = 1.5;
/// Time after which a canary's requests go to other upstreams first, so that none decides alone.
/// Longer than most answers, so that an upstream reaches its full load meanwhile.
const CANARY_PERIOD: Duration = Duration::from_secs(8);
const PER_MILLE: f64 = 1_000.0;
/// Time before the deadline at which a rollout is completed. Covers a conditional write to a store
/// that is sixty times slower than usual (540 ms), 200 ms until it is due and a reserve.
pub const FINISH_MARGIN: Duration = Duration::from_millis(1_050);
/// Share of a rollout's duration that the margin takes at most, so that a short one has time left
/// for its canary.
const MAX_FINISH_SHARE: f64 = 1.0 / 12.0;
/// Share of the exposure allowance that is planned for; the rest covers hosts that learn of a
/// decision late.
const PLANNED_ALLOWANCE_SHARE: f64 = 0.9;
/// Minimum time between moving all work and completion, in which all hosts learn of the move and
/// short answers on old upstreams finish.
pub const MIN_MOVE_TIME: Duration = Duration::from_millis(300);
/// Maximum time between them; once the answers on old upstreams have finished, more time gains
/// nothing.
const MAX_MOVE_TIME: Duration = Duration::from_secs(6);

/// Time before its deadline at which a rollout of `duration` is completed.
///
/// ```
/// use oleander_gateway::rollout_plan::{FINISH_MARGIN, finish_margin};
/// use std::time::Duration;
///
/// assert_eq!(finish_margin(Duration::from_secs(24)), FINISH_MARGIN);
/// assert_eq!(finish_margin(Duration::from_secs(6)), Duration::from_millis(500));
/// ```
#[must_use]
pub fn finish_margin(duration: Duration) -> Duration {
    FINISH_MARGIN.min(duration.mul_f64(MAX_FINISH_SHARE))
}

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub to: Arc<str>,
    /// Time within which the rollout must be over.
    pub duration: Duration,
    /// Revision of the order's row, which identifies it.
    pub revision: StoreRevision,
}

impl RolloutOrder {
    /// Whether `other` asks for the same, as a row does that is written again.
    #[must_use]
    pub fn has_content_of(&self, other: &Self) -> bool {
        (&self.service, &self.to, self.duration) == (&other.service, &other.to, other.duration)
    }
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The new version gets a small share of sessions.
    Canary,
    /// All new work goes to the new version; old upstreams finish their work in flight.
    Moving,
    /// Completed: only the new version is in use.
    Done,
    /// Reverted: the new version gets no more requests.
    Reverted,
}

impl RolloutPhase {
    /// Whether the rollout is over.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::Reverted)
    }

    /// Position in the course of a rollout, which never goes back.
    const fn rank(self) -> u8 {
        match self {
            Self::Canary => 0,
            Self::Moving => 1,
            Self::Done | Self::Reverted => 2,
        }
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

/// The decision on a rollout that all hosts follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutDecision {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub to: Arc<str>,
    /// Revision of the order's row when the rollout began. An order that is written again after
    /// the store came back from an older copy has a later one.
    pub order: StoreRevision,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Start of the rollout, on the store's monotonic clock.
    pub began: Timestamp,
    /// When all work moved to the new version, on the same clock.
    pub moved: Option<Timestamp>,
    /// Initial share of sessions for the new version, in thousandths.
    pub canary: u16,
    /// Versions that earlier orders asked for and that did not come into use; latest last. They
    /// get no requests, although their upstreams may still be listed.
    pub withdrawn: Vec<Arc<str>>,
}

impl RolloutDecision {
    /// Whether this is a decision on `order`: on this row, or on one of an earlier era of the store
    /// that asked for the same version.
    #[must_use]
    pub fn is_on(&self, order: &RolloutOrder) -> bool {
        let is_same_row = self.order == order.revision;
        is_same_row || (self.to == order.to && self.order.era != order.revision.era)
    }

    /// Whether `found` is an earlier state of the same rollout, or of an earlier one.
    #[must_use]
    pub fn supersedes(&self, found: &Self) -> bool {
        let is_same_rollout = self.order == found.order;
        let is_later_phase = self.phase.rank() > found.phase.rank();
        (is_same_rollout && is_later_phase) || self.order > found.order
    }
}

/// Initial share of sessions for the new version, in thousandths, of a rollout of `duration` at a
/// given request rate: what the exposure allowance leaves beside the shortest move of all work and
/// the time from completion to the deadline.
///
/// ```
/// use oleander_gateway::rollout_plan::{ExposureBound, canary_share};
/// use std::time::Duration;
///
/// let bound = ExposureBound { share: 0.15, slack: 30.0 };
/// assert_eq!(canary_share(45.0, Duration::from_secs(24), &bound), 60);
/// assert_eq!(canary_share(400.0, Duration::from_secs(24), &bound), 30);
/// assert_eq!(canary_share(800.0, Duration::from_secs(12), &bound), 15);
/// ```
#[must_use]
pub fn canary_share(requests_per_second: f64, duration: Duration, bound: &ExposureBound) -> u16 {
    let rate = requests_per_second.max(1.0);
    let all_work = (finish_margin(duration) + MIN_MOVE_TIME).as_secs_f64();
    let canary_time = (duration.as_secs_f64() - all_work).max(1.0);
    let allowed = bound.planned_allowance(rate * duration.as_secs_f64()) - rate * all_work;
    let share = (CANARY_REQUESTS_PER_SECOND / rate).min(allowed / (rate * canary_time));
    (share.clamp(MIN_CANARY_SHARE, MAX_CANARY_SHARE) * PER_MILLE) as u16
}

/// Number of the `upstreams` of a version that its canary uses at a time, so that they have the load
/// of busy ones in normal work. `share` is that of its sessions, in thousandths. Spread over all of
/// them, a canary would load none, and a version may be bad only under load.
///
/// ```
/// use oleander_gateway::rollout_plan::canary_upstreams;
///
/// assert_eq!(canary_upstreams(60, 9), 1);
/// assert_eq!(canary_upstreams(31, 60), 1);
/// assert_eq!(canary_upstreams(31, 90), 2);
/// assert_eq!(canary_upstreams(31, 0), 0);
/// ```
#[must_use]
pub fn canary_upstreams(share: u16, upstreams: usize) -> usize {
    let used = (f64::from(share) / PER_MILLE * upstreams as f64 / CANARY_LOAD).round();
    (used as usize).clamp(1, upstreams.max(1)).min(upstreams)
}

/// Restricts the upstreams of a request by their version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version.
    Any,
    /// This version; another one only where it has no upstream.
    Prefer(Arc<str>),
    /// This version, on the upstreams that its canary uses; another one only where it has none.
    Canary {
        /// The version.
        to: Arc<str>,
        /// Share of sessions that the version gets, in thousandths.
        share: u16,
        /// Number of periods since the rollout began; each has other upstreams.
        period: u64,
    },
    /// Any version but this one.
    Not(Arc<str>),
}

impl VersionRule {
    /// Whether the rule permits a version at all.
    #[must_use]
    pub fn permits(&self, version: &str) -> bool {
        !matches!(self, Self::Not(excluded) if **excluded == *version)
    }

    /// Whether the rule prefers a version to others.
    #[must_use]
    pub fn prefers(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Prefer(preferred) | Self::Canary { to: preferred, .. } => **preferred == *version,
            Self::Not(excluded) => **excluded != *version,
        }
    }
}

/// The rule for a request of `session` at `now` while `order` is in force, on the store's monotonic
/// clock. `last_version` is the version that the session used most recently, if known; a canary
/// does not move such a session.
///
/// ```
/// use oleander_core::ids::ServiceName;
/// use oleander_core::store_era::{StoreEra, StoreRevision};
/// use oleander_core::units::Timestamp;
/// use oleander_gateway::rollout_plan::*;
/// use std::time::Duration;
///
/// let service = ServiceName::new("writer").unwrap();
/// let order = RolloutOrder {
///     service: service.clone(),
///     to: "v2".into(),
///     duration: Duration::from_secs(24),
///     revision: StoreRevision::new(StoreEra::default(), 7),
/// };
/// let now = Timestamp::from_millis(30_000);
/// assert_eq!(version_rule(&order, None, "van-1", None, now), VersionRule::Not("v2".into()));
/// let decision = RolloutDecision {
///     service,
///     to: "v2".into(),
///     order: order.revision,
///     phase: RolloutPhase::Done,
///     began: Timestamp::from_millis(0),
///     moved: None,
///     canary: 80,
///     withdrawn: Vec::new(),
/// };
/// assert_eq!(
///     version_rule(&order, Some(&decision), "van-1", None, now),
///     VersionRule::Prefer("v2".into())
/// );
/// ```
#[must_use]
pub fn version_rule(
    order: &RolloutOrder,
    decision: Option<&RolloutDecision>,
    session: &str,
    last_version: Option<&str>,
    now: Timestamp,
) -> VersionRule {
    let to = Arc::clone(&order.to);
    let Some(decision) = decision.filter(|decision| decision.is_on(order)) else {
        return VersionRule::Not(to);
    };
    match decision.phase {
        RolloutPhase::Reverted => VersionRule::Not(to),
        RolloutPhase::Canary => {
            let drawn = session_point(session) < f64::from(decision.canary) / PER_MILLE;
            let is_new = last_version.map_or(drawn, |version| *version == *to);
            let periods = now.since(decision.began).as_millis() / CANARY_PERIOD.as_millis();
            let period = u64::try_from(periods).unwrap_or(u64::MAX);
            let share = decision.canary;
            if is_new { VersionRule::Canary { to, share, period } } else { VersionRule::Not(to) }
        }
        RolloutPhase::Moving | RolloutPhase::Done => VersionRule::Prefer(to),
    }
}

/// Maximum exposure to a version that turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of the service's requests between the order and its deadline.
    pub share: f64,
    /// Requests allowed in addition to that share.
    pub slack: f64,
}

impl ExposureBound {
    /// Requests that a new version is planned to get at most, of `requests` to its service between
    /// the order and its deadline.
    fn planned_allowance(&self, requests: f64) -> f64 {
        (self.share * requests + self.slack) * PLANNED_ALLOWANCE_SHARE
    }
}

/// Evidence that the next phase is decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepEvidence {
    /// Time since the rollout began.
    pub elapsed: Duration,
    /// Time since all work moved to the new version.
    pub since_move: Option<Duration>,
    /// Requests to the service since then.
    pub requests: u64,
    /// Requests of those that went to the new version.
    pub exposed: u64,
    /// Whether the new version is worse than the old one.
    pub alarmed: bool,
    /// Whether bad or missing answers on some route make it likely that the version is bad there,
    /// without being enough for an alarm.
    pub doubtful: bool,
    /// Whether it is doubtful because of bad answers rather than missing ones alone.
    pub suspected: bool,
}

/// The next phase with its reason, or `None` to stay.
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
    let left = duration.saturating_sub(finish_margin(duration)).saturating_sub(evidence.elapsed);
    let is_over = left.is_zero();
    let was_moved = evidence.since_move.is_some_and(|since| since >= MIN_MOVE_TIME);
    match phase {
        RolloutPhase::Canary if left > move_time(duration, evidence, bound) => None,
        RolloutPhase::Canary if evidence.suspected => {
            Some((RolloutPhase::Reverted, "too many bad answers on some route to move"))
        }
        // Missing answers are no obstacle: the move provides them within the exposure allowance.
        RolloutPhase::Canary => {
            Some((RolloutPhase::Moving, "the allowance covers the remaining time"))
        }
        _ if !is_over || !was_moved => None,
        // Completion cannot be reverted, since the old upstreams are gone by then.
        _ if evidence.doubtful || evidence.suspected => Some((
            RolloutPhase::Reverted,
            "too few or too bad answers on some route to complete the rollout",
        )),
        _ => Some((RolloutPhase::Done, "no regression detected")),
    }
}

/// Time before completion at which all work moves: as long as the exposure allowance covers sending
/// all requests to the new version. An alarm ends the move much sooner.
fn move_time(duration: Duration, evidence: &StepEvidence, bound: &ExposureBound) -> Duration {
    let elapsed = evidence.elapsed.as_secs_f64().max(1.0);
    let rate = evidence.requests as f64 / elapsed;
    let allowance = bound.planned_allowance(rate * duration.as_secs_f64());
    // A version that is completed gets all requests until the deadline.
    let after_completion = rate * finish_margin(duration).as_secs_f64();
    let left = (allowance - after_completion - evidence.exposed as f64).max(0.0);
    let seconds = if rate > 0.0 { left / rate } else { f64::INFINITY };
    let covered = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_MOVE_TIME);
    covered.clamp(MIN_MOVE_TIME, MAX_MOVE_TIME).min(duration / 2)
}
