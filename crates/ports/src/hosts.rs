//! The platform's list of live and leaving hosts, which lags behind their actual state.

use crate::{PlatformError, PortFuture};
use oleander_core::ids::{DomainName, HostId, Incarnation, RegionName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of a listed host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// A process of this system; its address is that of the peer port.
    System(HostId),
    /// An upstream.
    Upstream(UpstreamName),
}

/// One host on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its role.
    pub role: ListedRole,
    /// Address at which it listens.
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

/// The list of hosts. It lags behind the actual state by seconds, sometimes by minutes.
pub trait HostListPort: Send + Sync {
    /// The platform's current list.
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, PlatformError>>;
}
