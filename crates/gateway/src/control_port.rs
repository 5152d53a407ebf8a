//! What the platform's store tells this system, and what this system writes there.
//!
//! A topic is an ordered feed of keyed values. Each value has a row version that only grows, so
//! that a late or stale answer can be told from news.

use crate::rollout_plan::{RolloutDecision, RolloutOrder};
use crate::rollout_sums::HostSums;
use crate::routes::RouteTable;
use crate::upstream_entry::UpstreamEntry;
use oleander_core::ids::{HostId, RegionName, ServiceName};
use oleander_core::units::Timestamp;
use oleander_ports::{PlatformError, PortFuture};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What can be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// What operators wrote: the configuration and orders of roll-outs.
    Orders,
    /// The upstreams.
    Upstreams,
    /// Decisions on roll-outs.
    Decisions,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 3] = [Self::Orders, Self::Upstreams, Self::Decisions];
}

impl fmt::Display for Topic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Orders => "orders",
            Self::Upstreams => "upstreams",
            Self::Decisions => "decisions",
        })
    }
}

/// A value of a topic.
#[derive(Clone, Debug)]
pub enum TopicValue {
    /// The newest configuration.
    Routes(Arc<RouteTable>),
    /// An order to roll a version out.
    Rollout(RolloutOrder),
    /// An upstream.
    Upstream(Arc<UpstreamEntry>),
    /// A decision on a roll-out.
    Decision(RolloutDecision),
    /// A row that cannot be read, for the stated reason; it names nothing that could be used.
    Unreadable(Arc<str>),
    /// The row was removed.
    Removed,
}

/// One keyed value of a topic.
#[derive(Clone, Debug)]
pub struct TopicRow {
    /// Its key within the topic.
    pub key: Arc<str>,
    /// Version of the row.
    pub version: u64,
    /// Its value.
    pub value: TopicValue,
}

/// An answer about a topic.
#[derive(Clone, Debug)]
pub struct TopicChange {
    /// Whether these are all rows; those that are missing do not exist.
    pub is_full: bool,
    /// Version up to which the answer tells everything.
    pub cursor: u64,
    /// The store's steady clock.
    pub store_now: Timestamp,
    /// Rows, in order of change.
    pub rows: Vec<TopicRow>,
}

/// What following a topic gave.
#[derive(Clone, Debug)]
pub enum TopicUpdate {
    /// What changed; no rows when nothing did within the wait.
    Change(TopicChange),
    /// The store has forgotten what changed since; everything has to be read again.
    HistoryGone,
}

/// A host that announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: HostId,
    /// Its region.
    pub region: RegionName,
    /// Where it takes datagrams of other hosts.
    pub peers: Option<SocketAddr>,
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was applied.
    Applied,
    /// Another row was there; nothing was applied.
    Conflict,
}

/// The platform's store, as far as this system follows and writes it.
pub trait ControlPort: Send + Sync {
    /// Reads a whole topic.
    fn read(&self, topic: Topic) -> PortFuture<'_, Result<TopicChange, PlatformError>>;

    /// Waits at most `wait` for changes after `cursor`.
    fn follow(
        &self,
        topic: Topic,
        cursor: u64,
        wait: Duration,
    ) -> PortFuture<'_, Result<TopicUpdate, PlatformError>>;

    /// Writes a decision on a roll-out over the one with row version `expected` (0: none).
    fn write_decision(
        &self,
        decision: RolloutDecision,
        expected: u64,
    ) -> PortFuture<'_, Result<WriteOutcome, PlatformError>>;

    /// Writes this host's sums of a roll-out.
    fn write_sums(&self, sums: HostSums) -> PortFuture<'_, Result<(), PlatformError>>;

    /// Reads the sums of all hosts for a service's roll-outs.
    fn read_sums(
        &self,
        service: ServiceName,
    ) -> PortFuture<'_, Result<Vec<HostSums>, PlatformError>>;

    /// Notes that a host exists.
    fn register_host(&self, host: HostRecord) -> PortFuture<'_, Result<(), PlatformError>>;

    /// The hosts that announced themselves, also those that are gone.
    fn hosts(&self) -> PortFuture<'_, Result<Vec<HostRecord>, PlatformError>>;

    /// Drops connections that may have gone silent; later calls open new ones.
    fn reset_connections(&self);
}
