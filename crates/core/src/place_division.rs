//! Divides the places of brittle upstreams among the hosts.
//!
//! A brittle upstream falls over when it has to turn away too many requests in a second for want of
//! room. What counts is the sum over all hosts, so each host gets a part of the upstream's slots as its
//! *places* and has no more requests in flight there. The order of hosts is that of
//! [`crate::seat_order`], and differs from upstream to upstream.
//!
//! Where hosts outnumber the slots of a service, some get one place more than there are slots, as few as
//! the upstream can turn away at once, for as long as it turns nobody away. Hosts tell each other which
//! upstreams are brittle and when one turned requests away; for a while after that there are fewer
//! places.

use crate::limit_division::LimitKey;
use crate::request_rate::RequestRate;
use crate::seat_order::HostSeats;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of upstreams that are remembered.
const MAX_UPSTREAMS: usize = 2_048;
/// Time after which what an upstream said last is forgotten.
const RETENTION: Duration = Duration::from_secs(60);
/// Answers closer to each other may have been received in another order than they were sent in.
const ORDER_TOLERANCE: Duration = Duration::from_millis(100);
/// Share of the slots that is left out at first after requests were turned away.
const REJECTION_SHARE: f64 = 0.5;
/// Time until the slots are all used again after that.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Places beyond the slots, as a share of the rejections a second that an upstream bears.
const EXTRA_SHARE: f64 = 0.5;
/// Maximum number of upstreams in a report.
const MAX_REPORTED: usize = 16;
/// Unit of ages in reports, in milliseconds.
const AGE_UNIT_MS: u64 = 10;

/// What a host tells others of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPlaces {
    key: LimitKey,
    /// Rejections a second that it bears, rounded down; `None` if it no longer is brittle.
    max_rejected: Option<u16>,
    /// Age of that, in units of 10 ms.
    age: u16,
    /// Age of the latest rejection, in units of 10 ms.
    rejection_age: Option<u16>,
}

/// How an answer changed what is known of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceChange {
    /// It is brittle.
    Named,
    /// It no longer is.
    Ended,
    /// Nothing new.
    Same,
}

/// What a host knows of an upstream to which it may send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceRequest {
    /// Requests that run at the upstream at once.
    pub slots: u32,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// Number of upstreams of its service.
    pub upstreams: usize,
}

#[derive(Clone, Copy, Debug)]
struct BrittleUpstream {
    /// Rejections a second that it bears; `None` if it no longer is brittle.
    max_rejected: Option<RequestRate>,
    observed_at: Timestamp,
    rejected_at: Option<Timestamp>,
}

impl BrittleUpstream {
    /// Share of the slots that is divided.
    fn room_share(&self, now: Timestamp) -> f64 {
        let Some(rejected_at) = self.rejected_at else { return 1.0 };
        let recovered = now.since(rejected_at).as_secs_f64() / RECOVERY_TIME.as_secs_f64();
        (1.0 - REJECTION_SHARE * (1.0 - recovered)).min(1.0)
    }
}

/// The brittle upstreams that a host knows of.
///
/// ```
/// use oleander_core::host_view::{Heartbeat, HostHash, HostView};
/// use oleander_core::limit_division::LimitKey;
/// use oleander_core::place_division::{PlaceDivision, PlaceRequest};
/// use oleander_core::seat_order::HostSeats;
/// use oleander_core::units::Timestamp;
///
/// let hosts = ["host-1", "host-2"].map(|host| HostHash::new(&host.parse().unwrap()));
/// let now = Timestamp::from_millis(1_000);
/// let mut view = HostView::new(hosts[0], Heartbeat::default());
/// view.register(hosts, now);
/// let seats = HostSeats::new(&view, now);
/// let (key, mut division) = (LimitKey::new("i-1", 5), PlaceDivision::new());
/// let request = |in_flight| PlaceRequest { slots: 6, in_flight, upstreams: 1 };
/// assert!(division.may_send(key, &request(40), &seats, now), "not brittle");
/// division.record_answer(key, Some("4".parse().unwrap()), now);
/// // Three places of six slots for each of two hosts.
/// assert!(division.may_send(key, &request(2), &seats, now));
/// assert!(!division.may_send(key, &request(3), &seats, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PlaceDivision {
    upstreams: BTreeMap<LimitKey, BrittleUpstream>,
    /// Rotates the upstreams that are reported.
    reports: usize,
}

impl PlaceDivision {
    /// Creates a division without any brittle upstream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no upstream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Whether an upstream is brittle.
    #[must_use]
    pub fn is_brittle(&self, key: LimitKey) -> bool {
        self.upstreams.get(&key).is_some_and(|upstream| upstream.max_rejected.is_some())
    }

    /// Records how many requests a second an answer says that its upstream can turn away, if it is
    /// brittle.
    pub fn record_answer(
        &mut self,
        key: LimitKey,
        max_rejected: Option<RequestRate>,
        now: Timestamp,
    ) -> PlaceChange {
        if max_rejected.is_none() && !self.upstreams.contains_key(&key) {
            return PlaceChange::Same;
        }
        self.observe(key, max_rejected, now)
    }

