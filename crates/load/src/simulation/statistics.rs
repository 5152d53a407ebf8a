//! Statistics of a simulation.

use hdrhistogram::Histogram;

const MAX_RECORDED_MILLIS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Statistics of one task class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassStatistics {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of answers that were complete before their deadline.
    pub in_time: u64,
    /// Tokens of the answers in time.
    pub tokens: u64,
    /// Sum of the true quality of the answers in time.
    pub quality: f64,
    /// Cost of all attempts, in millionths.
    pub cost: f64,
    /// Number of requests that were refused immediately.
    pub refused: u64,
    /// Number of requests whose deadline passed.
    pub late: u64,
    /// Number of requests that failed on an upstream.
    pub failed: u64,
    /// Number of escalations to a further step.
    pub escalated: u64,
}

impl ClassStatistics {
    /// Mean true quality of the answers in time.
    #[must_use]
    pub fn mean_quality(&self) -> f64 {
        self.quality / (self.in_time.max(1)) as f64
    }

    /// Cost per answer in time, in millionths, including the attempts of refused and late requests.
    #[must_use]
    pub fn cost_per_answer(&self) -> f64 {
        self.cost / (self.in_time.max(1)) as f64
    }
}

/// Statistics of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationStatistics {
    /// Statistics by task class.
    pub classes: Vec<ClassStatistics>,
    /// Time until the caller receives the first token, in milliseconds.
    pub first_token: Histogram<u64>,
    /// Time until the answer is complete, in milliseconds.
    pub completion: Histogram<u64>,
    /// Time from arrival to refusal, failure or the deadline, in milliseconds.
    pub refusal: Histogram<u64>,
    /// Number of first attempts of steps.
    pub first_attempts: u64,
    /// Number of retries.
    pub retries: u64,
    /// Time from the end of the warm-up to the last event, in seconds.
    pub seconds: f64,
}

impl SimulationStatistics {
    /// Creates empty statistics.
    ///
    /// # Errors
    ///
    /// When the histogram's bounds are not valid.
    pub fn new(classes: usize) -> anyhow::Result<Self> {
        let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
        Ok(Self {
            classes: vec![ClassStatistics::default(); classes],
            first_token: histogram()?,
            completion: histogram()?,
            refusal: histogram()?,
            first_attempts: 0,
            retries: 0,
            seconds: 0.0,
        })
    }

    /// Sum of a counter over all classes.
    #[must_use]
    pub fn total(&self, counter: fn(&ClassStatistics) -> u64) -> u64 {
        self.classes.iter().map(counter).sum()
    }

    /// Cost per answer in time over all classes, in millionths.
    #[must_use]
    pub fn cost_per_answer(&self) -> f64 {
        let cost: f64 = self.classes.iter().map(|class| class.cost).sum();
        cost / self.total(|class| class.in_time).max(1) as f64
    }

    /// Answers in time per second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.total(|class| class.in_time) as f64 / self.seconds.max(f64::EPSILON)
    }

    /// Tokens of answers in time, per second.
    #[must_use]
    pub fn token_goodput(&self) -> f64 {
        self.total(|class| class.tokens) as f64 / self.seconds.max(f64::EPSILON)
    }

    /// Retries as a share of first attempts.
    #[must_use]
    pub fn retry_share(&self) -> f64 {
        self.retries as f64 / self.first_attempts.max(1) as f64
    }
}

/// Adds a time in microseconds to a histogram of milliseconds.
pub fn record(histogram: &mut Histogram<u64>, micros: u64) {
    histogram.saturating_record((micros / 1_000).max(1));
}
