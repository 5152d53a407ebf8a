//! One ledger: its actors, its handlers for peers, its loops.

use crate::batch_keeper::{BatchKeeper, OfferRecord};
use crate::claim_keeper::{ClaimKeeper, ClaimTicket};
use crate::claim_table::ClaimTable;
use crate::flush_loop::{FlushLoop, HandOver};
use crate::fold_keeper::FoldKeeper;
use crate::group_holder::GroupHolder;
use crate::metrics::LedgerMetrics;
use crate::ranking::LedgerPlace;
use crate::table_writer::TableWriter;
use crate::wire::{BatchCall, ClaimCall, ClaimReply, UsageCall, UsageReply, from_wire, to_wire};
use kameo::prelude::*;
use oleander_core::ids::{DomainName, HostId, Incarnation, RegionName};
use oleander_core::ledger::backlog::LedgerBacklog;
use oleander_core::ledger::keys::OriginId;
use oleander_core::usage::{MAX_OUTCOME_BYTES, UsageRecord, UsedItem};
use oleander_core::versioned::VersionedError;
use oleander_ports::clock::ClockPort;
use oleander_ports::members::MembershipPort;
use oleander_ports::objects::ObjectPort;
use oleander_ports::peers::{PeerChannel, PeerError, PeerHandler, PeerPort};
use oleander_ports::table::TablePort;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Backlog of one ledger, in bytes, unless the settings say otherwise.
pub const DEFAULT_BACKLOG_BYTES: usize = 24 * 1024 * 1024;
/// Time for which a group collects records.
pub const DEFAULT_GROUPING: Duration = Duration::from_millis(10);
/// Time between writes to the table.
pub const DEFAULT_FLUSH_EVERY: Duration = Duration::from_secs(2);
/// Longest text of a used item, in bytes.
pub const MAX_ITEM_BYTES: usize = 200;

/// What the platform and the other processes offer to a ledger.
#[derive(Clone)]
pub struct LedgerPorts {
    /// The table.
    pub table: Arc<dyn TablePort>,
    /// The object store.
    pub objects: Arc<dyn ObjectPort>,
    /// Calls to other ledgers.
    pub peers: Arc<dyn PeerPort>,
    /// The membership.
    pub members: Arc<dyn MembershipPort>,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
}

/// How one ledger works.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Where it stands.
    pub place: LedgerPlace,
    /// Its incarnation; never used before by a process with this id.
    pub incarnation: Incarnation,
    /// Bound of the backlog, in bytes.
    pub backlog_bytes: usize,
    /// Time for which a group collects records.
    pub grouping: Duration,
    /// Time between writes to the table.
    pub flush_every: Duration,
}

impl NodeConfig {
    /// A ledger with the default bounds.
    #[must_use]
    pub fn new(
        host: HostId,
        region: RegionName,
        domain: DomainName,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            place: LedgerPlace { host, region, domain },
            incarnation,
            backlog_bytes: DEFAULT_BACKLOG_BYTES,
            grouping: DEFAULT_GROUPING,
            flush_every: DEFAULT_FLUSH_EVERY,
        }
    }

    /// This life of the ledger.
    #[must_use]
    pub fn life(&self) -> OriginId {
        OriginId { host: self.place.host.clone(), incarnation: self.incarnation }
    }

    /// Sets the bound of the backlog.
    #[must_use]
    pub fn with_backlog_bytes(mut self, backlog_bytes: usize) -> Self {
        self.backlog_bytes = backlog_bytes;
        self
    }

    /// Sets the time for which a group collects records.
    #[must_use]
    pub fn with_grouping(mut self, grouping: Duration) -> Self {
        self.grouping = grouping;
        self
    }

    /// Sets the time between writes to the table.
    #[must_use]
    pub fn with_flush_every(mut self, flush_every: Duration) -> Self {
        self.flush_every = flush_every;
        self
    }
}

/// A running ledger.
pub struct LedgerNode {
    config: NodeConfig,
    ports: LedgerPorts,
    batches: ActorRef<BatchKeeper>,
    claims: ActorRef<ClaimKeeper>,
    room: Arc<AtomicBool>,
    metrics: Arc<LedgerMetrics>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl LedgerNode {
    /// Starts the actors and loops of a ledger. Must be called within a tokio runtime.
    #[must_use]
    pub fn new(config: NodeConfig, ports: LedgerPorts) -> Arc<Self> {
        let metrics = Arc::new(LedgerMetrics::new());
        let book = LedgerBacklog::new(config.life(), config.backlog_bytes);
        let holder = GroupHolder::new(config.clone(), ports.clone());
        let clock = Arc::clone(&ports.clock);
        let keeper = BatchKeeper::new(book, clock, holder, Arc::clone(&metrics), config.grouping);
        let room = keeper.room();
        let batches = BatchKeeper::spawn(keeper);
        let table = ClaimTable::new(Arc::clone(&ports.table), Arc::clone(&ports.clock));
        let claims = ClaimKeeper::spawn(ClaimKeeper::new(table, Arc::clone(&metrics)));
        let tasks = Mutex::new(Vec::new());
        let node = Self { config, ports, batches, claims, room, metrics, tasks };
        node.start_loops();
        Arc::new(node)
    }

    /// What it counts.
    #[must_use]
    pub fn metrics(&self) -> &LedgerMetrics {
        &self.metrics
    }

    /// Whether new requests may be admitted.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.room.load(Ordering::Relaxed)
    }