    /// Records that an upstream turned a request away for want of room.
    pub fn record_rejection(&mut self, key: LimitKey, now: Timestamp) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.rejected_at = Some(now);
        }
    }

    /// Whether a request may be sent to an upstream.
    #[must_use]
    pub fn may_send(
        &self,
        key: LimitKey,
        request: &PlaceRequest,
        hosts: &HostSeats,
        now: Timestamp,
    ) -> bool {
        let Some(upstream) = self.upstreams.get(&key) else { return true };
        let Some(max_rejected) = upstream.max_rejected else { return true };
        let room_share = upstream.room_share(now);
        let slots = (f64::from(request.slots) * room_share).max(1.0) as usize;
        let (count, seat) = (hosts.count(), hosts.seat(key.get()));
        let wanted = count.div_ceil(request.upstreams.max(1)).saturating_sub(slots);
        let extra = wanted.min((max_rejected.per_second() * EXTRA_SHARE) as usize);
        let room = if room_share < 1.0 { slots } else { slots + extra };
        let places = room / count + usize::from(seat < room % count);
        (request.in_flight as usize) < places
    }

    /// Takes over what another host tells.
    pub fn merge(&mut self, reports: &[ReportedPlaces], now: Timestamp) {
        let at = |age: u16| now.before(Duration::from_millis(u64::from(age) * AGE_UNIT_MS));
        for report in reports {
            if now.since(at(report.age)) >= RETENTION {
                continue;
            }
            let max_rejected = report.max_rejected.map(|rate| RequestRate::new(f64::from(rate)));
            self.observe(report.key, max_rejected, at(report.age));
            let rejected_at = report.rejection_age.map(at);
            if let Some(upstream) = self.upstreams.get_mut(&report.key) {
                upstream.rejected_at = upstream.rejected_at.max(rejected_at);
            }
        }
    }

    /// What other hosts should know: the latest rejections first, the others in turn.
    pub fn report(&mut self, now: Timestamp) -> Vec<ReportedPlaces> {
        let age = |at: Timestamp| {
            u16::try_from(now.since(at).as_millis() as u64 / AGE_UNIT_MS).unwrap_or(u16::MAX)
        };
        let recent = |at: &Timestamp| now.since(*at) < RECOVERY_TIME;
        let report = |(key, upstream): (&LimitKey, &BrittleUpstream)| ReportedPlaces {
            key: *key,
            max_rejected: upstream.max_rejected.map(|rate| rate.per_second() as u16),
            age: age(upstream.observed_at),
            rejection_age: upstream.rejected_at.filter(recent).map(age),
        };
        let mut reports: Vec<ReportedPlaces> = self.upstreams.iter().map(report).collect();
        if reports.len() > MAX_REPORTED {
            let start = self.reports.wrapping_mul(MAX_REPORTED / 2) % reports.len();
            self.reports = self.reports.wrapping_add(1);
            reports.rotate_left(start);
            let in_turn = reports.split_off(MAX_REPORTED / 2);
            let mut rejected = in_turn;
            rejected.sort_by_key(|report| report.rejection_age.unwrap_or(u16::MAX));
            reports.extend(rejected);
            reports.truncate(MAX_REPORTED);
        }
        reports
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Timestamp) {
        self.upstreams.retain(|_, upstream| now.since(upstream.observed_at) < RETENTION);
    }

    fn observe(
        &mut self,
        key: LimitKey,
        max_rejected: Option<RequestRate>,
        observed_at: Timestamp,
    ) -> PlaceChange {
        let Some(known) = self.upstreams.get_mut(&key) else {
            if max_rejected.is_none() {
                return PlaceChange::Same;
            }
            let upstream = BrittleUpstream { max_rejected, observed_at, rejected_at: None };
            self.upstreams.insert(key, upstream);
            self.remove_oldest();
            return PlaceChange::Named;
        };
        let is_later = observed_at > known.observed_at + ORDER_TOLERANCE;
        let is_earlier = known.observed_at > observed_at + ORDER_TOLERANCE;
        if is_earlier || (max_rejected.is_none() && !is_later) {
            return PlaceChange::Same;
        }
        known.observed_at = known.observed_at.max(observed_at);
        match (std::mem::replace(&mut known.max_rejected, max_rejected), max_rejected) {
            (None, Some(_)) => PlaceChange::Named,
            (Some(_), None) => PlaceChange::Ended,
            _ => PlaceChange::Same,
        }
    }

    fn remove_oldest(&mut self) {
        if self.upstreams.len() > MAX_UPSTREAMS {
            let oldest = self.upstreams.iter().min_by_key(|(_, upstream)| upstream.observed_at);
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.upstreams.remove(&key);
            }
        }
    }
}
