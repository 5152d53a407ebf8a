//! Random numbers of a run, all derived from its seed.

use oleander_core::stable_hash::mix;
use std::sync::atomic::{AtomicU64, Ordering};

/// Seeded random number generator.
pub struct SeededRandom(AtomicU64);

impl SeededRandom {
    /// A generator for a seed.
    pub fn new(seed: u64) -> Self {
        Self(AtomicU64::new(mix(seed ^ 0x5eed)))
    }

    /// A number below `limit`.
    pub fn below(&self, limit: u64) -> u64 {
        mix(self.0.fetch_add(0x9e37_79b9, Ordering::Relaxed)) % limit.max(1)
    }

    /// A random item of a list.
    pub fn pick<'a, T>(&self, list: &'a [T]) -> &'a T {
        &list[self.below(list.len() as u64) as usize]
    }
}
