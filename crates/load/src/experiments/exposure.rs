//! Requests that a bad version serves before it is withdrawn.
//!
//! Every test is calibrated by simulation to the same mean number of ratings between false
//! alarms on healthy ratings; then each sees the same bad streams.

use crate::report::{ExperimentReport, ReportCell};
use crate::seeded_source::SeededSource;
use oleander_core::alarm_threshold::alarm_threshold;
use oleander_core::detect::{
    FixedWindow, GaussianCusum, MeanChangeTest, RatingBaseline, mct_threshold,
};

/// What an exposure run needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureSettings {
    /// The seed.
    pub seed: u64,
    /// Runs of each scenario and test.
    pub runs: u32,
    /// Mean number of ratings between false alarms.
    pub false_alarm_ratings: f64,
    /// Share of answers that are rated.
    pub rated_share: f64,
    /// Requests that the version serves between an answer and its rating.
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
const DROP: f64 = 0.1;
const CALIBRATION_RUNS: u32 = 400;
const CALIBRATION_STEPS: u32 = 12;
/// Longest run of one calibration sample, as a multiple of the mean that is aimed at.
const CALIBRATION_HORIZON: f64 = 2.0;
/// Healthy ratings drawn once, from which calibration draws.
const HEALTHY_POOL: usize = 1 << 20;
/// Healthy ratings before the change of a version that turns bad later.
const HEALTHY_BEFORE: u32 = 300;
const LONGEST_RUN: u32 = 20_000;

/// How the ratings of the bad version go.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BadStream {
    /// The mean is lower by a fixed amount from the first answer.
    Stationary(f64),
    /// The mean falls by this much more with every 100 ratings, from a first fall.
    Falling { first: f64, per_hundred: f64 },
    /// The fall goes up and down between two values, as with changing task mixes.
    Swinging { low: f64, high: f64, period: f64 },
    /// The spread changes with the mean: most answers fine, some useless.
    Mixture { useless: f64 },
}

impl BadStream {
    fn name(self) -> String {
        match self {
            Self::Stationary(fall) => format!("stationary, fall {fall}"),
            Self::Falling { first, per_hundred } => {
                format!("drifting, fall {first} + {per_hundred}/100 ratings")
            }
            Self::Swinging { low, high, .. } => format!("drifting, fall swings {low} to {high}"),
            Self::Mixture { useless } => format!("stationary, {useless} of answers useless"),
        }
    }

    fn score(self, number: u32, source: &mut SeededSource) -> f64 {
        let at = f64::from(number);
        let fall = match self {
            Self::Stationary(fall) => fall,
            Self::Falling { first, per_hundred } => first + per_hundred * at / 100.0,
            Self::Swinging { low, high, period } => {
                let wave = 0.5 - 0.5 * (std::f64::consts::TAU * at / period).cos();
                low + (high - low) * wave
            }
            Self::Mixture { useless } if source.unit() < useless => return 0.05,
            Self::Mixture { .. } => 0.0,
        };
        source.beta((HEALTHY_MEAN - fall).max(0.05), HEALTHY_CONCENTRATION)
    }
}

const STREAMS: [BadStream; 6] = [
    BadStream::Stationary(0.1),
    BadStream::Stationary(0.2),
    BadStream::Stationary(0.4),
    BadStream::Falling { first: 0.05, per_hundred: 0.1 },
    BadStream::Swinging { low: 0.05, high: 0.25, period: 120.0 },
    BadStream::Mixture { useless: 0.15 },
];

/// A test with one free threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TestKind {
    Sliding(usize),
    Tumbling(usize),
    Cusum,
    Mct,
    MctHeadStart,
}

const KINDS: [TestKind; 8] = [
    TestKind::Tumbling(25),
    TestKind::Tumbling(50),
    TestKind::Tumbling(100),
    TestKind::Sliding(25),
    TestKind::Sliding(50),
    TestKind::Cusum,
    TestKind::Mct,
    TestKind::MctHeadStart,
];

impl TestKind {
    fn name(self) -> String {
        match self {
            Self::Sliding(size) => format!("sliding window {size}"),
            Self::Tumbling(size) => format!("fixed window {size}"),
            Self::Cusum => "Gaussian CUSUM".to_owned(),
            Self::Mct => "mean-change test".to_owned(),
            Self::MctHeadStart => "mean-change test, head start".to_owned(),
        }
    }

    /// A fresh test. `strictness` grows with the time between false alarms.
    fn start(self, strictness: f64) -> Box<dyn FnMut(f64) -> bool> {
        let baseline = healthy();
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
            Self::Mct => {
                let mut test = MeanChangeTest::new(baseline, strictness * 10.0);
                Box::new(move |score| test.add(score))
            }
            Self::MctHeadStart => {
                let test = MeanChangeTest::new(baseline, strictness * 10.0);
                let mut test = test.with_head_start();
                Box::new(move |score| test.add(score))
            }
        }
    }
}

