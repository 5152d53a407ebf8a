//! Number of requests that a degraded version serves before it is withdrawn, by detection test.
//!
//! Every test is calibrated by simulation to the same mean number of healthy ratings between false
//! alarms. Then all tests are run on the same streams of degraded ratings.

use crate::report::{ExperimentReport, ReportCell};
use crate::seeded_random::SeededRandom;
use oleander_core::alarm_threshold::alarm_threshold;
use oleander_core::detect::{
    FixedWindow, GaussianCusum, MeanChangeTest, RatingBaseline, mct_threshold,
};

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureSettings {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of runs of each scenario and test.
    pub runs: u32,
    /// Mean number of healthy ratings between false alarms.
    pub false_alarm_ratings: f64,
    /// Share of answers that are rated.
    pub rated_share: f64,
    /// Number of requests that the version serves between an answer and its rating.
    pub rating_lag: f64,
}

impl Default for ExposureSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            runs: 2_000,
            false_alarm_ratings: 10_000.0,
            rated_share: 0.05,
            rating_lag: 50.0,
        }
    }
}

const HEALTHY_MEAN: f64 = 0.85;
const HEALTHY_CONCENTRATION: f64 = 6.0;
/// Drop of the mean that the tests are designed to detect.
const DROP: f64 = 0.1;
const CALIBRATION_RUNS: u32 = 400;
const CALIBRATION_STEPS: u32 = 12;
/// Maximum run length of a calibration sample, as a multiple of the target mean.
const CALIBRATION_HORIZON: f64 = 2.0;
/// Number of healthy ratings that are generated once and sampled by the calibration.
const HEALTHY_RATING_COUNT: usize = 1 << 20;
/// Number of healthy ratings before the change, for a version that degrades later.
const HEALTHY_BEFORE: u32 = 300;
/// Number of ratings after which a run without an alarm ends.
const MAX_RUN_RATINGS: u32 = 20_000;

/// How the ratings of the degraded version change over time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DegradedStream {
    /// The mean is lower by a fixed amount from the first answer.
    Stationary(f64),
    /// The drop of the mean starts at `first` and grows by `per_hundred` every 100 ratings.
    Drifting { first: f64, per_hundred: f64 },
    /// The drop of the mean oscillates between two values, as with a changing task mix.
    Oscillating { low: f64, high: f64, period: f64 },
    /// A share of the answers is useless and the others are healthy, which changes the variance as
    /// well as the mean.
    Mixture { useless: f64 },
}

impl DegradedStream {
    fn name(self) -> String {
        match self {
            Self::Stationary(fall) => format!("stationary, fall {fall}"),
            Self::Drifting { first, per_hundred } => {
                format!("drifting, fall {first} + {per_hundred}/100 ratings")
            }
            Self::Oscillating { low, high, .. } => format!("drifting, fall swings {low} to {high}"),
            Self::Mixture { useless } => format!("stationary, {useless} of answers useless"),
        }
    }

    fn score(self, number: u32, random: &mut SeededRandom) -> f64 {
        let at = f64::from(number);
        let fall = match self {
            Self::Stationary(fall) => fall,
            Self::Drifting { first, per_hundred } => first + per_hundred * at / 100.0,
            Self::Oscillating { low, high, period } => {
                let wave = 0.5 - 0.5 * (std::f64::consts::TAU * at / period).cos();
                low + (high - low) * wave
            }
            Self::Mixture { useless } if random.next_unit() < useless => return 0.05,
            Self::Mixture { .. } => 0.0,
        };
        random.beta((HEALTHY_MEAN - fall).max(0.05), HEALTHY_CONCENTRATION)
    }
}

const STREAMS: [DegradedStream; 6] = [
    DegradedStream::Stationary(0.1),
    DegradedStream::Stationary(0.2),
    DegradedStream::Stationary(0.4),
    DegradedStream::Drifting { first: 0.05, per_hundred: 0.1 },
    DegradedStream::Oscillating { low: 0.05, high: 0.25, period: 120.0 },
    DegradedStream::Mixture { useless: 0.15 },
];

/// A detection test with one free threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TestKind {
    Sliding(usize),
    Tumbling(usize),
    Cusum,
    MeanChange,
    MeanChangeHeadStart,
}

