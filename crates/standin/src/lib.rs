//! Small stand-ins for the platform and the upstreams, with injectable faults.
//!
//! [`memory`] implements the platform's services in memory. [`fakes`] replaces the system's other
//! processes in tests of a single process.

#![warn(clippy::unwrap_used)]

pub mod control;
pub mod deployment;
pub mod engine;
pub mod fakes;
pub mod faults;
pub mod memory;
pub mod platform;
pub mod service;
