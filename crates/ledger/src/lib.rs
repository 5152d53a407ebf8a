//! Usage records, batches, claims and statements.
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
