//! Load over HTTP against a running entry, and beside it straight against an engine.
//!
//! Open loop: every request is sent at the time that the trace says, however slow the answers
//! are, and its times count from there.

pub mod caller;
pub mod outcome;

use crate::arrival_trace::{TraceRequest, arrivals};
use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::report::{ExperimentReport, ReportCell};
use caller::{LoadCaller, LoadRequest};
use outcome::LoadTally;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Time after the last arrival in which answers are waited for.
const TAIL: Duration = Duration::from_secs(60);
/// Characters of a prompt for each of its tokens.
const TOKEN_TEXT: &str = "word ";

/// What a run needs.
#[derive(Clone, Debug)]
pub struct LiveSettings {
    /// The seed.
    pub seed: u64,
    /// The entry.
    pub target: SocketAddr,
    /// Bearer key of a client account.
    pub key: String,
    /// The deployment whose arrivals are sent.
    pub kind: DeploymentKind,
    /// Mean requests a second.
    pub rate: f64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Names this version instead of the trace's task classes.
    pub version: Option<String>,
    /// Tokens of every answer instead of the trace's.
    pub tokens: Option<u32>,
    /// An engine to which every second request goes directly; needs a version.
    pub direct: Option<SocketAddr>,
}

/// Runs the load and reports what callers saw.
///
/// # Errors
///
/// When a histogram cannot be made or the settings do not fit together.
pub async fn run(settings: &LiveSettings) -> anyhow::Result<ExperimentReport> {
    if settings.direct.is_some() && settings.version.is_none() {
        anyhow::bail!("name a version with --model-version to compare with an engine");
    }
    let deployment = DeploymentModel::new(settings.kind);
    let trace = arrivals(&deployment, settings.rate, settings.seconds, false, settings.seed);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let caller = Arc::new(LoadCaller::new());
    let start = Instant::now();
    for (number, arrival) in trace.iter().enumerate() {
        let request = load_request(settings, arrival, number);
        let (caller, sender) = (Arc::clone(&caller), sender.clone());
        let at = start + Duration::from_secs_f64(arrival.at);
        tokio::time::sleep_until(at.into()).await;
        tokio::spawn(async move {
            let outcome = caller.call(&request, at).await;
            // The receiver is gone only when the run was given up.
            let _ = sender.send((request.direct, outcome));
        });
    }
    drop(sender);
    let mut tallies = [LoadTally::new()?, LoadTally::new()?];
    let end = tokio::time::Instant::now() + TAIL;
    while let Ok(Some((direct, outcome))) = tokio::time::timeout_at(end, receiver.recv()).await {
        tallies[usize::from(direct)].add(&outcome);
    }
    Ok(report(settings, trace.len(), &tallies, start.elapsed()))
}

fn load_request(settings: &LiveSettings, arrival: &TraceRequest, number: usize) -> LoadRequest {
    let direct = settings.direct.filter(|_| number % 2 == 1);
    let class = class_name(settings.kind, arrival.class);
    LoadRequest {
        address: direct.unwrap_or(settings.target),
        direct: direct.is_some(),
        key: settings.key.clone(),
        model: settings.version.clone().unwrap_or_else(|| class.to_owned()),
        prompt: format!("{} {}", arrival.prefix, TOKEN_TEXT.repeat(arrival.prompt as usize)),
        tokens: settings.tokens.unwrap_or(arrival.answer),
        number,
    }
}

/// Names of the task classes in the example catalogs, in the order of the deployment's model.
fn class_name(kind: DeploymentKind, class: usize) -> &'static str {
    let names = match kind {
        DeploymentKind::Curbside => ["route-menu-plan", "allergen-summary", "stock-lookup"],
        DeploymentKind::Teranga => ["contract-draft", "tenant-question", "ticket-tags"],
    };
    names[class]
}

fn report(
    settings: &LiveSettings,
    sent: usize,
    tallies: &[LoadTally; 2],
    elapsed: Duration,
) -> ExperimentReport {
    let columns = [
        "target",
        "answered",
        "refused",
        "broken",
        "first token p50 ms",
        "p95",
        "p99",
        "gap p50 ms",
        "p95",
        "p99",
        "tokens/s",
        "cost/answer",
    ];
    let title = format!("Load on a running entry, {}", settings.kind.name());
    let mut report = ExperimentReport::new(title, settings.seed, &columns);
    for (name, tally) in ["entry", "engine, direct"].into_iter().zip(tallies) {
        if tally.count() > 0 {
            report.push(row(name, tally, elapsed));
            tally.notes().into_iter().for_each(|note| report.note(format!("{name}: {note}")));
        }
    }
    let seen: u64 = tallies.iter().map(LoadTally::count).sum();
    report.note(format!(
        "{sent} requests sent, mean {} a second over {} s, {} without an outcome at the end",
        settings.rate,
        settings.seconds,
        sent as u64 - seen
    ));
    report
}

fn row(name: &str, tally: &LoadTally, elapsed: Duration) -> Vec<ReportCell> {
    let first = |quantile| ReportCell::number(tally.first_token_millis(quantile), 2);
    let gap = |quantile| ReportCell::number(tally.gap_millis(quantile), 2);
    vec![
        ReportCell::text(name),
        ReportCell::number(tally.answered as f64, 0),
        ReportCell::number(tally.refused() as f64, 0),
        ReportCell::number(tally.broken as f64, 0),
        first(0.5),
        first(0.95),
        first(0.99),
        gap(0.5),
        gap(0.95),
        gap(0.99),
        ReportCell::number(tally.tokens as f64 / elapsed.as_secs_f64(), 0),
        ReportCell::number(tally.cost / (tally.answered.max(1)) as f64, 6),
    ]
}
