//! Flushes the backlog of a ledger to the table and keeps unflushed runs replicated.

use crate::backlog_actor::{
    BacklogActor, BeginLeave, IsEmpty, ListProgress, ListUnreplicated, NextRun, RunCopied,
    RunWritten,
};
use crate::group_replicator::GroupReplicator;
use crate::metrics::LedgerMetrics;
use crate::table_writer::TableWriter;
use crate::wire::BatchCall;
use kameo::prelude::*;
use oleander_core::ledger::backlog::RunTicket;
use oleander_core::ledger::keys::OriginId;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum backoff between flush attempts while the table is unavailable.
pub const MAX_FLUSH_BACKOFF: Duration = Duration::from_secs(8);
/// Interval at which new groups are sealed into a run while older runs wait for the table.
pub const SEAL_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum rate at which all ledgers together flush a backlog, in rows per second.
pub const DRAIN_ROWS_PER_SECOND: f64 = 200.0;
/// Time after which a round of writes ends, so that replication and progress reports are not
/// delayed.
pub const MAX_WRITE_ROUND: Duration = Duration::from_secs(4);
/// Maximum number of runs that are replicated again in one round.
pub const MAX_RECOPIES: usize = 16;

/// Time limit for the hand-over of a stopping ledger.
pub const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(20);

const HAND_OVER_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const MAX_DOUBLINGS: u32 = 6;

/// Flushes runs in rounds.
pub struct FlushLoop {
    backlog: ActorRef<BacklogActor>,
    replicator: GroupReplicator,
    writer: TableWriter,
    metrics: Arc<LedgerMetrics>,
    interval: Duration,
    failures: u32,
    reported_to: BTreeSet<OriginId>,
    sealed_at: Instant,
    leaving: bool,
}

impl FlushLoop {
    /// A loop with one round per `interval`.
    #[must_use]
    pub fn new(
        backlog: ActorRef<BacklogActor>,
        replicator: GroupReplicator,
        writer: TableWriter,
        metrics: Arc<LedgerMetrics>,
        interval: Duration,
    ) -> Self {
        let reported_to = BTreeSet::new();
        let sealed_at = Instant::now();
        Self {
            backlog,
            replicator,
            writer,
            metrics,
            interval,
            failures: 0,
            reported_to,
            sealed_at,
            leaving: false,
        }
    }

    /// Runs until its task is aborted.
    pub async fn run(mut self) {
        let mut rounds = 0_u64;
        let mut next_write = 0;
        loop {
            tokio::time::sleep(self.interval).await;
            rounds += 1;
            if rounds >= next_write {
                let _ = self.write_all().await;
                next_write = rounds + self.backoff_rounds();
            }
            self.copy_unreplicated().await;
            self.report().await;
        }
    }

    fn backoff_rounds(&self) -> u64 {
        if self.failures == 0 {
            return 1;
        }
        let backoff = self.interval * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        let backoff = backoff.min(MAX_FLUSH_BACKOFF);
        (backoff.as_millis() / self.interval.as_millis().max(1)).max(1) as u64
    }

    /// Writes runs, oldest first, until one fails or the round is over.
    async fn write_all(&mut self) -> WriteState {
        let started = Instant::now();
        let mut sealed = false;
        let mut last_rows = 0;
        while let Some(ticket) = self.next_run(&mut sealed).await {
            if started.elapsed() >= MAX_WRITE_ROUND {
                return WriteState::SomeLeft;
            }
            tokio::time::sleep(self.drain_delay(last_rows)).await;
            last_rows = ticket.run.rows.len();
            if !self.write_one(ticket).await {
                return WriteState::Failed;
            }
        }
        WriteState::AllWritten
    }

