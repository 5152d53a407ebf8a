//! Divides the limits that upstreams name among the hosts.
//!
//! A limit holds for all hosts together. Some of the live hosts hold a *seat* at an upstream: the
//! first ones in an order that all hosts compute alike and that differs from upstream to upstream.
//! Each of them takes an equal part, and the others send nothing there. So a limit of two requests a
//! second also holds over hundreds of hosts, each of which may send a request at any moment.
//!
//! Hosts tell each other which limits were named in the latest answers, and which no longer are, so
//! that a host without a seat learns when a limit ends.

use crate::host_view::HostView;
use crate::request_rate::RequestRate;
use crate::seat_order::seat_of;
use crate::stable_hash::hash_parts;
use crate::token_bucket::TokenBucket;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of upstreams whose limits are remembered.
const MAX_LIMITS: usize = 2_048;
/// Time after which what an upstream said last is forgotten.
const RETENTION: Duration = Duration::from_secs(600);
/// Rate at which an upstream is sent requests whatever its limit, so that its end is noticed.
const MIN_RATE: f64 = 0.2;
/// Seats of an upstream in addition to one for each request a second.
const EXTRA_SEATS: f64 = 3.0;
/// Requests that all hosts together may send at once: a part of what the limit allows in a second,
/// and some more.
const BURST_SECONDS: f64 = 1.25;
const EXTRA_BURST: f64 = 3.5;
/// Number of hosts assumed until the store has told it.
const ASSUMED_HOSTS: usize = 64;
/// Answers closer to each other may have been received in another order than they were sent in; then
/// the lower limit counts.
const ORDER_TOLERANCE: Duration = Duration::from_millis(100);
/// Maximum number of limits in a report.
const MAX_REPORTED: usize = 16;
/// Unit of ages in reports, in milliseconds.
const AGE_UNIT_MS: u64 = 10;
/// Unit of rates in reports, per second.
const RATE_UNITS: f64 = 1_000.0;

/// Compact id of one run of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey(u32);

impl LimitKey {
    /// Hashes the name of an upstream and the start of its process.
    #[must_use]
    pub fn new(upstream: &str, started_ms: u64) -> Self {
        Self(hash_parts(&["limit", upstream, &started_ms.to_string()]) as u32)
    }

    /// The key as a number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// What an upstream said last of its limit, as told to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLimit {
    key: LimitKey,
    /// In thousandths of a request a second; `None` if its limit has ended.
    rate: Option<u32>,
    /// Age in units of 10 ms.
    age: u16,
}

/// How an answer changed what is known of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It named a limit for the first time.
    Named,
    /// It named another limit.
    Changed,
    /// It named none any more.
    Ended,
    /// Nothing new.
    Same,
}

/// When a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitWait {
    /// Now; the upstream has no limit.
    Unlimited,
    /// Now, within its limit.
    Ready,
    /// After this time.
    After(Duration),
    /// Not by this host.
    NoSeat,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamLimit {
    /// `None` once it has ended.
    rate: Option<RequestRate>,
    observed_at: Timestamp,
    /// What this host may send; empty and without a rate until the limit is divided.
    bucket: TokenBucket,
    has_seat: bool,
}

/// The limits that upstreams named, and what this host may use of them.
///
/// ```
/// use oleander_core::host_view::{Heartbeat, HostHash, HostView, SETTLE_TIME};
/// use oleander_core::limit_division::{LimitDivision, LimitKey, LimitWait};
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let hosts = ["host-1", "host-2"].map(|host| HostHash::new(&host.parse().unwrap()));
/// let start = Timestamp::from_millis(1_000);
/// let mut view = HostView::new(hosts[0], Heartbeat::default());
/// view.register(hosts, start);
/// let now = start + SETTLE_TIME;
/// let (key, mut division) = (LimitKey::new("i-1", 5), LimitDivision::new());
/// assert_eq!(division.wait(key, now), LimitWait::Unlimited);
/// division.record_answer(key, Some("4".parse().unwrap()), now);
/// division.divide(&view, now);
/// // Two a second for each of two hosts.
/// assert_eq!(division.wait(key, now), LimitWait::After(Duration::from_millis(500)));
/// assert!(division.try_take(key, now + Duration::from_millis(500)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitDivision {
    limits: BTreeMap<LimitKey, UpstreamLimit>,
    /// Rotates the limits that are reported.
    reports: usize,
}

impl LimitDivision {
    /// Creates a division without any limit.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no upstream has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Records which limit an answer named, if any.
    pub fn record_answer(
        &mut self,
        key: LimitKey,
        rate: Option<RequestRate>,
        now: Timestamp,
    ) -> LimitChange {
        if rate.is_none() && !self.limits.contains_key(&key) {
            return LimitChange::Same;
        }
        self.observe(key, rate, now, now)
    }

    /// Takes over what another host tells.
    pub fn merge(&mut self, reports: &[ReportedLimit], now: Timestamp) {
        for report in reports {
            let age = Duration::from_millis(u64::from(report.age) * AGE_UNIT_MS);
            if age < RETENTION {
                let rate = report.rate.map(|rate| RequestRate::new(f64::from(rate) / RATE_UNITS));
                self.observe(report.key, rate, now.before(age), now);
            }
        }
    }

