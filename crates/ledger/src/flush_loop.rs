//! Writes what a ledger holds to the table, and keeps a copy of what waits.

use crate::batch_keeper::{
    BatchKeeper, BeginLeave, IsEmpty, ListProgress, ListUnprotected, NextRun, RunCopied, RunWritten,
};
use crate::group_holder::GroupHolder;
use crate::metrics::LedgerMetrics;
use crate::table_writer::TableWriter;
use crate::wire::BatchCall;
use kameo::prelude::*;
use oleander_core::ledger::keys::OriginId;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Longest pause between attempts to write while the table is out.
pub const MAX_FLUSH_PAUSE: Duration = Duration::from_secs(8);
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
        Self { keeper, holder, writer, metrics, every, failures: 0, told }
    }

    /// Runs until the task is ended.
    pub async fn run(mut self) {
        let mut rounds = 0_u64;
        let mut next_write = 0;
        loop {
            tokio::time::sleep(self.every).await;
            rounds += 1;
            if rounds >= next_write {
                self.write_all().await;
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

    /// Writes every run until one fails. Returns whether all are written.
    pub async fn write_all(&mut self) -> bool {
        let mut seal = true;
        while let Ok(Some(ticket)) = self.keeper.ask(NextRun { seal }).await {
            seal = false;
            match self.writer.write_run(&ticket.shelf.origin, &ticket.run).await {
                Ok(transactions) => {
                    self.failures = 0;
                    self.metrics.flushes.inc();
                    self.metrics.flush_transactions.inc_by(transactions);
                    let (shelf, number) = (ticket.shelf, ticket.number);
                    let _ = self.keeper.tell(RunWritten { shelf, number }).await;
                }
                Err(error) => {
                    self.failures += 1;
                    self.metrics.flush_failures.inc();
                    log::warn!("ledger_flush_failed error={error} failures={}", self.failures);
                    return false;
                }
            }
        }
        true
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
            let (shelf, number) = (ticket.shelf, ticket.number);
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
        let deadline = tokio::time::Instant::now() + HAND_OVER_DEADLINE;
        loop {
            let written = self.write_all().await;
            if written && self.keeper.ask(IsEmpty).await.unwrap_or(true) {
                self.report().await;
                return HandOver::Written;
            }
            let copied = !written && self.copy_unprotected().await == CopyState::AllCopied;
            if copied {
                return HandOver::Copied;
            }
            if tokio::time::Instant::now() >= deadline {
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
enum CopyState {
    AllCopied,
    SomeLeft,
}
