//! The fixed schedule of faults.

use crate::faults::load::LoadDriver;
use crate::faults::watch::RunWatch;
use crate::testenv::system::WAIT_TIMEOUT;
use crate::testenv::{TestCaller, TestSystem};
use oleander_core::ids::{HostId, UpstreamName};
use oleander_history::SeenEvent;
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_standin::faults::FaultPlan;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Streams in flight when an entry is stopped.
const STREAMS: usize = 6;

async fn sleep_seconds(count: u64) {
    tokio::time::sleep(Duration::from_secs(count)).await;
}

/// Runs the schedule from its first fault to its last.
pub async fn run(system: &mut TestSystem, driver: &LoadDriver, watch: &RunWatch) {
    sleep_seconds(1).await;
    start_rollout(system);
    inject_answer_faults(system);
    sleep_seconds(2).await;
    kill_entry(system, driver, watch, 2).await;
    publish_concurrently(system);
    lose_replies_and_stall_connections(system);
    sleep_seconds(3).await;
    pause_entry(system, driver, watch, 1).await;
    store_outage(system).await;
    sleep_seconds(4).await;
    withdraw(system);
    remove_upstream(system);
    sleep_seconds(7).await;
    stop_entry(system, driver, watch, 0).await;
    assert!(
        driver.answers() > 100,
        "expected more than 100 complete answers, found {}",
        driver.answers()
    );
}

fn start_rollout(system: &TestSystem) {
    let shares = ["rollout", "start", "small-5", "--model", "menu-writer-small"];
    let steps = ["--to", "menu-writer-small@5", "--steps", "0.5:1000000,1.0:1000000"];
    system.ctl_ok(&[&shares[..], &steps[..]].concat());
}

/// Makes engines truncate, stall or repeat streams, and answer for another attempt or version.
fn inject_answer_faults(system: &TestSystem) {
    for engine in system.standins.engines.values() {
        engine.faults().set_plan(FaultPlan {
            wrong_attempts: 2,
            wrong_versions: 2,
            cuts: 3,
            cut_after: 4,
            duplicates: 3,
            stalls: 1,
            ..FaultPlan::default()
        });
    }
}

async fn kill_entry(system: &mut TestSystem, driver: &LoadDriver, watch: &RunWatch, index: usize) {
    let id = system.entries[index].ready.ready.clone();
    watch.host_down(&id);
    system.entries[index].kill();
    // The load balancer detects the failure late: callers still connect to the killed entry.
    sleep_seconds(1).await;
    driver.remove_entry(index);
    system.restart_entry(index);
    return_to_balancer(system, driver, watch, index).await;
}

async fn return_to_balancer(
    system: &TestSystem,
    driver: &LoadDriver,
    watch: &RunWatch,
    index: usize,
) {
    system.wait_healthy().await;
    let ready = &system.entries[index].ready;
    watch.host_up(ready.ready.clone(), ready.admin.unwrap());
    driver.add_entry(index, system.callers(index));
}

/// Loses replies of the table after the call took effect; stalls open connections for good.
fn lose_replies_and_stall_connections(system: &TestSystem) {
    let platform = &system.standins.platform;
    let lost_replies = FaultPlan { lose_replies: 6, ..FaultPlan::default() };
    platform.table_faults.set_plan(lost_replies.clone());
    platform.object_faults.silence_open_connections();
    for name in ["menu-medium-1", "menu-small-2"] {
        system.standins.engines[&upstream(name)].faults().silence_open_connections();
    }
    let desk = &system.standins.services[&upstream("dispatch-desk-1")];
    desk.faults().set_plan(lost_replies);
    let other = &system.standins.services[&upstream("dispatch-desk-2")];
    other.faults().silence_open_connections();
}

fn upstream(name: &str) -> UpstreamName {
    name.parse().unwrap()
}

/// Two operators publish concurrently from the same base: one succeeds, the other conflicts.
fn publish_concurrently(system: &TestSystem) {
    let base = head_revision(system);
    let mut catalog = system.standins.catalog.clone();
    let files = [0.03, 0.04].map(|exploration| {
        catalog.policy.exploration = exploration;
        system.write_catalog(&format!("policy-{exploration}.jsonc"), &catalog)
    });
    let outputs = std::thread::scope(|scope| {
        let publish = |file: &std::path::Path| {
            system.ctl(&["publish", file.to_str().unwrap(), "--base", &base])
        };
        let tasks = files.each_ref().map(|file| scope.spawn(move || publish(file)));
        tasks.map(|task| task.join().unwrap())
    });
    let succeeded = outputs.iter().filter(|output| output.status.success()).count();
    assert_eq!(succeeded, 1, "{outputs:?}");
    let conflicting = outputs.iter().find(|output| !output.status.success()).unwrap();
    assert_eq!(conflicting.status.code(), Some(3), "{conflicting:?}");
}

