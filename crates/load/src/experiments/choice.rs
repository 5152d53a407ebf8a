//! Time to first token by upstream selection rule, at fractions of the pool's capacity.

use crate::arrival_trace::arrivals;
use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::report::{ExperimentReport, ReportCell};
use crate::simulation::{SimulationSettings, SimulationStatistics, simulate};
use oleander_core::upstream_choice::UpstreamRule;

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Seed of all random draws.
    pub seed: u64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// The deployment.
    pub kind: DeploymentKind,
    /// Lag of load reports, in seconds.
    pub report_lag: f64,
}

/// Factor on [`CAPACITY_ESTIMATE`] at which every slot is busy.
const SATURATION_FACTOR: f64 = 4.0;
/// Estimated capacity of the pool, in answers per second.
const CAPACITY_ESTIMATE: f64 = 8.0;
/// Duration of the saturated run. Serving all its arrivals would take longer, so every slot is
/// busy until the end.
const SATURATED_SECONDS: f64 = 300.0;
/// Deadline factor at which no deadline passes in the saturated run.
const NO_DEADLINE_FACTOR: f64 = 1e3;
/// Loads, as fractions of the capacity.
const LOADS: [f64; 2] = [0.8, 1.5];
const RULES: [(&str, UpstreamRule); 3] = [
    ("expected cost", UpstreamRule::ExpectedCost),
    ("uniform random", UpstreamRule::UniformRandom),
    ("least reported", UpstreamRule::LeastReported),
];

/// Throughput of the last tier's pool with every slot busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolCapacity {
    /// Answers per second.
    pub answers: f64,
    /// Tokens per second.
    pub tokens: f64,
}

/// Measures the throughput of the last tier's pool with every slot busy.
///
/// # Errors
///
/// When the deployment's catalog is not valid.
pub fn capacity(deployment: &DeploymentModel, seed: u64) -> anyhow::Result<PoolCapacity> {
    let rate = SATURATION_FACTOR * CAPACITY_ESTIMATE;
    let trace = arrivals(deployment, rate, 120.0, true, seed);
    let mut simulation_settings = SimulationSettings::new(seed);
    simulation_settings.admission = false;
    simulation_settings.deadline_factor = NO_DEADLINE_FACTOR;
    simulation_settings.exploration = 0.0;
    simulation_settings.stop_at = SATURATED_SECONDS;
    let statistics = simulate(deployment, &trace, &simulation_settings)?;
    Ok(PoolCapacity { answers: statistics.goodput(), tokens: statistics.token_goodput() })
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
                let mut simulation_settings =
                    SimulationSettings::new(settings.seed).with_upstream(rule);
                simulation_settings.admission = admission;
                simulation_settings.report_lag = settings.report_lag;
                simulation_settings.prefix_hints = rule == UpstreamRule::ExpectedCost;
                let statistics = simulate(&deployment, &trace, &simulation_settings)?;
                report.push(row(load, name, admission, &statistics, capacity));
            }
        }
    }
    report.add_note(format!(
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
    statistics: &SimulationStatistics,
    capacity: PoolCapacity,
) -> Vec<ReportCell> {
    let arrived = statistics.total(|class| class.arrived).max(1) as f64;
    let share = |count: u64| ReportCell::number(count as f64 / arrived, 4);
    let millis = |quantile: f64| {
        ReportCell::number(statistics.first_token.value_at_quantile(quantile) as f64, 0)
    };
    vec![
        ReportCell::number(load, 1),
        ReportCell::text(name),
        ReportCell::text(if admission { "yes" } else { "no" }),
        millis(0.5),
        millis(0.95),
        millis(0.99),
        share(statistics.total(|class| class.in_time)),
        share(statistics.total(|class| class.refused)),
        share(statistics.total(|class| class.late)),
        ReportCell::number(statistics.goodput() / capacity.answers, 3),
        ReportCell::number(statistics.token_goodput() / capacity.tokens, 3),
        ReportCell::number(statistics.refusal.value_at_quantile(0.99) as f64, 0),
    ]
}