fn healthy() -> RatingBaseline {
    let variance = HEALTHY_MEAN * (1.0 - HEALTHY_MEAN) / (HEALTHY_CONCENTRATION + 1.0);
    RatingBaseline::new(HEALTHY_MEAN, variance, DROP)
}

/// Healthy ratings, drawn once and shared by every calibration.
struct HealthyPool(Vec<f64>);

impl HealthyPool {
    fn new(seed: u64) -> Self {
        let mut source = SeededSource::new(seed ^ 0xca11);
        let draw = |_| source.beta(HEALTHY_MEAN, HEALTHY_CONCENTRATION);
        Self((0..HEALTHY_POOL).map(draw).collect())
    }

    fn draw(&self, source: &mut SeededSource) -> f64 {
        self.0[source.word() as usize % HEALTHY_POOL]
    }

    fn run(&self, kind: TestKind, strictness: f64, longest: u32, source: &mut SeededSource) -> u32 {
        let mut test = kind.start(strictness);
        (1..=longest).find(|_| test(self.draw(source))).unwrap_or(longest)
    }

    /// Mean ratings to a false alarm, from runs that are cut at a horizon: all ratings over all
    /// alarms, as for the geometric tail of every one of these tests.
    fn mean_run(&self, kind: TestKind, strictness: f64, settings: &ExposureSettings) -> f64 {
        let longest = (settings.false_alarm_ratings * CALIBRATION_HORIZON) as u32;
        let mut source = SeededSource::new(settings.seed ^ 0xfa15e);
        let runs = (0..CALIBRATION_RUNS).map(|_| self.run(kind, strictness, longest, &mut source));
        let (total, alarms) = runs.fold((0.0, 0u32), |(total, alarms), length| {
            (total + f64::from(length), alarms + u32::from(length < longest))
        });
        total / f64::from(alarms.max(1))
    }
}

/// The strictness at which a test's mean run is the one asked for, by bisection.
fn calibrate(kind: TestKind, pool: &HealthyPool, settings: &ExposureSettings) -> f64 {
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..CALIBRATION_STEPS {
        let middle = (low + high) / 2.0;
        if pool.mean_run(kind, middle, settings) < settings.false_alarm_ratings {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Ratings from the change to the alarm, the mean over the runs without a false alarm. The
/// version is healthy for `before` ratings first.
fn mean_delay(
    (kind, strictness): (TestKind, f64),
    stream: BadStream,
    before: u32,
    pool: &HealthyPool,
    settings: &ExposureSettings,
) -> f64 {
    let mut source = SeededSource::new(settings.seed ^ 0xbad);
    let mut delay = || {
        let mut test = kind.start(strictness);
        let mut alarms = (0..before).map(|_| test(pool.draw(&mut source)));
        if alarms.any(|alarm| alarm) {
            return None;
        }
        let alarm = (1..=LONGEST_RUN).find(|&number| test(stream.score(number, &mut source)));
        Some(f64::from(alarm.unwrap_or(LONGEST_RUN)))
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
    let pool = HealthyPool::new(settings.seed);
    let calibrated: Vec<(TestKind, f64)> =
        KINDS.iter().map(|&kind| (kind, calibrate(kind, &pool, settings))).collect();
    for (name, before) in [("first answer", 0), ("later", HEALTHY_BEFORE)] {
        for stream in STREAMS {
            let delay = |&test: &(TestKind, f64)| mean_delay(test, stream, before, &pool, settings);
            let delays: Vec<f64> = calibrated.iter().map(delay).collect();
            add_rows(&mut report, (name, stream), &delays, settings);
        }
    }
    add_notes(&mut report, &calibrated, &pool, settings);
    report
}

fn add_rows(
    report: &mut ExperimentReport,
    (from, stream): (&str, BadStream),
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
    pool: &HealthyPool,
    settings: &ExposureSettings,
) {
    for &(kind, strictness) in calibrated {
        let mean = pool.mean_run(kind, strictness, settings);
        report.note(format!("{}: {mean:.0} healthy ratings to a false alarm", kind.name()));
    }
    let closed = mct_threshold(&healthy(), settings.false_alarm_ratings);
    let solved = alarm_threshold(&healthy(), settings.false_alarm_ratings);
    let mean = pool.mean_run(TestKind::MctHeadStart, solved / 10.0, settings);
    report.note(format!(
        "threshold of the mean-change test: closed form {closed:.2}, solved chain {solved:.2}, \
         which gives {mean:.0} healthy ratings to a false alarm with the head start"
    ));
    report.note(format!(
        "healthy ratings Beta, mean {HEALTHY_MEAN}; {} of answers rated; {} requests of lag; {} runs",
        settings.rated_share, settings.rating_lag, settings.runs
    ));
}
