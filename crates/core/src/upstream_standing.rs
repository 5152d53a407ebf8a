//! Whether upstreams still want requests of this host, as they say themselves in their answers.
//!
//! That one incarnation is leaving does not apply to the next one under the same name.

use crate::ids::{Incarnation, UpstreamName};
use crate::retry_after::RetryAfter;
use crate::units::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of upstreams that are remembered; above what deployments have.
const MAX_STANDINGS: usize = 4_096;
/// Time for which another host's report that an upstream is leaving counts. It is repeated while
/// the upstream gives answers.
const REPORTED_TIME: Duration = Duration::from_secs(10);
/// Time for which a pause also holds for a later incarnation than those that may have asked for it.
const CARRIED_TIME: Duration = Duration::from_secs(5);
/// Time for which a statement about leaving holds for later incarnations than the known one. It is
/// bounded because the clock that told which incarnations may have made it may have been wrong.
const LEAVING_TIME: Duration = Duration::from_secs(60);

/// The incarnations of an upstream that an answer may be of: an upstream that has restarted answers
/// before this host learns of its new start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerOrigin {
    /// The incarnation to which the request was addressed.
    pub known: Incarnation,
    /// The latest one that may have answered: it had started when the connection was opened.
    pub latest: Incarnation,
}

impl AnswerOrigin {
    /// Answers of exactly one incarnation.
    #[must_use]
    pub const fn only(incarnation: Incarnation) -> Self {
        Self { known: incarnation, latest: incarnation }
    }

    fn includes(&self, incarnation: Incarnation) -> bool {
        incarnation <= self.known.max(self.latest)
    }
}

/// Whether an upstream wants requests of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// It does.
    Open,
    /// Another host heard that it is leaving; use it only if there is no other.
    Reported,
    /// Not before this time.
    Paused(Timestamp),
    /// It told this host that it is leaving.
    Leaving,
}

#[derive(Clone, Copy, Debug)]
struct LeavingStatement {
    origin: AnswerOrigin,
    since: Timestamp,
}

impl LeavingStatement {
    fn applies_to(&self, incarnation: Incarnation, now: Timestamp) -> bool {
        let is_recent = now.since(self.since) < LEAVING_TIME;
        incarnation <= self.origin.known || (is_recent && self.origin.includes(incarnation))
    }
}

#[derive(Clone, Copy, Debug)]
struct PauseRequest {
    origin: AnswerOrigin,
    asked: Timestamp,
    end: Timestamp,
}

impl PauseRequest {
    /// When the pause ends for an incarnation.
    fn end_for(&self, incarnation: Incarnation) -> Timestamp {
        let carried_end = self.end.min(self.asked + CARRIED_TIME);
        if self.origin.includes(incarnation) { self.end } else { carried_end }
    }
}

#[derive(Clone, Copy, Debug)]
struct UpstreamStanding {
    incarnation: Incarnation,
    leaving: Option<LeavingStatement>,
    reported_at: Option<Timestamp>,
    pause: Option<PauseRequest>,
    updated_at: Timestamp,
}

/// What upstreams said about whether they want requests of this host.
///
/// ```
/// use oleander_core::ids::{Incarnation, UpstreamName};
/// use oleander_core::units::Timestamp;
/// use oleander_core::upstream_standing::{AnswerOrigin, SendPermission, StandingTable};
///
/// let runner = UpstreamName::new("runner-1").unwrap();
/// let (first, second) = (Incarnation::new(1), Incarnation::new(2));
/// let now = Timestamp::from_millis(1_000);
/// let mut table = StandingTable::new();
/// table.pause(&runner, AnswerOrigin::only(first), "1.5".parse().unwrap(), now);
/// let end = Timestamp::from_millis(2_500);
/// assert_eq!(table.permission(&runner, first, now), SendPermission::Paused(end));
/// assert_eq!(table.permission(&runner, first, end), SendPermission::Open);
/// assert!(table.mark_leaving(&runner, AnswerOrigin::only(first), now));
/// assert_eq!(table.permission(&runner, first, end), SendPermission::Leaving);
/// assert_eq!(table.permission(&runner, second, end), SendPermission::Open);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StandingTable {
    standings: HashMap<UpstreamName, UpstreamStanding>,
}

