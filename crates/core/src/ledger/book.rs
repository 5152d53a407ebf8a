//! What one ledger holds: its own records on their way to the table, and copies for others.

use super::keys::{OriginId, ShelfId};
use super::run::{HeldGroup, HeldRun, record_bytes};
use super::shelf::OriginShelf;
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
pub const ROOM_PERCENT: usize = 90;

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
    pub shelf: ShelfId,
    /// Number of the run on its shelf.
    pub number: u64,
    /// The run.
    pub run: Arc<HeldRun>,
}

/// How far a ledger is with a shelf, told to the ledgers that hold copies of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginProgress {
    /// The shelf.
    pub shelf: ShelfId,
    /// Groups up to this one were sealed into runs.
    pub sealed_to: Option<Sequence>,
    /// Groups up to this one are in the table; only the origin itself says so.
    pub flushed_to: Option<Sequence>,
}

/// The state of one ledger's batching.
///
/// ```
/// use oleander_core::ledger::book::LedgerBook;
/// use oleander_core::ledger::keys::OriginId;
///
/// let host = "host-1.ledger".parse().unwrap();
/// let book = LedgerBook::new(OriginId { host, incarnation: Default::default() }, 1024);
/// assert!(book.has_room());
/// ```
pub struct LedgerBook {
    own: ShelfId,
    bound: usize,
    next: Sequence,
    open: Vec<UsageRecord>,
    open_bytes: usize,
    shelves: BTreeMap<ShelfId, OriginShelf>,
    leaving: bool,
}

impl LedgerBook {
    /// An empty book that holds at most `bound` bytes.
    #[must_use]
    pub fn new(own: OriginId, bound: usize) -> Self {
        Self {
            own: ShelfId::of(&own),
            bound,
            next: Sequence::new(1),
            open: Vec::new(),
            open_bytes: 0,
            shelves: BTreeMap::new(),
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
        self.open_bytes + self.shelves.values().map(|shelf| shelf.bytes).sum::<usize>()
    }

    /// Whether new requests may be admitted.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.bytes() < self.bound / 100 * ROOM_PERCENT
    }

