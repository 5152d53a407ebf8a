//! How much of a prompt an upstream is likely to have cached.
//!
//! Addresses prompts of which a part is shared by many requests of all hosts (of 450 million prompt
//! tokens of a busy day 90 were shared parts that were read again, 15 to 29 were found cached), while an
//! engine reads as many tokens as it can keep within a few seconds. There is no shared table: each host
//! sends requests with the same parts to the same few upstreams, in an order by hash that all hosts
//! compute alike, and estimates from its own requests how often all hosts together do. A prefix is kept
//! where it was used within the time in which the upstream reads as much as it can keep.
//!
//! A part counts only with all parts before it, and for one model.

use crate::stable_hash::hash_parts;
use crate::units::{Timestamp, TokenCount};
use std::collections::HashMap;
use std::time::Duration;

/// Time over which demand is averaged: a multiple of the time for which a busy upstream keeps a prefix.
const DEMAND_TIME: Duration = Duration::from_secs(20);
/// Maximum prefixes whose demand is known, and those known of one upstream.
const MAX_PREFIXES: usize = 512;
const MAX_SENT: usize = 64;
/// Upstreams in the order of a prefix that are expected to have it.
pub const HOLDERS: usize = 3;
/// Share of a prefix's requests that a further upstream in its order gets, relative to the one before.
const NEXT_HOLDER_SHARE: f64 = 0.5;
/// Chance that the first upstream in the order has a prefix that nothing is known of. Makes hosts agree
/// on where it is read first, and is too small to outweigh a wait.
const FIRST_USE_CHANCE: f64 = 0.1;
/// Weight below which a prefix is forgotten.
const MIN_WEIGHT: f64 = 0.05;
/// Share of the memory over which the estimate of what is kept falls from certain to nothing, since the
/// tokens that others read are estimated.
const UNCERTAIN_SHARE: f64 = 0.25;
/// Assumed time for which a prefix is kept at an upstream that reads nothing.
const MAX_RETENTION: Duration = Duration::from_secs(600);

/// Identifies a model and the parts of a prompt up to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PrefixKey(u64);

/// The shared parts of a prompt: a key for each part with those before it, and its tokens.
///
/// ```
/// use oleander_core::prefix_value::PromptPrefix;
///
/// let both = PromptPrefix::new("small", [("system", 512), ("subject", 4_870)]);
/// assert_eq!((both.tokens().get(), both.steps().len()), (5_382, 2));
/// let other = PromptPrefix::new("small", [("system", 512), ("other", 300)]);
/// assert_eq!(both.steps()[0], other.steps()[0]);
/// let swapped = PromptPrefix::new("small", [("subject", 4_870), ("system", 512)]);
/// assert_ne!(both.steps()[1].0, swapped.steps()[1].0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix(Vec<(PrefixKey, TokenCount)>);

impl PromptPrefix {
    /// The prefix of parts, in order, for a model.
    #[must_use]
    pub fn new<'a>(model: &str, parts: impl IntoIterator<Item = (&'a str, u32)>) -> Self {
        let mut key = hash_parts(&[model]);
        let steps = parts.into_iter().map(|(id, tokens)| {
            key = hash_parts(&[&key.to_string(), id]);
            (PrefixKey(key), TokenCount::new(tokens))
        });
        Self(steps.collect())
    }

    /// The keys and tokens of its parts.
    #[must_use]
    pub fn steps(&self) -> &[(PrefixKey, TokenCount)] {
        &self.0
    }

    /// Tokens of all parts.
    #[must_use]
    pub fn tokens(&self) -> TokenCount {
        self.0.iter().fold(TokenCount::default(), |sum, (_, tokens)| sum + *tokens)
    }
}

/// A sum that decays over [`DEMAND_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Timestamp,
}

impl DecayingSum {
    fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, amount: f64, now: Timestamp) {
        (self.sum, self.at) = (self.at(now) + amount, now);
    }
}

/// The requests of this host to a service: their tokens, and their prefixes.
#[derive(Clone, Debug, Default)]
pub struct PrefixDemand {
    since: Option<Timestamp>,
    tokens: DecayingSum,
    squares: DecayingSum,
    /// Requests by prefix, with the number of its parts.
    prefixes: HashMap<PrefixKey, (usize, DecayingSum)>,
}

impl PrefixDemand {
    /// No requests yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request of so many tokens, which has its place in memory, with what it shares.
    pub fn record(&mut self, prefix: &PromptPrefix, tokens: TokenCount, now: Timestamp) {
        self.since.get_or_insert(now);
        self.tokens.add(f64::from(tokens.get()), now);
        self.squares.add(f64::from(tokens.get()).powi(2), now);
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.retain(|_, (_, sum)| sum.at(now) >= MIN_WEIGHT);
        }
        for (index, (key, _)) in prefix.steps().iter().enumerate() {
            if self.prefixes.len() < MAX_PREFIXES || self.prefixes.contains_key(key) {
                let parts = index + 1;
                self.prefixes
                    .entry(*key)
                    .or_insert((parts, DecayingSum::default()))
                    .1
                    .add(1.0, now);
            }
        }
    }

    /// Mean tokens of a request that an upstream holds. Longer requests stay longer, so each counts by
    /// its tokens.
    #[must_use]
    pub fn held_tokens(&self, now: Timestamp) -> f64 {
        self.squares.at(now) / self.tokens.at(now).max(1.0)
    }

    /// Tokens a second of this host's requests.
    #[must_use]
    pub fn token_rate(&self, now: Timestamp) -> f64 {
        self.tokens.at(now) / self.span(now)
    }

    /// Requests a second of this host with a prefix of so many parts. One host of many sees few requests
    /// with each, so half of the estimate is the mean over prefixes of as many parts, less those seen
    /// only once.
    #[must_use]
    pub fn rate(&self, key: PrefixKey, parts: usize, now: Timestamp) -> f64 {
        let (mut total, mut known, mut single) = (0.0, 0.0, 0.0);
        for (_, sum) in self.prefixes.values().filter(|(found, _)| *found == parts) {
            let weight = sum.at(now);
            if weight >= MIN_WEIGHT {
                total += weight;
                known += 1.0;
                single += if weight <= 1.0 { weight } else { 0.0 };
            }
        }
        let mean = if known > 0.0 { (total - single) / known } else { 0.0 };
        let own = self.prefixes.get(&key).map_or(0.0, |(_, sum)| sum.at(now));
        f64::midpoint(own, mean) / self.span(now)
    }

    /// Weighted time that the sums cover.
    fn span(&self, now: Timestamp) -> f64 {
        let time = DEMAND_TIME.as_secs_f64();
        let age = self.since.map_or(0.0, |since| now.since(since).as_secs_f64());
        (time * (1.0 - (-age / time).exp())).max(1.0)
    }
}

