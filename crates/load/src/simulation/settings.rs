//! What a simulation runs with.

use oleander_core::chain::ChainRule;
use oleander_core::upstream_choice::UpstreamRule;

/// How failed attempts are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Within the pool's budget, with backoff.
    Budget,
    /// Up to so many times, with backoff; the baseline.
    Fixed(u32),
}

/// Engines that fail for a while: every attempt there ends with an error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFault {
    /// Index of the tier.
    pub tier: usize,
    /// Number of engines that fail, from the first.
    pub engines: usize,
    /// Start in seconds.
    pub from: f64,
    /// End in seconds.
    pub to: f64,
}

/// What a simulation runs with.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulationSettings {
    /// Seed of answers, ratings and draws of the decisions.
    pub seed: u64,
    /// How chains are planned.
    pub chain: ChainRule,
    /// How upstreams are chosen.
    pub upstream: UpstreamRule,
    /// Price of a second of latency in the planning of chains, in millionths.
    pub latency_price: u64,
    /// Share of requests that explore.
    pub exploration: f64,
    /// Whether requests that cannot be met are refused.
    pub admission: bool,
    /// How failed attempts are retried.
    pub retry: RetryRule,
    /// Whether outliers are ejected.
    pub ejection: bool,
    /// Whether prefix hints are used.
    pub prefix_hints: bool,
    /// Factor on every deadline.
    pub deadline_factor: f64,
    /// Lag of load reports, in seconds.
    pub report_lag: f64,
    /// Failures of engines.
    pub faults: Vec<EngineFault>,
    /// Seconds of the trace that are left out of the tally, while estimates are learned.
    pub warm_up: f64,
    /// Time at which the simulation ends, in seconds, whatever is open then.
    pub stop_at: f64,
}

impl SimulationSettings {
    /// The router's own way.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            chain: ChainRule::ModelAware,
            upstream: UpstreamRule::ExpectedCost,
            latency_price: 0,
            exploration: 0.02,
            admission: true,
            retry: RetryRule::Budget,
            ejection: true,
            prefix_hints: true,
            deadline_factor: 1.0,
            report_lag: 1.0,
            faults: Vec::new(),
            warm_up: 0.0,
            stop_at: f64::INFINITY,
        }
    }

    /// Sets how chains are planned.
    #[must_use]
    pub const fn with_chain(mut self, chain: ChainRule) -> Self {
        self.chain = chain;
        self
    }

    /// Sets how upstreams are chosen.
    #[must_use]
    pub const fn with_upstream(mut self, upstream: UpstreamRule) -> Self {
        self.upstream = upstream;
        self
    }
}
