//! The actor that collects ratings and drives rollouts while it holds its lease.
//!
//! It has no state of its own: each pass starts from the catalog in the store and the row of
//! statistics, so that another steward can continue where this one stopped. Each step of a rollout
//! is a catalog revision, conditional on the head that it was decided on and on the fence of the
//! lease.

use crate::lease_actor::LeaseHandle;
use crate::statistics_table::{StatisticsTable, StoredStatistics};
use crate::ticker::{Tick, spawn_ticks};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use oleander_catalog::records::PublishId;
use oleander_catalog::store::StoredHead;
use oleander_catalog::{CatalogPublisher, PublishRequest};
use oleander_core::catalog::Catalog;
use oleander_core::catalog::edit::{CatalogEdit, apply_edit};
use oleander_core::fleet_statistics::{FleetStatistics, VersionRating};
use oleander_core::ids::{Revision, RolloutName};
use oleander_core::lease::LeaseGuard;
use oleander_core::rollout::{RolloutDecision, decide_step};
use oleander_core::units::Timestamp;
use oleander_ports::clock::ClockPort;
use oleander_ports::ratings::{AnswerRating, RatingPort};
use oleander_ports::table::TransactionOutcome;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

/// Name of the driver's lease.
pub const ROLLOUT_LEASE: &str = "rollouts";
/// Interval between two passes.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of ratings that are processed in one pass.
const MAX_RATINGS: usize = 2_000;
/// Author of the revisions that the driver publishes.
const AUTHOR: &str = "rollout-driver";

/// The parts that the driver is built from.
#[derive(Clone)]
pub struct DriverParts {
    /// Publishes steps and reads the catalog.
    pub publisher: CatalogPublisher,
    /// The rating service.
    pub ratings: Arc<dyn RatingPort>,
    /// The row of statistics.
    pub statistics: StatisticsTable,
    /// The lease under which the driver acts.
    pub lease: LeaseHandle,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
}

/// Starts the driver; needs a running tokio runtime. The publish ids are generated from `seed`.
#[must_use]
pub fn start_driver(parts: DriverParts, seed: u64) -> ActorRef<RolloutDriver> {
    let rng = StdRng::seed_from_u64(seed);
    let actor = RolloutDriver::spawn(RolloutDriver { parts, rng, cached_catalog: None });
    spawn_ticks(&actor, TICK_INTERVAL);
    actor
}

/// Drives rollouts.
#[derive(Actor)]
pub struct RolloutDriver {
    parts: DriverParts,
    rng: StdRng,
    cached_catalog: Option<(Arc<str>, Arc<Catalog>)>,
}

impl RolloutDriver {
    /// Runs one pass. Without the lease it only reads the statistics, to serve them to peers.
    async fn run_pass(&mut self) -> anyhow::Result<()> {
        let stored = self.parts.statistics.read().await?;
        let Some(guard) = self.parts.lease.guard() else { return Ok(()) };
        let store = self.parts.publisher.store();
        let head = store.head().await?;
        if head.record.is_none() {
            return Ok(());
        }
        let catalog = self.catalog(&head).await?;
        let Some(statistics) = self.collect(stored, &catalog, guard).await? else { return Ok(()) };
        self.drive(&catalog, &statistics, head.revision(), guard).await
    }

    /// The catalog of a head. Bodies are immutable, so each is read once.
    async fn catalog(&mut self, head: &StoredHead) -> anyhow::Result<Arc<Catalog>> {
        let digest = head.record.as_ref().map(|record| Arc::clone(&record.digest));
        if let (Some((known, catalog)), Some(digest)) = (&self.cached_catalog, &digest)
            && known == digest
        {
            return Ok(Arc::clone(catalog));
        }
        let store = self.parts.publisher.store();
        let catalog = Arc::new(store.catalog(head.record.as_ref()).await?);
        self.cached_catalog = digest.map(|digest| (digest, Arc::clone(&catalog)));
        Ok(catalog)
    }