/// Prefixes that this host has sent to one upstream, and when.
#[derive(Clone, Debug, Default)]
pub struct SentPrefixes(HashMap<PrefixKey, Timestamp>);

impl SentPrefixes {
    /// Records that a prefix was sent.
    pub fn record(&mut self, prefix: &PromptPrefix, now: Timestamp) {
        for (key, _) in prefix.steps() {
            self.0.insert(*key, now);
        }
        while self.0.len() > MAX_SENT {
            let oldest = self.0.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            oldest.map(|key| self.0.remove(&key));
        }
    }
}

/// The memory of an upstream, as far as this host can tell.
///
/// ```
/// use oleander_core::prefix_value::UpstreamMemory;
/// use std::time::Duration;
///
/// let memory = UpstreamMemory {
///     capacity: 600_000,
///     running: 100_000.0,
///     read_rate: 100_000.0,
///     up_for: Duration::from_secs(60),
/// };
/// assert_eq!(memory.retention(), Duration::from_secs(5));
/// assert!(memory.fits(12_000) && !memory.fits(500_001));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamMemory {
    /// Tokens that fit.
    pub capacity: u32,
    /// Tokens of requests that are there.
    pub running: f64,
    /// Tokens a second that all hosts together have it read.
    pub read_rate: f64,
    /// Time since its start.
    pub up_for: Duration,
}

impl UpstreamMemory {
    /// Whether a request of so many tokens fits beside those that are there.
    #[must_use]
    pub fn fits(&self, tokens: u32) -> bool {
        self.running + f64::from(tokens) <= f64::from(self.capacity)
    }

    /// How long a prefix is kept that is not used.
    #[must_use]
    pub fn retention(&self) -> Duration {
        let free = (f64::from(self.capacity) - self.running).max(0.0);
        let seconds = free / self.read_rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_RETENTION.as_secs_f64())).min(self.up_for)
    }

    /// Probability that a prefix is kept that was used `age` ago.
    fn keeps(&self, age: Duration) -> f64 {
        let read = self.read_rate * age.as_secs_f64();
        let free = f64::from(self.capacity) - self.running - read;
        let uncertain = f64::from(self.capacity) * UNCERTAIN_SHARE;
        if age < self.up_for { (free / uncertain).clamp(0.0, 1.0) } else { 0.0 }
    }
}

/// How often all hosts together use each part of a prompt with those before it.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixUse {
    /// Key, tokens, and requests a second.
    steps: Vec<(PrefixKey, TokenCount, f64)>,
    /// Number of upstreams of the service.
    upstreams: usize,
}

impl PrefixUse {
    /// The use of a prefix, extrapolated from the requests of this host to `hosts` hosts.
    #[must_use]
    pub fn new(
        prefix: &PromptPrefix,
        demand: &PrefixDemand,
        hosts: usize,
        upstreams: usize,
        now: Timestamp,
    ) -> Self {
        let steps = prefix.0.iter().enumerate().map(|(index, &(key, tokens))| {
            (key, tokens, demand.rate(key, index + 1, now) * hosts as f64)
        });
        let steps = steps.collect();
        Self { steps, upstreams }
    }

    /// Expected tokens of the prompt that are cached at an upstream. `place` is its place in the order
    /// of the prefix, from 0; `sent` is what this host has sent there.
    #[must_use]
    pub fn kept_tokens(
        &self,
        place: usize,
        sent: &SentPrefixes,
        memory: &UpstreamMemory,
        now: Timestamp,
    ) -> TokenCount {
        let spread = 1.0 / self.upstreams.max(1) as f64;
        let retention = memory.retention().as_secs_f64();
        let held = if place < HOLDERS { NEXT_HOLDER_SHARE.powi(place as i32) } else { 0.0 };
        let (mut kept, mut all_before) = (0.0, 1.0f64);
        for (index, (key, tokens, rate)) in self.steps.iter().enumerate() {
            // Earlier parts come with many prefixes, whose orders differ, so they are used everywhere.
            let is_last = index + 1 == self.steps.len();
            let share = if is_last { held } else { held.max(spread) };
            let own = sent.0.get(key).map_or(0.0, |at| memory.keeps(now.since(*at)));
            let first = if place == 0 { FIRST_USE_CHANCE } else { 0.0 };
            let used = 1.0 - (-rate * share * retention).exp();
            all_before = all_before.min(used.max(own).max(first));
            kept += all_before * f64::from(tokens.get());
        }
        TokenCount::new(kept as u32)
    }
}
