//! Settings of a simulation.

use oleander_core::chain::ChainRule;
use oleander_core::upstream_choice::UpstreamRule;

/// How failed attempts are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Within the retry budget of the pool, with backoff.
    Budget,
    /// Up to a fixed number of times, with backoff; the baseline.
    Fixed(u32),
}

/// A temporary failure of engines, during which every attempt on them ends with an error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFault {
    /// Index of the tier.
    pub tier: usize,
    /// Number of engines that fail, starting with the first.
    pub engines: usize,
    /// Start in seconds.
    pub from: f64,
    /// End in seconds.
    pub to: f64,
}

/// Settings of a simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulationSettings {
    /// Seed of answers, ratings and the random draws of the decisions.
    pub seed: u64,
    /// How chains are planned.
    pub chain: ChainRule,
    /// How upstreams are selected.
    pub upstream: UpstreamRule,
    /// Price of a second of latency in the planning of chains, in millionths.
    pub latency_price: u64,
    /// Share of requests that are used for exploration.
    pub exploration: f64,
    /// Whether requests that cannot be served as required are refused.
    pub admission: bool,
    /// How failed attempts are retried.
    pub retry: RetryRule,
    /// Whether outlier ejection is enabled.
    pub ejection: bool,
    /// Whether prefix hints are used in upstream selection.
    pub prefix_hints: bool,
    /// Factor on every deadline.
    pub deadline_factor: f64,
    /// Lag of load reports, in seconds.
    pub report_lag: f64,
    /// Temporary failures of engines.
    pub faults: Vec<EngineFault>,
    /// Seconds at the start of the trace that are excluded from the statistics, while estimates are
    /// learned.
    pub warm_up: f64,
    /// Time at which the simulation ends, in seconds, even if requests are still open.
    pub stop_at: f64,
}

impl SimulationSettings {
    /// The defaults of the router.
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

    /// Sets how upstreams are selected.
    #[must_use]
    pub const fn with_upstream(mut self, upstream: UpstreamRule) -> Self {
        self.upstream = upstream;
        self
    }
}
