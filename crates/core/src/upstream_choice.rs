//! Which upstream gets an attempt.
//!
//! Two candidates are drawn at random, two more among the nearest, one is the likeliest holder of
//! the prompt's prefix, and the one with the least expected cost wins: money plus the price of the expected latency.
//! A load report is old when it arrives, so it is blended with the mean of all reports by its
//! age, and the host's own requests in flight are counted exactly. That keeps hosts from
//! rushing to the same upstream that looked idle a moment ago.

use crate::choice_mode::ChoiceMode;
use crate::ids::UpstreamName;
use crate::stable_hash::{mix, unit_point};
use crate::units::{Millis, Money, TokenCount};
use std::time::Duration;

/// Age at which a load report counts half against the mean of all reports.
pub const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Growth of the gap between tokens from an idle engine to one with every slot taken.
pub const BATCH_SLOWDOWN: f64 = 0.6;
/// Share of a prompt's prefill time that a certain prefix hit saves.
const PREFILL_SAVED: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const MAX_REDRAWS: u32 = 4;
/// Least chance of success that is counted with.
const LEAST_SUCCESS: f64 = 0.01;

/// A load report as the host has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
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

/// One upstream of the subset, as the host sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamView {
    /// The upstream.
    pub name: UpstreamName,
    /// This host's own requests in flight there.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// This host's limit of requests in flight there.
    pub limit: u32,
    /// The latest report.
    pub report: Option<ReportedLoad>,
    /// Prompt tokens that its prefix cache is expected to save.
    pub cached: TokenCount,
    /// Price of moving the request and its answer there and back.
    pub region_price: Money,
    /// Delay there and back.
    pub delay: Millis,
    /// Time that prompts which wait there are expected to take before a new one is read.
    pub backlog: Millis,
    /// Share of full work that it may get while it warms up, from 0 to 1.
    pub slow_start: f64,
    /// Share of its latest attempts that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Whether it is leaving or drained.
    pub leaving: bool,
}

impl UpstreamView {
    /// An idle upstream in the host's own region, without any report.
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
            slow_start: 1.0,
            failure_rate: 0.0,
            ejected: false,
            leaving: false,
        }
    }

    /// Whether it may get new work at all.
    #[must_use]
    pub const fn is_available(&self) -> bool {
        !self.leaving && !self.ejected && self.in_flight < self.limit
    }
}

/// The work of one attempt, as far as the choice needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptWork {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Expected tokens of the answer.
    pub answer: TokenCount,
    /// Expected time to the first token of a prompt of this length on an idle upstream.
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

/// How an upstream is chosen; the last two are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum UpstreamRule {
    /// The least expected cost out of a few candidates.
    #[default]
    ExpectedCost,
    /// Any open upstream.
    UniformRandom,
    /// The least reported load over all open upstreams.
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

/// Chooses among the upstreams of a subset. Returns the index of the chosen view, or `None`
/// when no upstream may get new work. `random` decides the draws.
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
    let open: Vec<usize> = (0..views.len()).filter(|&index| views[index].is_available()).collect();
    if open.is_empty() {
        return None;
    }
    match rule {
        UpstreamRule::ExpectedCost => least_cost(views, &open, work, random),
        UpstreamRule::UniformRandom => Some(open[pick(random, open.len())]),
        UpstreamRule::LeastReported => least_reported(views, &open, random),
    }
}

fn least_cost(
    views: &[UpstreamView],
    open: &[usize],
    work: &AttemptWork,
    random: u64,
) -> Option<usize> {
    let first = draw(views, open, random, None);
    let second = draw(views, open, mix(random), Some(first));
    let holder = open.iter().copied().max_by_key(|&index| views[index].cached.get());
    let holder = holder.filter(|&index| views[index].cached.get() > 0);
    let mean = mean_others(views);
    let cost = |index: usize| expected_cost(&views[index], work, mean);
    let [near, next] = draw_near(views, open, mix(random ^ 1));
    let candidates = [Some(first), Some(second), near, next, holder];
    candidates.into_iter().flatten().min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
}