    /// The oldest run. Groups are sealed at most once a round, when no run is left or
    /// [`SEAL_INTERVAL`] has passed, so that an outage of the table leads to few, large runs.
    async fn next_run(&mut self, sealed: &mut bool) -> Option<RunTicket> {
        if self.sealed_at.elapsed() < SEAL_INTERVAL || *sealed {
            let next = self.backlog.ask(NextRun { seal: false }).await.ok().flatten();
            if next.is_some() || *sealed {
                return next;
            }
        }
        *sealed = true;
        self.sealed_at = Instant::now();
        self.backlog.ask(NextRun { seal: true }).await.ok().flatten()
    }

    /// Delay that keeps all ledgers together within [`DRAIN_ROWS_PER_SECOND`].
    fn drain_delay(&self, rows: usize) -> Duration {
        if self.leaving {
            return Duration::ZERO;
        }
        let ledgers = self.replicator.live_ledgers().len() + 1;
        Duration::from_secs_f64(rows as f64 * ledgers as f64 / DRAIN_ROWS_PER_SECOND)
    }

    async fn write_one(&mut self, ticket: RunTicket) -> bool {
        match self.writer.write_run(&ticket.queue.origin, &ticket.run).await {
            Ok(transactions) => {
                self.failures = 0;
                self.metrics.flushes.inc();
                self.metrics.flush_transactions.inc_by(transactions);
                let (queue, number) = (ticket.queue, ticket.number);
                let _ = self.backlog.tell(RunWritten { queue, number }).await;
                true
            }
            Err(error) => {
                self.failures += 1;
                self.metrics.flush_failures.inc();
                log::warn!("ledger_flush_failed error={error} failures={}", self.failures);
                false
            }
        }
    }

    async fn copy_unreplicated(&self) -> CopyState {
        let query = ListUnreplicated { live: self.replicator.live_ledgers(), limit: MAX_RECOPIES };
        let tickets = self.backlog.ask(query).await.unwrap_or_default();
        let last = tickets.len() < MAX_RECOPIES;
        for ticket in tickets {
            let Some(backup) = self.replicator.copy_run(&ticket).await else {
                return CopyState::SomeLeft;
            };
            self.metrics.recopies.inc();
            let (queue, number) = (ticket.queue, ticket.number);
            let _ = self.backlog.tell(RunCopied { queue, number, backup }).await;
        }
        if last { CopyState::AllCopied } else { CopyState::SomeLeft }
    }

    /// Reports progress to the ledgers that hold copies. A ledger that received the previous report
    /// also receives this one, so that it drops the copies of what was written since.
    pub async fn report(&mut self) {
        let reports = self.backlog.ask(ListProgress).await.unwrap_or_default();
        for (index, (backups, progress)) in reports.into_iter().enumerate() {
            let mut receivers = backups.clone();
            if index == 0 {
                receivers.extend(std::mem::replace(&mut self.reported_to, backups));
            }
            self.replicator.report(&receivers, &BatchCall::Progress(progress)).await;
        }
    }

    /// Writes the backlog before the process stops, or replicates every run once more. The result
    /// says whether the process can stop without losing records.
    pub async fn hand_over(mut self) -> HandOver {
        let _ = self.backlog.ask(BeginLeave).await;
        self.leaving = true;
        let deadline = Instant::now() + HAND_OVER_TIMEOUT;
        loop {
            let state = self.write_all().await;
            let written = state == WriteState::AllWritten;
            if written && self.backlog.ask(IsEmpty).await.unwrap_or(true) {
                self.report().await;
                return HandOver::Written;
            }
            let failed = state == WriteState::Failed;
            if failed && self.copy_unreplicated().await == CopyState::AllCopied {
                return HandOver::Copied;
            }
            if Instant::now() >= deadline {
                return HandOver::Incomplete;
            }
            tokio::time::sleep(HAND_OVER_RETRY_INTERVAL).await;
        }
    }
}

/// Result of a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOver {
    /// Everything is in the table.
    Written,
    /// The table is unavailable; other ledgers hold copies of everything and will write them.
    Copied,
    /// This ledger has the only copy of some records.
    Incomplete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    AllWritten,
    SomeLeft,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyState {
    AllCopied,
    SomeLeft,
}
