//! Whether a pending attempt that is late is abandoned for another upstream.
//!
//! Load it addresses: demand above what the upstreams of a service can read, where most attempts are
//! late at once. An attempt that is abandoned then loses the time that it has waited, waits as long
//! elsewhere, and its prompt is read twice. A single slow upstream among idle ones is left, as soon
//! as the attempt is late.
//!
//! The share of upstreams that are late is taken over all of them that have a recent report, from
//! answers to any host, and from attempts of this host that are still pending. The chance to
//! leave falls with that share and is zero where half of them are late: the others would then get as
//! much work again as they have. A chance keeps hosts that read the same reports from all leaving, or
//! all staying, at the same moment.

use std::time::Duration;

/// Share of late upstreams from which no attempt is abandoned.
const OVERLOAD_SHARE: f64 = 0.5;
/// Share of the time that an attempt has waited which another answer of its upstream must have taken to
/// show a queue that moves, rather than an attempt that is lost in it.
const QUEUE_SHARE: f64 = 0.5;

/// How long an upstream lets requests wait for their response headers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedWait {
    /// The wait, as of the report.
    pub wait: Duration,
    /// How much the report counts, from 1 for a new one to 0.
    pub weight: f64,
}

/// An upstream that a pending attempt may be sent to instead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendCandidate {
    /// The wait expected there, as far as this host knows now.
    pub wait: Duration,
    /// The latest report, if there is one.
    pub reported: Option<ReportedWait>,
    /// Whether it has free slots.
    pub is_free: bool,
}

/// An attempt whose response headers are late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// Time since it was sent.
    pub waited: Duration,
    /// Wait of another answer of its upstream that arrived since the attempt was sent.
    pub reported: Option<Duration>,
    /// Time left for an answer to begin.
    pub time_left: Duration,
}

impl PendingAttempt {
    /// Expected wait at its upstream from now on. Where other answers come as late as this one, the
    /// queue moves and the time already waited counts; otherwise the attempt may be lost there, and is
    /// expected to take as long again.
    fn remaining(&self) -> Duration {
        let queue = self.reported.filter(|wait| *wait >= self.waited.mul_f64(QUEUE_SHARE));
        queue.map_or(self.waited, |wait| wait.saturating_sub(self.waited))
    }
}

/// Weighs abandoning a pending attempt against letting it wait.
///
/// ```
/// use oleander_core::resend_choice::*;
/// use std::time::Duration;
///
/// let upstream = |ms| {
///     let wait = Duration::from_millis(ms);
///     ResendCandidate { wait, reported: Some(ReportedWait { wait, weight: 1.0 }), is_free: true }
/// };
/// let pending = PendingAttempt {
///     waited: Duration::from_millis(1_200),
///     reported: None,
///     time_left: Duration::from_secs(8),
/// };
/// let limit = Duration::from_millis(500);
/// assert!(ResendChoice::new(limit, vec![upstream(50); 3]).pays(&pending, 0.9));
/// let mostly_late = vec![upstream(50), upstream(900), upstream(1_100)];
/// assert!(!ResendChoice::new(limit, mostly_late).pays(&pending, 0.1));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct ResendChoice {
    limit: Duration,
    candidates: Vec<ResendCandidate>,
}

impl ResendChoice {
    /// Among these upstreams, of which one must be expected to answer within `limit`.
    #[must_use]
    pub const fn new(limit: Duration, candidates: Vec<ResendCandidate>) -> Self {
        Self { limit, candidates }
    }

    /// Share of the upstreams with a report that are late or have no free slots; zero without reports.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        let (mut late, mut known) = (0.0, 0.0);
        for candidate in &self.candidates {
            let Some(reported) = candidate.reported else { continue };
            known += reported.weight;
            if reported.wait > self.limit || !candidate.is_free {
                late += reported.weight;
            }
        }
        if known > 0.0 { late / known } else { 0.0 }
    }

    /// Whether the attempt is abandoned; `random` is a number from 0 to 1.
    #[must_use]
    pub fn pays(&self, pending: &PendingAttempt, random: f64) -> bool {
        let is_sooner = |wait: Duration| {
            wait <= self.limit.min(pending.time_left) && wait < pending.remaining()
        };
        let chance = 1.0 - self.late_share() / OVERLOAD_SHARE;
        let free = self.candidates.iter().filter(|candidate| candidate.is_free);
        free.map(|candidate| candidate.wait).any(is_sooner) && random < chance
    }
}
