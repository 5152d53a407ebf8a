//! Answer counts of a rollout over all hosts, and the test whether the new version is worse.
//!
//! An order is an operator's rollout order, identified by the revision of its row in the store. An
//! incarnation is one run of a host's process.
//!
//! Each host counts its own answers; counts of several hosts can be added in any sequence. A
//! restarted host counts from zero again, which its new incarnation shows. The judge feeds the
//! counts since its last evaluation to one mean-change test per route, since a version may be bad
//! on one route only, and to one test over all routes, which detects a version that is bad
//! everywhere sooner.

use crate::rollout_plan::StepEvidence;
use oleander_core::alarm_threshold::answer_threshold;
use oleander_core::detect::{MeanChangeTest, RatingBaseline};
use oleander_core::ids::{HostId, ServiceName};
use oleander_core::store_era::{StoreEra, StoreRevision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Prior for the old version: number of assumed answers, and the share of them that are good. Even
/// a low-traffic service gives good answers to more than nineteen of twenty requests.
const PRIOR_ANSWERS: f64 = 20.0;
const PRIOR_SUCCESS_RATE: f64 = 0.97;
/// Drop in the share of good answers that must be detected; half the baseline mean is used instead
/// where that is smaller. Bad versions in the target deployments fail about a third of their
/// requests or more.
const MIN_SUCCESS_RATE_DROP: f64 = 0.2;
/// Mean number of answers between false alarms. A rollout on a small deployment sees about a
/// hundred answers before all work moves, so about one good version in thirty is reverted by
/// mistake; a bad version that is not found in time costs far more.
const ANSWERS_BETWEEN_ALARMS: f64 = 5_000.0;
/// Failure rate that a version which is bad on a route is assumed to add to the baseline. Bad
/// versions in the target deployments fail a third of their answers or more.
const BAD_VERSION_ADDED_FAILURE_RATE: f64 = 0.35;
/// Minimum failure rate assumed of a good version. It bounds how far one bad answer raises the
/// likelihood ratio; a single bad answer without good ones still makes the route doubtful. The
/// failure rate assumed of a bad version is at most one minus this value.
const MIN_GOOD_VERSION_FAILURE_RATE: f64 = 0.02;
/// Likelihood ratio of a bad to a good version on a route from which a rollout does not proceed.
/// About one rollout in fifty has a version that is bad on a single route; proceeding with it costs
/// a whole day's value, about forty times as much as reverting a good version. Three good answers
/// bring the ratio below this value, two do not; this holds for failure rates of the old version up
/// to about 5 %, above which two are enough.
const DOUBTFUL_LIKELIHOOD_RATIO: f64 = 0.4;
/// The same for the pace of streams, which varies more: three slow streams of five are above it, two
/// are not.
const SUSPECT_PACE_RATIO: f64 = 8.0;
/// Requests to any version on a route below which the route is neither doubtful nor suspected,
/// whether answers are bad or missing: a version that is bad there can hardly produce fifty bad
/// answers in a rollout. The alarm tests have no such minimum.
const MIN_ROUTE_REQUESTS: u64 = 20;
/// Key of the test over all routes; no route has an empty name.
const ALL_ROUTES: &str = "";
/// Ends the key under which the pace of a route's streams is counted, and is the key of the test
/// over the pace of all routes. No name of a route ends with it.
const PACE_SUFFIX: &str = "\u{0}pace";
/// Minimum baseline mean of the alarm tests: a smaller share of good answers of the old version is
/// raised to this value, since a drop from a smaller share is not informative.
const MIN_BASELINE_SUCCESS_RATE: f64 = 0.3;

/// Answers of the new version, or of all other versions together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCount {
    /// Number of answers.
    pub answers: u64,
    /// Answers that failed or took several times the typical latency.
    pub bad: u64,
}

impl AnswerCount {
    /// Adds the counts of `other` to these.
    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }

    /// The higher one of each count.
    fn max(self, other: Self) -> Self {
        Self { answers: self.answers.max(other.answers), bad: self.bad.max(other.bad) }
    }
}

