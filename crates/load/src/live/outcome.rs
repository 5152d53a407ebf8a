//! What became of the requests of a run.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

const HIGHEST_MICROS: u64 = 600_000_000;
const DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// What became of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadOutcome {
    /// The whole answer came.
    Answered {
        /// Time from the arrival to the first token.
        first_token: Duration,
        /// Times between tokens.
        gaps: Vec<Duration>,
        /// The version that answered.
        version: String,
        /// What is billed, in the currency unit.
        cost: f64,
    },
    /// It was refused.
    Refused {
        /// The reason code, or the status where there is none.
        reason: String,
    },
    /// The answer broke off, or the connection failed.
    Broken {
        /// What was seen.
        error: String,
    },
}

/// Sums over the requests of a run.
#[derive(Clone, Debug)]
pub struct LoadTally {
    first_token: Histogram<u64>,
    gaps: Histogram<u64>,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests whose answer broke off.
    pub broken: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Cost of whole answers, in the currency unit.
    pub cost: f64,
    reasons: BTreeMap<String, u64>,
    versions: BTreeMap<String, u64>,
    errors: BTreeMap<String, u64>,
}

impl LoadTally {
    /// An empty tally.
    ///
    /// # Errors
    ///
    /// When the histogram's bounds are not valid.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first_token: Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS)?,
            gaps: Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS)?,
            answered: 0,
            broken: 0,
            tokens: 0,
            cost: 0.0,
            reasons: BTreeMap::new(),
            versions: BTreeMap::new(),
            errors: BTreeMap::new(),
        })
    }

    /// Adds an outcome.
    pub fn add(&mut self, outcome: &LoadOutcome) {
        match outcome {
            LoadOutcome::Answered { first_token, gaps, version, cost } => {
                self.answered += 1;
                self.tokens += gaps.len() as u64 + 1;
                self.cost += cost;
                *self.versions.entry(version.clone()).or_default() += 1;
                self.first_token.saturating_record(micros(*first_token));
                gaps.iter().for_each(|gap| self.gaps.saturating_record(micros(*gap)));
            }
            LoadOutcome::Refused { reason } => {
                *self.reasons.entry(reason.clone()).or_default() += 1;
            }
            LoadOutcome::Broken { error } => {
                self.broken += 1;
                *self.errors.entry(error.clone()).or_default() += 1;
            }
        }
    }

    /// Requests that were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.reasons.values().sum()
    }

    /// Requests with any outcome.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.answered + self.broken + self.refused()
    }

    /// A quantile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_millis(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    /// A quantile of the time between tokens, in milliseconds.
    #[must_use]
    pub fn gap_millis(&self, quantile: f64) -> f64 {
        self.gaps.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    /// Refusals by reason, exposure by version and errors, each in one line.
    #[must_use]
    pub fn notes(&self) -> Vec<String> {
        let lists =
            [("refused", &self.reasons), ("versions", &self.versions), ("broken", &self.errors)];
        let line = |(name, counts): (&str, &BTreeMap<String, u64>)| {
            let parts: Vec<String> =
                counts.iter().map(|(key, count)| format!("{key} {count}")).collect();
            format!("{name}: {}", parts.join(", "))
        };
        lists.into_iter().filter(|(_, counts)| !counts.is_empty()).map(line).collect()
    }
}

fn micros(span: Duration) -> u64 {
    (span.as_micros() as u64).max(1)
}
