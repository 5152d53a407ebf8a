//! The promises, held against what callers and upstreams saw.

use crate::caller::{ACCOUNT, CallKind, CallOutcome, CallRecord};
use crate::gateway::GatewayHost;
use crate::upstream::{EVENTS, RunLog, answer_of, event_of};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What a final answer may take beyond its deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(1_000);
/// Time around a kill or a pause in which it explains a lost answer.
const STRIKE_MARGIN: Duration = Duration::from_millis(100);
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Share of requests that are answered once nothing has been wrong for a while.
const SERVED_AGAIN: f64 = 0.95;

/// Breaches of promises, as text.
pub fn breaches(records: &[CallRecord], runs: &RunLog, hosts: &[GatewayHost]) -> Vec<String> {
    let mut found: Vec<String> = hosts.iter().flat_map(GatewayHost::faults).collect();
    for record in records {
        let host = &hosts[record.host];
        for breach in check_record(record, runs, host) {
            found.push(format!("{} {:?} at {}: {breach}", record.id, record.kind, host.name));
        }
    }
    found.extend(check_runs(records, runs));
    found
}

fn check_record(record: &CallRecord, runs: &RunLog, host: &GatewayHost) -> Vec<String> {
    let mut found = Vec::new();
    let times_run = runs.runs(&record.id).len();
    if record.kind.runs_once() && times_run > 1 {
        found.push(format!("ran {times_run} times"));
    }
    let struck = host.was_struck(record.sent - STRIKE_MARGIN, record.ended + STRIKE_MARGIN);
    let took = record.ended - record.sent;
    if took > record.kind.deadline() + ANSWER_SLACK && !struck {
        found.push(format!("no final answer for {took:?}"));
    }
    match &record.outcome {
        CallOutcome::Answer { status, body, whole, sealed, says_when } => {
            found.extend(check_body(record, *status, body, *whole, *sealed));
            if PROMISES.contains(status) && record.kind.runs_once() && times_run > 0 {
                found.push(format!("{status} promises that it has not run, and it has"));
            }
            if *status == 503 && !says_when {
                found.push("503 does not say when to come back".to_owned());
            }
        }
        CallOutcome::NoAnswer if times_run > 0 && !struck => {
            found.push("it ran, and the connection ended without an answer".to_owned());
        }
        _ => {}
    }
    found
}

/// A success is the whole answer to its own request, made by an upstream.
fn check_body(
    record: &CallRecord,
    status: u16,
    body: &str,
    whole: bool,
    sealed: bool,
) -> Option<String> {
    if status != 200 {
        let denied = matches!(status, 400 | 401 | 403 | 404 | 413 | 431);
        return denied.then(|| format!("denied with {status}, though it is allowed"));
    }
    if !sealed {
        return Some("a success that no upstream made".to_owned());
    }
    if !record.kind.is_stream() {
        let right = !whole || body == answer_of(&record.id);
        return (!right).then(|| format!("another body: {body:?}"));
    }
    let expected: String = (1..=EVENTS).map(|number| event_of(&record.id, number)).collect();
    let right = if whole { body == expected } else { expected.starts_with(body) };
    (!right).then(|| format!("whole {whole}, and its events are {body:?}"))
}

/// What upstreams ran was sent by a caller, under the caller's account and without its key.
fn check_runs(records: &[CallRecord], runs: &RunLog) -> Vec<String> {
    let sent: HashMap<&str, CallKind> =
        records.iter().map(|record| (record.id.as_str(), record.kind)).collect();
    let mut found = Vec::new();
    for (id, seen) in runs.all() {
        if !sent.contains_key(id.as_str()) && !id.starts_with("probe") {
            found.push(format!("{id}: ran, though nobody sent it"));
        }
        for run in seen {
            if run.account.as_deref() != Some(ACCOUNT) || run.has_key {
                found.push(format!("{id}: ran for {:?}, key passed {}", run.account, run.has_key));
            }
        }
    }
    found
}

/// Upstreams that left get nothing more once every host knows it.
pub fn check_left(runs: &RunLog, name: &str, known_by: Instant) -> Vec<String> {
    let late = |run: &crate::upstream::SeenRun| run.upstream == name && run.at > known_by;
    let all = runs.all();
    let found = all.iter().filter(|(_, seen)| seen.iter().any(late));
    found.map(|(id, _)| format!("{id}: ran at {name} after it had left")).collect()
}

/// Once nothing has been wrong for a while, requests are answered again.
pub fn check_recovery(records: &[CallRecord], from: Instant) -> Option<String> {
    let late: Vec<&CallRecord> = records.iter().filter(|record| record.sent >= from).collect();
    let served = |record: &&&CallRecord| {
        matches!(record.outcome, CallOutcome::Answer { status: 200, whole: true, .. })
    };
    let share = late.iter().filter(served).count() as f64 / late.len().max(1) as f64;
    (share < SERVED_AGAIN).then(|| format!("{share:.2} of {} served at the end", late.len()))
}
