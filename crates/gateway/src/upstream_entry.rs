//! One upstream as the platform's list names it.

use oleander_core::ids::{DomainName, ServiceName, UpstreamName};
use std::net::SocketAddr;
use std::sync::Arc;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes new work.
    Ready,
    /// It is leaving and finishes what it has.
    Draining,
}

/// An upstream, as listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its name; it checks that a request names it.
    pub name: UpstreamName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Version of what it runs.
    pub version: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Start of its process, in milliseconds since the Unix epoch; 0 where it does not say.
    pub started_ms: u64,
}
