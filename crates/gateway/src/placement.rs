//! Where a request should go by its prompt: what it shares with others, and how long it takes.

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

/// Load of an upstream's slots from which it is no better than waiting elsewhere.
const FULL_SLOTS_SHARE: f64 = 0.85;
/// Load above the mean at which an upstream no longer attracts prompts that it has cached.
const CACHE_HOLDER_LOAD_FACTOR: f64 = 1.25;
/// Requests above the mean that are always fine for a holder of cached prompts.
const CACHE_HOLDER_LOAD_SLACK: f64 = 3.0;
/// Engines of the users make the first token in about 60 ms and another one in about 6 ms when
/// a few dozen requests run.
const FIRST_TOKEN_BASE_MS: u64 = 60;
const TOKEN_GAP: Millis = Millis::new(6);

/// What a choice of an upstream depends on.
pub struct ChoiceInput<'a> {
    /// Upstreams of the service that take work.
    pub entries: &'a [Arc<UpstreamEntry>],
    /// Which versions may be used.
    pub rule: &'a VersionRule,
    /// Upstreams that were tried already.
    pub tried: &'a HashSet<UpstreamName>,
    /// Tokens of the request, at engines.
    pub size: TokenSize,
    /// Expected time to read its prompt, at engines.
    pub prefill: Duration,
    /// What requests share that should stay together, if anything.
    pub shared_prefix: Option<&'a str>,
    /// What the choice is weighed in.
    pub prices: ChoicePrices,
    /// Decides the draws.
    pub random: u64,
    /// The time.
    pub now: Timestamp,
}

pub(crate) fn has_free_slots(view: &UpstreamView) -> bool {
    expected_load(view, 0.0) < f64::from(view.slots) * FULL_SLOTS_SHARE
}

/// The upstream that should hold what the request shares with others: the first one in the
/// order of a hash of both that is not loaded much above the mean. Where it saves less than the
/// way to another region costs, it is one of the nearest.
pub(crate) fn cache_holder(views: &[UpstreamView], input: &ChoiceInput<'_>) -> Option<usize> {
    let shared_prefix = input.shared_prefix?;
    let open = |index: &usize| views[*index].is_open();
    let nearest = (0..views.len()).filter(open).map(|index| views[index].delay).min()?;
    let is_far = input.prices.cache_miss > input.prices.transfer;
    let fits: Vec<usize> = (0..views.len())
        .filter(open)
        .filter(|&index| is_far || views[index].delay == nearest)
        .collect();
    let load = |index: usize| expected_load(&views[index], 0.0);
    let mean = fits.iter().map(|&index| load(index)).sum::<f64>() / fits.len().max(1) as f64;
    let most = mean * CACHE_HOLDER_LOAD_FACTOR + CACHE_HOLDER_LOAD_SLACK;
    let rank = |index: &usize| hash_parts(&[shared_prefix, views[*index].name.as_str()]);
    fits.into_iter().filter(|&index| load(index) <= most).max_by_key(rank)
}

pub(crate) fn attempt_work(input: &ChoiceInput<'_>) -> AttemptWork {
    let prefill = u64::try_from(input.prefill.as_millis()).unwrap_or(u64::MAX);
    AttemptWork {
        prompt: TokenCount::new(input.size.prompt),
        answer: TokenCount::new(input.size.answer),
        first_token: Millis::new(FIRST_TOKEN_BASE_MS.saturating_add(prefill)),
        token_gap: TOKEN_GAP,
        price_per_second: input.prices.second,
    }
}
