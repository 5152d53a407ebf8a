//! Load balancing: choice of the upstream for an attempt.
//!
//! Two candidates are drawn at random, two more among the nearest, and one is the upstream most
//! likely to have the prompt's prefix cached. The candidate with the lowest expected cost is
//! chosen: money plus the price of the expected latency. Load reports are already old when they
//! arrive, so each is blended with the mean of all reports according to its age, and the host's
//! own requests in flight are counted exactly. This keeps hosts from herding on the upstream that
//! was last reported idle.
//!
//! Where machines differ in speed, work is expected to take a multiple of the usual time
//! ([`UpstreamView::pace`]), and slower upstreams are drawn less often, so that work is shared in
//! proportion to speed also among hosts that know little of the load.

use crate::choice_mode::ChoiceMode;
use crate::ids::UpstreamName;
use crate::stable_hash::{mix, unit_point};
use crate::units::{Millis, Money, TokenCount};
use crate::upstream_pace::PaceFactor;
use std::time::Duration;

/// Age at which a load report has half of its weight; the mean of all reports has the rest.
pub const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Relative increase of the time between tokens from an idle engine to a fully used one.
pub const BATCH_SLOWDOWN: f64 = 0.6;
/// Share of the prefill time saved when the whole prompt is certain to be cached.
const PREFILL_SAVED: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const MAX_REDRAWS: u32 = 4;
/// Variance of the logarithm of the pace below which upstreams count as equally fast: 5 % of difference.
const MIN_PACE_SPREAD: f64 = 0.002_5;
/// Lower bound of the success rate in the expected cost.
const MIN_SUCCESS_RATE: f64 = 0.01;

/// The latest load report of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// This host's own requests at the upstream when the report was made.
    pub own: u32,
    /// Age of the report.
    pub age: Duration,
}

impl ReportedLoad {
    /// Requests of other hosts.
    #[must_use]
    pub const fn others(&self) -> u32 {
        (self.running + self.queued).saturating_sub(self.own)
    }
}

/// The state of one upstream of the subset as known to this host.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamView {
    /// The upstream.
    pub name: UpstreamName,
    /// This host's own requests in flight at the upstream.
    pub in_flight: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// This host's limit of requests in flight at the upstream.
    pub limit: u32,
    /// The latest report.
    pub report: Option<ReportedLoad>,
    /// Prompt tokens that its prefix cache is expected to save.
    pub cached: TokenCount,
    /// Price of the network transfer of the request and its answer.
    pub region_price: Money,
    /// Network round-trip time.
    pub delay: Millis,
    /// Expected time until the prompts queued at the upstream are processed.
    pub backlog: Millis,
    /// Time that work takes there now, relative to the usual time. The backlog includes it already.
    pub pace: PaceFactor,
    /// Share of full load while it warms up, from 0 to 1.
    pub slow_start: f64,
    /// Share of its latest attempts that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Whether it is leaving or drained.
    pub leaving: bool,
    /// Whether it has started a short while ago, so that it keeps no prompts.
    pub is_cold: bool,
    /// Whether it is compared with those that are drawn at random each time. One that may be sent a
    /// request now and then would be drawn too rarely among many.
    pub is_always_drawn: bool,
}

impl UpstreamView {
    /// An idle upstream in the region of this host, without any report.
    #[must_use]
    pub const fn new(name: UpstreamName, slots: u32) -> Self {
        Self {
            name,
            in_flight: 0,
            slots,
            limit: u32::MAX,
            report: None,
            cached: TokenCount::new(0),
            region_price: Money::ZERO,
            delay: Millis::new(0),
            backlog: Millis::new(0),
            pace: PaceFactor::USUAL,
            slow_start: 1.0,
            failure_rate: 0.0,
            ejected: false,
            leaving: false,
            is_cold: false,
            is_always_drawn: false,
        }
    }

    /// Whether it may receive new requests.
    #[must_use]
    pub const fn is_available(&self) -> bool {
        !self.leaving && !self.ejected && self.in_flight < self.limit
    }
}

/// Expected work of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptWork {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Expected tokens of the answer.
    pub answer: TokenCount,
    /// Expected time to first token for a prompt of this length on an idle upstream.
    pub first_token: Millis,
    /// Expected time between tokens on an idle upstream.
    pub token_gap: Millis,
    /// Price of a second of expected latency.
    pub price_per_second: Money,
}

impl AttemptWork {
    fn service_seconds(&self) -> f64 {
        let decode = self.token_gap.get() as f64 * f64::from(self.answer.get());
        (self.first_token.get() as f64 + decode) / MILLIS_PER_SECOND
    }
}

/// How an upstream is chosen. The last two rules are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum UpstreamRule {
    /// The lowest expected cost among a few candidates.
    #[default]
    ExpectedCost,
    /// A random available upstream.
    UniformRandom,
    /// The lowest reported load among all available upstreams.
    LeastReported,
}

