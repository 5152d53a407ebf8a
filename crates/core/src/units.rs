//! Quantities with their units.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Why a text is not a valid quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct UnitError {
    /// The form that was expected.
    pub expected: &'static str,
    /// The text that was given.
    pub text: Arc<str>,
}

/// A point in time, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Creates a timestamp from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time `age` ago, such as that of an event which another host has told with its age. The
    /// zero of the clock if it would be earlier, so a clock has to start later than anything told.
    ///
    /// ```
    /// use oleander_core::units::Timestamp;
    /// use std::time::Duration;
    ///
    /// let now = Timestamp::from_millis(90_000);
    /// assert_eq!(now.before(Duration::from_secs(60)), Timestamp::from_millis(30_000));
    /// ```
    #[must_use]
    pub const fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(age.as_millis() as u64))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0 + span.as_millis() as u64)
    }
}

/// A number of bytes.
///
/// ```
/// use oleander_core::units::ByteCount;
///
/// let memory: ByteCount = "120 MB".parse().unwrap();
/// assert_eq!(memory.get(), 120_000_000);
/// assert_eq!(ByteCount::new(4_096).to_string(), "4096 B");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteCount(u64);

impl ByteCount {
    /// Creates a count.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// The number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Units of a [`ByteCount`], the largest first.
const BYTE_UNITS: [(&str, u64); 4] =
    [("GB", 1_000_000_000), ("MB", 1_000_000), ("kB", 1_000), ("B", 1)];

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exact =
            BYTE_UNITS.iter().find(|(_, size)| self.0 >= *size && self.0.is_multiple_of(*size));
        let (unit, size) = exact.copied().unwrap_or(("B", 1));
        write!(f, "{} {unit}", self.0 / size)
    }
}

impl FromStr for ByteCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let error =
            || UnitError { expected: "a number of bytes such as 120 MB", text: text.into() };
        let (number, unit) = text.split_once(' ').ok_or_else(error)?;
        let (_, size) = BYTE_UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(error)?;
        let number: u64 = number.parse().map_err(|_| error())?;
        number.checked_mul(*size).map(Self).ok_or_else(error)
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Timestamp {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid =
            || UnitError { expected: "a time like 1700000000000ms", text: Arc::from(text) };
        let digits = text.strip_suffix("ms").ok_or_else(invalid)?;
        digits.parse().map(Self).map_err(|_| invalid())
    }
}

/// An amount of money in millionths of the deployment's currency unit.
///
/// ```
/// use oleander_core::units::Money;
///
/// assert_eq!(Money::from_micros(1_500_000).to_string(), "1.500000");
/// assert_eq!("1.5".parse::<Money>().unwrap(), Money::from_micros(1_500_000));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Money(u64);

const MICROS_PER_UNIT: u64 = 1_000_000;

impl Money {
    /// Zero.
    pub const ZERO: Self = Self(0);

    /// Creates an amount from millionths.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The amount in millionths.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add for Money {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Money {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl std::iter::Sum for Money {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Money {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / MICROS_PER_UNIT, self.0 % MICROS_PER_UNIT)
    }
}

impl FromStr for Money {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = || UnitError { expected: "an amount like 1.5", text: Arc::from(text) };
        let (whole, part) = text.split_once('.').unwrap_or((text, ""));
        if part.len() > 6 || !part.bytes().all(|b| b.is_ascii_digit()) {
            return Err(invalid());
        }
        let whole: u64 = whole.parse().map_err(|_| invalid())?;
        let part: u64 = format!("{part:0<6}").parse().map_err(|_| invalid())?;
        let micros = whole.checked_mul(MICROS_PER_UNIT).and_then(|w| w.checked_add(part));
        micros.map(Self).ok_or_else(invalid)
    }
}

/// A number of tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(u32);

impl TokenCount {
    /// Creates a token count.
    #[must_use]
    pub const fn new(count: u32) -> Self {
        Self(count)
    }

    /// The count.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Add for TokenCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TokenCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = |_| UnitError { expected: "a number of tokens", text: Arc::from(text) };
        text.parse().map(Self).map_err(invalid)
    }
}

/// Quality of an answer, from 0 (useless) to 1 (perfect).
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Quality(f64);

impl Quality {
    /// Creates a quality score.
    ///
    /// # Errors
    ///
    /// [`UnitError`] when `score` is not between 0 and 1.
    pub fn new(score: f64) -> Result<Self, UnitError> {
        Self::try_from(score)
    }

    /// The score.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Quality {
    type Error = UnitError;

    fn try_from(score: f64) -> Result<Self, UnitError> {
        if (0.0..=1.0).contains(&score) {
            return Ok(Self(score));
        }
        let text = Arc::from(score.to_string());
        Err(UnitError { expected: "a quality from 0 to 1", text })
    }
}

impl From<Quality> for f64 {
    fn from(quality: Quality) -> Self {
        quality.0
    }
}

impl fmt::Display for Quality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

impl FromStr for Quality {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = |_| UnitError { expected: "a quality from 0 to 1", text: Arc::from(text) };
        Self::try_from(text.parse::<f64>().map_err(invalid)?)
    }
}

/// A duration in whole milliseconds, as written in settings and the catalog.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Creates a duration from milliseconds.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// The number of milliseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The duration as [`Duration`].
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = || UnitError { expected: "a span like 250ms", text: Arc::from(text) };
        let digits = text.strip_suffix("ms").ok_or_else(invalid)?;
        digits.parse().map(Self).map_err(|_| invalid())
    }
}
