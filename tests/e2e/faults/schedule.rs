//! The schedule of faults.

use crate::faults::load::LoadDriver;
use crate::faults::watch::RunWatch;
use crate::testenv::system::PATIENCE;
use crate::testenv::{TestCaller, TestSystem};
use oleander_core::ids::{HostId, UpstreamName};
use oleander_history::SeenEvent;
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_standin::faults::FaultPlan;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Streams under way when an entry is told to stop.
const STREAMS: usize = 6;

async fn seconds(count: u64) {
    tokio::time::sleep(Duration::from_secs(count)).await;
}

/// Runs the schedule from its first fault to its last.
pub async fn run(system: &mut TestSystem, driver: &LoadDriver, watch: &RunWatch) {
    seconds(1).await;
    start_rollout(system);
    show_wrong_answers(system);
    seconds(2).await;
    kill_entry(system, driver, watch, 2).await;
    race_operators(system);
    lose_replies_and_silence(system);
    seconds(3).await;
    pause_entry(system, driver, watch, 1).await;
    store_outage(system).await;
    seconds(4).await;
    withdraw(system);
    leave_upstream(system);
    seconds(7).await;
    stop_entry(system, driver, watch, 0).await;
    assert!(driver.answers() > 100, "the run was too quiet: {} answers", driver.answers());
}

fn start_rollout(system: &TestSystem) {
    let shares = ["rollout", "start", "small-5", "--model", "menu-writer-small"];
    let steps = ["--to", "menu-writer-small@5", "--steps", "0.5:1000000,1.0:1000000"];
    system.ctl_ok(&[&shares[..], &steps[..]].concat());
}

/// Streams that are cut, stall or repeat tokens; answers of another attempt or version.
fn show_wrong_answers(system: &TestSystem) {
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
    watch.down(&id);
    system.entries[index].kill();
    // The balancer notices late: callers still dial the dead entry for a while.
    seconds(1).await;
    driver.take_out(index);
    system.restart_entry(index);
    put_back(system, driver, watch, index).await;
}

async fn put_back(system: &TestSystem, driver: &LoadDriver, watch: &RunWatch, index: usize) {
    system.wait_healthy().await;
    let ready = &system.entries[index].ready;
    watch.up(ready.ready.clone(), ready.admin.unwrap());
    driver.put_in(index, system.callers(index));
}

/// The table loses replies after they took effect; open connections go silent for good.
fn lose_replies_and_silence(system: &TestSystem) {
    let platform = &system.standins.platform;
    let lose = FaultPlan { lose_replies: 6, ..FaultPlan::default() };
    platform.table_faults.set_plan(lose.clone());
    platform.object_faults.silence_open_connections();
    for name in ["menu-medium-1", "menu-small-2"] {
        system.standins.engines[&upstream(name)].faults().silence_open_connections();
    }
    let desk = &system.standins.services[&upstream("dispatch-desk-1")];
    desk.faults().set_plan(lose);
    let other = &system.standins.services[&upstream("dispatch-desk-2")];
    other.faults().silence_open_connections();
}

fn upstream(name: &str) -> UpstreamName {
    name.parse().unwrap()
}

/// Two operators publish from the same base at once: one wins, the other gets a conflict.
fn race_operators(system: &TestSystem) {
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
    let won = outputs.iter().filter(|output| output.status.success()).count();
    assert_eq!(won, 1, "{outputs:?}");
    let lost = outputs.iter().find(|output| !output.status.success()).unwrap();
    assert_eq!(lost.status.code(), Some(3), "{lost:?}");
}

/// The head; a steward tells none while the store does not answer it.
fn head_revision(system: &TestSystem) -> String {
    for _ in 0..20 {
        let status = system.ctl_ok(&["--json", "status"]);
        let status: serde_json::Value = serde_json::from_str(&status).unwrap();
        if let Some(revision) = status["head"]["revision"].as_u64() {
            return revision.to_string();
        }
    }
    panic!("no steward can read the head");
}

async fn pause_entry(system: &mut TestSystem, driver: &LoadDriver, watch: &RunWatch, index: usize) {
    let id = system.entries[index].ready.ready.clone();
    watch.down(&id);
    system.entries[index].pause();
    seconds(5).await;
    driver.take_out(index);
    system.entries[index].resume();
    put_back(system, driver, watch, index).await;
}

/// Table and object store are out for thirty seconds; meanwhile a ledger and a steward die.
async fn store_outage(system: &mut TestSystem) {
    let down = FaultPlan { down: true, ..FaultPlan::default() };
    let platform = system.standins.platform.clone();
    platform.table_faults.set_plan(down.clone());
    platform.object_faults.set_plan(down);
    seconds(8).await;
    system.ledgers[0].kill();
    system.restart_ledger(0);
    seconds(8).await;
    system.stewards[0].kill();
    system.restart_steward(0);
    seconds(14).await;
    platform.table_faults.set_plan(FaultPlan::default());
    platform.object_faults.set_plan(FaultPlan::default());
}

fn withdraw(system: &TestSystem) {
    system.ctl_ok(&["withdraw", "menu-writer-small@5", "--reason", "wrong allergens"]);
}

fn leave_upstream(system: &TestSystem) {
    system.standins.engines[&upstream("menu-medium-2")].set_leaving(true);
}

async fn stop_entry(system: &mut TestSystem, driver: &LoadDriver, watch: &RunWatch, index: usize) {
    let host = system.entries[index].ready.ready.clone();
    let streams = start_streams(system, index, &host);
    wait_in_flight(system, index).await;
    note(system, SeenEvent::ShutdownBegan { host: host.clone() });
    system.entries[index].terminate();
    // The balancer takes it out when its health check fails.
    driver.take_out(index);
    let code = system.entries[index].wait().await;
    assert_eq!(code, Some(0), "the entry did not end gracefully");
    for stream in streams {
        stream.await.unwrap();
    }
    end_shutdown(system, watch, host);
}

/// Streams that are under way when the entry is told to stop.
fn start_streams(system: &TestSystem, index: usize, host: &HostId) -> Vec<JoinHandle<()>> {
    let entry = system.callers(index);
    let stream = |number: usize| {
        let caller = TestCaller::new("eugene-vans", &system.recorder).with_host(host);
        tokio::spawn(async move {
            let prompt = format!("stream {number} during the stop");
            // What comes back, or that nothing does, is in the history.
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
    tokio::time::timeout(PATIENCE, busy).await.expect("the streams did not begin");
}

fn end_shutdown(system: &TestSystem, watch: &RunWatch, host: HostId) {
    watch.down(&host);
    note(system, SeenEvent::ShutdownEnded { host });
}

fn note(system: &TestSystem, seen: SeenEvent) {
    system.recorder.record(SystemClock.now(), "schedule", seen);
}
