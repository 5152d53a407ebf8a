//! What all requests of a gateway share.

use crate::belief_keeper::SharedBeliefs;
use crate::latency_book::{LatencyBook, ReadBook};
use crate::metrics::GatewayMetrics;
use crate::rollout_tally::RolloutTally;
use crate::seeded_words::SeededWords;
use crate::session_book::SessionBook;
use crate::settings::SharedSettings;
use crate::stop_state::StopState;
use crate::upstream_book::UpstreamBook;
use crate::wire_format::WireFormat;
use oleander_ports::clock::ClockPort;
use std::sync::Arc;

/// What all requests share.
pub struct GatewayState {
    /// Settings of the process.
    pub settings: SharedSettings,
    /// What is believed of configuration, upstreams and roll-outs.
    pub beliefs: SharedBeliefs,
    /// Upstreams as this host uses them.
    pub book: UpstreamBook,
    /// How headers are read and written.
    pub wire: WireFormat,
    /// The time.
    pub clock: Arc<dyn ClockPort>,
    /// Usual latencies.
    pub latencies: LatencyBook,
    /// How long models take to read prompts.
    pub reads: ReadBook,
    /// Versions that sessions ran on.
    pub sessions: SessionBook,
    /// Sums of roll-outs.
    pub tally: RolloutTally,
    /// Random draws.
    pub words: SeededWords,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Whether the process was told to stop.
    pub stop: StopState,
}
