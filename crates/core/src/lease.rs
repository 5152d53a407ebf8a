//! A lease in the platform's table: one holder at a time, with a fencing number.
//!
//! Two rows make a lease. `lease/{name}` names the holder and is written by every renewal;
//! `lease/{name}/fence` holds the fencing number and is written only when the holder changes.
//! A write that must not come late has the fence row's version among its conditions, so that it
//! fails once another holder came, however long its sender was paused.
//!
//! Nobody compares clocks: the holder counts from the moment before it sent its write, others
//! count from the moment at which they first saw the row unchanged.

use crate::ids::{FencingNumber, HostId};
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time after which others may take a lease that was not renewed.
    pub term: Duration,
    /// Time before the end of the term at which the holder itself stops acting.
    pub margin: Duration,
    /// Time between renewals.
    pub renewal: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(10),
            margin: Duration::from_secs(3),
            renewal: Duration::from_secs(2),
        }
    }
}

/// The row `lease/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds the lease.
    pub holder: HostId,
    /// Fencing number of the holder.
    pub fencing: FencingNumber,
    /// Names the write, so that a lost reply can be settled by reading.
    pub write_id: u64,
    /// Set when the holder gave the lease up.
    pub released: bool,
}

/// What was read: the row, its version, and the version of the fence row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseReading {
    /// The row and its version; `None` when there is none.
    pub row: Option<(LeaseRow, u64)>,
    /// Version of the fence row; `None` when there is none.
    pub fence_version: Option<u64>,
}

/// What to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing before the next step.
    Wait,
    /// Read both rows.
    Read,
    /// Write `row` if the lease row is still at `row_version` and, when `acquires`, the fence row
    /// at `fence_version`, which is written too.
    Write {
        /// The row to write.
        row: LeaseRow,
        /// Version of the lease row that must still be there; `None` for no row.
        row_version: Option<u64>,
        /// Version of the fence row that must still be there; `None` for no row.
        fence_version: Option<u64>,
        /// Whether the holder changes.
        acquires: bool,
    },
}

/// The right to act, until its holder judges it lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGuard {
    /// Fencing number, sent with orders.
    pub fencing: FencingNumber,
    /// Version of the fence row, for conditions of writes.
    pub fence_version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Watched {
    reading: LeaseReading,
    unchanged_since: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingWrite {
    row: LeaseRow,
    sent_at: Timestamp,
}

/// Decides when to take, renew and give up one lease.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    host: HostId,
    times: LeaseTimes,
    watched: Option<Watched>,
    pending: Option<PendingWrite>,
    held_from: Option<Timestamp>,
    last_read: Option<Timestamp>,
    stale: bool,
}

impl LeaseManager {
    /// Holds nothing.
    #[must_use]
    pub const fn new(host: HostId, times: LeaseTimes) -> Self {
        let (watched, pending, held_from, last_read) = (None, None, None, None);
        Self { host, times, watched, pending, held_from, last_read, stale: false }
    }

    /// The right to act now, if the lease is held and has not lapsed by the holder's own clock.
    #[must_use]
    pub fn guard(&self, now: Timestamp) -> Option<LeaseGuard> {
        let held_from = self.held_from?;
        if now < held_from || now.since(held_from) >= self.times.term - self.times.margin {
            return None;
        }
        let reading = &self.watched.as_ref()?.reading;
        let (row, _) = reading.row.as_ref()?;
        Some(LeaseGuard { fencing: row.fencing, fence_version: reading.fence_version? })
    }

    /// The right to act and the time at which it lapses by the holder's own clock.
    #[must_use]
    pub fn held_until(&self, now: Timestamp) -> Option<(LeaseGuard, Timestamp)> {
        let lapses = self.held_from? + (self.times.term - self.times.margin);
        Some((self.guard(now)?, lapses))
    }

    /// What to do now. `write_id` names the write that may be returned; it must be fresh.
    pub fn step(&mut self, now: Timestamp, write_id: u64) -> LeaseAction {
        let Some(watched) = &self.watched else { return self.read(now) };
        if self.pending.is_some() || self.stale {
            return self.read(now);
        }
        let holds = self.guard(now).is_some();
        if holds {
            let held_from = self.held_from.unwrap_or(now);
            let due = now.since(held_from) >= self.times.renewal;
            return if due { self.write(now, write_id, false) } else { LeaseAction::Wait };
        }
        if self.held_from.take().is_some() {
            return self.read(now);
        }
        if may_take(watched, self.times.term, now) {
            return self.write(now, write_id, true);
        }
        let read_lately = self.last_read.is_some_and(|at| now.since(at) < self.times.renewal);
        if read_lately { LeaseAction::Wait } else { self.read(now) }
    }

    /// Takes in what was read, asked for at `asked_at`.
    pub fn on_read(&mut self, reading: LeaseReading, asked_at: Timestamp) {
        self.stale = false;
        if let Some(pending) = self.pending.take()
            && is_same_write(&reading, &pending.row)
        {
            self.held_from = Some(pending.sent_at);
        }
        let row_version =
            |reading: &LeaseReading| reading.row.as_ref().map(|(_, version)| *version);
        let unchanged_since = match &self.watched {
            Some(known) if row_version(&known.reading) == row_version(&reading) => {
                known.unchanged_since
            }
            _ => asked_at,
        };
        let ours = reading.row.as_ref().is_some_and(|(row, _)| row.holder == self.host);
        if !ours {
            self.held_from = None;
        }
        self.watched = Some(Watched { reading, unchanged_since });
    }

    /// Takes in that the pending write did not apply: another came first, or nothing was sent.
    pub fn on_refused(&mut self) {
        self.pending = None;
        self.stale = true;
    }

    /// The row that gives the lease up, with the version it replaces, when it is held.
    pub fn release(&mut self, now: Timestamp, write_id: u64) -> Option<(LeaseRow, u64)> {
        self.guard(now)?;
        self.held_from = None;
        let (row, version) = self.watched.as_ref()?.reading.row.clone()?;
        Some((LeaseRow { write_id, released: true, ..row }, version))
    }

    fn read(&mut self, now: Timestamp) -> LeaseAction {
        self.last_read = Some(now);
        LeaseAction::Read
    }

    fn write(&mut self, now: Timestamp, write_id: u64, acquires: bool) -> LeaseAction {
        let reading = self.watched.as_ref().map(|watched| watched.reading.clone());
        let (known, fence_version) =
            reading.map_or((None, None), |reading| (reading.row, reading.fence_version));
        let fencing = known.as_ref().map_or(FencingNumber::new(0), |(row, _)| row.fencing);
        let fencing = if acquires { fencing.next() } else { fencing };
        let row = LeaseRow { holder: self.host.clone(), fencing, write_id, released: false };
        self.pending = Some(PendingWrite { row: row.clone(), sent_at: now });
        let row_version = known.map(|(_, version)| version);
        LeaseAction::Write { row, row_version, fence_version, acquires }
    }
}

/// Whether the row may be taken: there is none, it was released, or it stood still for a term.
fn may_take(watched: &Watched, term: Duration, now: Timestamp) -> bool {
    match &watched.reading.row {
        None => true,
        Some((row, _)) if row.released => true,
        Some(_) => now.since(watched.unchanged_since) >= term,
    }
}

fn is_same_write(reading: &LeaseReading, row: &LeaseRow) -> bool {
    reading.row.as_ref().is_some_and(|(found, _)| found == row)
}
