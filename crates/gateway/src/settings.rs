//! Settings of a gateway process.

use crate::control_cache::EXPIRY_GRACE;
use arc_swap::ArcSwap;
use oleander_core::connection_budget::BudgetLimits;
use oleander_core::ids::{DomainName, HostId, RegionName};
use oleander_core::units::ByteCount;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
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
    /// Region of the host.
    pub region: RegionName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint for the load balancer.
    pub ready: SocketAddr,
    /// Address of the metrics endpoint; none if omitted.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address for gossip datagrams of other hosts; no gossip if omitted.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Local address of connections to upstreams; chosen by the system if omitted.
    #[serde(default)]
    pub outgoing: Option<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the process may use.
    #[serde(default = "default_descriptors")]
    pub max_descriptors: u32,
    /// Whether upstreams are chosen by how much of a prompt they are expected to have cached and by whether it
    /// fits into their memory, where a service states it. Otherwise a fixed upstream is expected to have half of the
    /// prompt.
    #[serde(default)]
    pub prefix_weighing: bool,
    /// Limits set by the deployment.
    #[serde(default)]
    pub bounds: GatewayBounds,
}

/// Descriptors that most systems allow a process.
const fn default_descriptors() -> u32 {
    1_024
}

/// Limits set by the deployment; the defaults are those of the smallest deployments.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayBounds {
    /// Time from the stop signal until the process is killed, in milliseconds.
    pub stop_ms: u64,
    /// Retries allowed per request to a service, over all hosts.
    pub retry_share: f64,
    /// Retries allowed in addition within [`GatewayBounds::retry_window_ms`], over all hosts.
    pub retry_extra: f64,
    /// Window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Maximum share of a service's requests that a bad version may get.
    pub exposure_share: f64,
    /// Requests allowed in addition to that share.
    pub exposure_slack: f64,
    /// Time without a request after which a session ends, in milliseconds.
    pub session_gap_ms: u64,
    /// Time after which the platform removes the entry of an upstream that is silent, in
    /// milliseconds.
    pub upstream_expiry_ms: u64,
    /// What a cold upstream may get in a second over all hosts, as a multiple of its rate.
    pub cold_excess: f64,
    /// Requests that a cold upstream may get in addition.
    pub cold_slack: f64,
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
            upstream_expiry_ms: 4_000,
            cold_excess: 1.5,
            cold_slack: 5.0,
        }
    }
}

impl GatewayBounds {
    /// How long a session's version is kept after its last request: the session gap and a second
    /// for clock skew and network delay.
    #[must_use]
    pub const fn session_retention(&self) -> Duration {
        Duration::from_millis(self.session_gap_ms + 1_000)
    }

    /// How long after the store's return from an older copy its rows may be outdated.
    #[must_use]
    pub fn hold_time(&self) -> Duration {
        Duration::from_millis(self.upstream_expiry_ms) + EXPIRY_GRACE
    }

    /// Time from the stop signal until the process is killed.
    #[must_use]
    pub const fn grace_period(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }
}

impl GatewaySettings {
    /// What the connections of clients may use.
    #[must_use]
    pub const fn connection_limits(&self) -> BudgetLimits {
        BudgetLimits::new(ByteCount::new(self.memory_bytes), self.max_descriptors)
    }

    /// Region of a failure domain; `None` if the settings do not list it.
    #[must_use]
    pub fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.domains.get(domain)
    }
}
