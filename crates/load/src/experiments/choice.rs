//! Time to the first token by the choice among upstreams, at shares of the pool's capacity.

use crate::arrival_trace::arrivals;
use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::report::{ExperimentReport, ReportCell};
use crate::simulation::{SimulationSettings, SimulationTally, simulate};
use oleander_core::upstream_choice::UpstreamRule;

/// What a run needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// The seed.
    pub seed: u64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// The deployment.
    pub kind: DeploymentKind,
    /// Lag of load reports, in seconds.
    pub report_lag: f64,
}

/// Rate that surely keeps every slot busy, as a multiple of the guess.
const SATURATION: f64 = 4.0;
const SATURATION_GUESS: f64 = 8.0;
/// Length of the saturating run; its arrivals would last longer.
const SATURATED_SECONDS: f64 = 300.0;
/// Deadlines of the saturating run never pass.
const NO_DEADLINE: f64 = 1e3;
const LOADS: [f64; 2] = [0.8, 1.5];
const RULES: [(&str, UpstreamRule); 3] = [
    ("expected cost", UpstreamRule::ExpectedCost),
    ("uniform random", UpstreamRule::UniformRandom),
    ("least reported", UpstreamRule::LeastReported),
];

/// What the last tier's pool does when every slot is busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolCapacity {
    /// Answers a second.
    pub answers: f64,
    /// Tokens a second.
    pub tokens: f64,
}

/// Measures the capacity of the last tier's pool.
///
/// # Errors
///
/// When the deployment's catalog is not valid.
pub fn capacity(deployment: &DeploymentModel, seed: u64) -> anyhow::Result<PoolCapacity> {
    let rate = SATURATION * SATURATION_GUESS;
    let trace = arrivals(deployment, rate, 120.0, true, seed);
    let mut set = SimulationSettings::new(seed);
    set.admission = false;
    set.deadline_factor = NO_DEADLINE;
    set.exploration = 0.0;
    set.stop_at = SATURATED_SECONDS;
    let tally = simulate(deployment, &trace, &set)?;
    Ok(PoolCapacity { answers: tally.goodput(), tokens: tally.token_goodput() })
}

/// Runs the experiment.
///
/// # Errors
///
/// When the deployment's catalog is not valid.
pub fn run(settings: &ChoiceSettings) -> anyhow::Result<ExperimentReport> {
    let columns = [
        "load",
        "choice",
        "admission",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "in time",
        "refused",
        "late",
        "answers / capacity",
        "tokens / capacity",
        "p99 refusal ms",
    ];
    let title = format!("Time to the first token, {}", settings.kind.name());
    let mut report = ExperimentReport::new(title, settings.seed, &columns);
    let deployment = DeploymentModel::new(settings.kind).with_last_tier_only();
    let capacity = capacity(&deployment, settings.seed)?;
    for load in LOADS {
        for (name, rule) in RULES {
            for admission in [true, false] {
                let rate = capacity.answers * load;
                let trace = arrivals(&deployment, rate, settings.seconds, true, settings.seed);
                let mut set = SimulationSettings::new(settings.seed).with_upstream(rule);
                set.admission = admission;
                set.report_lag = settings.report_lag;
                set.prefix_hints = rule == UpstreamRule::ExpectedCost;
                let tally = simulate(&deployment, &trace, &set)?;
                report.push(row(load, name, admission, &tally, capacity));
            }
        }
    }
    report.note(format!(
        "capacity {:.2} answers and {:.0} tokens a second, measured with every slot busy; load \
         reports {} s old; {} s of arrivals",
        capacity.answers, capacity.tokens, settings.report_lag, settings.seconds
    ));
    Ok(report)
}

fn row(
    load: f64,
    name: &str,
    admission: bool,
    tally: &SimulationTally,
    capacity: PoolCapacity,
) -> Vec<ReportCell> {
    let arrived = tally.total(|class| class.arrived).max(1) as f64;
    let share = |count: u64| ReportCell::number(count as f64 / arrived, 4);
    let millis =
        |quantile: f64| ReportCell::number(tally.first_token.value_at_quantile(quantile) as f64, 0);
    vec![
        ReportCell::number(load, 1),
        ReportCell::text(name),
        ReportCell::text(if admission { "yes" } else { "no" }),
        millis(0.5),
        millis(0.95),
        millis(0.99),
        share(tally.total(|class| class.in_time)),
        share(tally.total(|class| class.refused)),
        share(tally.total(|class| class.late)),
        ReportCell::number(tally.goodput() / capacity.answers, 3),
        ReportCell::number(tally.token_goodput() / capacity.tokens, 3),
        ReportCell::number(tally.refusal.value_at_quantile(0.99) as f64, 0),
    ]
}
