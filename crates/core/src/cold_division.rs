//! Divides the rate of cold upstreams among the hosts.
//!
//! Addresses the return of crashed or evacuated upstreams: they look idle, and dozens of hosts send to
//! them at once. An upstream that has just started takes a bounded number of requests in any second,
//! summed over all hosts. The first hosts in the order of [`seat_of`] hold a *seat* there: each sends
//! at even intervals, so that it never has more than one request saved up. The others send nothing.
//!
//! The order covers all hosts that were listed or heard from within [`MEMBER_TIME`], alive or not. As
//! long as each host counts all that send, at most as many hold a seat as there are seats, whatever
//! else they disagree on; so a host that seems dead keeps its seat, which is then unused.

use crate::host_view::HostView;
use crate::request_rate::RequestRate;
use crate::seat_order::seat_of;
use crate::stable_hash::{hash_parts, mix, unit_point};
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a sign of a host after which its seats pass to others: longer than pauses and cuts
/// between hosts last.
pub const MEMBER_TIME: Duration = Duration::from_secs(600);
/// Share of the allowed burst that is divided. The rest is for hosts that others do not count yet, and
/// for those that have not learnt that an upstream is cold.
const BURST_SHARE: f64 = 0.8;
/// Share of the whole bound that seats and rate together use at most.
const BOUND_SHARE: f64 = 0.95;
/// Maximum rate of a single seat where the bound leaves room for one request a second only.
const MIN_RATE: f64 = 0.9;
/// Part of an interval for which each step of priority leaves a permit to more urgent requests.
const YIELD_SHARE: f64 = 0.5;
/// Number of steps; priorities below wait no longer.
const YIELD_STEPS: usize = 2;
/// Time after which a permit is no longer left to urgent requests if none asked for one: several
/// intervals.
const ASK_TIME: Duration = Duration::from_secs(2);
/// Maximum time that an upstream can state to stay cold.
const MAX_COLD: Duration = Duration::from_secs(3_600);
/// Maximum difference between the clocks of this host and an upstream.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);
/// Time for which upstreams are remembered that are no longer listed.
const RETENTION: Duration = Duration::from_secs(600);

/// Compact id of an upstream. It is the same for all runs of its process, so that seats and intervals
/// do not begin anew when hosts learn of a start at different times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ColdKey(u32);

impl ColdKey {
    /// Hashes the name of an upstream.
    #[must_use]
    pub fn new(upstream: &str) -> Self {
        Self(hash_parts(&["cold", upstream]) as u32)
    }
}

/// How many requests a cold upstream may get in any second, from all hosts together.
///
/// ```
/// use oleander_core::cold_division::ColdBound;
/// use oleander_core::request_rate::RequestRate;
///
/// let (bound, rate) = (ColdBound::new(1.5, 5.0), RequestRate::new(15.0));
/// assert_eq!(bound.max_requests(rate), 27.5);
/// // Ten seats with one request saved up each, and the rate.
/// let share = bound.seats(rate, 82).unwrap();
/// assert_eq!((share.seats, share.interval.as_millis()), (10, 667));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    excess: f64,
    slack: f64,
}

/// How a rate is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdShare {
    /// Number of hosts that send.
    pub seats: usize,
    /// Time between two requests of each.
    pub interval: Duration,
}

impl ColdBound {
    /// A bound of `excess` times the rate of the upstream and `slack` requests more.
    #[must_use]
    pub const fn new(excess: f64, slack: f64) -> Self {
        Self { excess: excess.max(0.0), slack: slack.max(0.0) }
    }

    /// The requests that an upstream may get in any second.
    #[must_use]
    pub fn max_requests(&self, rate: RequestRate) -> f64 {
        rate.per_second() * self.excess + self.slack
    }

    /// Divides a rate among some of `hosts`; `None` if the bound allows not even one request.
    #[must_use]
    pub fn seats(&self, rate: RequestRate, hosts: usize) -> Option<ColdShare> {
        let max = self.max_requests(rate);
        let burst = (max - rate.per_second()) * BURST_SHARE;
        let seats = (burst as usize).clamp(1, hosts.max(1));
        let part = (max * BOUND_SHARE - seats as f64).max(MIN_RATE).min(rate.per_second());
        if max < 1.0 || part <= 0.0 {
            return None;
        }
        let millis = (seats as f64 * 1_000.0 / part).ceil();
        Some(ColdShare { seats, interval: Duration::from_millis(millis as u64) })
    }
}

impl Default for ColdBound {
    fn default() -> Self {
        Self::new(1.0, 0.0)
    }
}

