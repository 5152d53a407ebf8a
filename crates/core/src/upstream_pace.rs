//! How long work takes at an upstream now, compared with its usual time.

use crate::units::{Timestamp, UnitError};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Unit of a reported pace, in per cent.
const PACE_UNIT: u16 = 10;
/// Age at which a stated pace has half of its weight, and the mean the rest. Shorter than that of a
/// load, since the pace changes many times a second.
const STATED_HALF_LIFE: Duration = Duration::from_millis(150);
/// Time over which stated paces are averaged: long compared with their noise, short compared with the
/// life of an upstream.
const MEAN_TIME: Duration = Duration::from_secs(2);
/// Weight, in measurements, of the assumption that an upstream is as fast as the others.
const PRIOR_WEIGHT: f64 = 1.0;
/// Deviation of the logarithm of one measurement at machines that are alike: a stream's time varies by
/// a fifth with what else runs there. A mean within one standard error counts as none.
const MEASURED_DEVIATION: f64 = 0.2;
/// Weight at which that of earlier measurements is halved, so that changes are followed.
const MAX_WEIGHT: f64 = 30.0;

/// The pace of an upstream as told to other hosts, in tenths of the usual time; 0 if it is not known.
///
/// ```
/// use oleander_core::upstream_pace::ReportedPace;
///
/// assert_eq!(ReportedPace::new(Some(134)).percent(), Some(130));
/// assert_eq!(ReportedPace::new(None).percent(), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPace(u8);

impl ReportedPace {
    /// Rounds a pace in per cent of the usual time.
    #[must_use]
    pub fn new(percent: Option<u16>) -> Self {
        let units =
            percent.map_or(0, |percent| (percent.saturating_add(PACE_UNIT / 2)) / PACE_UNIT);
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// The pace in per cent of the usual time, if known.
    #[must_use]
    pub const fn percent(self) -> Option<u16> {
        if self.0 == 0 { None } else { Some(self.0 as u16 * PACE_UNIT) }
    }
}

/// Time that work takes, as a multiple of the usual time of the service.
///
/// ```
/// use oleander_core::upstream_pace::PaceFactor;
///
/// let factor: PaceFactor = "1.3".parse().unwrap();
/// assert_eq!((factor, factor.to_string()), (PaceFactor::new(1.3), "1.30".to_owned()));
/// assert_eq!(PaceFactor::new(900.0), PaceFactor::new(10.0), "limited");
/// assert!("fast".parse::<PaceFactor>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PaceFactor(f64);

impl PaceFactor {
    /// The usual time.
    pub const USUAL: Self = Self(1.0);
    /// Limits of a factor; a value beyond them is a fault of the measurement.
    const MIN: f64 = 0.1;
    const MAX: f64 = 10.0;

    /// A factor within the limits.
    #[must_use]
    pub const fn new(factor: f64) -> Self {
        // The maximum of a NaN and a number is the number.
        Self(factor.max(Self::MIN).min(Self::MAX))
    }

    /// The factor.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Default for PaceFactor {
    fn default() -> Self {
        Self::USUAL
    }
}

impl fmt::Display for PaceFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl FromStr for PaceFactor {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = || UnitError { expected: "a positive number", text: Arc::from(text) };
        let factor: f64 = text.parse().map_err(|_| invalid())?;
        if factor > 0.0 { Ok(Self::new(factor)) } else { Err(invalid()) }
    }
}

/// What an upstream states of its pace: the latest value, and a mean, both as logarithms.
#[derive(Clone, Copy, Debug)]
struct StatedPace {
    latest: f64,
    mean: f64,
    at: Timestamp,
}

/// What a host knows of the pace of one upstream.
///
/// Addresses machines of which some take 2.4 times as long as others for the same work, with noise
/// many times a second. The stated pace counts with its age: a new one says how long work takes now,
/// and an old one is replaced by the mean of those before it. Measured times are compared with those
/// of the service at the same load, net of the stated pace, so both together cover machines that
/// state their pace and machines that do not. A few measurements count little, and differences within
/// their noise not at all.
///
/// ```
/// use oleander_core::units::Timestamp;
/// use oleander_core::upstream_pace::{PaceFactor, UpstreamPace};
/// use std::time::Duration;
///
/// let (mut pace, now) = (UpstreamPace::new(), Timestamp::from_millis(5_000));
/// assert_eq!(pace.factor(now), PaceFactor::USUAL);
/// pace.record_stated(140, now);
/// assert_eq!(pace.factor(now).to_string(), "1.40");
/// let millis = Duration::from_millis;
/// (0..20).for_each(|_| pace.record_measured(millis(84), millis(42), 1.0));
/// assert!(pace.factor(now).get() > 1.7, "twice as slow as the others: {}", pace.factor(now));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamPace {
    stated: Option<StatedPace>,
    /// Weighted sum of the logarithms of measured times over expected ones, net of the stated pace.
    residual: f64,
    weight: f64,
}

impl UpstreamPace {
    /// Nothing is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the pace that an answer stated at `at`, in per cent. Reports of the same moment by
    /// several hosts count once in the mean.
    pub fn record_stated(&mut self, percent: u16, at: Timestamp) {
        let latest = PaceFactor::new(f64::from(percent) / 100.0).get().ln();
        let mean = self.stated.map_or(latest, |known| {
            let gain = 1.0 - (-at.since(known.at).as_secs_f64() / MEAN_TIME.as_secs_f64()).exp();
            known.mean + (latest - known.mean) * gain
        });
        self.stated = Some(StatedPace { latest, mean, at });
    }

    /// Records that work took `measured`, where `expected` is the time of the service at that load and
    /// at the usual pace. `weight` is 1 for a reliable measurement.
    pub fn record_measured(&mut self, measured: Duration, expected: Duration, weight: f64) {
        if measured.is_zero() || expected.is_zero() {
            return;
        }
        if self.weight >= MAX_WEIGHT {
            (self.residual, self.weight) = (self.residual / 2.0, self.weight / 2.0);
        }
        let factor = PaceFactor::new(measured.as_secs_f64() / expected.as_secs_f64());
        self.residual += weight * (factor.get().ln() - self.mean_stated());
        self.weight += weight;
    }

    /// Mean of the stated pace.
    #[must_use]
    pub fn usual(&self) -> PaceFactor {
        PaceFactor::new(self.mean_stated().exp())
    }

    /// Time that work takes at the upstream now.
    #[must_use]
    pub fn factor(&self, now: Timestamp) -> PaceFactor {
        let stated = self.stated.map_or(0.0, |stated| {
            let age = now.since(stated.at).as_secs_f64();
            let weight = 0.5f64.powf(age / STATED_HALF_LIFE.as_secs_f64());
            stated.latest * weight + stated.mean * (1.0 - weight)
        });
        PaceFactor::new((stated + self.learned()).exp())
    }

    /// Logarithm of the learned factor.
    fn learned(&self) -> f64 {
        let mean = self.residual / (self.weight + PRIOR_WEIGHT);
        let error = MEASURED_DEVIATION / self.weight.max(f64::MIN_POSITIVE).sqrt();
        (mean.abs() - error).max(0.0).copysign(mean)
    }

    fn mean_stated(&self) -> f64 {
        self.stated.map_or(0.0, |stated| stated.mean)
    }
}
