//! The requests a second that an upstream takes from all hosts together.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum rate; an upstream that states more is not limited in practice.
const MAX_RATE: f64 = 1_000_000.0;
/// Maximum length of the text of a rate, in bytes.
const MAX_TEXT_BYTES: usize = 64;

/// A number of requests a second, from zero to a million.
///
/// ```
/// use oleander_core::request_rate::RequestRate;
///
/// let rate: RequestRate = "2.6".parse().unwrap();
/// assert_eq!((rate.per_second(), rate.to_string()), (2.6, "2.6".to_owned()));
/// assert!("-1".parse::<RequestRate>().is_err());
/// assert!("NaN".parse::<RequestRate>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Why a text is not a rate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a decimal number of requests a second, found {found:?}")]
pub struct RequestRateError {
    /// The text that was given, or its beginning.
    pub found: Arc<str>,
}

impl RequestRate {
    /// A rate of so many requests a second, at most a million; zero if that is negative or not a
    /// number.
    #[must_use]
    pub const fn new(per_second: f64) -> Self {
        // The maximum of a NaN and zero is zero.
        Self(per_second.max(0.0).min(MAX_RATE))
    }

    /// The requests a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// The lowest of several values, and the error for each that is no rate. `None` when there is no
    /// usable value.
    #[must_use]
    pub fn lowest(texts: &[Arc<str>]) -> (Option<Self>, Vec<RequestRateError>) {
        let mut errors = Vec::new();
        let mut lowest: Option<Self> = None;
        for text in texts {
            match text.parse::<Self>() {
                Ok(rate) => lowest = Some(lowest.map_or(rate, |known| Self(known.0.min(rate.0)))),
                Err(error) => errors.push(error),
            }
        }
        (lowest, errors)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, RequestRateError> {
        let found: String = text.chars().take(MAX_TEXT_BYTES).collect();
        let error = || RequestRateError { found: Arc::from(found.as_str()) };
        let text = text.trim();
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        if text.len() > MAX_TEXT_BYTES || !is_decimal {
            return Err(error());
        }
        text.parse().map(Self::new).map_err(|_| error())
    }
}
