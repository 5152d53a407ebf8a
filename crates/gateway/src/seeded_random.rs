//! Random words from a seed, shared by the requests of a process.

use oleander_core::stable_hash::{mix, unit_point};
use std::sync::atomic::{AtomicU64, Ordering};

/// A sequence of random words.
#[derive(Debug)]
pub struct SeededRandom(AtomicU64);

impl SeededRandom {
    /// The sequence of a seed.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    /// The next word.
    pub fn next(&self) -> u64 {
        mix(self.0.fetch_add(1, Ordering::Relaxed))
    }

    /// The next point in 0..1.
    pub fn next_unit(&self) -> f64 {
        unit_point(self.next())
    }
}