/// How the upstreams of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which one that has started stays cold.
    pub duration: Duration,
    /// Requests a second that it takes meanwhile, from all hosts together.
    pub rate: RequestRate,
}

/// An upstream as the store lists it.
#[derive(Clone, Copy, Debug)]
pub struct ListedUpstream {
    /// The upstream.
    pub key: ColdKey,
    /// `None` if its service does not warm up.
    pub rule: Option<ColdRule>,
    /// Start of its process, in time since the Unix epoch.
    pub started: Timestamp,
    /// How much longer it stays cold, as of the write of its row; zero if not stated.
    pub cold_left: Duration,
    /// Whether its failure domain was evacuated until now.
    pub is_returned: bool,
}

/// Why an upstream is believed to be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// It says so, in its row or in an answer.
    Stated,
    /// Its process has started.
    Started,
    /// Its failure domain is no longer evacuated.
    Returned,
    /// It refused or lost a connection, so it may have started again.
    Lost,
}

impl ColdReason {
    /// Text for logs.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Stated => "it says that it is cold",
            Self::Started => "it has started",
            Self::Returned => "its failure domain is no longer evacuated",
            Self::Lost => "it refused or lost a connection",
        }
    }
}

/// When a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdWait {
    /// Now; the upstream is warm.
    Warm,
    /// Now, within its rate.
    Ready,
    /// Now, if no warm upstream is open: others may not count this host.
    LastResort,
    /// After this time.
    After(Duration),
    /// Not by this host before it is warm.
    NoSeat(Duration),
}

#[derive(Clone, Copy, Debug)]
struct HeldSeat {
    share: ColdShare,
    /// Hosts among which the seats are divided.
    hosts: usize,
    is_last_resort: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownUpstream {
    rule: Option<ColdRule>,
    started: Timestamp,
    stated: Duration,
    listed_at: Timestamp,
    /// Whether it has not answered since it refused or lost a connection.
    is_lost: bool,
    /// `None` if it is warm.
    cold_until: Option<Timestamp>,
    seat: Option<HeldSeat>,
    /// When an urgent request may be sent.
    ready_at: Timestamp,
}

/// The upstreams that are cold, and what this host may send them.
///
/// ```
/// use oleander_core::cold_division::*;
/// use oleander_core::host_view::{Heartbeat, HostHash, HostView, SETTLE_TIME};
/// use oleander_core::request_rate::RequestRate;
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let me = HostHash::new(&"host-1".parse().unwrap());
/// let start = Timestamp::from_millis(1_000);
/// let mut view = HostView::new(me, Heartbeat::default());
/// view.register([me], start);
/// let now = start + SETTLE_TIME;
/// let mut division = ColdDivision::new();
/// division.set_bound(ColdBound::new(1.5, 5.0));
/// let rule = ColdRule { duration: Duration::from_secs(8), rate: RequestRate::new(2.0) };
/// let key = ColdKey::new("i-1");
/// let listed = ListedUpstream {
///     key,
///     rule: Some(rule),
///     started: start,
///     cold_left: Duration::from_secs(3),
///     is_returned: false,
/// };
/// assert_eq!(division.observe(&listed, now), Some(ColdReason::Stated));
/// division.divide(&view, now);
/// let later = now + Duration::from_millis(500);
/// assert!(division.try_take(key, 0, later));
/// assert_eq!(division.wait(key, 0, later), ColdWait::After(Duration::from_millis(500)));
/// assert_eq!(division.wait(key, 0, now + Duration::from_secs(3)), ColdWait::Warm);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdDivision {
    bound: ColdBound,
    upstreams: BTreeMap<ColdKey, KnownUpstream>,
    /// Whether any of them may be cold.
    has_cold: bool,
    /// When the list was first read, in time since the Unix epoch.
    first_read: Option<Timestamp>,
    /// When requests of each step of priority last asked for a permit.
    asked_at: [Option<Timestamp>; YIELD_STEPS],
}

impl ColdDivision {
    /// Creates a division that knows no upstream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether all upstreams are warm.
    #[must_use]
    pub const fn is_all_warm(&self) -> bool {
        !self.has_cold
    }

    /// Sets the bound that all hosts keep together.
    pub const fn set_bound(&mut self, bound: ColdBound) {
        self.bound = bound;
    }

    /// Records that the whole list was read, at `unix_now` since the Unix epoch, so that later starts
    /// are noticed.
    pub fn record_read(&mut self, unix_now: Timestamp) {
        self.first_read.get_or_insert(unix_now);
    }