/// The head revision; retried because a steward reports none while the store does not answer.
fn head_revision(system: &TestSystem) -> String {
    for _ in 0..20 {
        let status = system.ctl_ok(&["--json", "status"]);
        let status: serde_json::Value = serde_json::from_str(&status).unwrap();
        if let Some(revision) = status["head"]["revision"].as_u64() {
            return revision.to_string();
        }
    }
    panic!("no steward reported a head revision in 20 calls");
}

async fn pause_entry(system: &mut TestSystem, driver: &LoadDriver, watch: &RunWatch, index: usize) {
    let id = system.entries[index].ready.ready.clone();
    watch.host_down(&id);
    system.entries[index].pause();
    sleep_seconds(5).await;
    driver.remove_entry(index);
    system.entries[index].resume();
    return_to_balancer(system, driver, watch, index).await;
}

/// Table and object store are unavailable for 30 s; meanwhile a ledger and a steward are killed.
async fn store_outage(system: &mut TestSystem) {
    let down = FaultPlan { down: true, ..FaultPlan::default() };
    let platform = system.standins.platform.clone();
    platform.table_faults.set_plan(down.clone());
    platform.object_faults.set_plan(down);
    sleep_seconds(8).await;
    system.ledgers[0].kill();
    system.restart_ledger(0);
    sleep_seconds(8).await;
    system.stewards[0].kill();
    system.restart_steward(0);
    sleep_seconds(14).await;
    platform.table_faults.set_plan(FaultPlan::default());
    platform.object_faults.set_plan(FaultPlan::default());
}

fn withdraw(system: &TestSystem) {
    system.ctl_ok(&["withdraw", "menu-writer-small@5", "--reason", "wrong allergens"]);
}

fn remove_upstream(system: &TestSystem) {
    system.standins.engines[&upstream("menu-medium-2")].set_leaving(true);
}

async fn stop_entry(system: &mut TestSystem, driver: &LoadDriver, watch: &RunWatch, index: usize) {
    let host = system.entries[index].ready.ready.clone();
    let streams = start_streams(system, index, &host);
    wait_in_flight(system, index).await;
    record_event(system, SeenEvent::ShutdownBegan { host: host.clone() });
    system.entries[index].terminate();
    // The load balancer removes it when its health check fails.
    driver.remove_entry(index);
    let code = system.entries[index].wait().await;
    assert_eq!(code, Some(0), "exit code of the entry after SIGTERM");
    for stream in streams {
        stream.await.unwrap();
    }
    end_shutdown(system, watch, host);
}

/// Starts the streams that are in flight when the entry is stopped.
fn start_streams(system: &TestSystem, index: usize, host: &HostId) -> Vec<JoinHandle<()>> {
    let entry = system.callers(index);
    let stream = |number: usize| {
        let caller = TestCaller::new("eugene-vans", &system.recorder).with_host(host);
        tokio::spawn(async move {
            let prompt = format!("stream {number} during the stop");
            // The caller records the answer or its absence in the history.
            let _ = caller.chat(entry, "menu-writer-large", &prompt, true, &[]).await;
        })
    };
    (0..STREAMS).map(stream).collect()
}

async fn wait_in_flight(system: &TestSystem, index: usize) {
    let admin = system.entries[index].ready.admin.unwrap();
    let busy = async {
        while system.metric(admin, "oleander_entry_in_flight").await < Some(STREAMS as f64) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, busy)
        .await
        .expect("fewer streams in flight than expected within the timeout");
}

fn end_shutdown(system: &TestSystem, watch: &RunWatch, host: HostId) {
    watch.host_down(&host);
    record_event(system, SeenEvent::ShutdownEnded { host });
}

fn record_event(system: &TestSystem, seen: SeenEvent) {
    system.recorder.record(SystemClock.now(), "schedule", seen);
}
