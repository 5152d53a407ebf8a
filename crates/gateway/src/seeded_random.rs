//! Pseudo-random numbers from a seed, shared by the requests of a process.

use oleander_core::stable_hash::{mix, unit_point};
use std::sync::atomic::{AtomicU64, Ordering};

/// A sequence of pseudo-random numbers.
#[derive(Debug)]
pub struct SeededRandom(AtomicU64);

impl SeededRandom {
    /// Creates the sequence of a seed.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    /// The next 64-bit number.
    pub fn next(&self) -> u64 {
        mix(self.0.fetch_add(1, Ordering::Relaxed))
    }

    /// The next number in 0..1.
    pub fn next_unit(&self) -> f64 {
        unit_point(self.next())
    }
}
