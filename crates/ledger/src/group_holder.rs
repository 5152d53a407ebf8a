//! Gets a group held: a copy in another failure domain, or else the table.

use crate::node::{LedgerPorts, NodeConfig};
use crate::ranking::backups_for;
use crate::table_writer::TableWriter;
use crate::wire::{BatchCall, BatchReply, from_wire, to_wire};
use oleander_core::ledger::backlog::RunTicket;
use oleander_core::ledger::keys::{OriginId, QueueId};
use oleander_core::ledger::run::{HeldGroup, HeldRun};
use oleander_ports::members::Member;
use oleander_ports::peers::PeerChannel;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time that another ledger has for holding a copy.
pub const COPY_DEADLINE: Duration = Duration::from_millis(250);
/// Ledgers that are asked for a copy before the table is.
pub const MAX_COPY_TRIES: usize = 3;
/// Time that the table has before the record is refused.
pub const DIRECT_DEADLINE: Duration = Duration::from_secs(1);

/// Where a group is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldOutcome {
    /// This ledger has a copy.
    Backup(OriginId),
    /// The table has it.
    Table,
    /// Only this ledger has it.
    Nowhere(String),
}

/// Finds places for copies.
#[derive(Clone)]
pub struct GroupHolder {
    config: NodeConfig,
    ports: LedgerPorts,
    writer: TableWriter,
}

impl GroupHolder {
    /// A holder for the ledger of `config`.
    #[must_use]
    pub fn new(config: NodeConfig, ports: LedgerPorts) -> Self {
        let writer = TableWriter::new(ports.table.clone());
        Self { config, ports, writer }
    }

    /// Gets a group held, in another failure domain if one answers.
    pub async fn hold_group(&self, origin: &OriginId, group: &HeldGroup) -> HoldOutcome {
        let call = BatchCall::HoldGroup { origin: origin.clone(), group: group.clone() };
        if let Some(backup) = self.copy(origin, &to_wire(&call)).await {
            return HoldOutcome::Backup(backup);
        }
        self.write_now(origin, group).await
    }

    async fn write_now(&self, origin: &OriginId, group: &HeldGroup) -> HoldOutcome {
        let Some(run) = HeldRun::seal(std::slice::from_ref(group)) else {
            return HoldOutcome::Table;
        };
        match tokio::time::timeout(DIRECT_DEADLINE, self.writer.write_run(origin, &run)).await {
            Ok(Ok(_)) => HoldOutcome::Table,
            Ok(Err(error)) => HoldOutcome::Nowhere(error.to_string()),
            Err(_) => HoldOutcome::Nowhere(format!("no table within {DIRECT_DEADLINE:?}")),
        }
    }

    /// Gets a copy of a run held by another ledger.
    pub async fn copy_run(&self, ticket: &RunTicket) -> Option<OriginId> {
        let run = HeldRun::clone(&ticket.run);
        let origin = ticket.queue.origin.clone();
        let shelf = QueueId { origin, owner: self.config.life() };
        let call = BatchCall::HoldRun { shelf, run };
        self.copy(&ticket.queue.origin, &to_wire(&call)).await
    }

    async fn copy(&self, origin: &OriginId, body: &[u8]) -> Option<OriginId> {
        let members = self.ports.members.members();
        let backups = backups_for(&members, &self.config.place);
        let others = backups.iter().filter(|backup| backup.id != origin.host);
        for backup in others.take(MAX_COPY_TRIES) {
            if self.ask(backup, body.to_vec()).await {
                return Some(life_of(backup));
            }
        }
        None
    }

    async fn ask(&self, backup: &Member, body: Vec<u8>) -> bool {
        let call = self.ports.peers.call(backup.address, PeerChannel::Batches, body, COPY_DEADLINE);
        let Ok(reply) = call.await else { return false };
        matches!(from_wire(&reply), Ok(BatchReply::Held))
    }

    /// Tells ledgers how far an origin is. A report that is lost is followed by the next one.
    pub async fn report(&self, backups: &BTreeSet<OriginId>, call: &BatchCall) {
        let body = to_wire(call);
        let members = self.ports.members.members();
        for backup in members.iter().filter(|member| backups.contains(&life_of(member))) {
            self.ask(backup, body.clone()).await;
        }
    }

    /// The ledgers in other failure domains that are seen.
    #[must_use]
    pub fn live_ledgers(&self) -> BTreeSet<OriginId> {
        let members = self.ports.members.members();
        backups_for(&members, &self.config.place).iter().map(life_of).collect()
    }
}

fn life_of(member: &Member) -> OriginId {
    OriginId { host: member.id.clone(), incarnation: member.incarnation }
}
