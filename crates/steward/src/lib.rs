//! Leases, roll-outs, orders, the host list and the operators' interface.
//!
//! [`steward::StewardNode`] wires it up: [`lease_actor`] keeps a lease, [`rollout_driver`]
//! collects ratings and drives roll-outs under one, [`order_reconciler`] gives orders under
//! another, [`host_watcher`] spreads who leaves, [`operators`] serves `oleander-ctl`.

#![warn(clippy::unwrap_used)]

pub mod host_watcher;
pub mod lease_actor;
pub mod lease_table;
pub mod metrics;
pub mod operators;
pub mod order_reconciler;
pub mod rollout_driver;
pub mod statistics_table;
pub mod steward;
pub mod steward_process;
mod ticker;

pub use steward::{StewardNode, StewardParts};
