//! Placement of requests by prompt: prefix-cache affinity and expected prefill time.

use crate::choice_price::ChoicePrices;
use crate::rollout_plan::VersionRule;
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::TokenSize;
use oleander_core::ids::UpstreamName;
use oleander_core::stable_hash::hash_parts;
use oleander_core::units::{Millis, Timestamp, TokenCount};
use oleander_core::upstream_choice::{AttemptWork, UpstreamView, expected_load};
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
    let shared_prefix = input.shared_prefix?;
    let open = |index: &usize| views[*index].is_available();
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
    let rank = |index: &usize| hash_parts(&[shared_prefix, views[*index].name.as_str()]);
    candidates.into_iter().filter(|&index| load(index) <= max_load).max_by_key(rank)
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
