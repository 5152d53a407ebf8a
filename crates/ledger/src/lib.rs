//! Durable usage records, claims of non-idempotent requests, and statements of client accounts.
//!
//! A ledger collects records in groups. It acknowledges a record once its group is replicated to a
//! ledger in another failure domain or, if no such ledger accepts it, written to the table. Groups
//! are later sealed into runs, and each run is written to the table as batches; a batch holds the
//! records of one shard of client accounts and one time window. The batches of a closed window are
//! folded into one row of sums and one object with the records. A claim permits a request to be
//! dispatched once per client account and idempotency key.
//!
//! An entry uses a [`LedgerClient`], which calls the [`LedgerNode`]s of the membership. A process
//! that runs its own ledger uses a [`LocalLedger`]. A [`StatementReader`] reads statements directly
//! from the table.

#![warn(clippy::unwrap_used)]

pub mod backlog_actor;
pub mod claim_actor;
pub mod claim_table;
pub mod client;
pub mod flush_loop;
pub mod fold_loop;
pub mod group_replicator;
pub mod local;
pub mod metrics;
pub mod node;
pub mod ranking;
pub mod statement;
pub mod table_writer;
pub mod wire;

pub use client::LedgerClient;
pub use local::LocalLedger;
pub use metrics::LedgerMetrics;
pub use node::{LedgerNode, LedgerPorts, NodeConfig};
pub use statement::StatementReader;
