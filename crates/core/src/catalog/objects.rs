//! The catalog's objects, in the form in which they are written and published.

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
    /// Regions, their failure domains and what traffic to other regions costs.
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
    /// Cascades from cheap to costly models, one per task class.
    pub cascades: BTreeMap<CascadeName, Cascade>,
    /// Roll-outs.
    pub rollouts: BTreeMap<RolloutName, Rollout>,
    /// Withdrawn versions.
    pub withdrawals: BTreeMap<VersionName, Withdrawal>,
    /// Upstreams that operators drain: they get no new work.
    pub drains: BTreeMap<UpstreamName, Drain>,
    /// Parameters of the decisions.
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

/// How urgent a client account's requests are when a pool is short.
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

/// A client account: who is admitted, limited and billed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// SHA-256 digests, in hex, of the bearer keys that name the account.
    pub key_digests: Vec<Arc<str>>,
    /// Models that the account may use.
    #[serde(default)]
    pub allow: Vec<AllowRule>,
    /// Services that the account may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Requests a second over all hosts.
    pub requests_per_second: f64,
    /// Requests that may come at once above the rate.
    #[serde(default = "default_burst")]
    pub burst: u32,
    /// Weight of the account when a pool is shared out.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Highest priority that the account's requests may ask for.
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
    /// The versions; every version of the model when left out.
    #[serde(default)]
    pub versions: Option<Vec<VersionName>>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version that new sessions get outside any roll-out.
    pub current: VersionName,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model that it is a version of.
    pub model: ModelName,
    /// The pool whose upstreams run it.
    pub pool: PoolName,
    /// Price of a thousand prompt tokens.
    pub price_in: Money,
    /// Price of a thousand generated tokens.
    pub price_out: Money,
    /// Expected quality per task class before ratings are in.
    #[serde(default)]
    pub quality: BTreeMap<CascadeName, Quality>,
    /// Expected time to the first token on an idle upstream.
    #[serde(default = "default_first_token")]
    pub first_token: Millis,
    /// Expected time between tokens.
    #[serde(default = "default_token_gap")]
    pub token_gap: Millis,
    /// Longest prompt and answer together.
    #[serde(default = "default_context")]
    pub context: TokenCount,
    /// Size of the weights in megabytes, for loads from the weight store.
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

/// A pool of upstreams that run the same versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The upstreams, by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Share of retries that may be added to the pool's first attempts.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Region that it stands in.
    pub region: RegionName,
    /// Failure domain that it stands in.
    pub domain: DomainName,
    /// Requests that it runs at once; more are queued.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
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
    /// The operations that may be called, by name.
    pub operations: BTreeMap<OperationName, Operation>,
}

/// An operation of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP method towards the service.
    pub method: Arc<str>,
    /// Path at the service.
    pub path: Arc<str>,
    /// Whether the operation may be repeated.
    pub idempotent: bool,
    /// Price of one call.
    #[serde(default)]
    pub price: Money,
    /// Longest time for one call.
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
    /// Models from cheap to costly.
    pub steps: Vec<ModelName>,
    /// The quality that answers must reach on average.
    pub quality_target: Quality,
    /// Time to a complete answer when the caller names none.
    #[serde(default = "default_deadline")]
    pub deadline: Millis,
    /// Longest answer when the caller names none.
    #[serde(default = "default_answer_tokens")]
    pub answer_tokens: TokenCount,
}

const fn default_deadline() -> Millis {
    Millis::new(30_000)
}

const fn default_answer_tokens() -> TokenCount {
    TokenCount::new(512)
}

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// Steps are taken as ratings allow.
    #[default]
    Running,
    /// The step is held.
    Paused,
    /// The new version is current.
    Completed,
    /// The new version was withdrawn.
    RolledBack,
}

/// A roll-out of one version in place of another.
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
    /// Index of the step in force.
    #[serde(default)]
    pub step: u32,
    /// Where the roll-out stands.
    #[serde(default)]
    pub phase: RolloutPhase,
}

/// One step of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// Share of new sessions that get the new version, from 0 to 1.
    pub share: f64,
    /// Ratings of the new version needed before the next step.
    pub ratings: u32,
    /// Least time in the step.
    #[serde(default)]
    pub hold: Millis,
}

/// A withdrawn version: it receives no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Why it was withdrawn.
    pub reason: Arc<str>,
    /// Client accounts that the withdrawal knowingly leaves without a version of the model.
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

/// What a host does that reaches neither the store nor a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutOff {
    /// Stop admitting after `Policy::cut_off_after`.
    #[default]
    Refuse,
    /// Keep serving with the catalog in force.
    Serve,
}

/// Parameters of the decisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Money that one second of expected latency is worth in a choice.
    pub price_per_second: Money,
    /// Largest share of a task class that explores versions other than the cheapest.
    pub exploration: f64,
    /// Largest share of new sessions on a version that has no ratings yet.
    pub unrated_share: f64,
    /// Drop of the mean rating that detection looks for.
    pub rating_drop: f64,
    /// Mean number of ratings between false alarms of the detection.
    pub false_alarm_ratings: u32,
    /// Largest share of a pool's upstreams that may be ejected at once.
    pub ejection_share: f64,
    /// What a host does that is cut off.
    pub cut_off: CutOff,
    /// Time after which a host counts as cut off.
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
