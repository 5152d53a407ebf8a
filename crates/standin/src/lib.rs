//! Small stand-ins for the platform and the upstreams, with injectable faults.
//!
//! [`memory`] holds the platform's services in memory behind their ports. [`fakes`] stands in
//! for the system's own other processes in tests of one process.

#![warn(clippy::unwrap_used)]

pub mod control;
pub mod deployment;
pub mod engine;
pub mod fakes;
pub mod faults;
pub mod memory;
pub mod platform;
pub mod service;
