//! Ports and settings that an entry is built from.

use oleander_adapters::settings::SecretKey;
use oleander_core::choice_mode::ChoiceMode;
use oleander_core::ids::{DomainName, HostId, Incarnation, RegionName};
use oleander_ports::catalog::CatalogPort;
use oleander_ports::claims::ClaimPort;
use oleander_ports::clock::ClockPort;
use oleander_ports::members::MembershipPort;
use oleander_ports::ratings::RatingPort;
use oleander_ports::shares::{QualityPort, SharePort};
use oleander_ports::table::TablePort;
use oleander_ports::usage::UsagePort;
use std::sync::Arc;

/// The ports and settings of one entry.
#[derive(Clone)]
pub struct EntryParts {
    /// Host id of the process.
    pub id: HostId,
    /// Region that the host runs in.
    pub region: RegionName,
    /// Failure domain that the host runs in.
    pub domain: DomainName,
    /// Incarnation of the process; a restart has a higher one.
    pub incarnation: Incarnation,
    /// Source of the catalog in force.
    pub catalog: Arc<dyn CatalogPort>,
    /// Records usage in the ledger.
    pub usage: Arc<dyn UsagePort>,
    /// Claims non-idempotent requests before they are sent.
    pub claims: Arc<dyn ClaimPort>,
    /// Cluster membership and gossip.
    pub members: Arc<dyn MembershipPort>,
    /// Rating service that answers are submitted to.
    pub ratings: Arc<dyn RatingPort>,
    /// This host's shares of the client accounts' rate limits.
    pub shares: Arc<dyn SharePort>,
    /// Quality estimates by cascade and version.
    pub quality: Arc<dyn QualityPort>,
    /// Table that stores the versions of caller-named sessions.
    pub table: Arc<dyn TablePort>,
    /// Clock.
    pub clock: Arc<dyn ClockPort>,
    /// Keys of session tokens: the first one signs, all of them verify.
    pub session_keys: Vec<SecretKey>,
    /// Seed for request ids and random choices.
    pub seed: u64,
    /// Strategy for choosing versions and upstreams.
    pub mode: ChoiceMode,
}
