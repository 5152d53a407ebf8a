//! Small stand-ins for the platform and the upstreams, with injectable faults.
//!
//! [`memory`] holds the platform's services in memory behind their ports. [`fakes`] stands in
//! for the system's own other processes in tests of one process.

pub mod fakes;
pub mod memory;