/// Counts of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSums {
    /// Answers of the new version.
    pub new: AnswerCount,
    /// Sum of the answers of all other versions.
    pub old: AnswerCount,
    /// Requests sent to the new version, answered or not.
    pub exposed: u64,
    /// Requests sent to any version.
    pub requests: u64,
}

impl RouteSums {
    /// Adds the counts of `other` to these.
    fn add(&mut self, other: &Self) {
        self.new.add(other.new);
        self.old.add(other.old);
        self.exposed += other.exposed;
        self.requests += other.requests;
    }

    /// The higher one of each count.
    fn max(&self, other: &Self) -> Self {
        Self {
            new: self.new.max(other.new),
            old: self.old.max(other.old),
            exposed: self.exposed.max(other.exposed),
            requests: self.requests.max(other.requests),
        }
    }
}

/// Counts of one host for a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSums {
    /// The host.
    pub host: HostId,
    /// Incarnation of the host, which is one run of its process; each counts from zero.
    pub incarnation: u64,
    /// The service.
    pub service: ServiceName,
    /// The rollout, identified by the revision of its order.
    #[serde(with = "order_version")]
    pub order: StoreRevision,
    /// Counts by route name.
    pub routes: BTreeMap<Arc<str>, RouteSums>,
}

/// Encodes only the version of an order; its era follows the sums, where earlier releases of this
/// program ignore it.
mod order_version {
    use super::{StoreEra, StoreRevision};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(order: &StoreRevision, to: S) -> Result<S::Ok, S::Error> {
        order.version.serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<StoreRevision, D::Error> {
        u64::deserialize(from).map(|version| StoreRevision::new(StoreEra::default(), version))
    }
}

/// Key under which the pace of the streams of a route is counted. `bad` counts slow ones there.
#[must_use]
pub fn pace_series(route: &str) -> Arc<str> {
    format!("{route}{PACE_SUFFIX}").into()
}

/// Key of the test over all routes that the counts under `key` belong to.
fn total_of(key: &str) -> Arc<str> {
    Arc::from(if key.ends_with(PACE_SUFFIX) { PACE_SUFFIX } else { ALL_ROUTES })
}

impl HostSums {
    /// Encodes the sums for the store.
    ///
    /// # Errors
    ///
    /// When the sums cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(&(self, self.order.era))
    }

    /// Decodes the sums of a row. A row that ends without an era is of an earlier release, which
    /// knows no eras.
    ///
    /// # Errors
    ///
    /// When the bytes are no sums.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut sums, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            sums.order.era = postcard::from_bytes(rest)?;
        }
        Ok(sums)
    }

    /// Whether the number of requests sent to the new version plus the number of its answers
    /// differs from that in `before`; also true when the orders differ.
    #[must_use]
    pub fn has_new_answers(&self, before: &Self) -> bool {
        let new_count = |sums: &Self| -> u64 {
            sums.routes.values().map(|route| route.exposed + route.new.answers).sum()
        };
        self.order != before.order || new_count(self) != new_count(before)
    }
}

/// Counts of all hosts, by route.
pub type FleetSums = BTreeMap<Arc<str>, RouteSums>;

/// Adds up the counts of hosts for one order; counts for other orders are skipped.
#[must_use]
pub fn add_up(hosts: &[HostSums], order: StoreRevision) -> FleetSums {
    let mut sums = FleetSums::new();
    for host in hosts.iter().filter(|host| host.order == order) {
        for (route, counts) in &host.routes {
            sums.entry(Arc::clone(route)).or_default().add(counts);
        }
    }
    sums
}

