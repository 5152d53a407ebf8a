//! The actor that takes, renews and gives up one lease.

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

/// Time between two looks at the lease.
const TICK: Duration = Duration::from_millis(500);

struct HeldLease {
    guard: LeaseGuard,
    lapses: Timestamp,
}

/// A lease as its users see it.
#[derive(Clone)]
pub struct LeaseHandle {
    name: Arc<str>,
    held: Arc<ArcSwapOption<HeldLease>>,
    clock: Arc<dyn ClockPort>,
    actor: ActorRef<LeaseActor>,
}

impl LeaseHandle {
    /// Starts to seek the lease; needs a running tokio runtime.
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
            keeper: LeaseManager::new(host, LeaseTimes::default()),
            clock: Arc::clone(&clock),
            held: Arc::clone(&held),
            rng: StdRng::seed_from_u64(seed),
        });
        spawn_ticks(&actor, TICK);
        Self { name: Arc::from(name), held, clock, actor }
    }

    /// Name of the lease.
    #[must_use]
    pub fn name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    /// The right to act now. Judged against the clock at each call: a holder that was paused
    /// finds its lease lapsed before it acts.
    #[must_use]
    pub fn guard(&self) -> Option<LeaseGuard> {
        let held = self.held.load();
        let held = held.as_ref()?;
        (self.clock.now() < held.lapses).then_some(held.guard)
    }

    /// The condition under which a write of this holder applies, however late it comes.
    #[must_use]
    pub fn condition(&self, guard: LeaseGuard) -> RowCondition {
        RowCondition::VersionIs(fence_key(&self.name).into(), guard.fence_version)
    }

    /// Gives the lease up, so that another takes it at once.
    pub async fn release(&self) {
        let _ = self.actor.ask(Release).await;
    }

    /// Stops the actor and gives nothing up, as a crash would.
    pub fn abandon(&self) {
        self.actor.kill();
    }
}

struct Release;

/// Keeps one lease.
#[derive(Actor)]
struct LeaseActor {
    name: Arc<str>,
    table: LeaseTable,
    keeper: LeaseManager,
    clock: Arc<dyn ClockPort>,
    held: Arc<ArcSwapOption<HeldLease>>,
    rng: StdRng,
}

impl LeaseActor {
    async fn step(&mut self) {
        let asked_at = self.clock.now();
        let write_id = self.rng.random();
        match self.keeper.step(asked_at, write_id) {
            LeaseAction::Wait => {}
            LeaseAction::Read => self.read(asked_at).await,
            LeaseAction::Write { row, row_version, fence_version, acquires } => {
                let write = LeaseWrite { row, row_version, fence_version, takes: acquires };
                self.write(&write).await;
                self.read(self.clock.now()).await;
            }
        }
        self.show();
    }

    async fn read(&mut self, asked_at: Timestamp) {
        match self.table.read().await {
            Ok(reading) => self.keeper.on_read(reading, asked_at),
            Err(error) => log::debug!("lease.not_read name={} error={error}", self.name),
        }
    }

    async fn write(&mut self, write: &LeaseWrite) {
        match self.table.write(write).await {
            Ok(TransactionOutcome::Applied) | Err(PlatformError::Unknown(_)) => {}
            Ok(TransactionOutcome::Conflict(_)) => self.keeper.on_refused(),
            Err(PlatformError::NotApplied(_) | PlatformError::Throttled) => {
                self.keeper.on_refused();
            }
        }
    }

    fn show(&self) {
        let held = self.keeper.held_until(self.clock.now());
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
        self.held.store(held.map(|(guard, lapses)| Arc::new(HeldLease { guard, lapses })));
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
        let released = self.keeper.release(self.clock.now(), write_id);
        self.show();
        if let Some((row, version)) = released {
            let row_version = Some(version);
            let write = LeaseWrite { row, row_version, fence_version: None, takes: false };
            let _ = self.table.write(&write).await;
        }
        context.actor_ref().kill();
    }
}
