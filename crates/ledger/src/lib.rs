//! Usage records, batches, claims and statements.
//!
//! An entry uses a [`LedgerClient`], which asks the [`LedgerNode`]s of the membership. A process
//! that holds everything itself uses a [`LocalLedger`]. Statements are read by a
//! [`StatementReader`] straight from the table.

#![warn(clippy::unwrap_used)]

pub mod batch_keeper;
pub mod claim_keeper;
pub mod claim_table;
pub mod client;
pub mod flush_loop;
pub mod fold_keeper;
pub mod group_holder;
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