impl From<ChoiceMode> for UpstreamRule {
    fn from(mode: ChoiceMode) -> Self {
        match mode {
            ChoiceMode::UniformRandom => Self::UniformRandom,
            ChoiceMode::LeastReported => Self::LeastReported,
            _ => Self::ExpectedCost,
        }
    }
}

/// Chooses among the upstreams of a subset. Returns the index of the chosen view, or `None` when
/// no upstream may receive new requests. `random` seeds the random draws.
///
/// ```
/// use oleander_core::ids::UpstreamName;
/// use oleander_core::units::{Millis, Money, TokenCount};
/// use oleander_core::upstream_choice::*;
///
/// let view = |name: &str| UpstreamView::new(UpstreamName::new(name).unwrap(), 8);
/// let mut views = vec![view("runner-1"), view("runner-2")];
/// views[0].in_flight = 7;
/// let work = AttemptWork {
///     prompt: TokenCount::new(800),
///     answer: TokenCount::new(200),
///     first_token: Millis::new(200),
///     token_gap: Millis::new(20),
///     price_per_second: Money::from_micros(500),
/// };
/// assert_eq!(choose_upstream(UpstreamRule::ExpectedCost, &views, &work, 1), Some(1));
/// ```
#[must_use]
pub fn choose_upstream(
    rule: UpstreamRule,
    views: &[UpstreamView],
    work: &AttemptWork,
    random: u64,
) -> Option<usize> {
    let available: Vec<usize> =
        (0..views.len()).filter(|&index| views[index].is_available()).collect();
    if available.is_empty() {
        return None;
    }
    match rule {
        UpstreamRule::ExpectedCost => lowest_cost(views, &available, work, random),
        UpstreamRule::UniformRandom => Some(available[pick(random, available.len())]),
        UpstreamRule::LeastReported => least_reported(views, &available, random),
    }
}

fn lowest_cost(
    views: &[UpstreamView],
    available: &[usize],
    work: &AttemptWork,
    random: u64,
) -> Option<usize> {
    let first = draw(views, available, random, None);
    let second = draw(views, available, mix(random), Some(first));
    let prefix_holder = available.iter().copied().max_by_key(|&index| views[index].cached.get());
    let prefix_holder = prefix_holder.filter(|&index| views[index].cached.get() > 0);
    let mean = MeanOthers::new(views);
    let price = work.price_per_second.as_micros() as f64;
    let cost = |index: usize| {
        let (view, mean_others) = (&views[index], mean.at(views[index].pace));
        let crowding = if mean.is_uneven { crowding_seconds(view, work, mean_others) } else { 0.0 };
        expected_cost(view, work, mean_others) + crowding * price
    };
    let [first_near, second_near] = draw_nearest(views, available, mix(random ^ 1));
    let candidates = [Some(first), Some(second), first_near, second_near, prefix_holder];
    let always = available.iter().copied().filter(|&index| views[index].is_always_drawn);
    candidates.into_iter().flatten().chain(always).min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
}

/// Draws an available upstream other than `excluded`. One that warms up, fails or is slow is drawn
/// less often.
fn draw(
    views: &[UpstreamView],
    available: &[usize],
    random: u64,
    excluded: Option<usize>,
) -> usize {
    let others: Vec<usize> =
        available.iter().copied().filter(|&index| Some(index) != excluded).collect();
    let pool = if others.is_empty() { available } else { &others };
    let pace = |index: usize| views[index].pace.get();
    let fastest = pool.iter().map(|&index| pace(index)).fold(f64::INFINITY, f64::min);
    let mut bits = mix(random);
    let mut chosen = pool[pick(bits, pool.len())];
    for _ in 0..MAX_REDRAWS {
        bits = mix(bits);
        let health = views[chosen].slow_start * (1.0 - views[chosen].failure_rate);
        if unit_point(bits) < health * fastest / pace(chosen) {
            break;
        }
        bits = mix(bits);
        chosen = pool[pick(bits, pool.len())];
    }
    chosen
}

/// Draws two of the nearest upstreams; none when all are equally near.
fn draw_nearest(views: &[UpstreamView], available: &[usize], random: u64) -> [Option<usize>; 2] {
    let delay = |index: &usize| views[*index].delay.get();
    let lowest = available.iter().map(delay).min().unwrap_or(0);
    let nearest: Vec<usize> =
        available.iter().copied().filter(|index| delay(index) == lowest).collect();
    if nearest.is_empty() || nearest.len() == available.len() {
        return [None, None];
    }
    let first = draw(views, &nearest, random, None);
    [Some(first), Some(draw(views, &nearest, mix(random), Some(first)))]
}

fn pick(random: u64, len: usize) -> usize {
    ((unit_point(random) * len as f64) as usize).min(len - 1)
}

