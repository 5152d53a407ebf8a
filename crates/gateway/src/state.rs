//! What all requests of a gateway share.

use crate::latency_tracker::{LatencyTracker, PrefillTracker};
use crate::metrics::GatewayMetrics;
use crate::rollout_counters::RolloutCounters;
use crate::seeded_random::SeededRandom;
use crate::session_versions::SessionVersions;
use crate::settings::SharedSettings;
use crate::snapshot_publisher::SharedSnapshot;
use crate::stop_state::StopState;
use crate::upstream_pool::UpstreamPool;
use crate::wire_format::WireFormat;
use oleander_ports::clock::ClockPort;
use std::sync::Arc;

/// What all requests share.
pub struct GatewayState {
    /// Settings of the process.
    pub settings: SharedSettings,
    /// What is believed of configuration, upstreams and roll-outs.
    pub snapshot: SharedSnapshot,
    /// Upstreams as this host uses them.
    pub pool: UpstreamPool,
    /// How headers are read and written.
    pub wire: WireFormat,
    /// The time.
    pub clock: Arc<dyn ClockPort>,
    /// Usual latencies.
    pub latencies: LatencyTracker,
    /// How long models take to read prompts.
    pub prefills: PrefillTracker,
    /// Versions that sessions ran on.
    pub sessions: SessionVersions,
    /// Sums of roll-outs.
    pub rollout_counters: RolloutCounters,
    /// Random draws.
    pub random: SeededRandom,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Whether the process was told to stop.
    pub stop: StopState,
}