    /// Handlers of the channels that a ledger answers.
    #[must_use]
    pub fn handlers(self: &Arc<Self>) -> Vec<(PeerChannel, PeerHandler)> {
        let (usage, batches, claims) = (Arc::clone(self), Arc::clone(self), Arc::clone(self));
        let usage: PeerHandler = Arc::new(move |body| {
            let node = Arc::clone(&usage);
            Box::pin(async move {
                let UsageCall::Record(record) = from_wire(&body).map_err(refused)?;
                Ok(to_wire(&node.record(record).await))
            })
        });
        let batches: PeerHandler = Arc::new(move |body| {
            let node = Arc::clone(&batches);
            Box::pin(async move {
                let call: BatchCall = from_wire(&body).map_err(refused)?;
                let reply = node.batches.ask(call).await;
                let reply = reply.map_err(|error| PeerError::Unknown(error.to_string()))?;
                Ok(to_wire(&reply))
            })
        });
        let claims: PeerHandler = Arc::new(move |body| {
            let node = Arc::clone(&claims);
            Box::pin(async move {
                let call: ClaimCall = from_wire(&body).map_err(refused)?;
                Ok(to_wire(&node.settle_claim(call).await))
            })
        });
        vec![
            (PeerChannel::Usage, usage),
            (PeerChannel::Batches, batches),
            (PeerChannel::Claims, claims),
        ]
    }

    /// Holds a record.
    pub async fn record(&self, record: UsageRecord) -> UsageReply {
        if let Err(why) = check_record(&record) {
            return UsageReply::NotHeld(Arc::from(why));
        }
        let (reply, answer) = oneshot::channel();
        let _ = self.batches.tell(OfferRecord { record, reply }).await;
        let gone = |_| UsageReply::NotHeld(Arc::from("the ledger is stopping"));
        answer.await.unwrap_or_else(gone)
    }

    /// Makes or settles a claim.
    pub async fn settle_claim(&self, call: ClaimCall) -> ClaimReply {
        let (reply, answer) = oneshot::channel();
        let _ = self.claims.tell(ClaimTicket { call, reply }).await;
        let gone = |_| ClaimReply::Failed(Arc::from("the ledger is stopping"));
        answer.await.unwrap_or_else(gone)
    }

    /// Stops the loops and writes what is held, or hands it on. Call it after the membership
    /// said that this process leaves, and keep answering peers until it returns.
    pub async fn hand_over(&self) -> HandOver {
        self.stop();
        self.flush_loop().hand_over().await
    }

    /// Ends the loops at once, as a crash would.
    pub fn stop(&self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.drain(..).for_each(|task| task.abort());
    }

    /// Ends everything at once and forgets what is held, as the loss of the host would.
    pub fn kill(&self) {
        self.stop();
        self.batches.kill();
        self.claims.kill();
    }

    fn start_loops(&self) {
        let folds = FoldKeeper::new(&self.config, &self.ports, Arc::clone(&self.metrics));
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(tokio::spawn(self.flush_loop().run()));
        tasks.push(tokio::spawn(folds.run()));
    }

    fn flush_loop(&self) -> FlushLoop {
        FlushLoop::new(
            self.batches.clone(),
            GroupHolder::new(self.config.clone(), self.ports.clone()),
            TableWriter::new(Arc::clone(&self.ports.table)),
            Arc::clone(&self.metrics),
            self.config.flush_every,
        )
    }
}

fn refused(error: VersionedError) -> PeerError {
    PeerError::Refused(error.to_string())
}

fn check_record(record: &UsageRecord) -> Result<(), &'static str> {
    if matches!(&record.item, UsedItem::Operation(text) if text.len() > MAX_ITEM_BYTES) {
        return Err("the used item's name is too long");
    }
    let Some(outcome) = &record.outcome else { return Ok(()) };
    if outcome.body.len() > MAX_OUTCOME_BYTES || outcome.content_type.len() > MAX_ITEM_BYTES {
        return Err("the stored outcome is too large");
    }
    Ok(())
}
