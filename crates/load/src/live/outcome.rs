//! Outcomes of the requests of a run.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

const MAX_RECORDED_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// The outcome of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadOutcome {
    /// The complete answer arrived.
    Answered {
        /// Time from the scheduled arrival to the first token.
        first_token: Duration,
        /// Times between tokens.
        gaps: Vec<Duration>,
        /// The version that answered.
        version: String,
        /// Billed amount, in currency units.
        cost: f64,
    },
    /// It was refused.
    Refused {
        /// The reason code, or the HTTP status if there is none.
        reason: String,
    },
    /// The answer was truncated, or the connection failed.
    Broken {
        /// Description of the failure.
        error: String,
    },
}

/// Statistics of the requests of a run.
#[derive(Clone, Debug)]
pub struct LoadStatistics {
    first_token: Histogram<u64>,
    gaps: Histogram<u64>,
    /// Number of requests with a complete answer.
    pub answered: u64,
    /// Number of requests with a truncated answer or a failed connection.
    pub broken: u64,
    /// Tokens of the complete answers.
    pub tokens: u64,
    /// Cost of the complete answers, in currency units.
    pub cost: f64,
    reasons: BTreeMap<String, u64>,
    versions: BTreeMap<String, u64>,
    errors: BTreeMap<String, u64>,
}

impl LoadStatistics {
    /// Creates empty statistics.
    ///
    /// # Errors
    ///
    /// When the histogram's bounds are not valid.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first_token: Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)?,
            gaps: Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)?,
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

    /// Number of refused requests.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.reasons.values().sum()
    }

    /// Number of requests with any outcome.
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

    /// Numbers of refusals by reason, answers by version and failures by error, one line each.
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

fn micros(duration: Duration) -> u64 {
    (duration.as_micros() as u64).max(1)
}
