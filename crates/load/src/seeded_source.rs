//! Randomness from a seed, with the distributions that the models need.

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

/// A seeded source of randomness.
///
/// ```
/// use oleander_load::seeded_source::SeededSource;
///
/// let mut first = SeededSource::new(7);
/// let mut second = SeededSource::new(7);
/// assert_eq!(first.word(), second.word());
/// ```
#[derive(Debug)]
pub struct SeededSource {
    inner: StdRng,
}

impl SeededSource {
    /// A source for a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { inner: StdRng::seed_from_u64(seed) }
    }

    /// 64 random bits.
    pub fn word(&mut self) -> u64 {
        self.inner.next_u64()
    }

    /// A number in 0..1.
    pub fn unit(&mut self) -> f64 {
        self.inner.random()
    }

    /// A number in `low..high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// An exponential with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A standard normal.
    pub fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.unit()).cos()
    }

    /// A length around `mean`: lognormal with the given spread of the logarithm.
    pub fn length(&mut self, mean: f64, spread: f64) -> f64 {
        mean * (spread * self.normal() - spread * spread / 2.0).exp()
    }

    /// A beta variate with the given mean and concentration (the sum of its two parameters).
    pub fn beta(&mut self, mean: f64, concentration: f64) -> f64 {
        let first = self.gamma(mean * concentration);
        let second = self.gamma((1.0 - mean) * concentration);
        first / (first + second)
    }

    /// A gamma variate of scale 1 (Marsaglia and Tsang).
    fn gamma(&mut self, shape: f64) -> f64 {
        if shape < 1.0 {
            let boost = (1.0 - self.unit()).powf(1.0 / shape);
            return self.gamma(shape + 1.0) * boost;
        }
        let d = shape - 1.0 / 3.0;
        let c = 1.0 / (9.0 * d).sqrt();
        loop {
            let x = self.normal();
            let v = (1.0 + c * x).powi(3);
            let u = 1.0 - self.unit();
            if v > 0.0 && u.ln() < 0.5 * x * x + d - d * v + d * v.ln() {
                return d * v;
            }
        }
    }
}
