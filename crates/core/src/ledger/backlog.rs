//! What one ledger holds: its own records on their way to the table, and copies for others.

use super::keys::{OriginId, QueueId};
use super::origin_queue::OriginQueue;
use super::run::{HeldGroup, HeldRun, record_bytes};
use crate::ids::Sequence;
use crate::units::Timestamp;
use crate::usage::UsageRecord;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Silence of a keeper after which a ledger writes what it holds for it.
pub const ORIGIN_SILENCE: Duration = Duration::from_secs(15);
/// Size at which an open group is closed at once, in bytes.
pub const MAX_GROUP_BYTES: usize = 1024 * 1024;
/// Share of the bound, in hundredths, above which no new request is admitted; the rest is for
/// the requests that are on their way.
pub const ADMISSION_FILL_PERCENT: usize = 90;

/// What became of a record that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The backlog is at its bound; the record was not taken.
    Full,
    /// It opened a group; close the group after the grouping time.
    Opened,
    /// It joined the open group.
    Joined,
    /// It made the group large; close the group now.
    Large,
}

/// A run that a ledger holds.
#[derive(Clone, Debug)]
pub struct RunTicket {
    /// Where it is held.
    pub queue: QueueId,
    /// Number of the run on its shelf.
    pub number: u64,
    /// The run.
    pub run: Arc<HeldRun>,
}

/// How far a ledger is with a shelf, told to the ledgers that hold copies of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginProgress {
    /// The shelf.
    #[serde(rename = "shelf")]
    pub queue: QueueId,
    /// Groups up to this one were sealed into runs.
    pub sealed_to: Option<Sequence>,
    /// Groups up to this one are in the table; only the origin itself says so.
    pub flushed_to: Option<Sequence>,
}

/// The state of one ledger's batching.
///
/// ```
/// use oleander_core::ledger::backlog::LedgerBacklog;
/// use oleander_core::ledger::keys::OriginId;
///
/// let host = "host-1.ledger".parse().unwrap();
/// let book = LedgerBacklog::new(OriginId { host, incarnation: Default::default() }, 1024);
/// assert!(book.has_room());
/// ```
pub struct LedgerBacklog {
    own: QueueId,
    bound: usize,
    next: Sequence,
    open: Vec<UsageRecord>,
    open_bytes: usize,
    queues: BTreeMap<QueueId, OriginQueue>,
    leaving: bool,
}

impl LedgerBacklog {
    /// An empty book that holds at most `bound` bytes.
    #[must_use]
    pub fn new(own: OriginId, bound: usize) -> Self {
        Self {
            own: QueueId::of(&own),
            bound,
            next: Sequence::new(1),
            open: Vec::new(),
            open_bytes: 0,
            queues: BTreeMap::new(),
            leaving: false,
        }
    }

    /// This ledger as an origin.
    #[must_use]
    pub fn own(&self) -> &OriginId {
        &self.own.origin
    }

