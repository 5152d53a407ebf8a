//! Random faults of a run, derived from its seed: they are repeated and overlap.

use crate::cluster::{SoakCluster, StoreMode};
use crate::proxy::LinkMode;
use crate::random::SeededRandom;
use crate::upstream::UpstreamFaults;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum duration of a fault.
const MAX_FAULT_MS: u64 = 2_500;
/// Minimum duration of a fault.
const MIN_FAULT_MS: u64 = 200;
/// Minimum time for which a sound upstream falls silent; the maximum is less than a second more.
const MIN_SILENCE: Duration = Duration::from_millis(600);
/// Exclusive maximum of the pause between the starts of two faults; the minimum is half of it.
const MAX_PAUSE_MS: u64 = 700;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Restart,
    Kill,
    Pause,
    Reload,
    StoreUnavailable,
    StoreUnresponsive,
    StoreCompaction,
    StorePartition,
    StoreConnectionStall,
    UpstreamConnectionStall,
    UpstreamConnectionReset,
    UpstreamDelay,
    UpstreamAnswersBlocked,
    Misbehaviour,
    ConfigurationChange,
    UpstreamRemoval,
    StoreRestore,
    UpstreamLeaving,
    UpstreamPause,
    UpstreamSilence,
    SignalSeries,
    KillWhileStopping,
    RollingRestart,
    HostCutOff,
    MostHostsCutOff,
    UpstreamBrittle,
}

const KINDS: [FaultKind; 16] = {
    use FaultKind::*;
    [
        Restart,
        Kill,
        Pause,
        Reload,
        StoreUnavailable,
        StoreUnresponsive,
        StoreCompaction,
        StorePartition,
        StoreConnectionStall,
        UpstreamConnectionStall,
        UpstreamConnectionReset,
        UpstreamDelay,
        UpstreamAnswersBlocked,
        Misbehaviour,
        ConfigurationChange,
        UpstreamRemoval,
    ]
};

/// Kinds of a second schedule beside the first, so that a seed keeps the faults that it had before
/// these kinds existed.
const SECOND_KINDS: [FaultKind; 3] =
    [FaultKind::StoreRestore, FaultKind::UpstreamLeaving, FaultKind::UpstreamPause];

/// Kinds of a third schedule, likewise.
const THIRD_KINDS: [FaultKind; 5] = [
    FaultKind::UpstreamSilence,
    FaultKind::UpstreamSilence,
    FaultKind::SignalSeries,
    FaultKind::KillWhileStopping,
    FaultKind::RollingRestart,
];

/// Kinds of a fourth schedule, likewise.
const FOURTH_KINDS: [FaultKind; 3] =
    [FaultKind::HostCutOff, FaultKind::MostHostsCutOff, FaultKind::UpstreamBrittle];

/// Starts random faults until `end`, waits until all are over, and returns their descriptions.
pub async fn run_faults(cluster: &Arc<SoakCluster>, seed: u64, end: Instant) -> Vec<String> {
    let [first, second, third, fourth] =
        [seed, !seed, seed.rotate_left(32), !seed.rotate_left(32)].map(SeededRandom::new);
    let (first, second, third, fourth) = tokio::join!(
        run_schedule(cluster, &first, &KINDS, end),
        run_schedule(cluster, &second, &SECOND_KINDS, end),
        run_schedule(cluster, &third, &THIRD_KINDS, end),
        run_schedule(cluster, &fourth, &FOURTH_KINDS, end)
    );
    clear_faults(cluster);
    [first, second, third, fourth].concat()
}

async fn run_schedule(
    cluster: &Arc<SoakCluster>,
    random: &SeededRandom,
    kinds: &[FaultKind],
    end: Instant,
) -> Vec<String> {
    let started = Instant::now();
    let mut descriptions = Vec::new();
    let mut faults = tokio::task::JoinSet::new();
    while Instant::now() < end {
        let kind = *random.pick(kinds);
        // A fault is repeated up to twice in short succession.
        for _ in 0..=random.below(2) {
            let span = MIN_FAULT_MS + random.below(MAX_FAULT_MS - MIN_FAULT_MS);
            let span = Duration::from_millis(span);
            descriptions.push(format!("{kind:?} at {:?} for {span:?}", started.elapsed()));
            // Each fault has its own random numbers, since faults run concurrently.
            let (cluster, own) = (Arc::clone(cluster), SeededRandom::new(random.below(u64::MAX)));
            faults.spawn(async move { run_fault(&cluster, &own, kind, span).await });
            tokio::time::sleep(Duration::from_millis(pause_ms(&descriptions))).await;
        }
    }
    while let Some(ended) = faults.join_next().await {
        ended.unwrap();
    }
    descriptions
}

/// Pause after a fault. It depends on the number of faults so far, not on how random numbers were
/// used before.
fn pause_ms(descriptions: &[String]) -> u64 {
    MAX_PAUSE_MS / 2
        + oleander_core::stable_hash::mix(descriptions.len() as u64) % (MAX_PAUSE_MS / 2)
}

