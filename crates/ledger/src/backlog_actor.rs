//! The actor that owns the backlog of a ledger.

use crate::group_replicator::{GroupReplicator, ReplicationOutcome};
use crate::metrics::LedgerMetrics;
use crate::wire::{BatchCall, BatchReply, UsageReply};
use kameo::prelude::*;
use oleander_core::ids::Sequence;
use oleander_core::ledger::backlog::{LedgerBacklog, OfferOutcome, OriginProgress, RunTicket};
use oleander_core::ledger::keys::{OriginId, QueueId};
use oleander_core::usage::UsageRecord;
use oleander_ports::clock::ClockPort;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

/// Receives the reply to an offered record.
pub type OfferReply = oneshot::Sender<UsageReply>;

/// Owns the backlog of one ledger and the replies to records that are not durable yet.
#[derive(Actor)]
pub struct BacklogActor {
    backlog: LedgerBacklog,
    clock: Arc<dyn ClockPort>,
    replicator: GroupReplicator,
    metrics: Arc<LedgerMetrics>,
    grouping: Duration,
    room: Arc<AtomicBool>,
    open_replies: Vec<OfferReply>,
    pending_replies: HashMap<Sequence, Vec<OfferReply>>,
}

impl BacklogActor {
    /// An actor that owns `backlog` and closes a group `grouping` after its first record.
    #[must_use]
    pub fn new(
        backlog: LedgerBacklog,
        clock: Arc<dyn ClockPort>,
        replicator: GroupReplicator,
        metrics: Arc<LedgerMetrics>,
        grouping: Duration,
    ) -> Self {
        let room = Arc::new(AtomicBool::new(true));
        let (open_replies, pending_replies) = (Vec::new(), HashMap::new());
        Self { backlog, clock, replicator, metrics, grouping, room, open_replies, pending_replies }
    }

    /// Flag that says whether the backlog has room, readable without a message to the actor.
    #[must_use]
    pub fn room_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.room)
    }

    fn publish_size(&self) {
        self.metrics.backlog_bytes.set(self.backlog.bytes() as i64);
        self.room.store(self.backlog.has_room(), Ordering::Relaxed);
    }

    fn close_open_group(&mut self, actor: &ActorRef<Self>) {
        let Some(group) = self.backlog.close_group(self.clock.now()) else { return };
        self.pending_replies.insert(group.sequence, std::mem::take(&mut self.open_replies));
        let (replicator, actor) = (self.replicator.clone(), actor.clone());
        let origin = self.backlog.own().clone();
        tokio::spawn(async move {
            let outcome = replicator.replicate_group(&origin, &group).await;
            let _ = actor.tell(ReplicationFinished { sequence: group.sequence, outcome }).await;
        });
    }
}

/// Offers a record to the backlog.
pub struct OfferRecord {
    /// The record.
    pub record: UsageRecord,
    /// Receives the reply.
    pub reply: OfferReply,
}

impl Message<OfferRecord> for BacklogActor {
    type Reply = ();

    async fn handle(&mut self, offer: OfferRecord, ctx: &mut Context<Self, ()>) {
        let outcome = self.backlog.offer(offer.record);
        if outcome == OfferOutcome::Full {
            self.metrics.records_full.inc();
            let _ = offer.reply.send(UsageReply::Full);
            return;
        }
        self.metrics.records.inc();
        self.open_replies.push(offer.reply);
        match outcome {
            OfferOutcome::Opened => close_group_later(ctx.actor_ref().clone(), self.grouping),
            OfferOutcome::Large => self.close_open_group(ctx.actor_ref()),
            OfferOutcome::Joined | OfferOutcome::Full => {}
        }
    }
}

fn close_group_later(actor: ActorRef<BacklogActor>, grouping: Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(grouping).await;
        let _ = actor.tell(CloseGroup).await;
    });
}

/// Closes the open group.
pub struct CloseGroup;

impl Message<CloseGroup> for BacklogActor {
    type Reply = ();

    async fn handle(&mut self, _: CloseGroup, ctx: &mut Context<Self, ()>) {
        self.close_open_group(ctx.actor_ref());
    }
}

/// Reports that the replication of a group of this ledger has ended.
pub struct ReplicationFinished {
    /// Sequence number of the group.
    pub sequence: Sequence,
    /// The result.
    pub outcome: ReplicationOutcome,
}

impl Message<ReplicationFinished> for BacklogActor {
    type Reply = ();