const KINDS: [TestKind; 8] = [
    TestKind::Tumbling(25),
    TestKind::Tumbling(50),
    TestKind::Tumbling(100),
    TestKind::Sliding(25),
    TestKind::Sliding(50),
    TestKind::Cusum,
    TestKind::MeanChange,
    TestKind::MeanChangeHeadStart,
];

impl TestKind {
    fn name(self) -> String {
        match self {
            Self::Sliding(size) => format!("sliding window {size}"),
            Self::Tumbling(size) => format!("fixed window {size}"),
            Self::Cusum => "Gaussian CUSUM".to_owned(),
            Self::MeanChange => "mean-change test".to_owned(),
            Self::MeanChangeHeadStart => "mean-change test, head start".to_owned(),
        }
    }

    /// Starts a test. `strictness` is the normalised threshold; the time between false alarms
    /// grows with it.
    fn start(self, strictness: f64) -> Box<dyn FnMut(f64) -> bool> {
        let baseline = healthy_baseline();
        match self {
            Self::Sliding(size) => {
                let mut window = FixedWindow::new(size, HEALTHY_MEAN - strictness);
                Box::new(move |score| window.add(score))
            }
            Self::Tumbling(size) => {
                let mut window = FixedWindow::new(size, HEALTHY_MEAN - strictness);
                let mut count = 0;
                Box::new(move |score| {
                    count += 1;
                    window.add(score) && count % size == 0
                })
            }
            Self::Cusum => {
                let after = HEALTHY_MEAN - DROP;
                let after = (after, after * (1.0 - after) / (HEALTHY_CONCENTRATION + 1.0));
                let before = (baseline.mean, baseline.variance);
                let mut test = GaussianCusum::new(before, after, strictness * 100.0);
                Box::new(move |score| test.add(score))
            }
            Self::MeanChange => {
                let mut test = MeanChangeTest::new(baseline, strictness * 10.0);
                Box::new(move |score| test.add(score))
            }
            Self::MeanChangeHeadStart => {
                let test = MeanChangeTest::new(baseline, strictness * 10.0);
                let mut test = test.with_head_start();
                Box::new(move |score| test.add(score))
            }
        }
    }
}

fn healthy_baseline() -> RatingBaseline {
    let variance = HEALTHY_MEAN * (1.0 - HEALTHY_MEAN) / (HEALTHY_CONCENTRATION + 1.0);
    RatingBaseline::new(HEALTHY_MEAN, variance, DROP)
}

/// Healthy ratings, generated once and shared by every calibration.
struct HealthyRatings(Vec<f64>);

impl HealthyRatings {
    fn new(seed: u64) -> Self {
        let mut random = SeededRandom::new(seed ^ 0xca11);
        let rating = |_| random.beta(HEALTHY_MEAN, HEALTHY_CONCENTRATION);
        Self((0..HEALTHY_RATING_COUNT).map(rating).collect())
    }

    fn draw(&self, random: &mut SeededRandom) -> f64 {
        self.0[random.next_u64() as usize % HEALTHY_RATING_COUNT]
    }

    fn run_length(
        &self,
        kind: TestKind,
        strictness: f64,
        max_length: u32,
        random: &mut SeededRandom,
    ) -> u32 {
        let mut test = kind.start(strictness);
        (1..=max_length).find(|_| test(self.draw(random))).unwrap_or(max_length)
    }

    /// Mean run length to a false alarm, in ratings. Runs are truncated at a horizon; the mean is
    /// the number of ratings divided by the number of alarms, because the run lengths of all
    /// these tests have a geometric tail.
    fn mean_run_length(&self, kind: TestKind, strictness: f64, settings: &ExposureSettings) -> f64 {
        let max_length = (settings.false_alarm_ratings * CALIBRATION_HORIZON) as u32;
        let mut random = SeededRandom::new(settings.seed ^ 0xfa15e);
        let runs = (0..CALIBRATION_RUNS)
            .map(|_| self.run_length(kind, strictness, max_length, &mut random));
        let (total, alarms) = runs.fold((0.0, 0u32), |(total, alarms), length| {
            (total + f64::from(length), alarms + u32::from(length < max_length))
        });
        total / f64::from(alarms.max(1))
    }
}

