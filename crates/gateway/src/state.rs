//! State shared by all requests of a gateway.

use crate::answer_times::AnswerTimes;
use crate::carrier_client::CarrierLinks;
use crate::carrier_server::CarrierLoad;
use crate::control_cache::ControlSnapshot;
use crate::crash_guard::CrashGuard;
use crate::gossip_seal::GossipSeal;
use crate::latency_tracker::{LatencyTracker, PrefillTracker};
use crate::metrics::GatewayMetrics;
use crate::rollout_counters::RolloutCounters;
use crate::seeded_random::SeededRandom;
use crate::session_versions::SessionVersions;
use crate::settings::SharedSettings;
use crate::shared_evacuations::SharedEvacuations;
use crate::snapshot_publisher::SharedSnapshot;
use crate::socket_dialer::SocketDialer;
use crate::stop_state::{StopState, accepts_request};
use crate::upstream_pool::UpstreamPool;
use crate::upstream_reach::UpstreamReach;
use crate::wire_format::WireFormat;
use oleander_adapters::connection_ledger::ConnectionLedger;
use oleander_core::units::Timestamp;
use oleander_ports::clock::ClockPort;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// State shared by all requests.
pub struct GatewayState {
    /// Settings of the process.
    pub settings: SharedSettings,
    /// Current configuration, upstreams and rollouts.
    pub snapshot: SharedSnapshot,
    /// Upstreams as used by this host.
    pub pool: UpstreamPool,
    /// Codec for headers beyond plain HTTP.
    pub wire: WireFormat,
    /// Which services are out of this host's reach.
    pub reach: UpstreamReach,
    /// Evacuations that other hosts tell of.
    pub evacuations: SharedEvacuations,
    /// Connections to hosts that carry requests.
    pub links: CarrierLinks,
    /// How much this host carries for others.
    pub carrier_load: CarrierLoad,
    /// Opens connections to upstreams.
    pub dialer: SocketDialer,
    /// Source of the current time.
    pub clock: Arc<dyn ClockPort>,
    /// Typical latencies.
    pub latencies: LatencyTracker,
    /// What answers of versions in use take under load.
    pub answer_times: AnswerTimes,
    /// Typical prefill times.
    pub prefills: PrefillTracker,
    /// Most recent version of each session.
    pub sessions: SessionVersions,
    /// Request and answer counts of rollouts.
    pub rollout_counters: RolloutCounters,
    /// Authenticates datagrams between hosts.
    pub seal: GossipSeal,
    /// Requests that crash upstreams.
    pub crashes: Arc<CrashGuard>,
    /// Random numbers.
    pub random: SeededRandom,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Budget of the connections of clients.
    pub connections: Arc<ConnectionLedger>,
    /// Whether the process is stopping.
    pub stop: StopState,
}

impl GatewayState {
    /// Takes over a new list of upstreams.
    pub fn update_upstreams(&self, snapshot: &ControlSnapshot) {
        self.pool.update(&snapshot.upstreams);
        self.pool.update_cold(snapshot);
        self.reach.retain_services(&snapshot.upstreams.keys().collect());
    }

    /// Time left until `deadline`, or until this process has to have answered all requests.
    #[must_use]
    pub fn time_left(&self, deadline: Timestamp) -> Duration {
        let now = self.clock.now();
        let grace_period = self.settings.load().bounds.grace_period();
        let until_exit = self.stop.time_to_answer(grace_period, now);
        let left = deadline.since(now);
        until_exit.map_or(left, |until_exit| left.min(until_exit))
    }

    /// Whether a request whose answer may take `needed` is sent to an upstream, which is so unless this process
    /// stops.
    #[must_use]
    pub fn accepts_request(&self, needed: Duration) -> bool {
        let grace_period = self.settings.load().bounds.grace_period();
        let since = self.stop.since(self.clock.now());
        since.is_none_or(|since| accepts_request(since, grace_period, needed))
    }

    /// Runs `work` for the time that [`GatewayState::time_left`] states, also when the stop signal
    /// comes meanwhile; `None` when the time is over.
    pub async fn within_time<T>(
        &self,
        deadline: Timestamp,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::pin!(work);
        loop {
            let left = self.time_left(deadline);
            tokio::select! {
                biased;
                result = work.as_mut() => return Some(result),
                () = tokio::time::sleep(left) => {}
                () = self.stop.next_signal() => {}
            }
            if self.time_left(deadline).is_zero() {
                return None;
            }
        }
    }
}
