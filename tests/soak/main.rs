//! A soak of the real gateway binary under faults that overlap: processes are stopped, paused,
//! killed and started again, links are slowed, held, reset or go silent, the store is away,
//! forgets its history or answers no one, upstreams lose answers, double them or leave, and the
//! configuration changes. Promises are checked from what callers and upstreams saw.
//!
//! `cargo test --test soak` plays the seeds that ever failed and one more. Others by hand:
//! `OLEANDER_SOAK_SEEDS=100..150 cargo test --test soak -- --ignored`.

mod caller;
mod checks;
mod draw;
mod gateway;
mod prober;
mod proxy;
mod schedule;
mod upstream;
mod world;

use caller::{CallLog, SoakCaller};
use draw::Draw;
use schedule::play_faults;
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::{HOSTS, SoakWorld, StoreMode};

/// Time in which faults begin.
const FAULT_TIME: Duration = Duration::from_secs(8);
/// Time in which a host has what was written while everything is well: within what the users'
/// smallest deployments allow for a configuration.
const KNOWN_TIME: Duration = Duration::from_millis(3_000);
/// Calm time after it in which everything has to be as it should.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Callers of a run, and the pause of each between requests.
const CALLERS: u64 = 24;
const CALLER_PAUSE: Duration = Duration::from_millis(25);

/// Plays one seed and returns the breaches of promises.
async fn play(seed: u64) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap().keep();
    eprintln!("seed {seed}: logs of the processes in {}", folder.display());
    let world = Arc::new(SoakWorld::start(&folder, seed).await);
    let (log, draw) = (Arc::new(CallLog::default()), Draw::new(seed));
    let (running, stop) = tokio::sync::watch::channel(false);
    let callers = spawn_callers(&world, &log, seed, &stop);
    let prober = tokio::spawn(prober::probe_all(Arc::clone(&world), stop.clone()));
    let played = play_faults(&world, &draw, Instant::now() + FAULT_TIME).await;
    let (left, known_by) = leave_in_calm(&world).await;
    let calm_from = Instant::now();
    let mut breaches = check_configuration(&world).await;
    tokio::time::sleep(CALM_TIME).await;
    running.send_replace(true);
    for caller in callers {
        caller.await.unwrap();
    }
    breaches.extend(prober.await.unwrap());
    let records = log.records();
    breaches.extend(checks::breaches(&records, &world.runs, &world.hosts));
    breaches.extend(checks::check_left(&world.runs, &left, known_by));
    breaches.extend(checks::check_recovery(&records, calm_from));
    eprintln!("seed {seed}: {} requests, {} breaches", records.len(), breaches.len());
    if breaches.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("seed {seed}, played:\n  {}", played.join("\n  "));
        eprintln!("seed {seed}, found:\n  {}", breaches.join("\n  "));
    }
    breaches
}

fn spawn_callers(
    world: &Arc<SoakWorld>,
    log: &Arc<CallLog>,
    seed: u64,
    stop: &tokio::sync::watch::Receiver<bool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let caller = |number: u64| {
        let caller = SoakCaller::new(Arc::clone(&world.hosts), Arc::clone(log), seed * 97 + number);
        tokio::spawn(caller.run(CALLER_PAUSE, stop.clone()))
    };
    (0..CALLERS).map(caller).collect()
}

/// Once all faults are over, an upstream leaves; returns its name and when each host knows it.
async fn leave_in_calm(world: &SoakWorld) -> (String, Instant) {
    world.store.set_mode(StoreMode::Normal);
    // What broke in the last fault is found by time-outs first.
    tokio::time::sleep(KNOWN_TIME).await;
    let name = world.replace_upstream(&Draw::new(7)).await;
    world.change_configuration();
    tokio::time::sleep(KNOWN_TIME).await;
    (name, Instant::now())
}

/// Every host has the newest configuration in force.
async fn check_configuration(world: &SoakWorld) -> Vec<String> {
    let version = world.version();
    let mut found = Vec::new();
    for host in world.hosts.iter() {
        let status = world.probe(host, version).await;
        if status != Some(200) {
            found.push(format!("{}: {status:?} on the route of version {version}", host.name));
        }
    }
    found
}

async fn play_all(seeds: impl IntoIterator<Item = u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        let breaches = play(seed).await;
        if !breaches.is_empty() {
            failed.push(format!("seed {seed}:\n  {}", breaches.join("\n  ")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Seeds that failed once, with the cause.
///
/// 304: the store took every call that waited for changes, right after all hosts had started, and
/// answered none; each host waited for up to 25 s, since it did not know yet how few hosts there
/// were, and all knew of no news.
const FAILED_SEEDS: [u64; 1] = [304];

/// A seed, so that each run of all tests plays the whole, and those that failed once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults_that_overlap() {
    play_all(FAILED_SEEDS.into_iter().chain([1])).await;
}

/// Seeds by hand.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "takes a quarter of a minute for each seed; see the top of this file"]
async fn promises_hold_for_the_seeds_that_are_named() {
    let text = std::env::var("OLEANDER_SOAK_SEEDS").expect("OLEANDER_SOAK_SEEDS, as in 100..150");
    let (from, to) = text.split_once("..").expect("two numbers with .. between them");
    let (from, to): (u64, u64) = (from.parse().unwrap(), to.parse().unwrap());
    play_all(from..to).await;
}

const _: () = assert!(HOSTS > 1, "hosts tell each other news");
