//! Cost of an answer at the quality target, against always the costly version and the cheap
//! one first.

use crate::arrival_trace::arrivals;
use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::report::{ExperimentReport, ReportCell};
use crate::simulation::{SimulationSettings, SimulationTally, simulate};
use oleander_core::chain::{ChainRule, ESCALATE_ALL};

/// What a cost run needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostSettings {
    /// The seed.
    pub seed: u64,
    /// Mean requests a second.
    pub rate: f64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Seconds at the start that are not counted.
    pub warm_up: f64,
    /// Price of a second of latency in the planning of chains, in millionths.
    pub latency_price: u64,
}

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
    report.note(format!(
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
        let mut set = SimulationSettings::new(settings.seed).with_chain(chain);
        set.warm_up = settings.warm_up;
        set.latency_price = settings.latency_price;
        simulate(&deployment, &trace, &set)
    };
    let costly = measure(ChainRule::AlwaysCostly)?;
    let mut add = |name: String, tally: &SimulationTally| {
        report.push(row(kind, name, tally, &costly, &deployment));
    };
    add("always costly".to_owned(), &costly);
    let all = measure(ChainRule::CheapThenEscalate { threshold: ESCALATE_ALL })?;
    add("cheap, then always costly".to_owned(), &all);
    for threshold in THRESHOLDS {
        let tally = measure(ChainRule::CheapThenEscalate { threshold })?;
        add(format!("cheap, then costly below {threshold}"), &tally);
    }
    let aware = measure(ChainRule::ModelAware)?;
    add("model aware".to_owned(), &aware);
    for (index, class) in deployment.classes.iter().enumerate() {
        let (own, all) = (&aware.classes[index], &costly.classes[index]);
        report.note(format!(
            "{} {}: quality {:.3} at target {:.2}, cost {:.3} of always costly, escalated {:.3}, \
             refused {:.3}, late {:.3}",
            kind.name(),
            class.name,
            own.mean_quality(),
            class.target,
            own.cost_per_answer() / all.cost_per_answer(),
            own.escalated as f64 / own.arrived.max(1) as f64,
            own.refused as f64 / own.arrived.max(1) as f64,
            own.late as f64 / own.arrived.max(1) as f64,
        ));
    }
    Ok(())
}

fn row(
    kind: DeploymentKind,
    name: String,
    tally: &SimulationTally,
    costly: &SimulationTally,
    deployment: &DeploymentModel,
) -> Vec<ReportCell> {
    let classes = tally.classes.iter().zip(&deployment.classes);
    let margins = classes.map(|(class, model)| class.mean_quality() - model.target);
    let arrived = tally.total(|class| class.arrived).max(1) as f64;
    let share = |count: u64| ReportCell::number(count as f64 / arrived, 4);
    vec![
        ReportCell::text(kind.name()),
        ReportCell::text(name),
        ReportCell::number(tally.cost_per_answer(), 0),
        ReportCell::number(tally.cost_per_answer() / costly.cost_per_answer(), 3),
        ReportCell::number(margins.fold(f64::INFINITY, f64::min), 4),
        share(tally.total(|class| class.in_time)),
        share(tally.total(|class| class.refused)),
        share(tally.total(|class| class.late)),
        share(tally.total(|class| class.escalated)),
        ReportCell::number(tally.whole.value_at_quantile(0.95) as f64, 0),
    ]
}
