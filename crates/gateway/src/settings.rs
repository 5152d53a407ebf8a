//! Settings of a gateway.

use arc_swap::ArcSwap;
use oleander_core::ids::{DomainName, HostId, RegionName};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Settings in force; a reload swaps them.
pub type SharedSettings = Arc<ArcSwap<GatewaySettings>>;

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host takes new connections.
    pub ready: SocketAddr,
    /// Where metrics are read; nowhere when left out.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Where other hosts send datagrams; hosts do without when left out.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: GatewayBounds,
}

/// Bounds that the deployment sets; the defaults are those of its smallest deployments.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayBounds {
    /// Milliseconds from the signal to stop until the process is killed.
    pub stop_ms: u64,
    /// Further arrivals at a service for each request to it, over all hosts.
    pub retry_share: f64,
    /// Further arrivals beside that within [`GatewayBounds::retry_window_ms`], over all hosts.
    pub retry_extra: f64,
    /// Span over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Share of a service's requests that a bad version may get.
    pub exposure_share: f64,
    /// Requests beside that.
    pub exposure_slack: f64,
    /// Milliseconds after which a session without a request is over.
    pub session_gap_ms: u64,
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            stop_ms: 8_000,
            retry_share: 0.9,
            retry_extra: 50.0,
            retry_window_ms: 10_000,
            exposure_share: 0.12,
            exposure_slack: 30.0,
            session_gap_ms: 5_000,
        }
    }
}

impl GatewayBounds {
    /// Time for which a session's version is remembered after its last request: its gap, and a
    /// second for clocks and links.
    #[must_use]
    pub const fn session_retention(&self) -> Duration {
        Duration::from_millis(self.session_gap_ms + 1_000)
    }

    /// Time from the signal to stop until the process is killed.
    #[must_use]
    pub const fn grace_period(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }
}

impl GatewaySettings {
    /// Region of a failure domain; `None` for one that the settings do not name.
    #[must_use]
    pub fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.domains.get(domain)
    }
}
