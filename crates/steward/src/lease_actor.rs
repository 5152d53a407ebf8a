//! The actor that acquires, renews and releases one lease.

use crate::lease_table::{LeaseTable, LeaseWrite, fence_key};
use crate::ticker::{Tick, spawn_ticks};
use arc_swap::ArcSwapOption;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use oleander_core::ids::HostId;
use oleander_core::lease::{LeaseAction, LeaseGuard, LeaseManager, LeaseTimes};
use oleander_core::units::Timestamp;
use oleander_ports::PlatformError;
use oleander_ports::clock::ClockPort;
use oleander_ports::table::{RowCondition, TablePort, TransactionOutcome};
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two steps of the lease.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

struct HeldLease {
    guard: LeaseGuard,
    expires_at: Timestamp,
}

/// Handle to a lease, for the code that acts under it.
#[derive(Clone)]
pub struct LeaseHandle {
    name: Arc<str>,
    held: Arc<ArcSwapOption<HeldLease>>,
    clock: Arc<dyn ClockPort>,
    actor: ActorRef<LeaseActor>,
}

impl LeaseHandle {
    /// Starts an actor that acquires and renews the lease. Needs a running tokio runtime.
    #[must_use]
    pub fn start(
        table: Arc<dyn TablePort>,
        clock: Arc<dyn ClockPort>,
        name: &str,
        host: HostId,
        seed: u64,
    ) -> Self {
        let held = Arc::new(ArcSwapOption::empty());
        let actor = LeaseActor::spawn(LeaseActor {
            name: Arc::from(name),
            table: LeaseTable::new(table, name),
            manager: LeaseManager::new(host, LeaseTimes::default()),
            clock: Arc::clone(&clock),
            held: Arc::clone(&held),
            rng: StdRng::seed_from_u64(seed),
        });
        spawn_ticks(&actor, TICK_INTERVAL);
        Self { name: Arc::from(name), held, clock, actor }
    }

    /// Name of the lease.
    #[must_use]
    pub fn name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    /// The guard to act under now, if the lease is held. Checked against the clock on each call, so
    /// that a holder that was paused finds its lease expired before it acts.
    #[must_use]
    pub fn guard(&self) -> Option<LeaseGuard> {
        let held = self.held.load();
        let held = held.as_ref()?;
        (self.clock.now() < held.expires_at).then_some(held.guard)
    }

    /// A condition for writes under `guard`: a write that arrives after the holder has changed
    /// fails, no matter how late it arrives.
    #[must_use]
    pub fn condition(&self, guard: LeaseGuard) -> RowCondition {
        RowCondition::VersionIs(fence_key(&self.name).into(), guard.fence_version)
    }

    /// Releases the lease, so that another host can acquire it immediately.
    pub async fn release(&self) {
        let _ = self.actor.ask(Release).await;
    }

    /// Stops the actor without a release, as a crash would.
    pub fn kill(&self) {
        self.actor.kill();
    }
}

struct Release;

/// Acquires and renews one lease.
#[derive(Actor)]
struct LeaseActor {
    name: Arc<str>,
    table: LeaseTable,
    manager: LeaseManager,
    clock: Arc<dyn ClockPort>,
    held: Arc<ArcSwapOption<HeldLease>>,
    rng: StdRng,
}

impl LeaseActor {
    async fn step(&mut self) {
        let requested_at = self.clock.now();
        let write_id = self.rng.random();
        match self.manager.step(requested_at, write_id) {
            LeaseAction::Wait => {}
            LeaseAction::Read => self.read(requested_at).await,
            LeaseAction::Write { row, row_version, fence_version, acquires } => {
                let write = LeaseWrite { row, row_version, fence_version, acquires };
                self.write(&write).await;
                self.read(self.clock.now()).await;
            }
        }
        self.publish_state();
    }

    async fn read(&mut self, requested_at: Timestamp) {
        match self.table.read().await {
            Ok(reading) => self.manager.on_read(reading, requested_at),
            Err(error) => log::debug!("lease.not_read name={} error={error}", self.name),
        }
    }

    async fn write(&mut self, write: &LeaseWrite) {
        match self.table.write(write).await {
            Ok(TransactionOutcome::Applied) | Err(PlatformError::Unknown(_)) => {}
            Ok(TransactionOutcome::Conflict(_)) => self.manager.on_refused(),
            Err(PlatformError::NotApplied(_) | PlatformError::Throttled) => {
                self.manager.on_refused();
            }
        }
    }

    fn publish_state(&self) {
        let held = self.manager.held_until(self.clock.now());
        let before = self.held.load().as_ref().map(|held| held.guard);
        let after = held.map(|(guard, _)| guard);
        if before != after {
            let fencing = after.map_or(0, |guard| guard.fencing.get());
            log::info!(
                "lease.changed name={} held={} fencing={fencing}",
                self.name,
                after.is_some()
            );
        }
        self.held.store(held.map(|(guard, expires_at)| Arc::new(HeldLease { guard, expires_at })));
    }
}

impl Message<Tick> for LeaseActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.step().await;
    }
}

impl Message<Release> for LeaseActor {
    type Reply = ();

    async fn handle(&mut self, _: Release, context: &mut Context<Self, ()>) {
        let write_id = self.rng.random();
        let released = self.manager.release(self.clock.now(), write_id);
        self.publish_state();
        if let Some((row, version)) = released {
            let row_version = Some(version);
            let write = LeaseWrite { row, row_version, fence_version: None, acquires: false };
            let _ = self.table.write(&write).await;
        }
        context.actor_ref().kill();
    }
}