/// Judges the rollout of one order.
///
/// ```
/// use oleander_core::ids::{HostId, ServiceName};
/// use oleander_core::store_era::{StoreEra, StoreRevision};
/// use oleander_gateway::rollout_sums::*;
///
/// let order = StoreRevision::new(StoreEra::default(), 7);
/// let sums = |new_bad| HostSums {
///     host: HostId::new("host-1").unwrap(),
///     incarnation: 1,
///     service: ServiceName::new("writer").unwrap(),
///     order,
///     routes: [("plans".into(), RouteSums {
///         new: AnswerCount { answers: 20, bad: new_bad },
///         old: AnswerCount { answers: 200, bad: 4 },
///         exposed: 20,
///         requests: 220,
///     })].into(),
/// };
/// assert!(!RolloutJudge::new(order).evaluate(&[sums(1)]));
/// assert!(RolloutJudge::new(order).evaluate(&[sums(10)]));
/// ```
#[derive(Clone, Debug)]
pub struct RolloutJudge {
    order: StoreRevision,
    /// Highest counts seen by route, by host and incarnation. Rows may show lower ones after the
    /// store came back from an older copy, until their hosts write them again.
    seen: BTreeMap<(HostId, u64), BTreeMap<Arc<str>, RouteSums>>,
    /// Tests by route; the test over all routes has the key `ALL_ROUTES`.
    tests: BTreeMap<Arc<str>, MeanChangeTest>,
    /// Whether any test has raised an alarm so far; never reset.
    alarmed: bool,
}

impl RolloutJudge {
    /// Creates a judge for the rollout that this order began.
    #[must_use]
    pub const fn new(order: StoreRevision) -> Self {
        Self { order, seen: BTreeMap::new(), tests: BTreeMap::new(), alarmed: false }
    }

    /// Revision of the order.
    #[must_use]
    pub const fn order(&self) -> StoreRevision {
        self.order
    }

    /// Evaluates the latest counts; `true` when the test of a route or the test over all routes has
    /// detected that the new version is worse, now or in an earlier evaluation. Counts for other
    /// orders are skipped.
    pub fn evaluate(&mut self, hosts: &[HostSums]) -> bool {
        let order = self.order;
        let old = old_counts(hosts, order);
        for host in hosts.iter().filter(|host| host.order == order) {
            let key = (host.host.clone(), host.incarnation);
            for (route, counts) in &host.routes {
                let routes = self.seen.entry(key.clone()).or_default();
                let seen = routes.entry(Arc::clone(route)).or_default();
                let before = std::mem::replace(seen, seen.max(counts));
                self.add(route, counts.new, before.new, &old);
            }
        }
        self.alarmed
    }

    /// Feeds the answers of the new version since the last evaluation to the test of the route and
    /// the test over all routes; does nothing when there are none.
    ///
    /// `now` is the count of one incarnation of a host on the route, `seen` the same count at the
    /// last evaluation (zero when there was none), and `old` the answers of all other versions on
    /// all hosts, from which both tests take their baselines.
    fn add(&mut self, route: &Arc<str>, now: AnswerCount, seen: AnswerCount, old: &OldCounts) {
        let answers = now.answers.saturating_sub(seen.answers);
        if answers == 0 {
            return;
        }
        let bad = now.bad.saturating_sub(seen.bad).min(answers);
        let count = u32::try_from(answers).unwrap_or(u32::MAX);
        let old_of = |key: &Arc<str>| old.get(key).copied().unwrap_or_default();
        for key in [Arc::clone(route), total_of(route)] {
            let (baseline, threshold) = baseline_and_threshold(&old_of(&key));
            let test = self.tests.entry(key);
            // The version may be bad from its first answer on.
            let test =
                test.or_insert_with(|| MeanChangeTest::new(baseline, threshold).with_head_start());
            *test = test.with_baseline(baseline, threshold);
            self.alarmed |= test.add_sum(count, (answers - bad) as f64);
        }
    }

