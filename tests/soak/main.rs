//! Soak test of the real gateway binary under overlapping faults: processes are stopped, paused,
//! killed and restarted; connections are slowed, blocked, stalled or reset; the store is
//! unavailable, compacts its history, does not answer or comes back from an older copy; upstreams
//! lose answers, send wrong ones, ask for pauses or leave; and the configuration changes. Guarantees are checked against the logs of callers and
//! upstreams.
//!
//! `cargo test --test soak` runs all seeds that have failed before and one more. To run others:
//! `OLEANDER_SOAK_SEEDS=100..150 cargo test --test soak -- --ignored guarantees`, `reverted` for
//! runs that also roll out bad versions, or `limits` for runs in which an upstream names a limit and a
//! request crashes upstreams. `OLEANDER_SOAK_HOSTS` sets the number of hosts.
//!
//! `OLEANDER_SOAK_EARLIER=PATH,… … --ignored replaced` begins with hosts that run the binary of an
//! earlier build, and replaces them one by one by this build, back, and forth again.

mod caller;
mod checks;
mod cluster;
mod gateway;
mod needs;
mod prober;
mod proxy;
mod random;
mod rollouts;
mod schedule;
mod upgrades;
mod upstream;

use caller::{CallLog, SoakCaller};
use cluster::{HOSTS, SoakCluster, StoreMode};
use random::SeededRandom;
use schedule::run_faults;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which faults start.
const FAULT_PERIOD: Duration = Duration::from_secs(8);
/// Maximum time until a write reaches every host without faults. It is within the limit that the
/// users' smallest deployments set for configuration changes.
const PROPAGATION_TIME: Duration = Duration::from_millis(3_000);
/// Period without faults at the end of a run, in which requests must succeed again.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Number of callers of a run, and the pause of each between requests.
const CALLERS: u64 = 24;
const REQUEST_PAUSE: Duration = Duration::from_millis(25);
/// Maximum number of callers that stay with one host.
const MAX_PINNED_CALLERS: usize = 8;

/// What happens in a run beside the faults.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RunMode {
    Plain,
    /// Bad versions are rolled out.
    BadVersions,
    /// An upstream names a limit, and a request crashes upstreams.
    Needs,
    /// Hosts begin with an earlier build, and are replaced by this one and back.
    Upgrade(&'static Path),
}