    /// Adds new ratings to the statistics. `None` when the write conflicted with another steward's.
    async fn collect(
        &self,
        mut stored: StoredStatistics,
        catalog: &Catalog,
        guard: LeaseGuard,
    ) -> anyhow::Result<Option<FleetStatistics>> {
        let cursor = stored.statistics.cursor;
        let page = self.parts.ratings.ratings(cursor, MAX_RATINGS).await?;
        let ratings: Vec<VersionRating> = page.ratings.iter().map(to_rating).collect();
        let now = self.parts.clock.now();
        if !stored.statistics.update(catalog, &ratings, page.cursor, now) {
            return Ok(Some(stored.statistics));
        }
        let fence = self.parts.lease.condition(guard);
        match self.parts.statistics.write(&stored, fence).await? {
            TransactionOutcome::Applied => Ok(Some(stored.statistics)),
            TransactionOutcome::Conflict(_) => Ok(None),
        }
    }

    async fn drive(
        &mut self,
        catalog: &Catalog,
        statistics: &FleetStatistics,
        base: Revision,
        guard: LeaseGuard,
    ) -> anyhow::Result<()> {
        let now = self.parts.clock.now();
        for name in statistics.rollouts.keys() {
            let Some((edit, note)) = decide(catalog, statistics, name, now) else { continue };
            let next = apply_edit(catalog, &edit)?;
            // The next rollout is decided on the head that this step publishes.
            return self.publish(&next, base, guard, note).await;
        }
        Ok(())
    }

    async fn publish(
        &mut self,
        next: &Catalog,
        base: Revision,
        guard: LeaseGuard,
        note: String,
    ) -> anyhow::Result<()> {
        let fence = self.parts.lease.condition(guard);
        let request = PublishRequest::new(PublishId::new(self.rng.random()), AUTHOR, base)
            .with_note(note.as_str())
            .with_condition(fence);
        let published = self.parts.publisher.publish(next, request).await?;
        log::info!("rollout.step_published revision={} note={note:?}", published.revision);
        Ok(())
    }
}

/// The edit for a rollout, if one is due, and its note.
fn decide(
    catalog: &Catalog,
    statistics: &FleetStatistics,
    name: &RolloutName,
    now: Timestamp,
) -> Option<(CatalogEdit, String)> {
    let rollout = catalog.rollouts.get(name)?;
    let evidence = statistics.evidence(catalog, name);
    let since = statistics.rollouts.get(name)?.step_since;
    let name = name.clone();
    match decide_step(rollout, &evidence, since, now, &catalog.policy) {
        RolloutDecision::Hold(reason) => {
            log::debug!("rollout.held name={name} reason={reason:?}");
            None
        }
        RolloutDecision::Advance(step) => {
            let note = format!("roll-out {name}: step {step} after {} ratings", evidence.ratings);
            Some((CatalogEdit::AdvanceRollout { name, step }, note))
        }
        RolloutDecision::Complete => {
            let note = format!("roll-out {name}: complete after {} ratings", evidence.ratings);
            Some((CatalogEdit::CompleteRollout { name }, note))
        }
        RolloutDecision::RollBack(reason) => {
            let note = format!("roll-out {name}: {reason} after {} ratings", evidence.ratings);
            let reason = Arc::from(note.as_str());
            let version = rollout.to.clone();
            Some((CatalogEdit::Withdraw { version, reason, replacement: None }, note))
        }
    }
}

fn to_rating(rating: &AnswerRating) -> VersionRating {
    VersionRating {
        cascade: rating.cascade.clone(),
        version: rating.version.clone(),
        score: rating.score.get(),
    }
}

impl Message<Tick> for RolloutDriver {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        if let Err(error) = self.run_pass().await {
            log::warn!("rollout.look_failed error={error:#}");
        }
    }
}