    /// The evidence for the next phase decision. It is doubtful when bad or missing answers leave
    /// it too likely that the new version is bad on some route, and suspected when the new version
    /// also has at least one bad answer on such a route.
    #[must_use]
    pub fn evidence(
        &self,
        hosts: &[HostSums],
        elapsed: Duration,
        since_move: Option<Duration>,
    ) -> StepEvidence {
        let mut seen = self.seen.clone();
        for host in hosts.iter().filter(|host| host.order == self.order) {
            let routes = seen.entry((host.host.clone(), host.incarnation)).or_default();
            for (route, counts) in &host.routes {
                let known = routes.entry(Arc::clone(route)).or_default();
                *known = known.max(counts);
            }
        }
        let mut sums = FleetSums::new();
        for (route, counts) in seen.values().flatten() {
            sums.entry(Arc::clone(route)).or_default().add(counts);
        }
        StepEvidence {
            elapsed,
            since_move,
            requests: sums.values().map(|route| route.requests).sum(),
            exposed: sums.values().map(|route| route.exposed).sum(),
            alarmed: self.alarmed,
            doubtful: sums.values().any(is_doubtful),
            suspected: sums.values().any(|route| route.new.bad > 0 && is_doubtful(route))
                || sums.iter().any(|(key, counts)| is_pace_suspected(key, counts)),
        }
    }
}

/// Whether the bad or missing answers of the new version on a route leave it too likely that it is
/// bad there; never with fewer than `MIN_ROUTE_REQUESTS` requests.
fn is_doubtful(sums: &RouteSums) -> bool {
    sums.requests >= MIN_ROUTE_REQUESTS && log_bad_ratio(sums) >= DOUBTFUL_LIKELIHOOD_RATIO.ln()
}

/// Whether the streams counted under `key` make it likely that the new version is slow, without
/// being enough for an alarm, as in a short canary.
fn is_pace_suspected(key: &str, sums: &RouteSums) -> bool {
    key.ends_with(PACE_SUFFIX) && log_bad_ratio(sums) >= SUSPECT_PACE_RATIO.ln()
}

/// Logarithm of the likelihood ratio of a bad to a good version on a route.
fn log_bad_ratio(sums: &RouteSums) -> f64 {
    let old = (sums.old.bad as f64 + PRIOR_ANSWERS * (1.0 - PRIOR_SUCCESS_RATE))
        / (sums.old.answers as f64 + PRIOR_ANSWERS);
    let failures_if_good =
        old.clamp(MIN_GOOD_VERSION_FAILURE_RATE, 1.0 - BAD_VERSION_ADDED_FAILURE_RATE);
    let failures_if_bad = (failures_if_good + BAD_VERSION_ADDED_FAILURE_RATE)
        .min(1.0 - MIN_GOOD_VERSION_FAILURE_RATE);
    let good = sums.new.answers.saturating_sub(sums.new.bad) as f64;
    sums.new.bad as f64 * (failures_if_bad / failures_if_good).ln()
        + good * ((1.0 - failures_if_bad) / (1.0 - failures_if_good)).ln()
}

/// Answers of the old version (the sum of all other versions), by route and over all routes.
type OldCounts = BTreeMap<Arc<str>, AnswerCount>;

fn old_counts(hosts: &[HostSums], order: StoreRevision) -> OldCounts {
    let mut counts = OldCounts::new();
    for (route, sums) in add_up(hosts, order) {
        counts.entry(total_of(&route)).or_default().add(sums.old);
        counts.insert(route, sums.old);
    }
    counts
}

/// The baseline from the prior and the answers of the old version so far, with a mean of at least
/// `MIN_BASELINE_SUCCESS_RATE`, and the alarm threshold. The drop to detect is the smaller of
/// `MIN_SUCCESS_RATE_DROP` and half the mean.
fn baseline_and_threshold(old: &AnswerCount) -> (RatingBaseline, f64) {
    let good = PRIOR_ANSWERS * PRIOR_SUCCESS_RATE + (old.answers - old.bad.min(old.answers)) as f64;
    let mean = (good / (PRIOR_ANSWERS + old.answers as f64)).max(MIN_BASELINE_SUCCESS_RATE);
    let baseline =
        RatingBaseline::new(mean, mean * (1.0 - mean), MIN_SUCCESS_RATE_DROP.min(mean / 2.0));
    (baseline, answer_threshold(&baseline, ANSWERS_BETWEEN_ALARMS))
}