impl StandingTable {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no upstream said anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.standings.is_empty()
    }

    /// Records that an upstream said in an answer to this host that it is leaving; `true` when this
    /// was not known.
    pub fn mark_leaving(
        &mut self,
        upstream: &UpstreamName,
        origin: AnswerOrigin,
        now: Timestamp,
    ) -> bool {
        let Some(standing) = self.standing(upstream, origin, now) else { return false };
        let incarnation = standing.incarnation;
        let earlier = standing.leaving.filter(|earlier| earlier.applies_to(incarnation, now));
        let mut statement = LeavingStatement { origin, since: now };
        if let Some(earlier) = earlier {
            statement.origin.known = earlier.origin.known.max(origin.known);
            statement.origin.latest = earlier.origin.latest.max(origin.latest);
            statement.since = earlier.since;
        }
        standing.leaving = Some(statement);
        earlier.is_none()
    }

    /// Records that another host heard that an upstream is leaving.
    pub fn report_leaving(
        &mut self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        let origin = AnswerOrigin::only(incarnation);
        if let Some(standing) = self.standing(upstream, origin, now) {
            standing.reported_at = Some(now);
        }
    }

    /// Records that an upstream wants no requests for a time. A pause that ends later stays.
    pub fn pause(
        &mut self,
        upstream: &UpstreamName,
        origin: AnswerOrigin,
        pause: RetryAfter,
        now: Timestamp,
    ) {
        if let Some(standing) = self.standing(upstream, origin, now) {
            let incarnation = standing.incarnation;
            let known_end = standing.pause.map_or(now, |known| known.end_for(incarnation));
            let end = known_end.max(now + pause.get());
            standing.pause = Some(PauseRequest { origin, asked: now, end });
        }
    }

    /// Whether this host may send a request to an upstream.
    #[must_use]
    pub fn permission(
        &self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> SendPermission {
        let found = self.standings.get(upstream);
        let Some(standing) = found else { return SendPermission::Open };
        let pause = standing.pause.map(|pause| pause.end_for(incarnation));
        let pause = pause.filter(|end| now < *end).map(SendPermission::Paused);
        // An unknown incarnation may be the one that spoke.
        if standing.leaving.is_some_and(|leaving| leaving.applies_to(incarnation, now)) {
            return SendPermission::Leaving;
        }
        if let Some(pause) = pause {
            return pause;
        }
        let is_reported = incarnation <= standing.incarnation
            && standing.reported_at.is_some_and(|at| now.since(at) < REPORTED_TIME);
        if is_reported { SendPermission::Reported } else { SendPermission::Open }
    }

    /// Upstreams that told this host within `age` that they are leaving.
    pub fn recently_leaving(
        &self,
        age: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = (&UpstreamName, Incarnation)> {
        self.standings.iter().filter_map(move |(name, standing)| {
            let leaving = standing.leaving.filter(|leaving| now.since(leaving.since) <= age)?;
            Some((name, leaving.origin.known))
        })
    }

    /// Forgets upstreams without a known incarnation for which `keep` is false. A later upstream of
    /// the same name cannot be told from them.
    pub fn retain_listed(&mut self, keep: impl Fn(&UpstreamName) -> bool) {
        let unknown = Incarnation::new(0);
        self.standings.retain(|name, standing| standing.incarnation != unknown || keep(name));
    }

    /// The standing to which an answer applies, begun anew for a later incarnation; `None` if it is
    /// of an earlier one.
    fn standing(
        &mut self,
        upstream: &UpstreamName,
        origin: AnswerOrigin,
        now: Timestamp,
    ) -> Option<&mut UpstreamStanding> {
        if !self.standings.contains_key(upstream) && self.standings.len() >= MAX_STANDINGS {
            self.remove_oldest();
        }
        let fresh = UpstreamStanding {
            incarnation: origin.known,
            leaving: None,
            reported_at: None,
            pause: None,
            updated_at: now,
        };
        let standing = self.standings.entry(upstream.clone()).or_insert(fresh);
        if !origin.includes(standing.incarnation) {
            return None;
        }
        if standing.incarnation < origin.known {
            *standing =
                UpstreamStanding { leaving: standing.leaving, pause: standing.pause, ..fresh };
        }
        standing.updated_at = now;
        Some(standing)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.standings.iter().min_by_key(|(_, standing)| standing.updated_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.standings.remove(&name);
        }
    }
}