/// Finds the strictness at which a test has the requested mean run length, by bisection.
fn calibrate(kind: TestKind, healthy_ratings: &HealthyRatings, settings: &ExposureSettings) -> f64 {
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..CALIBRATION_STEPS {
        let middle = (low + high) / 2.0;
        if healthy_ratings.mean_run_length(kind, middle, settings) < settings.false_alarm_ratings {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Mean number of ratings from the change to the alarm, over the runs without an earlier false
/// alarm. The first `before` ratings are healthy.
fn mean_delay(
    (kind, strictness): (TestKind, f64),
    stream: DegradedStream,
    before: u32,
    healthy_ratings: &HealthyRatings,
    settings: &ExposureSettings,
) -> f64 {
    let mut random = SeededRandom::new(settings.seed ^ 0xbad);
    let mut delay = || {
        let mut test = kind.start(strictness);
        let mut alarms = (0..before).map(|_| test(healthy_ratings.draw(&mut random)));
        if alarms.any(|alarm| alarm) {
            return None;
        }
        let alarm = (1..=MAX_RUN_RATINGS).find(|&number| test(stream.score(number, &mut random)));
        Some(f64::from(alarm.unwrap_or(MAX_RUN_RATINGS)))
    };
    let delays: Vec<f64> = (0..settings.runs).filter_map(|_| delay()).collect();
    delays.iter().sum::<f64>() / delays.len().max(1) as f64
}

/// Runs the experiment.
#[must_use]
pub fn run(settings: &ExposureSettings) -> ExperimentReport {
    let columns =
        ["bad from", "ratings of the bad version", "test", "ratings", "requests", "/ fixed 50"];
    let title = "Requests served by a bad version before its withdrawal";
    let mut report = ExperimentReport::new(title, settings.seed, &columns);
    let healthy_ratings = HealthyRatings::new(settings.seed);
    let calibrated: Vec<(TestKind, f64)> =
        KINDS.iter().map(|&kind| (kind, calibrate(kind, &healthy_ratings, settings))).collect();
    for (name, before) in [("first answer", 0), ("later", HEALTHY_BEFORE)] {
        for stream in STREAMS {
            let delay = |&test: &(TestKind, f64)| {
                mean_delay(test, stream, before, &healthy_ratings, settings)
            };
            let delays: Vec<f64> = calibrated.iter().map(delay).collect();
            add_rows(&mut report, (name, stream), &delays, settings);
        }
    }
    add_notes(&mut report, &calibrated, &healthy_ratings, settings);
    report
}

fn add_rows(
    report: &mut ExperimentReport,
    (from, stream): (&str, DegradedStream),
    delays: &[f64],
    settings: &ExposureSettings,
) {
    let requests = |ratings: f64| ratings / settings.rated_share + settings.rating_lag;
    let baseline = KINDS.iter().position(|&kind| kind == TestKind::Tumbling(50));
    let baseline = requests(delays[baseline.unwrap_or(0)]);
    for (kind, &delay) in KINDS.iter().zip(delays) {
        report.push(vec![
            ReportCell::text(from),
            ReportCell::text(stream.name()),
            ReportCell::text(kind.name()),
            ReportCell::number(delay, 1),
            ReportCell::number(requests(delay), 0),
            ReportCell::number(requests(delay) / baseline, 2),
        ]);
    }
}

fn add_notes(
    report: &mut ExperimentReport,
    calibrated: &[(TestKind, f64)],
    healthy_ratings: &HealthyRatings,
    settings: &ExposureSettings,
) {
    for &(kind, strictness) in calibrated {
        let mean = healthy_ratings.mean_run_length(kind, strictness, settings);
        report.add_note(format!("{}: {mean:.0} healthy ratings to a false alarm", kind.name()));
    }
    let closed = mct_threshold(&healthy_baseline(), settings.false_alarm_ratings);
    let solved = alarm_threshold(&healthy_baseline(), settings.false_alarm_ratings);
    let mean =
        healthy_ratings.mean_run_length(TestKind::MeanChangeHeadStart, solved / 10.0, settings);
    report.add_note(format!(
        "threshold of the mean-change test: closed form {closed:.2}, solved chain {solved:.2}, \
         which gives {mean:.0} healthy ratings to a false alarm with the head start"
    ));
    report.add_note(format!(
        "healthy ratings Beta, mean {HEALTHY_MEAN}; {} of answers rated; {} requests of lag; {} runs",
        settings.rated_share, settings.rating_lag, settings.runs
    ));
}
