//! Calibration of the confidence that an engine reports with an answer, learned from ratings.

use serde::{Deserialize, Serialize};

/// Number of bins over confidence from 0 to 1.
pub const CONFIDENCE_BINS: usize = 10;
/// Weight of the prior of each bin, in answers.
const PRIOR_ANSWERS: f64 = 3.0;
/// Prior difference in quality between confidence 0 and 1.
const PRIOR_SLOPE: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ConfidenceBin {
    seen: u32,
    rated: u32,
    score_sum: f64,
}

/// Ratings by confidence bin, for one version and task class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfidenceTable {
    bins: [ConfidenceBin; CONFIDENCE_BINS],
}

/// Expected outcome when only answers at or above a confidence threshold are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ThresholdForecast {
    /// Answers with a lower confidence are not kept.
    pub threshold: f64,
    /// Share of answers that are kept.
    pub kept: f64,
    /// Mean quality of the kept answers.
    pub quality: f64,
}

impl ConfidenceTable {
    /// Records the confidence of an answer.
    pub fn record_answer(&mut self, confidence: f64) {
        self.bins[bin_index(confidence)].seen += 1;
    }

    /// Records the rating of an answer with this confidence.
    pub fn record_rating(&mut self, confidence: f64, score: f64) {
        let bin = &mut self.bins[bin_index(confidence)];
        bin.rated += 1;
        bin.score_sum += score;
    }

    /// The forecasts of every threshold, in rising order, from keeping all answers to keeping
    /// none. `mean` is the estimated quality over all answers.
    pub fn forecasts(&self, mean: f64) -> impl Iterator<Item = ThresholdForecast> + '_ {
        (0..=CONFIDENCE_BINS).map(move |from| self.forecast(from, mean))
    }

    fn forecast(&self, from: usize, mean: f64) -> ThresholdForecast {
        let threshold = from as f64 / CONFIDENCE_BINS as f64;
        let total: f64 = self.bins.iter().map(ConfidenceBin::weight).sum();
        let shift = mean - self.prior_mean(total);
        let (kept_weight, quality) =
            (from..CONFIDENCE_BINS).fold((0.0, 0.0), |(kept_weight, sum), index| {
                let bin = &self.bins[index];
                let weight = bin.weight();
                (kept_weight + weight, sum + weight * bin.quality(index, shift))
            });
        let kept = kept_weight / total;
        ThresholdForecast {
            threshold,
            kept,
            quality: if kept_weight > 0.0 { quality / kept_weight } else { 0.0 },
        }
    }

    /// Mean of the prior over the answers seen.
    fn prior_mean(&self, total: f64) -> f64 {
        let bins = self.bins.iter().enumerate();
        bins.map(|(index, bin)| bin.weight() * prior_quality(index)).sum::<f64>() / total
    }
}

impl ConfidenceBin {
    fn weight(&self) -> f64 {
        f64::from(self.seen) + PRIOR_ANSWERS / CONFIDENCE_BINS as f64
    }

    fn quality(&self, index: usize, shift: f64) -> f64 {
        let expected = (prior_quality(index) + shift).clamp(0.0, 1.0);
        let total = PRIOR_ANSWERS + f64::from(self.rated);
        (PRIOR_ANSWERS * expected + self.score_sum) / total
    }
}

fn prior_quality(index: usize) -> f64 {
    PRIOR_SLOPE * ((index as f64 + 0.5) / CONFIDENCE_BINS as f64 - 0.5)
}

fn bin_index(confidence: f64) -> usize {
    ((confidence.clamp(0.0, 1.0) * CONFIDENCE_BINS as f64) as usize).min(CONFIDENCE_BINS - 1)
}
