//! Faults of a run, drawn from its seed: they come in series and overlap.

use crate::draw::Draw;
use crate::proxy::LinkMood;
use crate::upstream::Mischief;
use crate::world::{SoakWorld, StoreMode};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time that a fault goes on.
const LONGEST_FAULT_MS: u64 = 2_500;
const SHORTEST_FAULT_MS: u64 = 200;
/// Pause between the starts of two faults.
const PAUSE_MS: u64 = 700;

/// What can be done to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Restart,
    Kill,
    Pause,
    Reload,
    StoreBusy,
    StoreSilent,
    StoreForgets,
    HostCutFromStore,
    StoreLinkSilent,
    UpstreamSilent,
    UpstreamReset,
    UpstreamSlow,
    UpstreamOneWay,
    Mischief,
    Configuration,
    UpstreamLeaves,
}

const KINDS: [FaultKind; 16] = {
    use FaultKind::*;
    [
        Restart,
        Kill,
        Pause,
        Reload,
        StoreBusy,
        StoreSilent,
        StoreForgets,
        HostCutFromStore,
        StoreLinkSilent,
        UpstreamSilent,
        UpstreamReset,
        UpstreamSlow,
        UpstreamOneWay,
        Mischief,
        Configuration,
        UpstreamLeaves,
    ]
};

/// Draws and plays faults until `end`, then waits until each is over; returns what was played.
pub async fn play_faults(world: &Arc<SoakWorld>, draw: &Draw, end: Instant) -> Vec<String> {
    let begun = Instant::now();
    let mut played = Vec::new();
    let mut faults = tokio::task::JoinSet::new();
    while Instant::now() < end {
        let kind = *draw.pick(&KINDS);
        // Faults come in series: the same thing again, shortly after.
        for _ in 0..=draw.below(2) {
            let span = SHORTEST_FAULT_MS + draw.below(LONGEST_FAULT_MS - SHORTEST_FAULT_MS);
            let span = Duration::from_millis(span);
            played.push(format!("{kind:?} at {:?} for {span:?}", begun.elapsed()));
            // Each has draws of its own, since they go on beside each other.
            let (world, own) = (Arc::clone(world), Draw::new(draw.below(u64::MAX)));
            faults.spawn(async move { play_fault(&world, &own, kind, span).await });
            tokio::time::sleep(Duration::from_millis(draw_pause(&played))).await;
        }
    }
    while let Some(ended) = faults.join_next().await {
        ended.unwrap();
    }
    heal(world);
    played
}

/// Pauses differ with the number of faults so far, and not with what the draws were used for.
fn draw_pause(played: &[String]) -> u64 {
    PAUSE_MS / 2 + oleander_core::stable_hash::mix(played.len() as u64) % (PAUSE_MS / 2)
}

async fn play_fault(world: &SoakWorld, draw: &Draw, kind: FaultKind, span: Duration) {
    let host = draw.pick(world.hosts.as_slice());
    let linked = draw.pick(&world.upstreams);
    let link_mood = |mood| async move {
        linked.link.set_mood(mood);
        tokio::time::sleep(span).await;
        linked.link.set_mood(LinkMood::Open);
    };
    let store_mood = |mood| async move {
        world.store.set_mode(mood);
        tokio::time::sleep(span).await;
        world.store.set_mode(StoreMode::Normal);
    };
    match kind {
        FaultKind::Restart => host.restart().await,
        FaultKind::Kill => host.kill(span / 2).await,
        FaultKind::Pause => host.pause(span).await,
        FaultKind::Reload => host.reload(),
        FaultKind::StoreBusy => store_mood(StoreMode::Unavailable).await,
        FaultKind::StoreSilent => store_mood(StoreMode::Unresponsive).await,
        FaultKind::StoreForgets => world.store.compact_history(),
        FaultKind::HostCutFromStore => {
            host.store.set_mood(LinkMood::Cut);
            tokio::time::sleep(span).await;
            host.store.set_mood(LinkMood::Open);
        }
        FaultKind::StoreLinkSilent => host.store.silence_open(),
        FaultKind::UpstreamSilent => linked.link.silence_open(),
        FaultKind::UpstreamReset => linked.link.reset_open(),
        FaultKind::UpstreamSlow => link_mood(LinkMood::Slow(Duration::from_millis(60))).await,
        FaultKind::UpstreamOneWay => link_mood(LinkMood::OneWay).await,
        FaultKind::Mischief => {
            let share = 30 + draw.below(120);
            linked.upstream.set_mischief(Mischief {
                full: share,
                lost_answer: share,
                foreign_answer: share,
                unsealed: share,
                cut_stream: share * 3,
                failed: share,
                late: share,
            });
            tokio::time::sleep(span).await;
            linked.upstream.set_mischief(Mischief::default());
        }
        FaultKind::Configuration => {
            world.change_configuration();
        }
        FaultKind::UpstreamLeaves => {
            let name = world.replace_upstream(draw).await;
            tokio::time::sleep(span).await;
            world.return_upstream(&name);
        }
    }
}

fn heal(world: &SoakWorld) {
    world.store.set_mode(StoreMode::Normal);
    for linked in &world.upstreams {
        linked.link.set_mood(LinkMood::Open);
        linked.upstream.set_mischief(Mischief::default());
    }
    for host in world.hosts.iter() {
        host.store.set_mood(LinkMood::Open);
    }
}
