//! The time for which an upstream asks not to be called.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Assumed for a value that cannot be used: the upstream wants a pause, but of unknown length.
const DEFAULT_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause. An upstream that states a longer one has most likely mixed up the unit, and must
/// not be lost for good.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// A time for which an upstream asks not to be called, from zero to ten minutes.
///
/// ```
/// use oleander_core::retry_after::RetryAfter;
/// use std::time::Duration;
///
/// let pause: RetryAfter = "0.75".parse().unwrap();
/// assert_eq!(pause.get(), Duration::from_millis(750));
/// assert_eq!(pause.to_string(), "0.75");
/// assert!("-1".parse::<RetryAfter>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(Duration);

/// Why a text is not the value of a `Retry-After` field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected seconds from 0 to 600, found {found:?}; using {used} s")]
pub struct RetryAfterError {
    /// The text that was given.
    pub found: Arc<str>,
    /// The pause to use instead.
    pub used: RetryAfter,
}

impl RetryAfter {
    /// The time.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }

    /// The longest of several values, with the error for each that cannot be used as it is; such a
    /// value counts with a bounded pause. `None` when there are no values.
    #[must_use]
    pub fn longest(texts: &[Arc<str>]) -> Option<(Self, Vec<RetryAfterError>)> {
        let mut errors = Vec::new();
        let pauses = texts.iter().map(|text| {
            text.parse().unwrap_or_else(|error: RetryAfterError| {
                let used = error.used;
                errors.push(error);
                used
            })
        });
        let longest = pauses.max()?;
        Some((longest, errors))
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_secs_f64().fmt(f)
    }
}

impl FromStr for RetryAfter {
    type Err = RetryAfterError;

    fn from_str(text: &str) -> Result<Self, RetryAfterError> {
        let error = |used| RetryAfterError { found: Arc::from(text), used: Self(used) };
        let seconds: f64 = text.trim().parse().map_err(|_| error(DEFAULT_PAUSE))?;
        if seconds > MAX_PAUSE.as_secs_f64() {
            return Err(error(MAX_PAUSE));
        }
        // Fails for negative numbers and NaN.
        let pause = Duration::try_from_secs_f64(seconds).map_err(|_| error(DEFAULT_PAUSE))?;
        Ok(Self(pause))
    }
}
