//! Placement of requests by prompt: prefix-cache affinity and expected prefill time.

use crate::choice_price::ChoicePrices;
use crate::rollout_plan::VersionRule;
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::{PromptPart, TokenSize};
use oleander_core::ids::UpstreamName;
use oleander_core::prefix_value::PromptPrefix;
use oleander_core::stable_hash::hash_parts;
use oleander_core::units::{Millis, Timestamp, TokenCount};
use oleander_core::upstream_choice::{AttemptWork, UpstreamView, expected_load};
use std::cmp::Reverse;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Load, as a share of the slots, from which switching to an upstream is no better than waiting at
/// the current one.
const FULL_SLOTS_SHARE: f64 = 0.85;
/// Load relative to the mean up to which an upstream keeps attracting prompts that it has cached.
const CACHE_HOLDER_LOAD_FACTOR: f64 = 1.25;
/// Requests above the mean that a cache holder may always have.
const CACHE_HOLDER_LOAD_SLACK: f64 = 3.0;
/// Engines of the target deployments take about 60 ms to the first token of a short prompt with a few
/// dozen requests running.
const FIRST_TOKEN_BASE_MS: u64 = 60;

/// What a choice needs to know of the prompt. The default is that of a service without models.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptInput<'a> {
    /// The model that answers it.
    pub model: Option<&'a Arc<str>>,
    /// Its parts; the last one belongs to the request alone.
    pub parts: &'a [PromptPart],
    /// Tokens that fit into the memory of an upstream, if the service states it.
    pub memory_tokens: Option<u32>,
}

impl PromptInput<'_> {
    /// The parts that other requests share.
    pub(crate) fn prefix(&self) -> PromptPrefix {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let model = self.model.map_or("", |model| model);
        PromptPrefix::new(model, shared.iter().map(|part| (&*part.id, part.tokens)))
    }
}

/// Minimum prefill time that a cached prefix saves for its holders to be compared with other
/// upstreams each time. Reports of load do not resolve less.
const MIN_SAVED: Duration = Duration::from_millis(10);

/// Whether a shared prefix is long enough for a request to seek the upstreams that keep it.
pub(crate) fn is_worth_seeking(input: &ChoiceInput<'_>, prefix: &PromptPrefix) -> bool {
    input.prefill.saturating_sub(remaining_prefill(input, prefix.tokens())) >= MIN_SAVED
}

/// Expected prefill time of the prompt at an upstream that has so many of its tokens cached.
pub(crate) fn remaining_prefill(input: &ChoiceInput<'_>, cached: TokenCount) -> Duration {
    let share = f64::from(cached.get()) / f64::from(input.size.prompt.max(1));
    input.prefill.mul_f64(1.0 - share.min(1.0))
}

/// Places of the upstreams in the order of a prefix, which all hosts compute alike. Those that may not
/// be used have none.
pub(crate) fn holder_places(views: &[UpstreamView], input: &ChoiceInput<'_>) -> Vec<Option<usize>> {
    let mut order: Vec<usize> = (0..views.len()).filter(|&index| may_hold(&views[index])).collect();
    order.sort_by_cached_key(|&index| Reverse(rank(input, &views[index])));
    let mut places = vec![None; views.len()];
    order.into_iter().enumerate().for_each(|(place, index)| places[index] = Some(place));
    places
}

/// Inputs to the choice of an upstream.
pub struct ChoiceInput<'a> {
    /// Upstreams of the service that accept new work.
    pub entries: &'a [Arc<UpstreamEntry>],
    /// Versions that may be used.
    pub rule: &'a VersionRule,
    /// Upstreams already tried.
    pub tried: &'a HashSet<UpstreamName>,
    /// Token counts of the request.
    pub size: TokenSize,
    /// Expected prefill time of the prompt.
    pub prefill: Duration,
    /// Id of the shared prompt prefix that upstreams may have cached.
    pub shared_prefix: Option<&'a str>,
    /// The prompt.
    pub prompt: PromptInput<'a>,
    /// Prices that candidates are compared by.
    pub prices: ChoicePrices,
    /// Priority of the request; 0 is most urgent.
    pub priority: u8,
    /// Random number for tie-breaking and sampling.
    pub random: u64,
    /// Current time.
    pub now: Timestamp,
}

pub(crate) fn has_free_slots(view: &UpstreamView) -> bool {
    expected_load(view, 0.0) < f64::from(view.slots) * FULL_SLOTS_SHARE
}

/// The upstream that should cache the shared prefix: the first in rendezvous-hash order that is not
/// loaded much above the mean. If a cache hit saves less than the transfer to another region costs,
/// only the nearest upstreams are considered.
pub(crate) fn cache_holder(views: &[UpstreamView], input: &ChoiceInput<'_>) -> Option<usize> {
    input.shared_prefix?;
    let open = |index: &usize| may_hold(&views[*index]);
    let nearest = (0..views.len()).filter(open).map(|index| views[index].delay).min()?;
    let any_region = input.prices.cache_miss > input.prices.transfer;
    let candidates: Vec<usize> = (0..views.len())
        .filter(open)
        .filter(|&index| any_region || views[index].delay == nearest)
        .collect();
    let load = |index: usize| expected_load(&views[index], 0.0);
    let mean =
        candidates.iter().map(|&index| load(index)).sum::<f64>() / candidates.len().max(1) as f64;
    let max_load = mean * CACHE_HOLDER_LOAD_FACTOR + CACHE_HOLDER_LOAD_SLACK;
    let open = candidates.into_iter().filter(|&index| load(index) <= max_load);
    open.max_by_key(|&index| rank(input, &views[index]))
}

/// Whether an upstream may be one of those that are to keep a prompt.
const fn may_hold(view: &UpstreamView) -> bool {
    view.is_available() && !view.is_cold
}

/// Rank of an upstream in the order of the request's shared prefix; the highest comes first.
fn rank(input: &ChoiceInput<'_>, view: &UpstreamView) -> u64 {
    hash_parts(&[input.shared_prefix.unwrap_or_default(), view.name.as_str()])
}

/// Expected work of the request; `token_gap` is the time between tokens of the service's answers.
pub(crate) fn attempt_work(input: &ChoiceInput<'_>, token_gap: Millis) -> AttemptWork {
    let prefill = u64::try_from(input.prefill.as_millis()).unwrap_or(u64::MAX);
    AttemptWork {
        prompt: TokenCount::new(input.size.prompt),
        answer: TokenCount::new(input.size.answer),
        first_token: Millis::new(FIRST_TOKEN_BASE_MS.saturating_add(prefill)),
        token_gap,
        price_per_second: input.prices.per_second,
    }
}
