//! One ledger: its actors, peer handlers and background loops.

use crate::backlog_actor::{BacklogActor, OfferRecord};
use crate::claim_actor::{ClaimActor, SubmitClaimCall};
use crate::claim_table::ClaimTable;
use crate::flush_loop::{FlushLoop, HandOver};
use crate::fold_loop::FoldLoop;
use crate::group_replicator::GroupReplicator;
use crate::metrics::LedgerMetrics;
use crate::ranking::LedgerLocation;
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

/// Default limit of the backlog of one ledger, in bytes.
pub const DEFAULT_BACKLOG_BYTES: usize = 24 * 1024 * 1024;
/// Default time for which a group collects records.
pub const DEFAULT_GROUPING: Duration = Duration::from_millis(10);
/// Default interval between flushes to the table.
pub const DEFAULT_FLUSH_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum length of the text of a used item, in bytes.
pub const MAX_ITEM_BYTES: usize = 200;

/// Ports through which a ledger uses the platform and other processes.
#[derive(Clone)]
pub struct LedgerPorts {
    /// The table.
    pub table: Arc<dyn TablePort>,
    /// The object store.
    pub objects: Arc<dyn ObjectPort>,
    /// Calls to peers.
    pub peers: Arc<dyn PeerPort>,
    /// The membership.
    pub members: Arc<dyn MembershipPort>,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
}

/// Configuration of one ledger.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Host, region and failure domain of the ledger.
    pub location: LedgerLocation,
    /// Incarnation of the ledger; must not have been used before by a process with this id.
    pub incarnation: Incarnation,
    /// Limit of the backlog, in bytes.
    pub backlog_bytes: usize,
    /// Time for which a group collects records.
    pub grouping: Duration,
    /// Interval between flushes to the table.
    pub flush_interval: Duration,
}

impl NodeConfig {
    /// A configuration with the default limits.
    #[must_use]
    pub fn new(
        host: HostId,
        region: RegionName,
        domain: DomainName,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            location: LedgerLocation { host, region, domain },
            incarnation,
            backlog_bytes: DEFAULT_BACKLOG_BYTES,
            grouping: DEFAULT_GROUPING,
            flush_interval: DEFAULT_FLUSH_INTERVAL,
        }
    }

    /// Origin id of this incarnation of the ledger.
    #[must_use]
    pub fn origin_id(&self) -> OriginId {
        OriginId { host: self.location.host.clone(), incarnation: self.incarnation }
    }

    /// Sets the limit of the backlog.
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

    /// Sets the interval between flushes to the table.
    #[must_use]
    pub fn with_flush_interval(mut self, flush_interval: Duration) -> Self {
        self.flush_interval = flush_interval;
        self
    }
}

/// A running ledger.
pub struct LedgerNode {
    config: NodeConfig,
    ports: LedgerPorts,
    batches: ActorRef<BacklogActor>,
    claims: ActorRef<ClaimActor>,
    room: Arc<AtomicBool>,
    metrics: Arc<LedgerMetrics>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl LedgerNode {
    /// Starts the actors and loops of a ledger. Must be called within a tokio runtime.
    #[must_use]
    pub fn new(config: NodeConfig, ports: LedgerPorts) -> Arc<Self> {
        let metrics = Arc::new(LedgerMetrics::new());
        let backlog = LedgerBacklog::new(config.origin_id(), config.backlog_bytes);
        let replicator = GroupReplicator::new(config.clone(), ports.clone());
        let clock = Arc::clone(&ports.clock);
        let actor =
            BacklogActor::new(backlog, clock, replicator, Arc::clone(&metrics), config.grouping);
        let room = actor.room_flag();
        let batches = BacklogActor::spawn(actor);
        let table = ClaimTable::new(Arc::clone(&ports.table), Arc::clone(&ports.clock));
        let claims = ClaimActor::spawn(ClaimActor::new(table, Arc::clone(&metrics)));
        let tasks = Mutex::new(Vec::new());
        let node = Self { config, ports, batches, claims, room, metrics, tasks };
        node.start_loops();
        Arc::new(node)
    }

    /// Metrics of this ledger.
    #[must_use]
    pub fn metrics(&self) -> &LedgerMetrics {
        &self.metrics
    }

    /// Whether new requests may be admitted.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.room.load(Ordering::Relaxed)
    }

    /// Handlers of the peer channels that a ledger serves.
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
                Ok(to_wire(&node.handle_claim(call).await))
            })
        });
        vec![
            (PeerChannel::Usage, usage),
            (PeerChannel::Batches, batches),
            (PeerChannel::Claims, claims),
        ]
    }

    /// Stores a record; replies once it is durable or refused.
    pub async fn record(&self, record: UsageRecord) -> UsageReply {
        if let Err(why) = check_record(&record) {
            return UsageReply::NotHeld(Arc::from(why));
        }
        let (reply, answer) = oneshot::channel();
        let _ = self.batches.tell(OfferRecord { record, reply }).await;
        let stopped = |_| UsageReply::NotHeld(Arc::from("the ledger is stopping"));
        answer.await.unwrap_or_else(stopped)
    }

    /// Makes, releases or marks a claim.
    pub async fn handle_claim(&self, call: ClaimCall) -> ClaimReply {
        let (reply, answer) = oneshot::channel();
        let _ = self.claims.tell(SubmitClaimCall { call, reply }).await;
        let stopped = |_| ClaimReply::Failed(Arc::from("the ledger is stopping"));
        answer.await.unwrap_or_else(stopped)
    }

    /// Stops the loops and writes the backlog to the table, or hands it over to other ledgers. Call
    /// it after this process has announced to the membership that it leaves, and keep answering
    /// peers until it returns.
    pub async fn hand_over(&self) -> HandOver {
        self.stop();
        self.flush_loop().hand_over().await
    }

    /// Aborts the loops immediately, as a crash would.
    pub fn stop(&self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.drain(..).for_each(|task| task.abort());
    }

    /// Stops everything immediately and loses the backlog, as the loss of the host would.
    pub fn kill(&self) {
        self.stop();
        self.batches.kill();
        self.claims.kill();
    }

    fn start_loops(&self) {
        let folds = FoldLoop::new(&self.config, &self.ports, Arc::clone(&self.metrics));
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(tokio::spawn(self.flush_loop().run()));
        tasks.push(tokio::spawn(folds.run()));
    }

    fn flush_loop(&self) -> FlushLoop {
        FlushLoop::new(
            self.batches.clone(),
            GroupReplicator::new(self.config.clone(), self.ports.clone()),
            TableWriter::new(Arc::clone(&self.ports.table)),
            Arc::clone(&self.metrics),
            self.config.flush_interval,
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
