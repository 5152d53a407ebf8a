//! What an entry is made of.

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
    /// Id of the process.
    pub id: HostId,
    /// Region of the host.
    pub region: RegionName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// The catalog in force.
    pub catalog: Arc<dyn CatalogPort>,
    /// Records usage.
    pub usage: Arc<dyn UsagePort>,
    /// Claims non-idempotent requests.
    pub claims: Arc<dyn ClaimPort>,
    /// The system's other processes.
    pub members: Arc<dyn MembershipPort>,
    /// Rates answers.
    pub ratings: Arc<dyn RatingPort>,
    /// Shares of the client accounts' rates.
    pub shares: Arc<dyn SharePort>,
    /// Estimates of quality.
    pub quality: Arc<dyn QualityPort>,
    /// The table, for sessions that callers name.
    pub table: Arc<dyn TablePort>,
    /// Tells the time.
    pub clock: Arc<dyn ClockPort>,
    /// Keys that sign session tokens; the first one signs, all verify.
    pub session_keys: Vec<SecretKey>,
    /// Seed of request ids and random choices.
    pub seed: u64,
    /// How versions and upstreams are chosen.
    pub mode: ChoiceMode,
}