    /// Whether nothing is held, neither of its own nor for others.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.shelves.is_empty()
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
        self.shelf(own, now).put_group(group.clone(), false);
        Some(group)
    }

    /// Notes where the copy of an own group is; `None` when no ledger has one.
    pub fn settle_group(&mut self, sequence: Sequence, backup: Option<OriginId>) {
        if let Some(shelf) = self.shelves.get_mut(&self.own) {
            shelf.settle_group(sequence, backup);
        }
    }

    /// Drops an own group that is in the table.
    pub fn drop_group(&mut self, sequence: Sequence) {
        let own = self.own.clone();
        self.change(&own, |shelf| shelf.drop_group(sequence));
    }

    /// Takes a copy of a group of another origin. False when the backlog is at its bound, or the
    /// group claims to be this ledger's own.
    pub fn hold_group(&mut self, origin: &OriginId, group: HeldGroup, now: Timestamp) -> bool {
        if *origin == self.own.origin || self.bytes() + group.bytes() > self.bound {
            return false;
        }
        let shelf = self.shelf(ShelfId::of(origin), now);
        shelf.heard_at = now;
        shelf.put_group(group, true);
        true
    }

    /// Takes a copy of a run of which another ledger is the keeper. False when the backlog is at
    /// its bound.
    pub fn hold_run(&mut self, shelf: &ShelfId, run: HeldRun, now: Timestamp) -> bool {
        if self.bytes() + run.bytes() > self.bound {
            return false;
        }
        let shelf = self.shelf(shelf.clone(), now);
        shelf.heard_at = now;
        shelf.put_run(Arc::new(run), None);
        true
    }

    /// Takes in how far an origin is.
    pub fn progress(&mut self, progress: &OriginProgress, now: Timestamp) {
        self.change(&progress.shelf, |shelf| {
            shelf.heard_at = now;
            if let Some(end) = progress.flushed_to {
                shelf.drop_to(end);
            }
            if let Some(end) = progress.sealed_to {
                shelf.seal_to(end);
            }
        });
    }

    /// Seals the groups of the origins that this ledger writes for.
    pub fn seal(&mut self, now: Timestamp) {
        let end = Sequence::new(u64::MAX);
        let (own, leaving) = (&self.own, self.leaving);
        let shelves = self.shelves.iter_mut();
        let mine = shelves.filter(|(id, shelf)| leaving || is_mine(own, id, shelf, now));
        mine.for_each(|(_, shelf)| shelf.seal_to(end));
    }

    /// The oldest run that this ledger should write, its own first.
    #[must_use]
    pub fn oldest_run(&self, now: Timestamp) -> Option<RunTicket> {
        let own = self.shelves.get_key_value(&self.own);
        let mut candidates = own.into_iter().chain(self.mine(now));
        candidates.find_map(|(id, shelf)| {
            let (number, run) = shelf.oldest_run()?;
            Some(RunTicket { shelf: id.clone(), number, run })
        })
    }

    /// Seals the groups of an origin of which one has no copy on a live ledger, so that they
    /// are copied again as runs.
    pub fn seal_unprotected(&mut self, now: Timestamp, live: &dyn Fn(&OriginId) -> bool) {
        let end = Sequence::new(u64::MAX);
        let (own, leaving) = (&self.own, self.leaving);
        for (id, shelf) in &mut self.shelves {
            let mine = leaving || is_mine(own, id, shelf, now);
            if mine && shelf.has_bare_group(live) {
                shelf.seal_to(end);
            }
        }
    }

    /// Makes everything that is held this ledger's to write or to hand on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Drops a run that is in the table.
    pub fn drop_run(&mut self, shelf: &ShelfId, number: u64) {
        self.change(shelf, |shelf| shelf.drop_run(number));
    }

    /// Runs that this ledger should write and that no live ledger has a copy of.
    #[must_use]
    pub fn unprotected(
        &self,
        now: Timestamp,
        live: &dyn Fn(&OriginId) -> bool,
        limit: usize,
    ) -> Vec<RunTicket> {
        let runs = self.mine(now).flat_map(|(id, shelf)| {
            shelf.unprotected(live).map(move |(number, run)| RunTicket {
                shelf: id.clone(),
                number,
                run,
            })
        });
        runs.take(limit).collect()
    }

    /// Notes that `backup` holds a copy of a run.
    pub fn settle_run(&mut self, shelf: &ShelfId, number: u64, backup: OriginId) {
        if let Some(shelf) = self.shelves.get_mut(shelf) {
            shelf.settle_run(number, backup);
        }
    }

    /// What to tell to which ledgers about the origins that this ledger writes for; its own first.
    #[must_use]
    pub fn progress_reports(&self, now: Timestamp) -> Vec<(BTreeSet<OriginId>, OriginProgress)> {
        let own = self.shelves.get(&self.own);
        let own_report = OriginProgress {
            shelf: self.own.clone(),
            sealed_to: own.and_then(OriginShelf::sealed_to),
            flushed_to: self.flushed_to(),
        };
        let mut reports = vec![(own.map(backups_of).unwrap_or_default(), own_report)];
        for (id, shelf) in self.mine(now).filter(|(id, _)| **id != self.own) {
            let shelf_id = self.kept_as(id);
            let progress = OriginProgress { shelf: shelf_id, sealed_to: None, flushed_to: None };
            reports.push((backups_of(shelf), progress));
        }
        reports
    }

    /// The last own group such that it and all before it are in the table.
    #[must_use]
    pub fn flushed_to(&self) -> Option<Sequence> {
        let lowest = self.shelves.get(&self.own).and_then(OriginShelf::lowest);
        let next = lowest.unwrap_or(self.next).get();
        next.checked_sub(1).filter(|&done| done > 0).map(Sequence::new)
    }

    /// The shelf on which others hold copies of what this ledger has on `shelf` and writes.
    #[must_use]
    pub fn kept_as(&self, shelf: &ShelfId) -> ShelfId {
        ShelfId { origin: shelf.origin.clone(), keeper: self.own.keeper.clone() }
    }

    fn mine(&self, now: Timestamp) -> impl Iterator<Item = (&ShelfId, &OriginShelf)> {
        self.shelves
            .iter()
            .filter(move |(id, shelf)| self.leaving || is_mine(&self.own, id, shelf, now))
    }

    fn shelf(&mut self, id: ShelfId, now: Timestamp) -> &mut OriginShelf {
        self.shelves.entry(id).or_insert_with(|| OriginShelf::new(now))
    }

    fn change(&mut self, id: &ShelfId, change: impl FnOnce(&mut OriginShelf)) {
        let Some(shelf) = self.shelves.get_mut(id) else { return };
        change(shelf);
        if shelf.is_empty() {
            self.shelves.remove(id);
        }
    }
}

fn is_mine(own: &ShelfId, id: &ShelfId, shelf: &OriginShelf, now: Timestamp) -> bool {
    id == own || now.since(shelf.heard_at) >= ORIGIN_SILENCE
}

fn backups_of(shelf: &OriginShelf) -> BTreeSet<OriginId> {
    shelf.backups().cloned().collect()
}