    /// Records a row of the list that was read just now; with the reason if the upstream has become
    /// cold.
    pub fn observe(&mut self, listed: &ListedUpstream, now: Timestamp) -> Option<ColdReason> {
        let (first_read, has_cold) = (self.first_read, &mut self.has_cold);
        let is_known = self.upstreams.contains_key(&listed.key);
        let known = self.upstreams.entry(listed.key).or_insert(KnownUpstream {
            rule: None,
            started: Timestamp::default(),
            stated: Duration::ZERO,
            listed_at: now,
            is_lost: false,
            cold_until: None,
            seat: None,
            ready_at: now,
        });
        let is_other_start = !is_known || listed.started != known.started;
        // What started before this host read the list at all may have been warm for long.
        let is_new = listed.started > known.started
            && first_read.is_some_and(|read| listed.started + CLOCK_TOLERANCE > read);
        let stated_before = std::mem::replace(&mut known.stated, listed.cold_left);
        // What was read before the configuration counts when the service is known.
        let is_first_rule = known.rule.is_none() && listed.rule.is_some();
        let is_stated = is_other_start || listed.cold_left != stated_before || is_first_rule;
        (known.rule, known.started, known.listed_at) = (listed.rule, listed.started, now);
        known.is_lost &= !is_stated;
        let duration = listed.rule?.duration;
        let reason = if !listed.cold_left.is_zero() && is_stated {
            known.set_cold(listed.cold_left, now, ColdReason::Stated)
        } else if is_new {
            known.set_cold(duration, now, ColdReason::Started)
        } else if listed.is_returned {
            known.set_cold(duration, now, ColdReason::Returned)
        } else {
            if is_stated && !is_other_start {
                // The same run no longer states that it is cold.
                known.cold_until = None;
            }
            None
        };
        *has_cold |= reason.is_some();
        reason
    }

    /// Records that an upstream refused or lost a connection.
    pub fn record_loss(&mut self, key: ColdKey, now: Timestamp) -> Option<ColdReason> {
        let known = self.upstreams.get_mut(&key)?;
        known.is_lost = true;
        self.has_cold = known.rule.is_some() || self.has_cold;
        known.set_cold(known.rule?.duration, now, ColdReason::Lost)
    }

    /// Records an answer of an upstream, with how much longer it stays cold if it states that.
    pub fn record_answer(
        &mut self,
        key: ColdKey,
        cold_left: Option<Duration>,
        now: Timestamp,
    ) -> Option<ColdReason> {
        let known = self.upstreams.get_mut(&key)?;
        self.has_cold |= known.rule.is_some() && cold_left.is_some();
        let was_lost = std::mem::replace(&mut known.is_lost, false);
        let duration = known.rule?.duration;
        match cold_left {
            Some(left) if left.is_zero() => {
                known.cold_until = None;
                None
            }
            Some(left) => known.set_cold(left, now, ColdReason::Stated),
            None if was_lost => {
                self.has_cold = true;
                known.set_cold(duration, now, ColdReason::Lost)
            }
            None => None,
        }
    }

    /// Divides the rates of cold upstreams among the hosts; returns those that have become warm.
    pub fn divide(&mut self, view: &HostView, now: Timestamp) -> Vec<ColdKey> {
        self.upstreams
            .retain(|_, known| now.since(known.listed_at) < RETENTION || known.is_cold(now));
        let (mut warm, mut members) = (Vec::new(), None);
        self.has_cold = false;
        for (key, known) in &mut self.upstreams {
            if !known.is_cold(now) {
                known.seat = None;
                if known.cold_until.take().is_some() {
                    warm.push(*key);
                }
                continue;
            }
            self.has_cold = true;
            let Some(rule) = known.rule else { continue };
            let members = members.get_or_insert_with(|| view.members(MEMBER_TIME, now));
            let share = self.bound.seats(rule.rate, members.len());
            let seat = seat_of(view.me(), key.0, members);
            let Some(share) = share.filter(|share| view.knows_others() && seat < share.seats)
            else {
                known.seat = None;
                continue;
            };
            let is_last_resort = !view.is_settled(now) || !view.is_in_touch(now);
            let held = HeldSeat { share, hosts: members.len(), is_last_resort };
            if known.seat.replace(held).is_none() {
                // Nothing is saved up, and hosts that begin together send one after the other.
                let part = 0.5 + 0.5 * seat as f64 / share.seats as f64;
                known.ready_at = known.ready_at.max(now + share.interval.mul_f64(part));
            }
        }
        warm
    }

