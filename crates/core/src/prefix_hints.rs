//! Estimates of which upstream has the prefix of a prompt in its cache.
//!
//! Cache events arrive late and with gaps, so a hint is only a probability. It decays with age,
//! and a gap in an upstream's events halves every older hint of that upstream.

use crate::ids::UpstreamName;
use crate::stable_hash::hash_parts;
use crate::units::{Timestamp, TokenCount};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Half-life of a hint.
pub const HINT_HALF_LIFE: Duration = Duration::from_secs(120);
/// Probability that a prefix is cached right after a prompt with it was sent to the upstream.
const PROBABILITY_AFTER_DISPATCH: f64 = 0.9;
const PROBABILITY_AFTER_EVENT: f64 = 1.0;
/// Factor on the older hints of an upstream after a gap in its events.
const GAP_FACTOR: f64 = 0.5;
const MIN_PROBABILITY: f64 = 0.05;

/// Digest of a prompt prefix as reported by the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixDigest(u64);

impl PrefixDigest {
    /// Digest of the text that identifies a prefix.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self(hash_parts(&[prefix]))
    }
}

#[derive(Clone, Copy, Debug)]
struct HintEntry {
    tokens: TokenCount,
    probability: f64,
    seen_at: Timestamp,
    /// Number of the insertion that created the entry; older elements of the eviction order are
    /// outdated.
    insertion: u64,
}

/// Hints about the prefix caches of a subset of upstreams, with bounded memory.
#[derive(Clone, Debug)]
pub struct PrefixHints {
    capacity: usize,
    entries: HashMap<(UpstreamName, PrefixDigest), HintEntry>,
    /// Eviction order: every insertion, oldest first.
    order: VecDeque<(u64, UpstreamName, PrefixDigest)>,
    next_event: HashMap<UpstreamName, u64>,
    insertion: u64,
}

impl PrefixHints {
    /// An empty set that holds at most `capacity` hints over all upstreams.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            order: VecDeque::new(),
            next_event: HashMap::new(),
            insertion: 0,
        }
    }

    /// Number of hints held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no hint is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a prompt with this prefix was sent to an upstream.
    pub fn record_dispatch(
        &mut self,
        upstream: &UpstreamName,
        prefix: PrefixDigest,
        tokens: TokenCount,
        now: Timestamp,
    ) {
        self.insert(upstream, prefix, tokens, PROBABILITY_AFTER_DISPATCH, now);
    }

    /// Records one cache event of an upstream. Repeated events are ignored; a gap in the numbers
    /// reduces the probability of every older hint of the upstream.
    pub fn record_event(
        &mut self,
        upstream: &UpstreamName,
        number: u64,
        prefix: PrefixDigest,
        cached: bool,
        now: Timestamp,
    ) {
        let next = self.next_event.get(upstream).copied();
        if next.is_some_and(|next| number < next) {
            return;
        }
        if next.is_some_and(|next| number > next) {
            self.discount_hints(upstream);
        }
        self.next_event.insert(upstream.clone(), number + 1);
        let key = (upstream.clone(), prefix);
        if cached {
            let tokens = self.entries.get(&key).map_or(TokenCount::new(0), |entry| entry.tokens);
            self.insert(upstream, prefix, tokens, PROBABILITY_AFTER_EVENT, now);
        } else {
            self.entries.remove(&key);
        }
    }

    /// Removes all hints of an upstream, e.g. when it restarts.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        self.entries.retain(|(name, _), _| name != upstream);
        self.next_event.remove(upstream);
    }

    /// Probability from 0 to 1 that the upstream has the prefix cached.
    #[must_use]
    pub fn probability(
        &self,
        upstream: &UpstreamName,
        prefix: PrefixDigest,
        now: Timestamp,
    ) -> f64 {
        let Some(entry) = self.entries.get(&(upstream.clone(), prefix)) else { return 0.0 };
        let half_lives = now.since(entry.seen_at).as_secs_f64() / HINT_HALF_LIFE.as_secs_f64();
        entry.probability * 0.5f64.powf(half_lives)
    }

    /// Prompt tokens that the upstream's cache is expected to save: the probability times the
    /// length of the prefix.
    #[must_use]
    pub fn expected_saving(
        &self,
        upstream: &UpstreamName,
        prefix: PrefixDigest,
        prefix_tokens: TokenCount,
        now: Timestamp,
    ) -> TokenCount {
        let probability = self.probability(upstream, prefix, now);
        if probability < MIN_PROBABILITY {
            return TokenCount::new(0);
        }
        TokenCount::new((f64::from(prefix_tokens.get()) * probability) as u32)
    }

    fn discount_hints(&mut self, upstream: &UpstreamName) {
        let hints = self.entries.iter_mut().filter(|((name, _), _)| name == upstream);
        hints.for_each(|(_, entry)| entry.probability *= GAP_FACTOR);
    }

    fn insert(
        &mut self,
        upstream: &UpstreamName,
        prefix: PrefixDigest,
        tokens: TokenCount,
        probability: f64,
        now: Timestamp,
    ) {
        if self.capacity == 0 {
            return;
        }
        self.insertion += 1;
        let entry = HintEntry { tokens, probability, seen_at: now, insertion: self.insertion };
        self.entries.insert((upstream.clone(), prefix), entry);
        self.order.push_back((self.insertion, upstream.clone(), prefix));
        self.evict();
    }

    fn evict(&mut self) {
        let is_over_capacity = |hints: &Self| {
            hints.entries.len() > hints.capacity || hints.order.len() > 2 * hints.capacity
        };
        while is_over_capacity(self) {
            let Some((insertion, upstream, prefix)) = self.order.pop_front() else { return };
            let key = (upstream, prefix);
            if self.entries.get(&key).is_some_and(|entry| entry.insertion == insertion) {
                self.entries.remove(&key);
            }
        }
    }
}