    /// What other hosts should know: the latest first, older ones in turn.
    pub fn report(&mut self, now: Timestamp) -> Vec<ReportedLimit> {
        let age = |limit: &UpstreamLimit| now.since(limit.observed_at).as_millis() as u64;
        let report = |(key, limit): (&LimitKey, &UpstreamLimit)| ReportedLimit {
            key: *key,
            rate: limit.rate.map(|rate| (rate.per_second() * RATE_UNITS) as u32),
            age: u16::try_from(age(limit) / AGE_UNIT_MS).unwrap_or(u16::MAX),
        };
        let mut reports: Vec<ReportedLimit> = self.limits.iter().map(report).collect();
        if reports.len() > MAX_REPORTED {
            let start = self.reports.wrapping_mul(MAX_REPORTED / 2) % reports.len();
            self.reports = self.reports.wrapping_add(1);
            reports.rotate_left(start);
            reports[MAX_REPORTED / 2..].sort_by_key(|report| report.age);
            reports.truncate(MAX_REPORTED);
        }
        reports
    }

    /// Divides all limits among the live hosts and forgets what is too old.
    pub fn divide(&mut self, view: &HostView, now: Timestamp) {
        self.limits.retain(|_, limit| now.since(limit.observed_at) < RETENTION);
        if self.limits.is_empty() {
            return;
        }
        let live = view.live(now);
        for (key, limit) in &mut self.limits {
            let Some(rate) = limit.rate else { continue };
            let rate = rate.per_second().max(MIN_RATE);
            let seats = seat_count(rate, live.len());
            let seat = seat_of(view.me(), key.get(), &live);
            let (share, burst) = if !view.knows_others() {
                (rate / live.len().max(ASSUMED_HOSTS) as f64, 1.0)
            } else if !view.is_settled(now) {
                (rate / live.len() as f64, 1.0)
            } else if seat < seats {
                let burst = (BURST_SECONDS * rate + EXTRA_BURST) / seats as f64;
                (rate / seats as f64, burst)
            } else {
                (0.0, 0.0)
            };
            let had_seat = std::mem::replace(&mut limit.has_seat, share > 0.0);
            limit.bucket.set(share, burst, now);
            if !had_seat && seat < seats {
                // So that hosts that begin together send one after the other.
                let level = seat as f64 / seats as f64;
                limit.bucket = TokenBucket::new(share, burst, now).with_level(level);
            }
        }
    }

    /// When a request may be sent to an upstream.
    #[must_use]
    pub fn wait(&self, key: LimitKey, now: Timestamp) -> LimitWait {
        match self.limits.get(&key).filter(|limit| limit.rate.is_some()) {
            None => LimitWait::Unlimited,
            Some(limit) if !limit.has_seat => LimitWait::NoSeat,
            Some(limit) => limit.bucket.wait(now).map_or(LimitWait::Ready, LimitWait::After),
        }
    }

    /// Takes the permission to send a request to an upstream; `false` when its limit does not allow
    /// it now.
    pub fn try_take(&mut self, key: LimitKey, now: Timestamp) -> bool {
        match self.limits.get_mut(&key).filter(|limit| limit.rate.is_some()) {
            None => true,
            Some(limit) => limit.bucket.try_take(now).is_ok(),
        }
    }

    /// The limit of an upstream; `None` if it has none.
    #[must_use]
    pub fn limit(&self, key: LimitKey) -> Option<RequestRate> {
        self.limits.get(&key)?.rate
    }

    /// Number of upstreams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    fn observe(
        &mut self,
        key: LimitKey,
        rate: Option<RequestRate>,
        observed_at: Timestamp,
        now: Timestamp,
    ) -> LimitChange {
        let Some(known) = self.limits.get_mut(&key) else {
            let bucket = TokenBucket::new(0.0, 0.0, now);
            let limit = UpstreamLimit { rate, observed_at, bucket, has_seat: false };
            self.limits.insert(key, limit);
            self.remove_oldest();
            return if rate.is_some() { LimitChange::Named } else { LimitChange::Same };
        };
        if known.observed_at.since(observed_at) > ORDER_TOLERANCE {
            return LimitChange::Same;
        }
        let is_later = observed_at > known.observed_at + ORDER_TOLERANCE;
        let limits_more = match (rate, known.rate) {
            (Some(rate), Some(known)) => rate < known,
            (rate, known) => rate.is_some() && known.is_none(),
        };
        if !is_later && !limits_more {
            return LimitChange::Same;
        }
        let before = std::mem::replace(&mut known.rate, rate);
        known.observed_at = known.observed_at.max(observed_at);
        match (before, rate) {
            (None, Some(_)) => {
                (known.bucket, known.has_seat) = (TokenBucket::new(0.0, 0.0, now), false);
                LimitChange::Named
            }
            (Some(_), None) => LimitChange::Ended,
            (before, rate) if before != rate => LimitChange::Changed,
            _ => LimitChange::Same,
        }
    }

    fn remove_oldest(&mut self) {
        if self.limits.len() > MAX_LIMITS {
            let oldest = self.limits.iter().min_by_key(|(_, limit)| limit.observed_at);
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.limits.remove(&key);
            }
        }
    }
}

/// Number of hosts that divide a limit.
fn seat_count(rate: f64, live: usize) -> usize {
    ((rate + EXTRA_SEATS) as usize).clamp(1, live.max(1))
}
