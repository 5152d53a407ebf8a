//! Whether a service has room for a request, and when its caller should come back if not.
//!
//! Load it addresses: bursts of 1.5 to 2.5 times of one kind of request for some seconds, one account at
//! several times its usual rate, half of the upstreams gone. Requests that cannot begin before their
//! deadline would hold a place in the queue and fail; they are refused at once instead.
//!
//! The wait of a priority is the reported queue ahead of it, drained at the rate at which work completes
//! less what more urgent demand takes of it. A kind whose wait is longer than its time has an excess of
//! `1 - time / wait`. The excess of all kinds is taken from the requests that count least: accounts
//! above their fair share, then by priority, then by value. Each request draws, so that hosts
//! that read the same report refuse a part each and not all at once. A floor for each kind keeps it from
//! being refused altogether, and the size of a request does not enter the draw.
//!
//! Where the service has room, or too few upstreams have reported to know, everything is admitted.

use crate::account_share::ShareExcess;
use crate::request_rate::RequestRate;
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Share of the slots that must be taken before a request is refused. A refusal below half of them is
/// wrong; the rest allows for reports that are a second old.
const FULL_SHARE: f64 = 0.6;
/// Share of the open upstreams that must have reported. Upstreams that crash stay listed for some
/// seconds, and the others are a sample of the load.
const REPORTED_SHARE: f64 = 0.25;
/// Part of the share in which all requests are served that each kind keeps. A quarter is required; the
/// rest allows for hosts that see other kinds.
const FLOOR_SHARE: f64 = 0.35;
/// Part of the completions that is assumed to be left to a priority under more urgent demand.
const MIN_DRAIN_SHARE: f64 = 0.1;
/// Time after which the demand of a kind counts half.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of one request in the moving mean of values: about the last twenty of a kind.
const VALUE_GAIN: f64 = 0.05;
/// Maximum number of kinds whose demand is known; beyond it the one with the least is dropped.
const MAX_KINDS: usize = 64;
/// Bounds of the time after which a caller should come back.
const MIN_WAIT: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What the open upstreams of a service report, as known to one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Open upstreams.
    pub upstreams: u32,
    /// Those of them with a recent report; the following sums are over these.
    pub reported: u32,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Mean delay of the last answers beyond their expected time.
    pub lag: Duration,
    /// Mean time that a request takes a slot; zero if not known.
    pub slot_time: Duration,
    /// Requests for the service, over all hosts.
    pub demand: RequestRate,
}

impl ServiceLoad {
    /// Whether the service may have room: slots are free, or too few upstreams have reported.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let taken = f64::from(self.running) + f64::from(self.waiting);
        self.slots == 0
            || f64::from(self.reported) < f64::from(self.upstreams) * REPORTED_SHARE
            || taken < f64::from(self.slots) * FULL_SHARE
    }

    /// The rate at which the upstreams complete work, scaled to those without a report; `None` if it is
    /// not known.
    #[must_use]
    pub fn completions(&self) -> Option<RequestRate> {
        let seconds = self.slot_time.as_secs_f64();
        let known = seconds > 0.0 && self.running > 0 && self.reported > 0;
        let scale = f64::from(self.upstreams) / f64::from(self.reported.max(1));
        known.then(|| RequestRate::new(f64::from(self.running) * scale / seconds))
    }
}

/// Requests that are refused alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKind {
    /// Urgency: 255 less the priority, so that the least urgent kind comes first.
    urgency: u8,
    route: Arc<str>,
}

impl RequestKind {
    /// Requests of a route with a priority, where 0 is served first.
    #[must_use]
    pub const fn new(route: Arc<str>, priority: u8) -> Self {
        Self { urgency: u8::MAX - priority, route }
    }
}

/// The recent demand of a kind at this host.
#[derive(Clone, Copy, Debug)]
struct KindDemand {
    /// Number of requests, each halved per half-life.
    count: f64,
    /// Time left of the latest request.
    time_left: Duration,
    /// Moving mean of the value of an answer.
    value: f64,
    at: Timestamp,
}

impl KindDemand {
    fn count_at(&self, now: Timestamp) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.count * 0.5f64.powf(halves)
    }
}

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct RoomRequest {
    /// Its kind.
    pub kind: RequestKind,
    /// Value of its answer; the mean of its kind decides.
    pub value: f64,
    /// Time left for its answer to begin.
    pub time_left: Duration,
    /// Demand above the fair shares of accounts, and of its own.
    pub above: ShareExcess,
    /// A number from 0 to 1.
    pub random: f64,
}

/// Admits the requests of one service at one host.
///
/// ```
/// use oleander_core::account_share::ShareExcess;
/// use oleander_core::request_rate::RequestRate;
/// use oleander_core::room_admission::*;
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let (mut admission, now) = (RoomAdmission::new(), Timestamp::from_millis(1_000));
/// let (kind, time_left) = (RequestKind::new("tag".into(), 2), Duration::from_secs(4));
/// let request = RoomRequest { kind, value: 0.4, time_left, above: ShareExcess::default(), random: 0.1 };
/// let mut load = ServiceLoad {
///     upstreams: 60,
///     reported: 60,
///     running: 400,
///     slots: 1_440,
///     slot_time: Duration::from_secs(2),
///     demand: RequestRate::new(300.0),
///     ..ServiceLoad::default()
/// };
/// assert_eq!(admission.refused_for(&request, &load, now), None);
/// (load.running, load.waiting) = (1_440, 7_200);
/// assert!(admission.refused_for(&request, &load, now).unwrap() >= Duration::from_secs(10));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RoomAdmission {
    kinds: BTreeMap<RequestKind, KindDemand>,
}