fn least_reported(views: &[UpstreamView], available: &[usize], random: u64) -> Option<usize> {
    let load = |index: usize| views[index].report.map_or(0, |load| load.running + load.queued);
    let lowest = available.iter().map(|&index| load(index)).min()?;
    let ties: Vec<usize> =
        available.iter().copied().filter(|&index| load(index) == lowest).collect();
    Some(ties[pick(random, ties.len())])
}

/// Mean load per upstream that other hosts cause, over all reports, as a line over the logarithm of
/// the pace: faster upstreams get more work, so an old report of one must not be replaced by the mean
/// of all. With equal paces it is the mean.
#[derive(Clone, Copy, Debug, Default)]
struct MeanOthers {
    load: f64,
    log_pace: f64,
    slope: f64,
    /// Whether upstreams differ in pace.
    is_uneven: bool,
}

impl MeanOthers {
    fn new(views: &[UpstreamView]) -> Self {
        let reports = || {
            views.iter().filter_map(|view| {
                let load = f64::from(view.report?.others());
                Some((load, view.pace.get().ln()))
            })
        };
        let count = reports().count();
        if count == 0 {
            return Self::default();
        }
        let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / count as f64;
        let load = mean(&mut reports().map(|(load, _)| load));
        let log_pace = mean(&mut reports().map(|(_, log_pace)| log_pace));
        let spread = mean(&mut reports().map(|(_, pace)| (pace - log_pace).powi(2)));
        let common = mean(&mut reports().map(|(found, pace)| (found - load) * (pace - log_pace)));
        let is_uneven = spread > MIN_PACE_SPREAD;
        let slope = if is_uneven { (common / spread).min(0.0) } else { 0.0 };
        Self { load, log_pace, slope, is_uneven }
    }

    fn at(&self, pace: PaceFactor) -> f64 {
        (self.load + self.slope * (pace.get().ln() - self.log_pace)).max(0.0)
    }
}

/// Weight of a load report of this age, decaying from 1 for a new one to 0.
#[must_use]
pub fn report_weight(age: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
}

/// Expected number of requests at an upstream now. `mean_others` replaces the part of the report
/// that is outdated.
#[must_use]
pub fn expected_load(view: &UpstreamView, mean_others: f64) -> f64 {
    let others = view.report.map_or(mean_others, |load| {
        let weight = report_weight(load.age);
        f64::from(load.others()) * weight + mean_others * (1.0 - weight)
    });
    f64::from(view.in_flight) + others
}

/// Expected time in seconds to the complete answer of an upstream.
#[must_use]
pub fn expected_seconds(view: &UpstreamView, work: &AttemptWork, mean_others: f64) -> f64 {
    let slots = (f64::from(view.slots.max(1)) * view.slow_start).max(1.0);
    let load = expected_load(view, mean_others);
    let pace = view.pace.get();
    let service = work.service_seconds() * pace;
    let queueing = (load + 1.0 - slots).max(0.0) / slots * service;
    let cached = f64::from(view.cached.get()) / f64::from(work.prompt.get().max(1));
    let prefill = work.first_token.get() as f64 * (1.0 - PREFILL_SAVED * cached.min(1.0));
    let slowdown = 1.0 + BATCH_SLOWDOWN * (load / slots).min(1.0);
    let decode = work.token_gap.get() as f64 * f64::from(work.answer.get()) * slowdown;
    let delays = (view.delay.get() + view.backlog.get()) as f64;
    queueing + (delays + (prefill + decode) * pace) / MILLIS_PER_SECOND
}

/// Seconds by which a request delays others at an upstream. Counts only among machines of different
/// speed, where the fastest would otherwise be filled until it is as slow as the slowest: those that
/// run there get slower, and with an old report the slots may be full already, so each place above
/// the expected load within one standard deviation (of a Poisson distribution) is a queue.
fn crowding_seconds(view: &UpstreamView, work: &AttemptWork, mean_others: f64) -> f64 {
    let slots = (f64::from(view.slots.max(1)) * view.slow_start).max(1.0);
    let load = expected_load(view, mean_others);
    let pace = view.pace.get();
    let decode = work.token_gap.get() as f64 * f64::from(work.answer.get()) / MILLIS_PER_SECOND;
    let slowed = BATCH_SLOWDOWN * (load / slots).min(1.0) * decode * pace;
    let certainty = view.report.map_or(0.0, |report| report_weight(report.age));
    let deviation = (load * (1.0 - certainty)).sqrt();
    let queue = (load + deviation + 1.0 - slots).max(0.0);
    slowed + queue / slots * work.service_seconds()
}

/// Expected cost in millionths: the price of the transfer plus the price of the expected latency.
fn expected_cost(view: &UpstreamView, work: &AttemptWork, mean_others: f64) -> f64 {
    let seconds = expected_seconds(view, work, mean_others);
    let money = view.region_price.as_micros() as f64;
    let cost = money + seconds * work.price_per_second.as_micros() as f64;
    // An upstream that fails fast appears idle, so multiply by the expected number of attempts.
    cost / (1.0 - view.failure_rate).max(MIN_SUCCESS_RATE)
}
