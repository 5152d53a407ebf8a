//! The common base of every process: clients of the platform's services, the peers and the catalog
//! in force, set up from the process's settings.

#![warn(clippy::unwrap_used)]

pub mod running_host;

pub use running_host::{PlatformPorts, RunningHost};
