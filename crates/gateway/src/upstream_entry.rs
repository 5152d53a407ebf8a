//! An upstream's entry in the platform's list.

use oleander_core::ids::{DomainName, ServiceName, UpstreamName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts new work.
    Ready,
    /// It is leaving and finishes its work in flight.
    Draining,
}

/// An upstream as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Name of the upstream, which refuses requests addressed to another name.
    pub name: UpstreamName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Version of the software or model that it runs.
    pub version: Arc<str>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: UpstreamState,
    /// Start of its process, in milliseconds since the Unix epoch; 0 if not stated.
    pub started_ms: u64,
    /// How much longer it stays cold, as of the write of the entry.
    pub cold_left: Duration,
}