    async fn handle(&mut self, finished: ReplicationFinished, _: &mut Context<Self, ()>) {
        let ReplicationFinished { sequence, outcome } = finished;
        let replies = self.pending_replies.remove(&sequence).unwrap_or_default();
        let reply = match outcome {
            ReplicationOutcome::Backup(backup) => {
                self.backlog.set_group_backup(sequence, Some(backup));
                self.metrics.groups.inc();
                UsageReply::Held { room: self.backlog.has_room() }
            }
            ReplicationOutcome::Table => {
                self.backlog.drop_group(sequence);
                UsageReply::Held { room: self.backlog.has_room() }
            }
            // The request has run, so its record stays in the backlog until the table is available.
            ReplicationOutcome::NotHeld(why) => {
                self.backlog.set_group_backup(sequence, None);
                self.metrics.records_not_held.inc_by(replies.len() as u64);
                UsageReply::NotHeld(Arc::from(why))
            }
        };
        for pending in replies {
            let _ = pending.send(reply.clone());
        }
        self.publish_size();
    }
}

impl Message<BatchCall> for BacklogActor {
    type Reply = BatchReply;

    async fn handle(&mut self, call: BatchCall, _: &mut Context<Self, BatchReply>) -> BatchReply {
        let now = self.clock.now();
        let held = match call {
            BatchCall::HoldGroup { origin, group } => self.backlog.hold_group(&origin, group, now),
            BatchCall::HoldRun { queue, run } => self.backlog.hold_run(&queue, run, now),
            BatchCall::Progress(progress) => {
                self.backlog.apply_progress(&progress, now);
                true
            }
        };
        self.publish_size();
        if held { BatchReply::Held } else { BatchReply::Full }
    }
}

impl Reply for BatchReply {
    type Ok = Self;
    type Error = kameo::error::Infallible;
    type Value = Self;

    fn to_result(self) -> Result<Self, Self::Error> {
        Ok(self)
    }

    fn into_any_err(self) -> Option<Box<dyn kameo::reply::ReplyError>> {
        None
    }

    fn into_value(self) -> Self {
        self
    }
}

/// Returns the oldest run that this ledger has to write.
pub struct NextRun {
    /// Whether closed groups are sealed into runs first.
    pub seal: bool,
}

impl Message<NextRun> for BacklogActor {
    type Reply = Option<RunTicket>;

    async fn handle(
        &mut self,
        next: NextRun,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<RunTicket> {
        let now = self.clock.now();
        if next.seal {
            self.backlog.seal(now);
            self.publish_size();
        }
        self.backlog.oldest_run(now)
    }
}

/// Reports that a run is in the table.
pub struct RunWritten {
    /// The queue of the run.
    pub queue: QueueId,
    /// Number of the run in its queue.
    pub number: u64,
}

impl Message<RunWritten> for BacklogActor {
    type Reply = ();

    async fn handle(&mut self, written: RunWritten, _: &mut Context<Self, ()>) {
        self.backlog.drop_run(&written.queue, written.number);
        self.publish_size();
    }
}

/// Reports that `backup` has a copy of a run.
pub struct RunCopied {
    /// The queue of the run.
    pub queue: QueueId,
    /// Number of the run in its queue.
    pub number: u64,
    /// The ledger that has the copy.
    pub backup: OriginId,
}

impl Message<RunCopied> for BacklogActor {
    type Reply = ();

    async fn handle(&mut self, copied: RunCopied, _: &mut Context<Self, ()>) {
        self.backlog.set_run_backup(&copied.queue, copied.number, copied.backup);
    }
}

/// Lists runs that have no copy on a live ledger.
pub struct ListUnreplicated {
    /// The live ledgers.
    pub live: BTreeSet<OriginId>,
    /// Maximum number of runs in the reply.
    pub limit: usize,
}

impl Message<ListUnreplicated> for BacklogActor {
    type Reply = Vec<RunTicket>;

    async fn handle(
        &mut self,
        query: ListUnreplicated,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<RunTicket> {
        let (now, live) = (self.clock.now(), |ledger: &OriginId| query.live.contains(ledger));
        self.backlog.seal_unreplicated(now, &live);
        self.backlog.unreplicated_runs(now, &live, query.limit)
    }
}

/// Lists the progress reports for the ledgers that hold copies.
pub struct ListProgress;

impl Message<ListProgress> for BacklogActor {
    type Reply = Vec<(BTreeSet<OriginId>, OriginProgress)>;

    async fn handle(&mut self, _: ListProgress, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.backlog.progress_reports(self.clock.now())
    }
}

/// Closes the open group and makes this ledger responsible for flushing or handing over everything
/// that it holds, because it is leaving.
pub struct BeginLeave;

impl Message<BeginLeave> for BacklogActor {
    type Reply = ();

    async fn handle(&mut self, _: BeginLeave, ctx: &mut Context<Self, ()>) {
        self.close_open_group(ctx.actor_ref());
        self.backlog.leave();
    }
}

/// Asks whether the backlog is empty.
pub struct IsEmpty;

impl Message<IsEmpty> for BacklogActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsEmpty, _: &mut Context<Self, bool>) -> bool {
        self.backlog.is_empty()
    }
}
