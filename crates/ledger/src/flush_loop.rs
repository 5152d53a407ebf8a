//! Writes what a ledger holds to the table, and keeps a copy of what waits.

use crate::batch_keeper::{
    BatchKeeper, BeginLeave, IsEmpty, ListProgress, ListUnprotected, NextRun, RunCopied, RunWritten,
};
use crate::group_holder::GroupHolder;
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

/// Longest pause between attempts to write while the table is out.
pub const MAX_FLUSH_PAUSE: Duration = Duration::from_secs(8);
/// Time after which waiting groups are sealed into a run while older runs wait for the table.
pub const SEAL_EVERY: Duration = Duration::from_secs(30);
/// Rows a second that all ledgers together write when they drain a backlog.
pub const DRAIN_ROWS_PER_SECOND: f64 = 200.0;
/// Time after which a round of writes ends, so that copies and reports are not late.
pub const MAX_WRITE_ROUND: Duration = Duration::from_secs(4);
/// Most runs that are copied again in one round.
pub const MAX_RECOPIES: usize = 16;

/// Time that a stopping ledger has to hand over.
pub const HAND_OVER_DEADLINE: Duration = Duration::from_secs(20);

const HAND_OVER_PAUSE: Duration = Duration::from_millis(50);
const MAX_DOUBLINGS: u32 = 6;

/// Writes runs in rounds.
pub struct FlushLoop {
    keeper: ActorRef<BatchKeeper>,
    holder: GroupHolder,
    writer: TableWriter,
    metrics: Arc<LedgerMetrics>,
    every: Duration,
    failures: u32,
    told: BTreeSet<OriginId>,
    sealed_at: Instant,
    leaving: bool,
}

impl FlushLoop {
    /// A loop that writes every `every`.
    #[must_use]
    pub fn new(
        keeper: ActorRef<BatchKeeper>,
        holder: GroupHolder,
        writer: TableWriter,
        metrics: Arc<LedgerMetrics>,
        every: Duration,
    ) -> Self {
        let told = BTreeSet::new();
        let sealed_at = Instant::now();
        Self {
            keeper,
            holder,
            writer,
            metrics,
            every,
            failures: 0,
            told,
            sealed_at,
            leaving: false,
        }
    }

    /// Runs until the task is ended.
    pub async fn run(mut self) {
        let mut rounds = 0_u64;
        let mut next_write = 0;
        loop {
            tokio::time::sleep(self.every).await;
            rounds += 1;
            if rounds >= next_write {
                let _ = self.write_all().await;
                next_write = rounds + self.pause_rounds();
            }
            self.copy_unprotected().await;
            self.report().await;
        }
    }

    fn pause_rounds(&self) -> u64 {
        if self.failures == 0 {
            return 1;
        }
        let pause = self.every * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        let pause = pause.min(MAX_FLUSH_PAUSE);
        (pause.as_millis() / self.every.as_millis().max(1)).max(1) as u64
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
            tokio::time::sleep(self.pause_after(last_rows)).await;
            last_rows = ticket.run.rows.len();
            if !self.write_one(ticket).await {
                return WriteState::Failed;
            }
        }
        WriteState::AllWritten
    }

    /// The oldest run. Groups are sealed once a round, when no run is left or the last time is
    /// long ago, so that an outage of the table makes few large runs.
    async fn next_run(&mut self, sealed: &mut bool) -> Option<RunTicket> {
        if self.sealed_at.elapsed() < SEAL_EVERY || *sealed {
            let next = self.keeper.ask(NextRun { seal: false }).await.ok().flatten();
            if next.is_some() || *sealed {
                return next;
            }
        }
        *sealed = true;
        self.sealed_at = Instant::now();
        self.keeper.ask(NextRun { seal: true }).await.ok().flatten()
    }

    /// Time by which the ledgers together stay within the rate of a drain.
    fn pause_after(&self, rows: usize) -> Duration {
        if self.leaving {
            return Duration::ZERO;
        }
        let ledgers = self.holder.live_ledgers().len() + 1;
        Duration::from_secs_f64(rows as f64 * ledgers as f64 / DRAIN_ROWS_PER_SECOND)
    }

    async fn write_one(&mut self, ticket: RunTicket) -> bool {
        match self.writer.write_run(&ticket.queue.origin, &ticket.run).await {
            Ok(transactions) => {
                self.failures = 0;
                self.metrics.flushes.inc();
                self.metrics.flush_transactions.inc_by(transactions);
                let (shelf, number) = (ticket.queue, ticket.number);
                let _ = self.keeper.tell(RunWritten { shelf, number }).await;
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

    async fn copy_unprotected(&self) -> CopyState {
        let wanted = ListUnprotected { live: self.holder.live_ledgers(), limit: MAX_RECOPIES };
        let tickets = self.keeper.ask(wanted).await.unwrap_or_default();
        let last = tickets.len() < MAX_RECOPIES;
        for ticket in tickets {
            let Some(backup) = self.holder.copy_run(&ticket).await else {
                return CopyState::SomeLeft;
            };
            self.metrics.recopies.inc();
            let (shelf, number) = (ticket.queue, ticket.number);
            let _ = self.keeper.tell(RunCopied { shelf, number, backup }).await;
        }
        if last { CopyState::AllCopied } else { CopyState::SomeLeft }
    }

    /// Tells the ledgers that hold copies. One that was told last time is told once more, so
    /// that it drops the copies of what was written since.
    pub async fn report(&mut self) {
        let reports = self.keeper.ask(ListProgress).await.unwrap_or_default();
        for (index, (backups, progress)) in reports.into_iter().enumerate() {
            let mut audience = backups.clone();
            if index == 0 {
                audience.extend(std::mem::replace(&mut self.told, backups));
            }
            self.holder.report(&audience, &BatchCall::Progress(progress)).await;
        }
    }

    /// Writes what is held before the process ends, or gets every run copied once more. Returns
    /// whether nothing is lost when the process ends now.
    pub async fn hand_over(mut self) -> HandOver {
        let _ = self.keeper.ask(BeginLeave).await;
        self.leaving = true;
        let deadline = Instant::now() + HAND_OVER_DEADLINE;
        loop {
            let state = self.write_all().await;
            let written = state == WriteState::AllWritten;
            if written && self.keeper.ask(IsEmpty).await.unwrap_or(true) {
                self.report().await;
                return HandOver::Written;
            }
            let failed = state == WriteState::Failed;
            if failed && self.copy_unprotected().await == CopyState::AllCopied {
                return HandOver::Copied;
            }
            if Instant::now() >= deadline {
                return HandOver::Incomplete;
            }
            tokio::time::sleep(HAND_OVER_PAUSE).await;
        }
    }
}

/// How a hand-over ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOver {
    /// Everything is in the table.
    Written,
    /// The table is out; other ledgers hold a copy of everything and write it.
    Copied,
    /// Something is held by this ledger alone.
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