async fn run_fault(cluster: &SoakCluster, random: &SeededRandom, kind: FaultKind, span: Duration) {
    let host = random.pick(cluster.hosts.as_slice());
    let proxied = random.pick(&cluster.upstreams);
    let link_fault = |mode| async move {
        proxied.proxy.set_mode(mode);
        tokio::time::sleep(span).await;
        proxied.proxy.set_mode(LinkMode::Open);
    };
    let store_fault = |mode| async move {
        cluster.store.set_mode(mode);
        tokio::time::sleep(span).await;
        cluster.store.set_mode(StoreMode::Normal);
    };
    match kind {
        FaultKind::Restart => host.restart().await,
        FaultKind::Kill => host.kill(span / 2).await,
        FaultKind::Pause => host.pause(span).await,
        FaultKind::Reload => host.reload(),
        FaultKind::StoreUnavailable => store_fault(StoreMode::Unavailable).await,
        FaultKind::StoreUnresponsive => store_fault(StoreMode::Unresponsive).await,
        FaultKind::StoreCompaction => cluster.store.compact_history(),
        FaultKind::StorePartition => {
            host.store.set_mode(LinkMode::Blocked);
            tokio::time::sleep(span).await;
            host.store.set_mode(LinkMode::Open);
        }
        FaultKind::StoreConnectionStall => host.store.stall_open_connections(),
        FaultKind::UpstreamConnectionStall => proxied.proxy.stall_open_connections(),
        FaultKind::UpstreamConnectionReset => proxied.proxy.reset_open_connections(),
        FaultKind::UpstreamDelay => link_fault(LinkMode::Delayed(Duration::from_millis(60))).await,
        FaultKind::UpstreamAnswersBlocked => link_fault(LinkMode::BlockAnswers).await,
        FaultKind::Misbehaviour => {
            let share = 30 + random.below(120);
            proxied.upstream.set_faults(UpstreamFaults {
                refused: share,
                lost_answer: share,
                wrong_answer: share,
                missing_seal: share,
                truncated_stream: share * 3,
                failed: share,
                delayed: share,
                paused: 0,
            });
            tokio::time::sleep(span).await;
            proxied.upstream.set_faults(UpstreamFaults::default());
        }
        FaultKind::StoreRestore => cluster.restore_store(span).await,
        FaultKind::UpstreamLeaving => cluster.announce_leaving(proxied, span).await,
        FaultKind::UpstreamPause => {
            let paused = 100 + random.below(300);
            proxied.upstream.set_faults(UpstreamFaults { paused, ..UpstreamFaults::default() });
            tokio::time::sleep(span).await;
            proxied.upstream.set_faults(UpstreamFaults::default());
        }
        FaultKind::UpstreamSilence => {
            proxied.upstream.fall_silent(MIN_SILENCE + span / 4);
        }
        FaultKind::SignalSeries => host.restart_amid_signals(span / 8).await,
        FaultKind::KillWhileStopping => host.kill_while_stopping(span / 4).await,
        FaultKind::RollingRestart => {
            let first = random.below(cluster.hosts.len() as u64) as usize;
            let next = &cluster.hosts[(first + 1) % cluster.hosts.len()];
            let second = async {
                tokio::time::sleep(span / 8).await;
                cluster.change_configuration();
                next.restart().await;
            };
            tokio::join!(cluster.hosts[first].restart(), second);
        }
        FaultKind::HostCutOff => cut_off(cluster, random, 1, span).await,
        FaultKind::MostHostsCutOff => {
            cut_off(cluster, random, cluster.hosts.len() - 1, span).await;
        }
        FaultKind::UpstreamBrittle => {
            proxied.upstream.set_brittle(true);
            tokio::time::sleep(span * 2).await;
            proxied.upstream.set_brittle(false);
        }
        FaultKind::ConfigurationChange => {
            cluster.change_configuration();
        }
        FaultKind::UpstreamRemoval => {
            let name = cluster.remove_upstream(random).await;
            tokio::time::sleep(span).await;
            cluster.return_upstream(&name);
        }
    }
}

/// Cuts hosts off from all upstreams, or from those of one service.
async fn cut_off(cluster: &SoakCluster, random: &SeededRandom, count: usize, span: Duration) {
    let first = random.below(cluster.hosts.len() as u64) as usize;
    let service = *random.pick(&[None, Some("desk"), Some("writer")]);
    let resets_open = random.below(2) == 0;
    let hosts: Vec<_> = cluster.hosts.iter().cycle().skip(first).take(count).collect();
    let set = |is_cut| {
        for proxied in &cluster.upstreams {
            if service.is_none_or(|service| service == proxied.upstream.service) {
                for host in &hosts {
                    proxied.proxy.set_cut(host.callers.ip(), is_cut, resets_open);
                }
            }
        }
    };
    set(true);
    tokio::time::sleep(span * 2).await;
    set(false);
}

fn clear_faults(cluster: &SoakCluster) {
    cluster.store.set_mode(StoreMode::Normal);
    for proxied in &cluster.upstreams {
        proxied.proxy.set_mode(LinkMode::Open);
        proxied.upstream.set_faults(UpstreamFaults::default());
        proxied.upstream.set_brittle(false);
        for host in cluster.hosts.iter() {
            proxied.proxy.set_cut(host.callers.ip(), false, false);
        }
    }
    for host in cluster.hosts.iter() {
        host.store.set_mode(LinkMode::Open);
    }
}
