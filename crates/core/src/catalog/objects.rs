//! Objects of the catalog, as they are written in files and published.

use crate::ids::{
    AccountName, CascadeName, DomainName, ModelName, OperationName, PoolName, RegionName,
    RolloutName, ServiceName, UpstreamName, VersionName,
};
use crate::units::{Millis, Money, Quality, TokenCount};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The whole catalog. Each map is one section of a catalog file; several files are merged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Catalog {
    /// Regions, their failure domains and the cost of traffic to other regions.
    pub regions: BTreeMap<RegionName, Region>,
    /// Client accounts.
    pub client_accounts: BTreeMap<AccountName, ClientAccount>,
    /// Models, each a family of versions.
    pub models: BTreeMap<ModelName, Model>,
    /// Versions of models.
    pub versions: BTreeMap<VersionName, Version>,
    /// Pools of upstreams.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Cascades from cheap to expensive models, one per task class.
    pub cascades: BTreeMap<CascadeName, Cascade>,
    /// Rollouts.
    pub rollouts: BTreeMap<RolloutName, Rollout>,
    /// Withdrawn versions.
    pub withdrawals: BTreeMap<VersionName, Withdrawal>,
    /// Drained upstreams, which receive no new requests.
    pub drains: BTreeMap<UpstreamName, Drain>,
    /// Policy parameters.
    pub policy: Policy,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Failure domains of the region.
    pub domains: Vec<DomainName>,
    /// Price of a gigabyte that leaves or enters the region.
    #[serde(default)]
    pub price_per_gigabyte: Money,
    /// One-way delay to any other region.
    #[serde(default)]
    pub delay: Millis,
}

/// Priority of the requests of a client account when a pool is overloaded.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Shed first.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Shed last.
    High,
}

/// A client account, the unit of admission, rate limits and billing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// SHA-256 digests, in hex, of the bearer keys of the account.
    pub key_digests: Vec<Arc<str>>,
    /// Models that the account may use.
    #[serde(default)]
    pub allow: Vec<AllowRule>,
    /// Services that the account may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Rate limit over all hosts, in requests per second.
    pub requests_per_second: f64,
    /// Number of requests that a burst may exceed the rate by.
    #[serde(default = "default_burst")]
    pub burst: u32,
    /// Weight of the account in the fair sharing of a pool.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Highest priority that requests of the account may use.
    #[serde(default)]
    pub priority: Priority,
}

const fn default_burst() -> u32 {
    20
}

const fn default_weight() -> u32 {
    1
}

/// One model that a client account may use, and which versions of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllowRule {
    /// The model.
    pub model: ModelName,
    /// The allowed versions; all versions of the model if omitted.
    #[serde(default)]
    pub versions: Option<Vec<VersionName>>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version that new sessions get when no rollout is active.
    pub current: VersionName,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model that it belongs to.
    pub model: ModelName,
    /// The pool whose upstreams serve it.
    pub pool: PoolName,
    /// Price of a thousand prompt tokens.
    pub price_in: Money,
    /// Price of a thousand generated tokens.
    pub price_out: Money,
    /// Expected quality per task class until ratings are available.
    #[serde(default)]
    pub quality: BTreeMap<CascadeName, Quality>,
    /// Expected time to the first token on an idle upstream.
    #[serde(default = "default_first_token")]
    pub first_token: Millis,
    /// Expected time between output tokens.
    #[serde(default = "default_token_gap")]
    pub token_gap: Millis,
    /// Maximum length of prompt and answer together.
    #[serde(default = "default_context")]
    pub context: TokenCount,
    /// Size of the weights that are loaded from the weight store, in megabytes.
    #[serde(default)]
    pub weight_megabytes: u32,
}

const fn default_first_token() -> Millis {
    Millis::new(200)
}

const fn default_token_gap() -> Millis {
    Millis::new(20)
}

const fn default_context() -> TokenCount {
    TokenCount::new(32_768)
}

/// A pool of upstreams that serve the same versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The upstreams, by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Retry budget of the pool, as a share of its first attempts.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
}

