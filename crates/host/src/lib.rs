//! What every process of a host is built on: the platform's services, the peers and the catalog
//! in force, put together from the process's settings.

#![warn(clippy::unwrap_used)]

pub mod running_host;

pub use running_host::{PlatformPorts, RunningHost};
