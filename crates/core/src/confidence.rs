//! What an engine's own confidence in an answer is worth, learned from ratings.

use serde::{Deserialize, Serialize};

/// Bins over confidence from 0 to 1.
pub const CONFIDENCE_BINS: usize = 10;
/// Answers that the assumption about each bin counts for.
const PRIOR_ANSWERS: f64 = 3.0;
/// Difference of quality from confidence 0 to 1 that is assumed before ratings are in.
const PRIOR_SLOPE: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ConfidenceBin {
    seen: u32,
    rated: u32,
    score_sum: f64,
}

/// How ratings went with confidence, for one version and task class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfidenceTable {
    bins: [ConfidenceBin; CONFIDENCE_BINS],
}

/// What is expected of answers when those below a threshold are not kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ThresholdForecast {
    /// Answers with less confidence are not kept.
    pub threshold: f64,
    /// Share of answers that are kept.
    pub kept: f64,
    /// Mean quality of those.
    pub quality: f64,
}

impl ConfidenceTable {
    /// Notes an answer's confidence.
    pub fn record_answer(&mut self, confidence: f64) {
        self.bins[bin(confidence)].seen += 1;
    }

    /// Notes the rating of an answer that had this confidence.
    pub fn record_rating(&mut self, confidence: f64, score: f64) {
        let bin = &mut self.bins[bin(confidence)];
        bin.rated += 1;
        bin.score_sum += score;
    }

    /// The forecast for every threshold from keeping all to keeping none, in rising order.
    /// `mean` is the estimated quality over all answers.
    pub fn forecasts(&self, mean: f64) -> impl Iterator<Item = ThresholdForecast> + '_ {
        (0..=CONFIDENCE_BINS).map(move |from| self.forecast(from, mean))
    }

    fn forecast(&self, from: usize, mean: f64) -> ThresholdForecast {
        let threshold = from as f64 / CONFIDENCE_BINS as f64;
        let total: f64 = self.bins.iter().map(ConfidenceBin::mass).sum();
        let shift = mean - self.assumed_mean(total);
        let (mass, quality) = (from..CONFIDENCE_BINS).fold((0.0, 0.0), |(mass, sum), index| {
            let bin = &self.bins[index];
            let weight = bin.mass();
            (mass + weight, sum + weight * bin.quality(index, shift))
        });
        let kept = mass / total;
        ThresholdForecast {
            threshold,
            kept,
            quality: if mass > 0.0 { quality / mass } else { 0.0 },
        }
    }

    /// Mean of the assumed line over the answers seen.
    fn assumed_mean(&self, total: f64) -> f64 {
        let bins = self.bins.iter().enumerate();
        bins.map(|(index, bin)| bin.mass() * assumed(index)).sum::<f64>() / total
    }
}

impl ConfidenceBin {
    fn mass(&self) -> f64 {
        f64::from(self.seen) + PRIOR_ANSWERS / CONFIDENCE_BINS as f64
    }

    fn quality(&self, index: usize, shift: f64) -> f64 {
        let expected = (assumed(index) + shift).clamp(0.0, 1.0);
        let total = PRIOR_ANSWERS + f64::from(self.rated);
        (PRIOR_ANSWERS * expected + self.score_sum) / total
    }
}

fn assumed(index: usize) -> f64 {
    PRIOR_SLOPE * ((index as f64 + 0.5) / CONFIDENCE_BINS as f64 - 0.5)
}

fn bin(confidence: f64) -> usize {
    ((confidence.clamp(0.0, 1.0) * CONFIDENCE_BINS as f64) as usize).min(CONFIDENCE_BINS - 1)
}
