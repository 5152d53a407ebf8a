//! Thresholds of the mean-change test for a required mean time between false alarms.
//!
//! The closed form of Liang and Veeravalli ([`mct_threshold`]) holds for every distribution on 0 to
//! 1 and is far too strict for real ratings. [`alarm_threshold`] models ratings as Beta distributed
//! with the baseline's mean and variance and solves the Markov chain of the statistic (Brook and
//! Evans) for its mean run length.

use crate::detect::{HEAD_START, RatingBaseline, mct_threshold};

/// Number of states of the Markov chain.
const STATES: usize = 60;
/// Number of grid cells of the distribution of one rating.
const CELLS: usize = 2_000;
const BISECTIONS: u32 = 24;
/// Bounds of the exponent of [`answer_threshold`].
const MAX_EXPONENT: f64 = 64.0;
const MIN_EXPONENT: f64 = 0.05;
/// Mean run length from which the solution is numerically unreliable.
const MAX_MEAN_RUN: f64 = 1e10;

/// The threshold at which ratings without a change raise one false alarm per `ratings` ratings,
/// on average, for a test that begins with its head start.
///
/// ```
/// use oleander_core::alarm_threshold::alarm_threshold;
/// use oleander_core::detect::RatingBaseline;
///
/// let baseline = RatingBaseline::new(0.8, 0.02, 0.1);
/// assert!(alarm_threshold(&baseline, 10_000.0) > alarm_threshold(&baseline, 100.0));
/// ```
#[must_use]
pub fn alarm_threshold(baseline: &RatingBaseline, ratings: f64) -> f64 {
    let distribution = RatingDistribution::new(baseline);
    let (mut low, mut high) = (0.0, mct_threshold(baseline, ratings));
    for _ in 0..BISECTIONS {
        let midpoint = (low + high) / 2.0;
        if mean_run_length(&distribution, midpoint) < ratings {
            low = midpoint;
        } else {
            high = midpoint;
        }
    }
    high
}

/// The threshold for ratings that are either 0 or 1, such as failed and good answers. Answers of
/// which the share `baseline.mean` is good raise one false alarm per `answers` answers, on
/// average. The run length grows with the exponent at which the moment generating function of
/// the statistic is 1 (Wald); this is a lower bound.
///
/// ```
/// use oleander_core::alarm_threshold::answer_threshold;
/// use oleander_core::detect::RatingBaseline;
///
/// let baseline = RatingBaseline::new(0.97, 0.03, 0.2);
/// let threshold = answer_threshold(&baseline, 20_000.0);
/// assert!((3.5..3.8).contains(&threshold));
/// ```
#[must_use]
pub fn answer_threshold(baseline: &RatingBaseline, answers: f64) -> f64 {
    let good = baseline.mean.clamp(0.01, 0.99);
    let midpoint = good - baseline.drop / 2.0;
    let moment = |exponent: f64| {
        (1.0 - good) * (exponent * midpoint).exp() + good * (exponent * (midpoint - 1.0)).exp()
    };
    let (mut low, mut high) = (0.0, MAX_EXPONENT);
    for _ in 0..BISECTIONS {
        let exponent = (low + high) / 2.0;
        if moment(exponent) < 1.0 {
            low = exponent;
        } else {
            high = exponent;
        }
    }
    answers.max(2.0).ln() / low.max(MIN_EXPONENT)
}

/// Cumulative distribution of one rating on a grid, from which increments are derived.
struct RatingDistribution {
    midpoint: f64,
    cumulative: Vec<f64>,
}

impl RatingDistribution {
    fn new(baseline: &RatingBaseline) -> Self {
        let mean = baseline.mean.clamp(0.01, 0.99);
        let concentration = (mean * (1.0 - mean) / baseline.variance - 1.0).max(0.1);
        let (a, b) = (mean * concentration, (1.0 - mean) * concentration);
        let at = |cell: usize| (cell as f64 + 0.5) / CELLS as f64;
        let density = |x: f64| ((a - 1.0) * x.ln() + (b - 1.0) * (1.0 - x).ln()).exp();
        let mut cumulative = Vec::with_capacity(CELLS + 1);
        let mut sum = 0.0;
        cumulative.push(0.0);
        for cell in 0..CELLS {
            sum += density(at(cell));
            cumulative.push(sum);
        }
        cumulative.iter_mut().for_each(|value| *value /= sum);
        Self { midpoint: mean - baseline.drop / 2.0, cumulative }
    }

    /// Probability that a rating is below `score`.
    fn below(&self, score: f64) -> f64 {
        let position = score.clamp(0.0, 1.0) * CELLS as f64;
        let cell = (position as usize).min(CELLS - 1);
        let fraction = position - cell as f64;
        self.cumulative[cell] + (self.cumulative[cell + 1] - self.cumulative[cell]) * fraction
    }

    /// Probability that the increment `midpoint - score` is at most `step`.
    fn increment_at_most(&self, step: f64) -> f64 {
        1.0 - self.below(self.midpoint - step)
    }
}

/// Mean number of ratings until a false alarm.
fn mean_run_length(distribution: &RatingDistribution, threshold: f64) -> f64 {
    let width = 2.0 * threshold / (2.0 * STATES as f64 - 1.0);
    let probability = |from: usize, to: usize| {
        let step = to as f64 - from as f64;
        let upper = distribution.increment_at_most((step + 0.5) * width);
        if to == 0 { upper } else { upper - distribution.increment_at_most((step - 0.5) * width) }
    };
    let row = |from: usize| {
        let mut row: Vec<f64> = (0..STATES).map(|to| -probability(from, to)).collect();
        row[from] += 1.0;
        row.push(1.0);
        row
    };
    let runs = solve((0..STATES).map(row).collect());
    let run = runs[(HEAD_START * STATES as f64) as usize];
    // The solution is not precise enough for a chain that almost never reaches the threshold.
    if (0.0..MAX_MEAN_RUN).contains(&run) { run } else { f64::INFINITY }
}

/// Solves a diagonally dominant linear system; each row ends with its right-hand side.
fn solve(mut rows: Vec<Vec<f64>>) -> Vec<f64> {
    let size = rows.len();
    for pivot in 0..size {
        let (head, tail) = rows.split_at_mut(pivot + 1);
        let pivot_row = &head[pivot];
        for row in tail {
            let factor = row[pivot] / pivot_row[pivot];
            row[pivot..]
                .iter_mut()
                .zip(&pivot_row[pivot..])
                .for_each(|(cell, &pivot_cell)| *cell -= factor * pivot_cell);
        }
    }
    let mut solution = vec![0.0; size];
    for index in (0..size).rev() {
        let substituted: f64 =
            (index + 1..size).map(|other| rows[index][other] * solution[other]).sum();
        solution[index] = (rows[index][size] - substituted) / rows[index][index];
    }
    solution
}
