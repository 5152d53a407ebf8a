//! What a simulation measured.

use hdrhistogram::Histogram;

const HIGHEST_MILLIS: u64 = 3_600_000;
const DIGITS: u8 = 3;

/// Sums over one task class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassTally {
    /// Requests that arrived.
    pub arrived: u64,
    /// Answers that were complete before their deadline.
    pub in_time: u64,
    /// Tokens of those.
    pub tokens: u64,
    /// Sum of true qualities of those.
    pub quality: f64,
    /// What all attempts cost, in millionths.
    pub cost: f64,
    /// Requests that were refused at once.
    pub refused: u64,
    /// Requests whose deadline passed.
    pub late: u64,
    /// Requests that failed at an upstream.
    pub failed: u64,
    /// Requests that took a second step.
    pub escalated: u64,
}

impl ClassTally {
    /// Mean quality of the answers in time.
    #[must_use]
    pub fn mean_quality(&self) -> f64 {
        self.quality / (self.in_time.max(1)) as f64
    }

    /// Cost of an answer in time, in millionths; work for refused and late ones included.
    #[must_use]
    pub fn cost_per_answer(&self) -> f64 {
        self.cost / (self.in_time.max(1)) as f64
    }
}

/// What a simulation measured.
#[derive(Clone, Debug)]
pub struct SimulationTally {
    /// Per task class.
    pub classes: Vec<ClassTally>,
    /// Time to the first token that the caller gets, in milliseconds.
    pub first_token: Histogram<u64>,
    /// Time to the whole answer, in milliseconds.
    pub whole: Histogram<u64>,
    /// Time from arrival to a refusal or a deadline that passed, in milliseconds.
    pub refusal: Histogram<u64>,
    /// First attempts of steps.
    pub first_attempts: u64,
    /// Retries.
    pub retries: u64,
    /// Time between the first and the last event, in seconds.
    pub seconds: f64,
}

impl SimulationTally {
    /// An empty tally.
    ///
    /// # Errors
    ///
    /// When the histogram's bounds are not valid.
    pub fn new(classes: usize) -> anyhow::Result<Self> {
        let histogram = || Histogram::new_with_bounds(1, HIGHEST_MILLIS, DIGITS);
        Ok(Self {
            classes: vec![ClassTally::default(); classes],
            first_token: histogram()?,
            whole: histogram()?,
            refusal: histogram()?,
            first_attempts: 0,
            retries: 0,
            seconds: 0.0,
        })
    }

    /// A sum over the classes.
    #[must_use]
    pub fn total(&self, of: fn(&ClassTally) -> u64) -> u64 {
        self.classes.iter().map(of).sum()
    }

    /// Cost of an answer in time over all classes, in millionths.
    #[must_use]
    pub fn cost_per_answer(&self) -> f64 {
        let cost: f64 = self.classes.iter().map(|class| class.cost).sum();
        cost / self.total(|class| class.in_time).max(1) as f64
    }

    /// Answers in time a second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.total(|class| class.in_time) as f64 / self.seconds.max(f64::EPSILON)
    }

    /// Tokens a second of answers in time.
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
