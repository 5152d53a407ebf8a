//! A seeded random number generator with the distributions that the models need.

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

/// A seeded random number generator.
///
/// ```
/// use oleander_load::seeded_random::SeededRandom;
///
/// let mut first = SeededRandom::new(7);
/// let mut second = SeededRandom::new(7);
/// assert_eq!(first.next_u64(), second.next_u64());
/// ```
#[derive(Debug)]
pub struct SeededRandom {
    inner: StdRng,
}

impl SeededRandom {
    /// Creates a generator from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { inner: StdRng::seed_from_u64(seed) }
    }

    /// The next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.inner.next_u64()
    }

    /// A uniform variate in 0..1.
    pub fn next_unit(&mut self) -> f64 {
        self.inner.random()
    }

    /// A uniform variate in `low..high`.
    pub fn uniform(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.next_unit()
    }

    /// An exponential variate with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.next_unit()).ln()
    }

    /// A standard normal variate.
    pub fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.next_unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.next_unit()).cos()
    }

    /// A lognormal variate with the given mean and standard deviation of the logarithm.
    pub fn lognormal(&mut self, mean: f64, deviation: f64) -> f64 {
        mean * (deviation * self.normal() - deviation * deviation / 2.0).exp()
    }

    /// A beta variate with the given mean and concentration (the sum of its two parameters).
    pub fn beta(&mut self, mean: f64, concentration: f64) -> f64 {
        let first = self.gamma(mean * concentration);
        let second = self.gamma((1.0 - mean) * concentration);
        first / (first + second)
    }

    /// A gamma variate with scale 1 (method of Marsaglia and Tsang).
    fn gamma(&mut self, shape: f64) -> f64 {
        if shape < 1.0 {
            let boost = (1.0 - self.next_unit()).powf(1.0 / shape);
            return self.gamma(shape + 1.0) * boost;
        }
        let d = shape - 1.0 / 3.0;
        let c = 1.0 / (9.0 * d).sqrt();
        loop {
            let x = self.normal();
            let v = (1.0 + c * x).powi(3);
            let u = 1.0 - self.next_unit();
            if v > 0.0 && u.ln() < 0.5 * x * x + d - d * v + d * v.ln() {
                return d * v;
            }
        }
    }
}
