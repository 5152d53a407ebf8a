//! A third or all of the engines of a pool fail: load that retries add and outcomes for callers.

use super::choice::capacity;
use crate::arrival_trace::arrivals;
use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::report::{ExperimentReport, ReportCell};
use crate::simulation::settings::{EngineFault, RetryRule};
use crate::simulation::{SimulationSettings, SimulationStatistics, simulate};

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureSettings {
    /// Seed of all random draws.
    pub seed: u64,
    /// Seconds of arrivals; engines fail during the middle third.
    pub seconds: f64,
    /// The deployment.
    pub kind: DeploymentKind,
    /// Load as a share of the healthy pool's capacity.
    pub load: f64,
}

const FIXED_RETRIES: u32 = 3;

/// Runs the experiment.
///
/// # Errors
///
/// When the deployment's catalog is not valid.
pub fn run(settings: &FailureSettings) -> anyhow::Result<ExperimentReport> {
    let columns = [
        "failing engines",
        "retries",
        "ejection",
        "in time",
        "refused",
        "late",
        "failed",
        "retries / first attempts",
        "p95 ms",
        "p99 refusal ms",
    ];
    let title = format!("Engines failing in mid-run, {}", settings.kind.name());
    let mut report = ExperimentReport::new(title, settings.seed, &columns);
    let deployment = DeploymentModel::new(settings.kind).with_last_tier_only();
    let capacity = capacity(&deployment, settings.seed)?.answers;
    let rate = capacity * settings.load;
    let trace = arrivals(&deployment, rate, settings.seconds, true, settings.seed);
    let pool_size = deployment.tiers[0].engine_count;
    for engines in [pool_size.div_ceil(3), pool_size] {
        for retry in [RetryRule::Budget, RetryRule::Fixed(FIXED_RETRIES)] {
            for ejection in [true, false] {
                let mut simulation_settings = SimulationSettings::new(settings.seed);
                let (from, to) = (settings.seconds / 3.0, settings.seconds * 2.0 / 3.0);
                simulation_settings.faults = vec![EngineFault { tier: 0, engines, from, to }];
                simulation_settings.retry = retry;
                simulation_settings.ejection = ejection;
                let statistics = simulate(&deployment, &trace, &simulation_settings)?;
                report.push(row(engines, retry, ejection, &statistics));
            }
        }
    }
    report.add_note(format!(
        "pool of {pool_size}; load {} of capacity ({capacity:.2} answers a second); failing from \
         a third to two thirds of {} s",
        settings.load, settings.seconds
    ));
    Ok(report)
}

fn row(
    engines: usize,
    retry: RetryRule,
    ejection: bool,
    statistics: &SimulationStatistics,
) -> Vec<ReportCell> {
    let arrived = statistics.total(|class| class.arrived).max(1) as f64;
    let share = |count: u64| ReportCell::number(count as f64 / arrived, 4);
    let name = match retry {
        RetryRule::Budget => "budget".to_owned(),
        RetryRule::Fixed(max_retries) => format!("up to {max_retries}"),
    };
    vec![
        ReportCell::number(engines as f64, 0),
        ReportCell::text(name),
        ReportCell::text(if ejection { "yes" } else { "no" }),
        share(statistics.total(|class| class.in_time)),
        share(statistics.total(|class| class.refused)),
        share(statistics.total(|class| class.late)),
        share(statistics.total(|class| class.failed)),
        ReportCell::number(statistics.retry_share(), 4),
        ReportCell::number(statistics.first_token.value_at_quantile(0.95) as f64, 0),
        ReportCell::number(statistics.refusal.value_at_quantile(0.99) as f64, 0),
    ]
}