/// Runs one seed and returns the violations of guarantees.
async fn run_seed(seed: u64, mode: RunMode) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap().keep();
    eprintln!("seed {seed}: logs of the processes in {}", folder.display());
    let earlier = if let RunMode::Upgrade(earlier) = mode { Some(earlier) } else { None };
    let binary = earlier.unwrap_or(Path::new(gateway::BINARY));
    let cluster = Arc::new(SoakCluster::start(&folder, seed, binary).await);
    let replacements = earlier
        .map(|earlier| tokio::spawn(upgrades::replace_hosts(Arc::clone(&cluster), earlier, seed)));
    let log = Arc::new(CallLog::default());
    let (running, stop) = tokio::sync::watch::channel(false);
    let callers = spawn_callers(&cluster, &log, seed, &stop);
    let prober = tokio::spawn(prober::probe_all(Arc::clone(&cluster), stop.clone()));
    let rollouts = (mode == RunMode::BadVersions)
        .then(|| tokio::spawn(rollouts::roll_out_bad_versions(Arc::clone(&cluster))));
    let has_needs = mode == RunMode::Needs;
    let limit = has_needs.then(|| needs::name_limit(&cluster, &SeededRandom::new(seed)));
    let crashing = has_needs.then(|| {
        let restarts = tokio::spawn(needs::restart_crashed(Arc::clone(&cluster)));
        let random = SeededRandom::new(seed + 1);
        let sender = needs::send_crashing_requests(Arc::clone(&cluster), random, stop.clone());
        (restarts, tokio::spawn(sender))
    });
    let faults = run_faults(&cluster, seed, Instant::now() + FAULT_PERIOD).await;
    if let Some(replacements) = replacements {
        replacements.await.unwrap();
    }
    let calm_from = Instant::now();
    let mut bad_rollouts = Vec::new();
    if let Some(rollouts) = rollouts {
        bad_rollouts = rollouts.await.unwrap();
        tokio::time::sleep(checks::ROLLBACK_TIME).await;
    }
    let (removed, propagated_by) = remove_upstream_after_faults(&cluster).await;
    let recovery_start = Instant::now();
    let mut violations = check_configuration(&cluster).await;
    tokio::time::sleep(RECOVERY_TIME).await;
    running.send_replace(true);
    for caller in callers {
        caller.await.unwrap();
    }
    violations.extend(prober.await.unwrap());
    let records = log.records();
    violations.extend(checks::violations(&records, &cluster.runs, &cluster.hosts));
    violations.extend(checks::check_left(&cluster.runs, &removed, propagated_by));
    violations.extend(checks::check_broken_off(&records, &cluster));
    violations.extend(checks::check_reverted(&records, &cluster.runs, &bad_rollouts, calm_from));
    violations.extend(checks::check_leaving(&records, &cluster.runs));
    violations.extend(checks::check_pauses(&records, &cluster));
    violations.extend(checks::check_recovery(&records, recovery_start));
    violations.extend(limit.and_then(|limit| needs::check_limit(&limit, &records, &cluster)));
    if let Some((restarts, sender)) = crashing {
        restarts.abort();
        violations.extend(needs::check_crashes(&sender.await.unwrap(), &cluster));
    }
    eprintln!("seed {seed}: {} requests, {} violations", records.len(), violations.len());
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("seed {seed}, faults:\n  {}", faults.join("\n  "));
        eprintln!("seed {seed}, violations:\n  {}", violations.join("\n  "));
    }
    violations
}

fn spawn_callers(
    cluster: &Arc<SoakCluster>,
    log: &Arc<CallLog>,
    seed: u64,
    stop: &tokio::sync::watch::Receiver<bool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let new_caller = |number: u64| {
        SoakCaller::new(Arc::clone(&cluster.hosts), Arc::clone(log), seed * 97 + number)
    };
    let of_any_host = |number| tokio::spawn(new_caller(number).run(REQUEST_PAUSE, stop.clone()));
    let of_one_host = |host: usize| {
        let caller = new_caller(CALLERS + host as u64);
        tokio::spawn(caller.run_at(host, stop.clone()))
    };
    let callers = (0..CALLERS).map(of_any_host);
    callers.chain((0..cluster.hosts.len().min(MAX_PINNED_CALLERS)).map(of_one_host)).collect()
}

/// Removes an upstream after all faults; returns its name and when every host has learnt of it.
async fn remove_upstream_after_faults(cluster: &SoakCluster) -> (String, Instant) {
    cluster.store.set_mode(StoreMode::Normal);
    // Connections broken by the last faults are detected by timeouts first.
    tokio::time::sleep(PROPAGATION_TIME).await;
    let name = cluster.remove_upstream(&SeededRandom::new(7)).await;
    cluster.change_configuration();
    tokio::time::sleep(PROPAGATION_TIME).await;
    (name, Instant::now())
}

/// Checks that every host has the newest configuration in force.
async fn check_configuration(cluster: &SoakCluster) -> Vec<String> {
    let version = cluster.version();
    let mut violations = Vec::new();
    for host in cluster.hosts.iter() {
        let status = cluster.probe(host, version).await;
        if status != Some(200) {
            violations.push(format!(
                "{}: status {status:?} on the route of version {version}, expected 200",
                host.name
            ));
        }
    }
    violations
}

