//! A concurrent run under a fixed schedule of faults; its history must pass every check.
//!
//! Callers ask, continue sessions and order while entries, ledgers and stewards are killed,
//! paused and stopped, the store is out, replies are lost, connections go silent, upstreams
//! answer wrongly and leave, operators race, and a version is withdrawn.

mod billing;
mod load;
mod schedule;
mod watch;

use crate::testenv::{SystemPlan, TestSystem};
use load::LoadDriver;
use oleander_history::{CheckName, CheckReport, History, check_history};
use std::sync::Arc;

/// Seed of the callers' choices.
const SEED: u64 = 20_261_203;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_promise_holds_under_the_schedule_of_faults() {
    let mut system = TestSystem::start(SystemPlan::default()).await;
    let watch = watch::start(&system);
    let driver = Arc::new(LoadDriver::new(&system, SEED));
    let load = driver.start();
    schedule::run(&mut system, &driver, &watch).await;
    driver.stop();
    for task in load {
        task.await.unwrap();
    }
    watch.stop();
    let history = billing::read(&system, &driver).await;
    keep_history(&history);
    assert_all_hold(&check_history(&history));
}

/// Leaves the history where `oleander-check` can read it.
fn keep_history(history: &History) {
    let lines: Vec<String> =
        history.events.iter().map(|event| serde_json::to_string(event).unwrap()).collect();
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/faults-history.jsonl");
    std::fs::write(path, lines.join("\n")).unwrap();
}

fn assert_all_hold(reports: &[CheckReport]) {
    let mut failures = Vec::new();
    for report in reports {
        println!(
            "{:<20} {:>6} events {} breaches",
            report.check,
            report.events,
            report.violations.len()
        );
        if report.events == 0 {
            failures.push(format!("{}: nothing was tested", report.check));
        }
        for violation in report.violations.iter().take(3) {
            failures
                .push(format!("{}: {} {:#?}", report.check, violation.message, violation.trace));
        }
    }
    assert_eq!(reports.len(), CheckName::ALL.len());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
