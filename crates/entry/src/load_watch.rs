//! Polls the upstreams that this host uses for their load and whether they are leaving.

use crate::load_report::read_report;
use crate::state::EntryState;
use crate::upstream_handle::UpstreamHandle;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use oleander_core::ids::UpstreamName;
use oleander_ports::members::{MemberRole, MemberState, Rumor};
use oleander_ports::upstream::LoadReport;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Time between two polls of one upstream. Responses carry its load too.
pub const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(2_000);

/// Starts a poll of each upstream that has none running.
struct PollTick;

/// A poll ended; `report` is `None` when it failed.
struct PollEnded {
    handle: Arc<UpstreamHandle>,
    report: Option<LoadReport>,
}

/// Polls each upstream of this host's subsets, one call at a time per upstream.
#[derive(Actor)]
pub struct LoadWatcher {
    state: Arc<EntryState>,
    polling: HashSet<UpstreamName>,
}

/// Starts the watcher, which polls each upstream once per `interval`. It stops together with the
/// returned task.
pub fn start_load_watch(
    state: &Arc<EntryState>,
    interval: Duration,
) -> tokio::task::JoinHandle<()> {
    let watcher = LoadWatcher { state: Arc::clone(state), polling: HashSet::new() };
    let actor = LoadWatcher::spawn(watcher);
    tokio::spawn(async move {
        let first = tokio::time::Instant::now() + interval;
        let mut ticks = tokio::time::interval_at(first, interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            if actor.tell(PollTick).await.is_err() {
                return;
            }
        }
    })
}

/// Subscribes to gossip about upstreams that leave or come back.
pub fn listen_for_leaving(state: &Arc<EntryState>) {
    let listening = Arc::downgrade(state);
    state.parts.members.listen(Arc::new(move |rumor| {
        let Some(state) = listening.upgrade() else { return };
        match rumor {
            Rumor::Leaving { upstream, incarnation } => {
                state.upstreams.mark_leaving(upstream, *incarnation);
            }
            Rumor::Joined { upstream, incarnation } => {
                state.upstreams.mark_present(upstream, *incarnation);
            }
            Rumor::Head { .. } => {}
        }
    }));
}

impl LoadWatcher {
    fn handles(&self) -> Vec<Arc<UpstreamHandle>> {
        let snapshot = self.state.parts.catalog.snapshot();
        let pools = self.state.upstreams.pools(&snapshot);
        let members = pools.iter().flat_map(|pool| &pool.members);
        members.map(|member| Arc::clone(&member.handle)).collect()
    }

    /// Updates the slot estimate of each pool with the number of entries that share it.
    fn update_slots(&self) {
        let snapshot = self.state.parts.catalog.snapshot();
        let members = self.state.parts.members.members();
        let serving = |state| matches!(state, MemberState::Alive | MemberState::Suspect);
        let entries = members.iter().filter(|m| m.role == MemberRole::Entry && serving(m.state));
        let entries = entries.count().max(1);
        for pool in self.state.upstreams.pools(&snapshot) {
            pool.update_slots(entries, |name| self.state.upstreams.is_leaving(name));
        }
    }

    fn handle_report(&self, handle: &UpstreamHandle, report: &LoadReport) {
        let now = self.state.parts.clock.now();
        handle.record_load(report.running, report.queued, now);
        if handle.record_incarnation(report.incarnation, now) {
            self.state.forget_prefixes(&handle.name);
        }
        let (upstreams, incarnation) = (&self.state.upstreams, report.incarnation);
        if !report.leaving {
            upstreams.mark_present(&handle.name, incarnation);
            return;
        }
        if upstreams.mark_leaving(&handle.name, incarnation) {
            log::info!("upstream_leaving upstream={} incarnation={incarnation}", handle.name);
            let upstream = handle.name.clone();
            self.state.parts.members.announce(Rumor::Leaving { upstream, incarnation });
        }
    }
}

impl Message<PollTick> for LoadWatcher {
    type Reply = ();

    async fn handle(&mut self, _: PollTick, ctx: &mut Context<Self, Self::Reply>) {
        self.update_slots();
        let Some(actor) = ctx.actor_ref().downgrade().upgrade() else { return };
        for handle in self.handles() {
            if self.polling.insert(handle.name.clone()) {
                tokio::spawn(poll(handle, actor.clone()));
            }
        }
    }
}

impl Message<PollEnded> for LoadWatcher {
    type Reply = ();

    async fn handle(&mut self, ended: PollEnded, _: &mut Context<Self, Self::Reply>) {
        self.polling.remove(&ended.handle.name);
        if let Some(report) = &ended.report {
            self.handle_report(&ended.handle, report);
        }
    }
}

async fn poll(handle: Arc<UpstreamHandle>, actor: ActorRef<LoadWatcher>) {
    let report = read_report(&handle.client, &handle).await;
    let _ = actor.tell(PollEnded { handle, report }).await;
}