/// Draws an open upstream other than `not`; one that warms up or fails is drawn less often.
fn draw(views: &[UpstreamView], open: &[usize], random: u64, not: Option<usize>) -> usize {
    let others: Vec<usize> = open.iter().copied().filter(|&index| Some(index) != not).collect();
    let pool = if others.is_empty() { open } else { &others };
    let mut word = mix(random);
    let mut chosen = pool[pick(word, pool.len())];
    for _ in 0..MAX_REDRAWS {
        word = mix(word);
        if unit_point(word) < views[chosen].slow_start * (1.0 - views[chosen].failure_rate) {
            break;
        }
        word = mix(word);
        chosen = pool[pick(word, pool.len())];
    }
    chosen
}

/// Draws two of the nearest upstreams, where some are farther away than others.
fn draw_near(views: &[UpstreamView], open: &[usize], random: u64) -> [Option<usize>; 2] {
    let delay = |index: &usize| views[*index].delay.get();
    let least = open.iter().map(delay).min().unwrap_or(0);
    let near: Vec<usize> = open.iter().copied().filter(|index| delay(index) == least).collect();
    if near.is_empty() || near.len() == open.len() {
        return [None, None];
    }
    let first = draw(views, &near, random, None);
    [Some(first), Some(draw(views, &near, mix(random), Some(first)))]
}

fn pick(random: u64, len: usize) -> usize {
    ((unit_point(random) * len as f64) as usize).min(len - 1)
}

fn least_reported(views: &[UpstreamView], open: &[usize], random: u64) -> Option<usize> {
    let load = |index: usize| views[index].report.map_or(0, |load| load.running + load.queued);
    let least = open.iter().map(|&index| load(index)).min()?;
    let ties: Vec<usize> = open.iter().copied().filter(|&index| load(index) == least).collect();
    Some(ties[pick(random, ties.len())])
}

/// Mean load that other hosts put on an upstream, over all reports.
fn mean_others(views: &[UpstreamView]) -> f64 {
    let reports: Vec<f64> =
        views.iter().filter_map(|view| view.report).map(|load| f64::from(load.others())).collect();
    if reports.is_empty() { 0.0 } else { reports.iter().sum::<f64>() / reports.len() as f64 }
}

/// How much a load report of an age still counts, from 1 for a new one to 0.
#[must_use]
pub fn report_weight(age: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
}

/// Requests expected at an upstream now. `mean_others` stands in for what the report no longer
/// tells.
#[must_use]
pub fn expected_load(view: &UpstreamView, mean_others: f64) -> f64 {
    let others = view.report.map_or(mean_others, |load| {
        let trust = report_weight(load.age);
        f64::from(load.others()) * trust + mean_others * (1.0 - trust)
    });
    f64::from(view.in_flight) + others
}

/// Expected seconds to the whole answer at an upstream.
#[must_use]
pub fn expected_seconds(view: &UpstreamView, work: &AttemptWork, mean_others: f64) -> f64 {
    let slots = (f64::from(view.slots.max(1)) * view.slow_start).max(1.0);
    let load = expected_load(view, mean_others);
    let service = work.service_seconds();
    let waiting = (load + 1.0 - slots).max(0.0) / slots * service;
    let cached = f64::from(view.cached.get()) / f64::from(work.prompt.get().max(1));
    let prefill = work.first_token.get() as f64 * (1.0 - PREFILL_SAVED * cached.min(1.0));
    let slowdown = 1.0 + BATCH_SLOWDOWN * (load / slots).min(1.0);
    let decode = work.token_gap.get() as f64 * f64::from(work.answer.get()) * slowdown;
    let delays = (view.delay.get() + view.backlog.get()) as f64;
    waiting + (delays + prefill + decode) / MILLIS_PER_SECOND
}

/// Expected cost in millionths: the region's price plus the price of the expected latency.
fn expected_cost(view: &UpstreamView, work: &AttemptWork, mean_others: f64) -> f64 {
    let seconds = expected_seconds(view, work, mean_others);
    let money = view.region_price.as_micros() as f64;
    let cost = money + seconds * work.price_per_second.as_micros() as f64;
    // An upstream that fails fast looks idle: count the attempts that an answer takes there.
    cost / (1.0 - view.failure_rate).max(LEAST_SUCCESS)
}