impl RoomAdmission {
    /// Knows of no demand yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request; returns after which time its caller should come back if it is refused.
    pub fn refused_for(
        &mut self,
        request: &RoomRequest,
        load: &ServiceLoad,
        now: Timestamp,
    ) -> Option<Duration> {
        self.record(request, now);
        if load.has_room() {
            return None;
        }
        let wait = self.wait(&request.kind, load, now);
        let above = request.above;
        let excess = 1.0 - self.served_share(load, now);
        let of_above = if above.total > 0.0 { (excess / above.total).min(1.0) } else { 0.0 };
        let of_rest = self.refused_share(&request.kind, above.total, load, now);
        let chance = above.account * of_above + (1.0 - above.account) * of_rest;
        // One draw decides, and what is left of it spreads the callers over half of the wait.
        (request.random < chance).then(|| {
            let spread = 1.0 + 0.5 * request.random / chance;
            wait.mul_f64(spread).clamp(MIN_WAIT, MAX_WAIT)
        })
    }

    fn record(&mut self, request: &RoomRequest, now: Timestamp) {
        let known = self.kinds.get(&request.kind);
        let count = known.map_or(0.0, |known| known.count_at(now)) + 1.0;
        let value = known.map_or(request.value, |known| known.value);
        let value = value + (request.value - value) * VALUE_GAIN;
        let demand = KindDemand { count, time_left: request.time_left, value, at: now };
        self.kinds.insert(request.kind.clone(), demand);
        if self.kinds.len() > MAX_KINDS {
            let count = |(_, kind): &(&RequestKind, &KindDemand)| kind.count_at(now);
            let least = self.kinds.iter().min_by(|a, b| count(a).total_cmp(&count(b)));
            if let Some(kind) = least.map(|(kind, _)| kind.clone()) {
                self.kinds.remove(&kind);
            }
        }
    }

    /// Share of the demand that the kinds for which `is_counted` have.
    fn demand_share(&self, is_counted: impl Fn(&RequestKind) -> bool, now: Timestamp) -> f64 {
        let total: f64 = self.kinds.values().map(|kind| kind.count_at(now)).sum();
        let counted = self.kinds.iter().filter(|(kind, _)| is_counted(kind));
        counted.map(|(_, demand)| demand.count_at(now)).sum::<f64>() / total.max(f64::MIN_POSITIVE)
    }

    /// Time until the queue ahead of a request of this kind has drained.
    #[must_use]
    pub fn wait(&self, kind: &RequestKind, load: &ServiceLoad, now: Timestamp) -> Duration {
        let Some(completions) = load.completions() else { return load.lag };
        let more_urgent = self.demand_share(|other| other.urgency > kind.urgency, now);
        let as_urgent = self.demand_share(|other| other.urgency >= kind.urgency, now);
        let rate = completions.per_second();
        let taken = (load.demand.per_second() * more_urgent).min(rate);
        let drain = (rate - taken).max(rate * MIN_DRAIN_SHARE);
        let scale = f64::from(load.upstreams) / f64::from(load.reported.max(1));
        let ahead = f64::from(load.waiting) * scale * as_urgent;
        let queue = Duration::try_from_secs_f64(ahead / drain).unwrap_or(MAX_WAIT);
        queue.max(load.lag).min(MAX_WAIT)
    }

    /// Share of the demand that can be served.
    #[must_use]
    pub fn served_share(&self, load: &ServiceLoad, now: Timestamp) -> f64 {
        if load.has_room() {
            return 1.0;
        }
        let total: f64 = self.kinds.values().map(|demand| demand.count_at(now)).sum();
        (1.0 - self.excess(load, now) / total.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    /// Number of recent requests that cannot begin in their time.
    fn excess(&self, load: &ServiceLoad, now: Timestamp) -> f64 {
        let excess = |(kind, demand): (&RequestKind, &KindDemand)| {
            let wait = self.wait(kind, load, now).as_secs_f64();
            let share = 1.0 - demand.time_left.as_secs_f64() / wait.max(f64::MIN_POSITIVE);
            share.max(0.0) * demand.count_at(now)
        };
        self.kinds.iter().map(excess).sum()
    }

    /// Share of the requests of a kind that is refused, of those within the fair share of their accounts.
    /// `above` is the share of all demand that is above, and is refused first.
    #[must_use]
    pub fn refused_share(
        &self,
        kind: &RequestKind,
        above: f64,
        load: &ServiceLoad,
        now: Timestamp,
    ) -> f64 {
        let served = self.served_share(load, now);
        let total: f64 = self.kinds.values().map(|demand| demand.count_at(now)).sum();
        let mut left = (1.0 - served - above).max(0.0) * total;
        let mut floor = FLOOR_SHARE * served;
        // Those that count least are refused first.
        let mut kinds: Vec<(&RequestKind, &KindDemand)> = self.kinds.iter().collect();
        kinds.sort_by(|(a, left), (b, right)| {
            a.urgency.cmp(&b.urgency).then(left.value.total_cmp(&right.value))
        });
        for (other, demand) in kinds {
            let count = demand.count_at(now).max(f64::MIN_POSITIVE);
            let share = (left / count).clamp(0.0, 1.0 - floor);
            if other == kind {
                return share;
            }
            left -= share * count;
            // A kind that counts more keeps more, so that it is not served less often by chance.
            floor = f64::midpoint(floor, served);
        }
        0.0
    }
}