    /// Records that a request of this priority asks for a permit, so that less urgent ones leave it some.
    pub fn record_ask(&mut self, priority: u8, now: Timestamp) {
        if let Some(asked_at) = self.asked_at.get_mut(usize::from(priority)) {
            *asked_at = Some(now);
        }
    }

    /// Number of steps by which a priority is below the most urgent one that asked lately.
    fn steps_below(&self, priority: u8, now: Timestamp) -> usize {
        let step = usize::from(priority).min(YIELD_STEPS);
        let is_recent =
            |asked_at: &Option<Timestamp>| asked_at.is_some_and(|at| now.since(at) < ASK_TIME);
        let first = self.asked_at[..step].iter().position(is_recent);
        first.map_or(0, |first| step - first)
    }

    /// When a request of this priority may be sent to an upstream; 0 is most urgent.
    #[must_use]
    pub fn wait(&self, key: ColdKey, priority: u8, now: Timestamp) -> ColdWait {
        let known = self.upstreams.get(&key).filter(|known| self.has_cold && known.is_cold(now));
        let Some(known) = known else {
            return ColdWait::Warm;
        };
        let until_warm = known.cold_until.map_or(Duration::ZERO, |until| until.since(now));
        let Some(seat) = known.seat else { return ColdWait::NoSeat(until_warm) };
        let steps = self.steps_below(priority, now) as f64;
        let at = known.ready_at + seat.share.interval.mul_f64(YIELD_SHARE * steps);
        match at.since(now) {
            Duration::ZERO if seat.is_last_resort => ColdWait::LastResort,
            Duration::ZERO => ColdWait::Ready,
            wait => ColdWait::After(wait.min(until_warm)),
        }
    }

    /// Takes the permission to send a request to an upstream; `false` when its rate does not allow it
    /// now.
    pub fn try_take(&mut self, key: ColdKey, priority: u8, now: Timestamp) -> bool {
        match self.wait(key, priority, now) {
            ColdWait::Warm => true,
            ColdWait::After(_) | ColdWait::NoSeat(_) => false,
            ColdWait::Ready | ColdWait::LastResort => {
                if let Some(known) = self.upstreams.get_mut(&key)
                    && let Some(seat) = known.seat
                {
                    known.ready_at = now + seat.share.interval;
                }
                true
            }
        }
    }

    /// Whether an upstream is compared with those that are drawn at random for a request to one of
    /// `upstreams`. The few hosts with a seat draw a cold one as much more often as they are fewer, so
    /// that it gets an even part of the work and does not attract all of theirs.
    #[must_use]
    pub fn is_drawn(&self, key: ColdKey, upstreams: usize, random: u64) -> bool {
        let seat = self.upstreams.get(&key).and_then(|known| known.seat);
        seat.is_some_and(|seat| {
            let hosts_per_seat = seat.hosts as f64 / seat.share.seats as f64;
            unit_point(mix(random ^ u64::from(key.0))) < hosts_per_seat / upstreams.max(1) as f64
        })
    }

    /// The rate of an upstream while it is cold.
    #[must_use]
    pub fn rate(&self, key: ColdKey, now: Timestamp) -> Option<RequestRate> {
        let known = self.upstreams.get(&key).filter(|known| known.is_cold(now))?;
        Some(known.rule?.rate)
    }

    /// Time for which an upstream stays cold; `None` if it is warm.
    #[must_use]
    pub fn cold_left(&self, key: ColdKey, now: Timestamp) -> Option<Duration> {
        let known = self.upstreams.get(&key).filter(|known| known.is_cold(now))?;
        known.cold_until.map(|until| until.since(now))
    }

    /// Number of upstreams that are cold.
    #[must_use]
    pub fn cold_count(&self, now: Timestamp) -> usize {
        self.upstreams.values().filter(|known| known.is_cold(now)).count()
    }
}

impl KnownUpstream {
    fn is_cold(&self, now: Timestamp) -> bool {
        self.rule.is_some() && self.cold_until.is_some_and(|until| now < until)
    }

    /// Sets until when it is cold; with the reason if it was warm. What it states replaces what was
    /// assumed.
    fn set_cold(
        &mut self,
        left: Duration,
        now: Timestamp,
        reason: ColdReason,
    ) -> Option<ColdReason> {
        let was_cold = self.is_cold(now);
        let until = now + left.min(MAX_COLD);
        let assumed = self.cold_until.filter(|_| reason != ColdReason::Stated);
        self.cold_until = Some(assumed.map_or(until, |known| known.max(until)));
        (!was_cold).then_some(reason)
    }
}
