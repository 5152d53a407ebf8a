//! Backlog of one ledger: its own records before they are flushed to the table, and copies that it
//! holds for other ledgers.

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

/// Time without a message from an owner after which a ledger flushes its copies of the owner's
/// records itself.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(15);
/// Size from which an open group is closed without waiting for the grouping time, in bytes.
pub const MAX_GROUP_BYTES: usize = 1024 * 1024;
/// Fill level of the backlog, in percent, from which no new request is admitted. The rest is
/// reserved for requests in flight.
pub const ADMISSION_FILL_PERCENT: usize = 90;

/// Result of offering a record to the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The backlog is full; the record was not added.
    Full,
    /// It opened a group; the caller closes the group after the grouping time.
    Opened,
    /// It was added to the open group.
    Joined,
    /// The group reached its maximum size; the caller closes it now.
    Large,
}

/// A run that a ledger holds.
#[derive(Clone, Debug)]
pub struct RunTicket {
    /// The queue that holds it.
    pub queue: QueueId,
    /// Number of the run in its queue.
    pub number: u64,
    /// The run.
    pub run: Arc<HeldRun>,
}

/// Progress of a ledger with a queue, reported to the ledgers that hold copies of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginProgress {
    /// The queue.
    // Serialized name of the field; the postcard encoding does not hold it.
    #[serde(rename = "shelf")]
    pub queue: QueueId,
    /// Groups up to this one are sealed into runs.
    pub sealed_to: Option<Sequence>,
    /// Groups up to this one are in the table; reported only by the origin itself.
    pub flushed_to: Option<Sequence>,
}

/// Backlog of one ledger.
///
/// ```
/// use oleander_core::ledger::backlog::LedgerBacklog;
/// use oleander_core::ledger::keys::OriginId;
///
/// let host = "host-1.ledger".parse().unwrap();
/// let backlog = LedgerBacklog::new(OriginId { host, incarnation: Default::default() }, 1024);
/// assert!(backlog.has_room());
/// ```
pub struct LedgerBacklog {
    own: QueueId,
    max_bytes: usize,
    next: Sequence,
    open: Vec<UsageRecord>,
    open_bytes: usize,
    queues: BTreeMap<QueueId, OriginQueue>,
    leaving: bool,
}

impl LedgerBacklog {
    /// An empty backlog that holds at most `max_bytes`.
    #[must_use]
    pub fn new(own: OriginId, max_bytes: usize) -> Self {
        Self {
            own: QueueId::of(&own),
            max_bytes,
            next: Sequence::new(1),
            open: Vec::new(),
            open_bytes: 0,
            queues: BTreeMap::new(),
            leaving: false,
        }
    }

    /// The origin id of this ledger.
    #[must_use]
    pub fn own(&self) -> &OriginId {
        &self.own.origin
    }

