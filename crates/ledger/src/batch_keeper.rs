//! The actor that owns a ledger's batching.

use crate::group_holder::{GroupHolder, HoldOutcome};
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

/// Where the answer to an offered record goes.
pub type OfferReply = oneshot::Sender<UsageReply>;

/// Owns the book of one ledger and the callers that wait for their records to be held.
#[derive(Actor)]
pub struct BatchKeeper {
    book: LedgerBacklog,
    clock: Arc<dyn ClockPort>,
    holder: GroupHolder,
    metrics: Arc<LedgerMetrics>,
    grouping: Duration,
    room: Arc<AtomicBool>,
    open: Vec<OfferReply>,
    waiting: HashMap<Sequence, Vec<OfferReply>>,
}

impl BatchKeeper {
    /// A keeper of `book` that closes a group after `grouping`.
    #[must_use]
    pub fn new(
        book: LedgerBacklog,
        clock: Arc<dyn ClockPort>,
        holder: GroupHolder,
        metrics: Arc<LedgerMetrics>,
        grouping: Duration,
    ) -> Self {
        let room = Arc::new(AtomicBool::new(true));
        let (open, waiting) = (Vec::new(), HashMap::new());
        Self { book, clock, holder, metrics, grouping, room, open, waiting }
    }

    /// Whether the book has room, readable without asking the actor.
    #[must_use]
    pub fn room(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.room)
    }

    fn note_size(&self) {
        self.metrics.backlog_bytes.set(self.book.bytes() as i64);
        self.room.store(self.book.has_room(), Ordering::Relaxed);
    }

    fn close(&mut self, keeper: &ActorRef<Self>) {
        let Some(group) = self.book.close_group(self.clock.now()) else { return };
        self.waiting.insert(group.sequence, std::mem::take(&mut self.open));
        let (holder, keeper) = (self.holder.clone(), keeper.clone());
        let origin = self.book.own().clone();
        tokio::spawn(async move {
            let outcome = holder.hold_group(&origin, &group).await;
            let _ = keeper.tell(GroupSettled { sequence: group.sequence, outcome }).await;
        });
    }
}

/// A record to hold.
pub struct OfferRecord {
    /// The record.
    pub record: UsageRecord,
    /// Where the answer goes.
    pub reply: OfferReply,
}

impl Message<OfferRecord> for BatchKeeper {
    type Reply = ();

    async fn handle(&mut self, offer: OfferRecord, ctx: &mut Context<Self, ()>) {
        let outcome = self.book.offer(offer.record);
        if outcome == OfferOutcome::Full {
            self.metrics.records_full.inc();
            let _ = offer.reply.send(UsageReply::Full);
            return;
        }
        self.metrics.records.inc();
        self.open.push(offer.reply);
        match outcome {
            OfferOutcome::Opened => close_later(ctx.actor_ref().clone(), self.grouping),
            OfferOutcome::Large => self.close(ctx.actor_ref()),
            OfferOutcome::Joined | OfferOutcome::Full => {}
        }
    }
}

fn close_later(keeper: ActorRef<BatchKeeper>, grouping: Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(grouping).await;
        let _ = keeper.tell(CloseGroup).await;
    });
}

/// Closes the open group.
pub struct CloseGroup;

impl Message<CloseGroup> for BatchKeeper {
    type Reply = ();

    async fn handle(&mut self, _: CloseGroup, ctx: &mut Context<Self, ()>) {
        self.close(ctx.actor_ref());
    }
}

/// Where an own group is held.
pub struct GroupSettled {
    /// The group.
    pub sequence: Sequence,
    /// Where it is.
    pub outcome: HoldOutcome,
}

impl Message<GroupSettled> for BatchKeeper {
    type Reply = ();

