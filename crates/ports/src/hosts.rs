//! The platform's lagging list of live and leaving hosts.

use crate::{PlatformError, PortFuture};
use oleander_core::ids::{DomainName, HostId, Incarnation, RegionName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a listed host runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// A process of the system; the address is that of its peer port.
    System(HostId),
    /// An upstream.
    Upstream(UpstreamName),
}

/// One host on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// What it runs.
    pub role: ListedRole,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The list of hosts. It lags behind the truth by seconds, sometimes by minutes.
pub trait HostListPort: Send + Sync {
    /// The list as the platform sees it.
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, PlatformError>>;
}