    /// Size of everything held, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.open_bytes + self.queues.values().map(|queue| queue.bytes).sum::<usize>()
    }

    /// Whether the backlog has room to admit new requests.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.bytes() < self.max_bytes / 100 * ADMISSION_FILL_PERCENT
    }

    /// Whether nothing is held, neither own records nor copies.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.queues.is_empty()
    }

    /// Adds a record to the open group.
    pub fn offer(&mut self, record: UsageRecord) -> OfferOutcome {
        let bytes = record_bytes(&record);
        if self.bytes() + bytes > self.max_bytes {
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

    /// Closes the open group and assigns its sequence number. `None` when it is empty.
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

    /// Records which ledger holds the copy of an own group (`None` for no ledger) and allows the
    /// group to be sealed.
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

    /// Stores a copy of a group of another origin. Returns false when the backlog is full or the
    /// origin is this ledger.
    pub fn hold_group(&mut self, origin: &OriginId, group: HeldGroup, now: Timestamp) -> bool {
        if *origin == self.own.origin || self.bytes() + group.bytes() > self.max_bytes {
            return false;
        }
        let queue = self.queue(QueueId::of(origin), now);
        queue.heard_at = now;
        queue.put_group(group, true);
        true
    }

    /// Stores a copy of a run that another ledger owns. Returns false when the backlog is full.
    pub fn hold_run(&mut self, queue: &QueueId, run: HeldRun, now: Timestamp) -> bool {
        if self.bytes() + run.bytes() > self.max_bytes {
            return false;
        }
        let queue = self.queue(queue.clone(), now);
        queue.heard_at = now;
        queue.put_run(Arc::new(run), None);
        true
    }

    /// Applies a progress report: drops what the origin has flushed and seals what it has sealed.
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

    /// Seals the groups of every queue that this ledger flushes.
    pub fn seal(&mut self, now: Timestamp) {
        let end = Sequence::new(u64::MAX);
        let (own, leaving) = (&self.own, self.leaving);
        let queues = self.queues.iter_mut();
        let flushed_here =
            queues.filter(|(id, queue)| leaving || is_flushed_here(own, id, queue, now));
        flushed_here.for_each(|(_, queue)| queue.seal_to(end));
    }

    /// The oldest run that this ledger should flush, own runs first.
    #[must_use]
    pub fn oldest_run(&self, now: Timestamp) -> Option<RunTicket> {
        let own = self.queues.get_key_value(&self.own);
        let mut candidates = own.into_iter().chain(self.flushed_here(now));
        candidates.find_map(|(id, queue)| {
            let (number, run) = queue.oldest_run()?;
            Some(RunTicket { queue: id.clone(), number, run })
        })
    }

    /// Seals the groups of each queue in which a group has no copy on a live ledger, so that they
    /// are replicated again as runs.
    pub fn seal_unreplicated(&mut self, now: Timestamp, live: &dyn Fn(&OriginId) -> bool) {
        let end = Sequence::new(u64::MAX);
        let (own, leaving) = (&self.own, self.leaving);
        for (id, queue) in &mut self.queues {
            let flushed_here = leaving || is_flushed_here(own, id, queue, now);
            if flushed_here && queue.has_unreplicated_group(live) {
                queue.seal_to(end);
            }
        }
    }

    /// Makes this ledger responsible for flushing or handing over everything that it holds, because
    /// it is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Drops a run that is in the table.
    pub fn drop_run(&mut self, queue: &QueueId, number: u64) {
        self.change(queue, |queue| queue.drop_run(number));
    }

    /// At most `limit` runs that this ledger should flush and of which no live ledger holds a copy.
    #[must_use]
    pub fn unreplicated_runs(
        &self,
        now: Timestamp,
        live: &dyn Fn(&OriginId) -> bool,
        limit: usize,
    ) -> Vec<RunTicket> {
        let runs = self.flushed_here(now).flat_map(|(id, queue)| {
            queue.unreplicated_runs(live).map(move |(number, run)| RunTicket {
                queue: id.clone(),
                number,
                run,
            })
        });
        runs.take(limit).collect()
    }

    /// Records that `backup` holds a copy of a run.
    pub fn set_run_backup(&mut self, queue: &QueueId, number: u64, backup: OriginId) {
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.set_run_backup(number, backup);
        }
    }

    /// Progress reports for the queues that this ledger flushes, each with the ledgers to send it
    /// to; its own queue first.
    #[must_use]
    pub fn progress_reports(&self, now: Timestamp) -> Vec<(BTreeSet<OriginId>, OriginProgress)> {
        let own = self.queues.get(&self.own);
        let own_report = OriginProgress {
            queue: self.own.clone(),
            sealed_to: own.and_then(OriginQueue::sealed_to),
            flushed_to: self.flushed_to(),
        };
        let mut reports = vec![(own.map(backups_of).unwrap_or_default(), own_report)];
        for (id, queue) in self.flushed_here(now).filter(|(id, _)| **id != self.own) {
            let queue_id = self.replica_queue_id(id);
            let progress = OriginProgress { queue: queue_id, sealed_to: None, flushed_to: None };
            reports.push((backups_of(queue), progress));
        }
        reports
    }

    /// Sequence number up to which all own groups are in the table.
    #[must_use]
    pub fn flushed_to(&self) -> Option<Sequence> {
        let lowest = self.queues.get(&self.own).and_then(OriginQueue::lowest);
        let next = lowest.unwrap_or(self.next).get();
        next.checked_sub(1).filter(|&done| done > 0).map(Sequence::new)
    }

    /// The queue in which other ledgers hold copies of what this ledger flushes from `queue`.
    #[must_use]
    pub fn replica_queue_id(&self, queue: &QueueId) -> QueueId {
        QueueId { origin: queue.origin.clone(), owner: self.own.owner.clone() }
    }

    fn flushed_here(&self, now: Timestamp) -> impl Iterator<Item = (&QueueId, &OriginQueue)> {
        self.queues
            .iter()
            .filter(move |(id, queue)| self.leaving || is_flushed_here(&self.own, id, queue, now))
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

fn is_flushed_here(own: &QueueId, id: &QueueId, queue: &OriginQueue, now: Timestamp) -> bool {
    id == own || now.since(queue.heard_at) >= OWNER_TIMEOUT
}

fn backups_of(queue: &OriginQueue) -> BTreeSet<OriginId> {
    queue.backups().cloned().collect()
}
