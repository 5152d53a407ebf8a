//! Replicates groups to another failure domain, or else writes them to the table.

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

/// Time limit for another ledger to store a copy.
pub const COPY_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of ledgers that are tried before the table.
pub const MAX_COPY_TRIES: usize = 3;
/// Time limit for writing a group directly to the table; after it the records are refused.
pub const DIRECT_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of replicating a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicationOutcome {
    /// This other ledger has a copy.
    Backup(OriginId),
    /// The group is in the table.
    Table,
    /// Only its origin has the group; contains the reason.
    NotHeld(String),
}

/// Replicates groups and runs to other ledgers.
#[derive(Clone)]
pub struct GroupReplicator {
    config: NodeConfig,
    ports: LedgerPorts,
    writer: TableWriter,
}

impl GroupReplicator {
    /// A replicator for the ledger of `config`.
    #[must_use]
    pub fn new(config: NodeConfig, ports: LedgerPorts) -> Self {
        let writer = TableWriter::new(ports.table.clone());
        Self { config, ports, writer }
    }

    /// Replicates a group to another failure domain, or writes it to the table if no ledger
    /// accepts a copy.
    pub async fn replicate_group(
        &self,
        origin: &OriginId,
        group: &HeldGroup,
    ) -> ReplicationOutcome {
        let call = BatchCall::HoldGroup { origin: origin.clone(), group: group.clone() };
        if let Some(backup) = self.copy(origin, &to_wire(&call)).await {
            return ReplicationOutcome::Backup(backup);
        }
        self.write_directly(origin, group).await
    }

    async fn write_directly(&self, origin: &OriginId, group: &HeldGroup) -> ReplicationOutcome {
        let Some(run) = HeldRun::seal(std::slice::from_ref(group)) else {
            return ReplicationOutcome::Table;
        };
        match tokio::time::timeout(DIRECT_WRITE_TIMEOUT, self.writer.write_run(origin, &run)).await
        {
            Ok(Ok(_)) => ReplicationOutcome::Table,
            Ok(Err(error)) => ReplicationOutcome::NotHeld(error.to_string()),
            Err(_) => {
                ReplicationOutcome::NotHeld(format!("no table within {DIRECT_WRITE_TIMEOUT:?}"))
            }
        }
    }

    /// Copies a run to another ledger. Returns the ledger that accepted it.
    pub async fn copy_run(&self, ticket: &RunTicket) -> Option<OriginId> {
        let run = HeldRun::clone(&ticket.run);
        let origin = ticket.queue.origin.clone();
        let queue = QueueId { origin, owner: self.config.origin_id() };
        let call = BatchCall::HoldRun { queue, run };
        self.copy(&ticket.queue.origin, &to_wire(&call)).await
    }

    async fn copy(&self, origin: &OriginId, body: &[u8]) -> Option<OriginId> {
        let members = self.ports.members.members();
        let backups = backups_for(&members, &self.config.location);
        let others = backups.iter().filter(|backup| backup.id != origin.host);
        for backup in others.take(MAX_COPY_TRIES) {
            if self.ask(backup, body.to_vec()).await {
                return Some(origin_of(backup));
            }
        }
        None
    }

    async fn ask(&self, backup: &Member, body: Vec<u8>) -> bool {
        let call = self.ports.peers.call(backup.address, PeerChannel::Batches, body, COPY_TIMEOUT);
        let Ok(reply) = call.await else { return false };
        matches!(from_wire(&reply), Ok(BatchReply::Held))
    }

    /// Sends a progress report to ledgers. A lost report is not repeated, since the next one
    /// replaces it.
    pub async fn report(&self, backups: &BTreeSet<OriginId>, call: &BatchCall) {
        let body = to_wire(call);
        let members = self.ports.members.members();
        for backup in members.iter().filter(|member| backups.contains(&origin_of(member))) {
            self.ask(backup, body.clone()).await;
        }
    }

    /// The live ledgers in other failure domains.
    #[must_use]
    pub fn live_ledgers(&self) -> BTreeSet<OriginId> {
        let members = self.ports.members.members();
        backups_for(&members, &self.config.location).iter().map(origin_of).collect()
    }
}

fn origin_of(member: &Member) -> OriginId {
    OriginId { host: member.id.clone(), incarnation: member.incarnation }
}
