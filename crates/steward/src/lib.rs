//! Leases, rollouts, orders, the host list and the operators' API.
//!
//! [`steward::StewardNode`] starts the parts: [`lease_actor`] acquires and renews a lease,
//! [`rollout_driver`] collects ratings and drives rollouts under one lease, [`order_reconciler`]
//! sends load and unload orders to upstreams under another, [`host_watcher`] announces upstreams
//! that are leaving, and [`operators`] serves `oleander-ctl`.

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