    /// Bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.open_bytes + self.queues.values().map(|queue| queue.bytes).sum::<usize>()
    }

    /// Whether new requests may be admitted.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.bytes() < self.bound / 100 * ADMISSION_FILL_PERCENT
    }

    /// Whether nothing is held, neither of its own nor for others.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.queues.is_empty()
    }

    /// Takes a record into the open group.
    pub fn offer(&mut self, record: UsageRecord) -> OfferOutcome {
        let bytes = record_bytes(&record);
        if self.bytes() + bytes > self.bound {
            return OfferOutcome::Full;
        }
        let first = self.open.is_empty();
        self.open.push(record);
        self.open_bytes += bytes;
        if self.open_bytes >= MAX_GROUP_BYTES {
            return OfferOutcome::Large;
        }
        if first { OfferOutcome::Opened } else { OfferOutcome::Joined }
    }

    /// Fixes the open group and gives it its sequence. `None` when it is empty.
    pub fn close_group(&mut self, now: Timestamp) -> Option<HeldGroup> {
        if self.open.is_empty() {
            return None;
        }
        let group = HeldGroup { sequence: self.next, records: std::mem::take(&mut self.open) };
        self.next = self.next.next();
        self.open_bytes = 0;
        let own = self.own.clone();
        self.queue(own, now).put_group(group.clone(), false);
        Some(group)
    }

    /// Notes where the copy of an own group is; `None` when no ledger has one.
    pub fn set_group_backup(&mut self, sequence: Sequence, backup: Option<OriginId>) {
        if let Some(queue) = self.queues.get_mut(&self.own) {
            queue.set_group_backup(sequence, backup);
        }
    }

    /// Drops an own group that is in the table.
    pub fn drop_group(&mut self, sequence: Sequence) {
        let own = self.own.clone();
        self.change(&own, |queue| queue.drop_group(sequence));
    }

    /// Takes a copy of a group of another origin. False when the backlog is at its bound, or the
    /// group claims to be this ledger's own.
    pub fn hold_group(&mut self, origin: &OriginId, group: HeldGroup, now: Timestamp) -> bool {
        if *origin == self.own.origin || self.bytes() + group.bytes() > self.bound {
            return false;
        }
        let queue = self.queue(QueueId::of(origin), now);
        queue.heard_at = now;
        queue.put_group(group, true);
        true
    }

    /// Takes a copy of a run of which another ledger is the keeper. False when the backlog is at
    /// its bound.
    pub fn hold_run(&mut self, queue: &QueueId, run: HeldRun, now: Timestamp) -> bool {
        if self.bytes() + run.bytes() > self.bound {
            return false;
        }
        let queue = self.queue(queue.clone(), now);
        queue.heard_at = now;
        queue.put_run(Arc::new(run), None);
        true
    }

    /// Takes in how far an origin is.
    pub fn apply_progress(&mut self, progress: &OriginProgress, now: Timestamp) {
        self.change(&progress.queue, |queue| {
            queue.heard_at = now;
            if let Some(end) = progress.flushed_to {
                queue.drop_to(end);
            }
            if let Some(end) = progress.sealed_to {
                queue.seal_to(end);
            }
        });
    }

    /// Seals the groups of the origins that this ledger writes for.
    pub fn seal(&mut self, now: Timestamp) {
        let end = Sequence::new(u64::MAX);
        let (own, leaving) = (&self.own, self.leaving);
        let queues = self.queues.iter_mut();
        let mine = queues.filter(|(id, queue)| leaving || is_mine(own, id, queue, now));
        mine.for_each(|(_, queue)| queue.seal_to(end));
    }

    /// The oldest run that this ledger should write, its own first.
    #[must_use]
    pub fn oldest_run(&self, now: Timestamp) -> Option<RunTicket> {
        let own = self.queues.get_key_value(&self.own);
        let mut candidates = own.into_iter().chain(self.mine(now));
        candidates.find_map(|(id, queue)| {
            let (number, run) = queue.oldest_run()?;
            Some(RunTicket { queue: id.clone(), number, run })
        })
    }

    /// Seals the groups of an origin of which one has no copy on a live ledger, so that they
    /// are copied again as runs.
    pub fn seal_unreplicated(&mut self, now: Timestamp, live: &dyn Fn(&OriginId) -> bool) {
        let end = Sequence::new(u64::MAX);
        let (own, leaving) = (&self.own, self.leaving);
        for (id, queue) in &mut self.queues {
            let mine = leaving || is_mine(own, id, queue, now);
            if mine && queue.has_bare_group(live) {
                queue.seal_to(end);
            }
        }
    }

    /// Makes everything that is held this ledger's to write or to hand on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Drops a run that is in the table.
    pub fn drop_run(&mut self, queue: &QueueId, number: u64) {
        self.change(queue, |queue| queue.drop_run(number));
    }

    /// Runs that this ledger should write and that no live ledger has a copy of.
    #[must_use]
    pub fn unreplicated_runs(
        &self,
        now: Timestamp,
        live: &dyn Fn(&OriginId) -> bool,
        limit: usize,
    ) -> Vec<RunTicket> {
        let runs = self.mine(now).flat_map(|(id, queue)| {
            queue.unreplicated_runs(live).map(move |(number, run)| RunTicket {
                queue: id.clone(),
                number,
                run,
            })
        });
        runs.take(limit).collect()
    }

    /// Notes that `backup` holds a copy of a run.
    pub fn set_run_backup(&mut self, queue: &QueueId, number: u64, backup: OriginId) {
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.set_run_backup(number, backup);
        }
    }

    /// What to tell to which ledgers about the origins that this ledger writes for; its own first.
    #[must_use]
    pub fn progress_reports(&self, now: Timestamp) -> Vec<(BTreeSet<OriginId>, OriginProgress)> {
        let own = self.queues.get(&self.own);
        let own_report = OriginProgress {
            queue: self.own.clone(),
            sealed_to: own.and_then(OriginQueue::sealed_to),
            flushed_to: self.flushed_to(),
        };
        let mut reports = vec![(own.map(backups_of).unwrap_or_default(), own_report)];
        for (id, queue) in self.mine(now).filter(|(id, _)| **id != self.own) {
            let queue_id = self.replica_queue_id(id);
            let progress = OriginProgress { queue: queue_id, sealed_to: None, flushed_to: None };
            reports.push((backups_of(queue), progress));
        }
        reports
    }

    /// The last own group such that it and all before it are in the table.
    #[must_use]
    pub fn flushed_to(&self) -> Option<Sequence> {
        let lowest = self.queues.get(&self.own).and_then(OriginQueue::lowest);
        let next = lowest.unwrap_or(self.next).get();
        next.checked_sub(1).filter(|&done| done > 0).map(Sequence::new)
    }

    /// The shelf on which others hold copies of what this ledger has on `shelf` and writes.
    #[must_use]
    pub fn replica_queue_id(&self, queue: &QueueId) -> QueueId {
        QueueId { origin: queue.origin.clone(), owner: self.own.owner.clone() }
    }

    fn mine(&self, now: Timestamp) -> impl Iterator<Item = (&QueueId, &OriginQueue)> {
        self.queues
            .iter()
            .filter(move |(id, queue)| self.leaving || is_mine(&self.own, id, queue, now))
    }

    fn queue(&mut self, id: QueueId, now: Timestamp) -> &mut OriginQueue {
        self.queues.entry(id).or_insert_with(|| OriginQueue::new(now))
    }

    fn change(&mut self, id: &QueueId, change: impl FnOnce(&mut OriginQueue)) {
        let Some(queue) = self.queues.get_mut(id) else { return };
        change(queue);
        if queue.is_empty() {
            self.queues.remove(id);
        }
    }
}

fn is_mine(own: &QueueId, id: &QueueId, queue: &OriginQueue, now: Timestamp) -> bool {
    id == own || now.since(queue.heard_at) >= ORIGIN_SILENCE
}

fn backups_of(queue: &OriginQueue) -> BTreeSet<OriginId> {
    queue.backups().cloned().collect()
}
