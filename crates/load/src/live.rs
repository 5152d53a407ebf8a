//! HTTP load against a running entry and, for comparison, directly against an engine.
//!
//! The load is open-loop: each request is sent at its arrival time in the trace, however slow the
//! answers are, and its latencies are measured from that time.

pub mod client;
pub mod outcome;

use crate::arrival_trace::{TraceRequest, arrivals};
use crate::deployment::{DeploymentKind, DeploymentModel};
use crate::report::{ExperimentReport, ReportCell};
use client::{LoadClient, LoadRequest};
use outcome::LoadStatistics;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Time to wait for outstanding answers after the last arrival.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(60);
/// Text of one prompt token.
const TOKEN_TEXT: &str = "word ";

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct LiveSettings {
    /// Seed of the trace.
    pub seed: u64,
    /// Address of the entry.
    pub target: SocketAddr,
    /// API key of a client account, sent as a bearer token.
    pub key: String,
    /// The deployment whose arrivals are sent.
    pub kind: DeploymentKind,
    /// Mean requests per second.
    pub rate: f64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Version to request instead of the task classes of the trace.
    pub version: Option<String>,
    /// Length of every answer, in tokens, instead of the length in the trace.
    pub tokens: Option<u32>,
    /// Address of an engine to which every second request is sent directly; requires a version.
    pub direct: Option<SocketAddr>,
}

/// Runs the load and reports the outcomes and latencies of the requests.
///
/// # Errors
///
/// When a histogram cannot be made or the settings do not fit together.
pub async fn run(settings: &LiveSettings) -> anyhow::Result<ExperimentReport> {
    if settings.direct.is_some() && settings.version.is_none() {
        anyhow::bail!("--direct requires a version for the engine: set --model-version");
    }
    let deployment = DeploymentModel::new(settings.kind);
    let trace = arrivals(&deployment, settings.rate, settings.seconds, false, settings.seed);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let client = Arc::new(LoadClient::new());
    let start = Instant::now();
    for (number, arrival) in trace.iter().enumerate() {
        let request = load_request(settings, arrival, number);
        let (client, sender) = (Arc::clone(&client), sender.clone());
        let scheduled_at = start + Duration::from_secs_f64(arrival.at);
        tokio::time::sleep_until(scheduled_at.into()).await;
        tokio::spawn(async move {
            let outcome = client.call(&request, scheduled_at).await;
            // Sending fails only if the run has already ended.
            let _ = sender.send((request.direct, outcome));
        });
    }
    drop(sender);
    let mut statistics = [LoadStatistics::new()?, LoadStatistics::new()?];
    let end = tokio::time::Instant::now() + COMPLETION_TIMEOUT;
    while let Ok(Some((direct, outcome))) = tokio::time::timeout_at(end, receiver.recv()).await {
        statistics[usize::from(direct)].add(&outcome);
    }
    Ok(report(settings, trace.len(), &statistics, start.elapsed()))
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

/// Names of the task classes in the example catalogs, in the order of the deployment model.
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
    statistics: &[LoadStatistics; 2],
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
    for (name, target) in ["entry", "engine, direct"].into_iter().zip(statistics) {
        if target.count() > 0 {
            report.push(row(name, target, elapsed));
            target.notes().into_iter().for_each(|note| report.add_note(format!("{name}: {note}")));
        }
    }
    let completed: u64 = statistics.iter().map(LoadStatistics::count).sum();
    report.add_note(format!(
        "{sent} requests sent, mean {} a second over {} s, {} without an outcome at the end",
        settings.rate,
        settings.seconds,
        sent as u64 - completed
    ));
    report
}

fn row(name: &str, statistics: &LoadStatistics, elapsed: Duration) -> Vec<ReportCell> {
    let first = |quantile| ReportCell::number(statistics.first_token_millis(quantile), 2);
    let gap = |quantile| ReportCell::number(statistics.gap_millis(quantile), 2);
    vec![
        ReportCell::text(name),
        ReportCell::number(statistics.answered as f64, 0),
        ReportCell::number(statistics.refused() as f64, 0),
        ReportCell::number(statistics.broken as f64, 0),
        first(0.5),
        first(0.95),
        first(0.99),
        gap(0.5),
        gap(0.95),
        gap(0.99),
        ReportCell::number(statistics.tokens as f64 / elapsed.as_secs_f64(), 0),
        ReportCell::number(statistics.cost / (statistics.answered.max(1)) as f64, 6),
    ]
}
