//! Runs concurrent load under a fixed schedule of faults; the recorded history must pass every
//! check.
//!
//! Callers send chat requests, continue sessions and place orders while entries, ledgers and
//! stewards are killed, paused and stopped, the store is unavailable, replies are lost,
//! connections stall, upstreams answer wrongly and leave, operators publish concurrently, and a
//! version is withdrawn.

mod billing;
mod load;
mod schedule;
mod watch;

use crate::testenv::{SystemPlan, TestSystem};
use load::LoadDriver;
use oleander_history::{CheckName, CheckReport, History, check_history};
use std::sync::Arc;

/// Seed of the request numbers, which determine entries and prompts.
const SEED: u64 = 20_261_203;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_check_passes_under_the_fault_schedule() {
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
    write_history(&history);
    assert_all_pass(&check_history(&history));
}

/// Writes the history to a file that `oleander-check` can read.
fn write_history(history: &History) {
    let lines: Vec<String> =
        history.events.iter().map(|event| serde_json::to_string(event).unwrap()).collect();
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/faults-history.jsonl");
    std::fs::write(path, lines.join("\n")).unwrap();
}

fn assert_all_pass(reports: &[CheckReport]) {
    let mut failures = Vec::new();
    for report in reports {
        println!(
            "{:<20} {:>6} events {} violations",
            report.check,
            report.events,
            report.violations.len()
        );
        if report.events == 0 {
            failures.push(format!("{}: the history has no event for it", report.check));
        }
        for violation in report.violations.iter().take(3) {
            failures
                .push(format!("{}: {} {:#?}", report.check, violation.message, violation.trace));
        }
    }
    assert_eq!(reports.len(), CheckName::ALL.len());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