const fn default_retry_share() -> f64 {
    0.08
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Listen address.
    pub address: SocketAddr,
    /// Region of the upstream.
    pub region: RegionName,
    /// Failure domain of the upstream.
    pub domain: DomainName,
    /// Number of requests that it runs concurrently; further ones are queued.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

const fn default_slots() -> u32 {
    8
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool whose upstreams are instances of the service.
    pub pool: PoolName,
    /// The operations of the service, by name.
    pub operations: BTreeMap<OperationName, Operation>,
}

/// An operation of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP method of the call to the service.
    pub method: Arc<str>,
    /// Request path at the service.
    pub path: Arc<str>,
    /// Whether the operation is idempotent, so that it may be retried.
    pub idempotent: bool,
    /// Price of one call.
    #[serde(default)]
    pub price: Money,
    /// Timeout of one call.
    #[serde(default = "default_operation_timeout")]
    pub timeout: Millis,
}

const fn default_operation_timeout() -> Millis {
    Millis::new(5_000)
}

/// A cascade: the task class that callers name as `model`, and the models that may serve it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Models, ordered from cheap to expensive.
    pub steps: Vec<ModelName>,
    /// Average quality that answers must reach.
    pub quality_target: Quality,
    /// Default time limit for a complete answer.
    #[serde(default = "default_deadline")]
    pub deadline: Millis,
    /// Default limit of the answer length.
    #[serde(default = "default_answer_tokens")]
    pub answer_tokens: TokenCount,
}

const fn default_deadline() -> Millis {
    Millis::new(30_000)
}

const fn default_answer_tokens() -> TokenCount {
    TokenCount::new(512)
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The rollout advances as ratings allow.
    #[default]
    Running,
    /// The rollout stays at its step.
    Paused,
    /// The new version has become current.
    Completed,
    /// The rollout was aborted, or one of its versions was withdrawn.
    RolledBack,
}

/// A rollout of one version in place of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The model whose current version changes.
    pub model: ModelName,
    /// The version that is replaced.
    pub from: VersionName,
    /// The version that is rolled out.
    pub to: VersionName,
    /// The steps, in order.
    pub steps: Vec<RolloutStep>,
    /// Index of the current step.
    #[serde(default)]
    pub step: u32,
    /// Phase of the rollout.
    #[serde(default)]
    pub phase: RolloutPhase,
}

/// One step of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// Share of new sessions that get the new version, from 0 to 1.
    pub share: f64,
    /// Number of ratings of the new version required for the next step.
    pub ratings: u32,
    /// Minimum time in the step.
    #[serde(default)]
    pub hold: Millis,
}

/// A withdrawn version, which receives no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Why it was withdrawn.
    pub reason: Arc<str>,
    /// Client accounts that the withdrawal intentionally leaves without a version of the model.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stranded_accounts: Vec<AccountName>,
}

/// A drained upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Why it is drained.
    pub reason: Arc<str>,
}

/// Behavior of a host that can reach neither the store nor a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutOff {
    /// Stop admitting requests after `Policy::cut_off_after`.
    #[default]
    Refuse,
    /// Keep serving with the catalog in force.
    Serve,
}

/// Policy parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Cost of one second of expected latency in the choice of versions and upstreams.
    pub price_per_second: Money,
    /// Maximum share of the requests of a task class that explore versions outside the best plan.
    pub exploration: f64,
    /// Maximum share of new sessions on a version without ratings.
    pub unrated_share: f64,
    /// Drop of the mean rating that the change detection looks for.
    pub rating_drop: f64,
    /// Mean number of ratings between false alarms of the change detection.
    pub false_alarm_ratings: u32,
    /// Maximum share of the upstreams of a pool that may be ejected at the same time.
    pub ejection_share: f64,
    /// Behavior of a host that is cut off.
    pub cut_off: CutOff,
    /// Time without contact after which a host counts as cut off.
    pub cut_off_after: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            price_per_second: Money::from_micros(500),
            exploration: 0.02,
            unrated_share: 0.05,
            rating_drop: 0.1,
            false_alarm_ratings: 10_000,
            ejection_share: 0.34,
            cut_off: CutOff::Refuse,
            cut_off_after: Millis::new(4_000),
        }
    }
}
