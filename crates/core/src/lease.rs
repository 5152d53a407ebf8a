//! A lease in the platform's table: at most one holder at a time, with a fencing number.
//!
//! A lease consists of two rows. `lease/{name}` names the holder and is written by every renewal;
//! `lease/{name}/fence` holds the fencing number and is written only when the holder changes.
//! A write that must not be applied late is conditional on the version of the fence row, so that it
//! fails once the holder has changed, no matter how long the sender was paused.
//!
//! Clocks of different hosts are never compared: the holder measures the term from before it sent
//! its write, other hosts measure it from when they first read the current row.

use crate::ids::{FencingNumber, HostId};
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Timing of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time after which other hosts may acquire a lease that was not renewed.
    pub term: Duration,
    /// Safety margin: the holder stops acting this long before the end of the term.
    pub margin: Duration,
    /// Interval between renewals.
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
    /// Holder of the lease.
    pub holder: HostId,
    /// Fencing number of the holder.
    pub fencing: FencingNumber,
    /// Unique id of the write, so that a read shows whether a write with a lost reply was applied.
    pub write_id: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// Result of a read: the lease row with its version, and the version of the fence row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseReading {
    /// The lease row and its version; `None` if it does not exist.
    pub row: Option<(LeaseRow, u64)>,
    /// Version of the fence row; `None` if it does not exist.
    pub fence_version: Option<u64>,
}

/// The next action of a [`LeaseManager`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Do nothing until the next step.
    Wait,
    /// Read both rows.
    Read,
    /// Write `row` on the condition that the lease row is still at `row_version`. When `acquires`
    /// is set, the fence row must still be at `fence_version` and is written too.
    Write {
        /// The row to write.
        row: LeaseRow,
        /// Expected version of the lease row; `None` if the row must not exist.
        row_version: Option<u64>,
        /// Expected version of the fence row; `None` if the row must not exist.
        fence_version: Option<u64>,
        /// Whether the holder changes.
        acquires: bool,
    },
}

/// Permission to act as the holder, until the lease expires by the holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGuard {
    /// Fencing number to send with orders.
    pub fencing: FencingNumber,
    /// Version of the fence row, to use as a condition of writes.
    pub fence_version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ObservedRows {
    reading: LeaseReading,
    unchanged_since: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingWrite {
    row: LeaseRow,
    sent_at: Timestamp,
}

/// Decides when to acquire, renew and release one lease.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    host: HostId,
    times: LeaseTimes,
    observed: Option<ObservedRows>,
    pending: Option<PendingWrite>,
    held_from: Option<Timestamp>,
    last_read: Option<Timestamp>,
    must_read: bool,
}

impl LeaseManager {
    /// Starts without the lease.
    #[must_use]
    pub const fn new(host: HostId, times: LeaseTimes) -> Self {
        let (observed, pending, held_from, last_read) = (None, None, None, None);
        Self { host, times, observed, pending, held_from, last_read, must_read: false }
    }

    /// The guard, if the lease is held and has not expired by the holder's own clock.
    #[must_use]
    pub fn guard(&self, now: Timestamp) -> Option<LeaseGuard> {
        let held_from = self.held_from?;
        if now < held_from || now.since(held_from) >= self.times.term - self.times.margin {
            return None;
        }
        let reading = &self.observed.as_ref()?.reading;
        let (row, _) = reading.row.as_ref()?;
        Some(LeaseGuard { fencing: row.fencing, fence_version: reading.fence_version? })
    }

    /// The guard, and the time at which it expires by the holder's own clock.
    #[must_use]
    pub fn held_until(&self, now: Timestamp) -> Option<(LeaseGuard, Timestamp)> {
        let expires_at = self.held_from? + (self.times.term - self.times.margin);
        Some((self.guard(now)?, expires_at))
    }

    /// Returns the next action. `write_id` is the id of the write that may be returned; it must be
    /// unique.
    pub fn step(&mut self, now: Timestamp, write_id: u64) -> LeaseAction {
        let Some(observed) = &self.observed else { return self.read(now) };
        if self.pending.is_some() || self.must_read {
            return self.read(now);
        }
        let holds = self.guard(now).is_some();
        if holds {
            let held_from = self.held_from.unwrap_or(now);
            let renewal_due = now.since(held_from) >= self.times.renewal;
            return if renewal_due { self.write(now, write_id, false) } else { LeaseAction::Wait };
        }
        if self.held_from.take().is_some() {
            return self.read(now);
        }
        if may_acquire(observed, self.times.term, now) {
            return self.write(now, write_id, true);
        }
        let read_recently = self.last_read.is_some_and(|at| now.since(at) < self.times.renewal);
        if read_recently { LeaseAction::Wait } else { self.read(now) }
    }

    /// Handles the result of a read that was requested at `requested_at`.
    pub fn on_read(&mut self, reading: LeaseReading, requested_at: Timestamp) {
        self.must_read = false;
        if let Some(pending) = self.pending.take()
            && was_applied(&reading, &pending.row)
        {
            self.held_from = Some(pending.sent_at);
        }
        let row_version =
            |reading: &LeaseReading| reading.row.as_ref().map(|(_, version)| *version);
        let unchanged_since = match &self.observed {
            Some(known) if row_version(&known.reading) == row_version(&reading) => {
                known.unchanged_since
            }
            _ => requested_at,
        };
        let held_here = reading.row.as_ref().is_some_and(|(row, _)| row.holder == self.host);
        if !held_here {
            self.held_from = None;
        }
        self.observed = Some(ObservedRows { reading, unchanged_since });
    }

    /// Handles that the pending write was not applied, because of a conflict or because it was not
    /// sent.
    pub fn on_refused(&mut self) {
        self.pending = None;
        self.must_read = true;
    }

    /// The row that releases the lease, with the version that it replaces, if the lease is held.
    pub fn release(&mut self, now: Timestamp, write_id: u64) -> Option<(LeaseRow, u64)> {
        self.guard(now)?;
        self.held_from = None;
        let (row, version) = self.observed.as_ref()?.reading.row.clone()?;
        Some((LeaseRow { write_id, released: true, ..row }, version))
    }

    fn read(&mut self, now: Timestamp) -> LeaseAction {
        self.last_read = Some(now);
        LeaseAction::Read
    }

    fn write(&mut self, now: Timestamp, write_id: u64, acquires: bool) -> LeaseAction {
        let reading = self.observed.as_ref().map(|observed| observed.reading.clone());
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

/// Whether the lease may be acquired: there is no row, it was released, or the row has not changed
/// for a term.
fn may_acquire(observed: &ObservedRows, term: Duration, now: Timestamp) -> bool {
    match &observed.reading.row {
        None => true,
        Some((row, _)) if row.released => true,
        Some(_) => now.since(observed.unchanged_since) >= term,
    }
}

fn was_applied(reading: &LeaseReading, row: &LeaseRow) -> bool {
    reading.row.as_ref().is_some_and(|(found, _)| found == row)
}