async fn run_seeds(seeds: impl IntoIterator<Item = u64>, mode: RunMode) {
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = run_seed(seed, mode).await;
        if !violations.is_empty() {
            failed.push(format!("seed {seed}:\n  {}", violations.join("\n  ")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Seeds that have failed before, with the cause.
///
/// 304: right after all hosts had started, the store accepted every long poll and answered none.
/// Each host waited for up to 25 s, because it did not know yet how few hosts there were, and no
/// host learnt of changes.
///
/// 501: a host read an upstream's entry, which was leaving and did not state its start, only after
/// the store had come back from a copy. It took the entry for one of an earlier incarnation.
///
/// 528: a host was stopped while the answers of an upstream were blocked and the others paused or
/// were leaving. Three requests waited for that upstream until their connections were closed.
///
/// 546: the copy had an upstream's entry without its start. It replaced the known incarnation, and
/// what that one had said about leaving no longer counted.
///
/// 537: an upstream that had restarted asked for a pause before the host read of its new start, with
/// which the pause was forgotten.
///
/// 657 and 659: an upstream that had restarted said that it is leaving before the host read of its
/// new start, with which the statement was forgotten. The store had come back from a copy meanwhile.
///
/// 702 and 742: an upstream fell silent and went on, but its streams had been given up before it was
/// certain that another upstream would take them up.
///
/// 704: a reload signal ended a process that was still starting.
const REGRESSION_SEEDS: [u64; 10] = [304, 501, 528, 537, 546, 657, 659, 702, 704, 742];

/// Runs the seeds that have failed before, and one more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_overlapping_faults() {
    run_seeds(REGRESSION_SEEDS.into_iter().chain([1]), RunMode::Plain).await;
}

/// Rolls out bad versions under the faults of one seed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reverted_versions_get_no_requests_under_overlapping_faults() {
    run_seeds([1], RunMode::BadVersions).await;
}

/// Names a limit and crashes upstreams under the faults of a few seeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_and_crashes_are_kept_within_bounds_under_overlapping_faults() {
    run_seeds(1..4, RunMode::Needs).await;
}

/// Runs the seeds in `OLEANDER_SOAK_SEEDS`, names limits and crashes upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "takes about 20 s per seed; see the top of this file"]
async fn limits_and_crashes_are_kept_within_bounds_for_given_seeds() {
    run_seeds(given_seeds(), RunMode::Needs).await;
}

/// Runs the seeds in `OLEANDER_SOAK_SEEDS`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "takes about 15 s per seed; see the top of this file"]
async fn guarantees_hold_for_given_seeds() {
    run_seeds(given_seeds(), RunMode::Plain).await;
}

/// Runs the seeds in `OLEANDER_SOAK_SEEDS` and rolls out bad versions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "takes about 35 s per seed; see the top of this file"]
async fn reverted_versions_get_no_requests_for_given_seeds() {
    run_seeds(given_seeds(), RunMode::BadVersions).await;
}

/// Runs the seeds in `OLEANDER_SOAK_SEEDS` beside each of the earlier builds in `OLEANDER_SOAK_EARLIER`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "takes about 25 s per seed and build, and needs binaries of earlier builds"]
async fn guarantees_hold_while_hosts_are_replaced_by_another_build() {
    for earlier in upgrades::earlier_builds() {
        eprintln!("earlier build {}", earlier.display());
        run_seeds(given_seeds(), RunMode::Upgrade(earlier)).await;
    }
}

fn given_seeds() -> std::ops::Range<u64> {
    let text = std::env::var("OLEANDER_SOAK_SEEDS")
        .expect("OLEANDER_SOAK_SEEDS must be set, for example to 100..150");
    let (from, to) =
        text.split_once("..").expect("OLEANDER_SOAK_SEEDS must be two numbers separated by ..");
    let (from, to): (u64, u64) = (from.parse().unwrap(), to.parse().unwrap());
    from..to
}

const _: () = assert!(HOSTS > 1, "gossip needs at least two hosts");
