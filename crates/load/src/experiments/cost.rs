//! Cost per answer at the quality target, compared with always using the most expensive version
//! and with escalating from the cheapest one at a fixed confidence threshold.

use crate::arrival_trace::arrivals;
use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::report::{ExperimentReport, ReportCell};
use crate::simulation::{SimulationSettings, SimulationStatistics, simulate};
use oleander_core::chain::{ChainRule, ESCALATE_ALL};

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostSettings {
    /// Seed of all random draws.
    pub seed: u64,
    /// Mean requests per second.
    pub rate: f64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Seconds at the start that are excluded from the results.
    pub warm_up: f64,
    /// Price of a second of latency in the planning of chains, in millionths.
    pub latency_price: u64,
}

/// Confidence thresholds of the baselines that escalate.
const THRESHOLDS: [f64; 6] = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8];

/// Runs the experiment on both deployments.
///
/// # Errors
///
/// When a deployment's catalog is not valid.
pub fn run(settings: &CostSettings) -> anyhow::Result<ExperimentReport> {
    let columns = [
        "deployment",
        "chain",
        "cost/answer",
        "/ always costly",
        "worst quality - target",
        "in time",
        "refused",
        "late",
        "escalated",
        "p95 whole ms",
    ];
    let title = "Cost of an answer at the quality target, in millionths";
    let mut report = ExperimentReport::new(title, settings.seed, &columns);
    for kind in [DeploymentKind::Curbside, DeploymentKind::Teranga] {
        run_deployment(kind, settings, &mut report)?;
    }
    report.add_note(format!(
        "mean {} requests a second over {} s, the first {} s not counted; 5% of answers rated, \
         60 s later on average; exploration 2%; a second of latency counts {} millionths",
        settings.rate, settings.seconds, settings.warm_up, settings.latency_price
    ));
    Ok(report)
}

fn run_deployment(
    kind: DeploymentKind,
    settings: &CostSettings,
    report: &mut ExperimentReport,
) -> anyhow::Result<()> {
    let deployment = DeploymentModel::new(kind);
    let trace = arrivals(&deployment, settings.rate, settings.seconds, false, settings.seed);
    let measure = |chain: ChainRule| {
        let mut simulation_settings = SimulationSettings::new(settings.seed).with_chain(chain);
        simulation_settings.warm_up = settings.warm_up;
        simulation_settings.latency_price = settings.latency_price;
        simulate(&deployment, &trace, &simulation_settings)
    };
    let costly = measure(ChainRule::AlwaysCostly)?;
    let mut add = |name: String, statistics: &SimulationStatistics| {
        report.push(row(kind, name, statistics, &costly, &deployment));
    };
    add("always costly".to_owned(), &costly);
    let escalate_all = measure(ChainRule::CheapThenEscalate { threshold: ESCALATE_ALL })?;
    add("cheap, then always costly".to_owned(), &escalate_all);
    for threshold in THRESHOLDS {
        let statistics = measure(ChainRule::CheapThenEscalate { threshold })?;
        add(format!("cheap, then costly below {threshold}"), &statistics);
    }
    let model_aware = measure(ChainRule::ModelAware)?;
    add("model aware".to_owned(), &model_aware);
    for (index, class) in deployment.classes.iter().enumerate() {
        let (aware_class, costly_class) = (&model_aware.classes[index], &costly.classes[index]);
        report.add_note(format!(
            "{} {}: quality {:.3} at target {:.2}, cost {:.3} of always costly, escalated {:.3}, \
             refused {:.3}, late {:.3}",
            kind.name(),
            class.name,
            aware_class.mean_quality(),
            class.target,
            aware_class.cost_per_answer() / costly_class.cost_per_answer(),
            aware_class.escalated as f64 / aware_class.arrived.max(1) as f64,
            aware_class.refused as f64 / aware_class.arrived.max(1) as f64,
            aware_class.late as f64 / aware_class.arrived.max(1) as f64,
        ));
    }
    Ok(())
}

fn row(
    kind: DeploymentKind,
    name: String,
    statistics: &SimulationStatistics,
    costly: &SimulationStatistics,
    deployment: &DeploymentModel,
) -> Vec<ReportCell> {
    let classes = statistics.classes.iter().zip(&deployment.classes);
    let margins = classes.map(|(class, model)| class.mean_quality() - model.target);
    let arrived = statistics.total(|class| class.arrived).max(1) as f64;
    let share = |count: u64| ReportCell::number(count as f64 / arrived, 4);
    vec![
        ReportCell::text(kind.name()),
        ReportCell::text(name),
        ReportCell::number(statistics.cost_per_answer(), 0),
        ReportCell::number(statistics.cost_per_answer() / costly.cost_per_answer(), 3),
        ReportCell::number(margins.fold(f64::INFINITY, f64::min), 4),
        share(statistics.total(|class| class.in_time)),
        share(statistics.total(|class| class.refused)),
        share(statistics.total(|class| class.late)),
        share(statistics.total(|class| class.escalated)),
        ReportCell::number(statistics.completion.value_at_quantile(0.95) as f64, 0),
    ]
}