    async fn handle(&mut self, settled: GroupSettled, _: &mut Context<Self, ()>) {
        let GroupSettled { sequence, outcome } = settled;
        let waiting = self.waiting.remove(&sequence).unwrap_or_default();
        let reply = match outcome {
            HoldOutcome::Backup(backup) => {
                self.book.set_group_backup(sequence, Some(backup));
                self.metrics.groups.inc();
                UsageReply::Held { room: self.book.has_room() }
            }
            HoldOutcome::Table => {
                self.book.drop_group(sequence);
                UsageReply::Held { room: self.book.has_room() }
            }
            // The request ran, so its record stays and is written when the table answers.
            HoldOutcome::Nowhere(why) => {
                self.book.set_group_backup(sequence, None);
                self.metrics.records_not_held.inc_by(waiting.len() as u64);
                UsageReply::NotHeld(Arc::from(why))
            }
        };
        for caller in waiting {
            let _ = caller.send(reply.clone());
        }
        self.note_size();
    }
}

impl Message<BatchCall> for BatchKeeper {
    type Reply = BatchReply;

    async fn handle(&mut self, call: BatchCall, _: &mut Context<Self, BatchReply>) -> BatchReply {
        let now = self.clock.now();
        let held = match call {
            BatchCall::HoldGroup { origin, group } => self.book.hold_group(&origin, group, now),
            BatchCall::HoldRun { shelf, run } => self.book.hold_run(&shelf, run, now),
            BatchCall::Progress(progress) => {
                self.book.apply_progress(&progress, now);
                true
            }
        };
        self.note_size();
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

/// Seals what this ledger writes and returns the oldest run of it.
pub struct NextRun {
    /// Whether groups are sealed first.
    pub seal: bool,
}

impl Message<NextRun> for BatchKeeper {
    type Reply = Option<RunTicket>;

    async fn handle(
        &mut self,
        next: NextRun,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<RunTicket> {
        let now = self.clock.now();
        if next.seal {
            self.book.seal(now);
            self.note_size();
        }
        self.book.oldest_run(now)
    }
}

/// A run that is in the table.
pub struct RunWritten {
    /// Its shelf.
    pub shelf: QueueId,
    /// Its number on the shelf.
    pub number: u64,
}

impl Message<RunWritten> for BatchKeeper {
    type Reply = ();

    async fn handle(&mut self, written: RunWritten, _: &mut Context<Self, ()>) {
        self.book.drop_run(&written.shelf, written.number);
        self.note_size();
    }
}

/// A run of which `backup` has a copy.
pub struct RunCopied {
    /// Its shelf.
    pub shelf: QueueId,
    /// Its number on the shelf.
    pub number: u64,
    /// The ledger with the copy.
    pub backup: OriginId,
}

impl Message<RunCopied> for BatchKeeper {
    type Reply = ();

    async fn handle(&mut self, copied: RunCopied, _: &mut Context<Self, ()>) {
        self.book.set_run_backup(&copied.shelf, copied.number, copied.backup);
    }
}

/// Asks for runs without a copy on a live ledger.
pub struct ListUnprotected {
    /// The live ledgers.
    pub live: BTreeSet<OriginId>,
    /// Most runs in the answer.
    pub limit: usize,
}

impl Message<ListUnprotected> for BatchKeeper {
    type Reply = Vec<RunTicket>;

    async fn handle(
        &mut self,
        wanted: ListUnprotected,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<RunTicket> {
        let (now, live) = (self.clock.now(), |ledger: &OriginId| wanted.live.contains(ledger));
        self.book.seal_unreplicated(now, &live);
        self.book.unreplicated_runs(now, &live, wanted.limit)
    }
}

/// Asks what to tell the ledgers that hold copies.
pub struct ListProgress;

impl Message<ListProgress> for BatchKeeper {
    type Reply = Vec<(BTreeSet<OriginId>, OriginProgress)>;

    async fn handle(&mut self, _: ListProgress, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.book.progress_reports(self.clock.now())
    }
}

/// Closes the open group and makes everything that is held this ledger's to write or hand on.
pub struct BeginLeave;

impl Message<BeginLeave> for BatchKeeper {
    type Reply = ();

    async fn handle(&mut self, _: BeginLeave, ctx: &mut Context<Self, ()>) {
        self.close(ctx.actor_ref());
        self.book.leave();
    }
}

/// Asks whether nothing is held.
pub struct IsEmpty;

impl Message<IsEmpty> for BatchKeeper {
    type Reply = bool;

    async fn handle(&mut self, _: IsEmpty, _: &mut Context<Self, bool>) -> bool {
        self.book.is_empty()
    }
}
