//! Metrics of the gateway, with bounded label sets.

use oleander_core::attempt_retry::FaultKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

/// Latency buckets: from 5 ms, doubling, to about 20 s.
const LATENCY_BUCKETS: (f64, f64, u16) = (0.005, 2.0, 13);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FaultLabel {
    kind: &'static str,
}

/// The metrics.
pub struct GatewayMetrics {
    requests: Family<OutcomeLabel, Counter>,
    faults: Family<FaultLabel, Counter>,
    attempts: Counter,
    carried: Family<OutcomeLabel, Counter>,
    handed_over: Counter,
    lost_services: Gauge,
    cold_upstreams: Gauge,
    cold_waits: Counter,
    escalations: Counter,
    resumptions: Counter,
    ejections: Counter,
    in_flight: Gauge,
    buffered: Gauge,
    buffered_answers: Gauge,
    head_seconds: Histogram,
    request_seconds: Histogram,
}

impl GatewayMetrics {
    /// Creates the metrics and registers them with `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let latency = || {
            let (start, factor, count) = LATENCY_BUCKETS;
            Histogram::new(exponential_buckets(start, factor, count))
        };
        let metrics = Self {
            requests: Family::default(),
            faults: Family::default(),
            attempts: Counter::default(),
            carried: Family::default(),
            handed_over: Counter::default(),
            lost_services: Gauge::default(),
            cold_upstreams: Gauge::default(),
            cold_waits: Counter::default(),
            escalations: Counter::default(),
            resumptions: Counter::default(),
            ejections: Counter::default(),
            in_flight: Gauge::default(),
            buffered: Gauge::default(),
            buffered_answers: Gauge::default(),
            head_seconds: latency(),
            request_seconds: latency(),
        };
        metrics.register(registry);
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("faults", "Failed attempts by kind", self.faults.clone());
        registry.register("attempts", "Attempts at upstreams", self.attempts.clone());
        registry.register("carried", "Attempts for other hosts by outcome", self.carried.clone());
        let help = "Attempts that other hosts carried";
        registry.register("handed_over", help, self.handed_over.clone());
        let help = "Services out of reach of this host";
        registry.register("lost_services", help, self.lost_services.clone());
        let help = "Upstreams that are cold";
        registry.register("cold_upstreams", help, self.cold_upstreams.clone());
        let help = "Choices that found all open upstreams cold and no permit left";
        registry.register("cold_waits", help, self.cold_waits.clone());
        registry.register("escalations", "Weak answers given up", self.escalations.clone());
        registry.register("resumptions", "Streams resumed elsewhere", self.resumptions.clone());
        registry.register("ejections", "Upstreams left out for a while", self.ejections.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        let help = "Bytes of requests held in memory";
        registry.register_with_unit("buffered", help, Unit::Bytes, self.buffered.clone());
        let help = "Bytes of answers held in memory";
        let gauge = self.buffered_answers.clone();
        registry.register_with_unit("buffered_answers", help, Unit::Bytes, gauge);
        let help = "Time to the head of an answer at an upstream";
        registry.register_with_unit("head", help, Unit::Seconds, self.head_seconds.clone());
        let help = "Time from a request to the end of its answer";
        registry.register_with_unit("request", help, Unit::Seconds, self.request_seconds.clone());
    }

    /// Records the start of a request.
    pub fn record_start(&self) {
        self.in_flight.inc();
    }

    /// Records the end of a request.
    pub fn record_end(&self, outcome: &'static str, span: Duration) {
        self.in_flight.dec();
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
        self.request_seconds.observe(span.as_secs_f64());
    }

    /// Records an attempt for another host.
    pub fn record_carried(&self, outcome: &'static str) {
        self.carried.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records an attempt that another host carried.
    pub fn record_handed_over(&self) {
        self.handed_over.inc();
    }

    /// Sets the number of services out of reach.
    pub fn set_lost_services(&self, count: usize) {
        self.lost_services.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of cold upstreams.
    pub fn set_cold_upstreams(&self, count: usize) {
        self.cold_upstreams.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records that no permit for cold upstreams was left and no other upstream was open.
    pub fn record_cold_wait(&self) {
        self.cold_waits.inc();
    }

    /// Records an attempt at an upstream.
    pub fn record_attempt(&self) {
        self.attempts.inc();
    }

    /// Records the time to response headers.
    pub fn record_head(&self, span: Duration) {
        self.head_seconds.observe(span.as_secs_f64());
    }

    /// Records a failed attempt.
    pub fn record_fault(&self, kind: FaultKind) {
        self.faults.get_or_create(&FaultLabel { kind: kind.name() }).inc();
    }

    /// Records the ejection of an upstream.
    pub fn record_ejection(&self) {
        self.ejections.inc();
    }

    /// Records that a weak answer was escalated.
    pub fn record_escalation(&self) {
        self.escalations.inc();
    }

    /// Records that a stream resumed on another upstream.
    pub fn record_resumption(&self) {
        self.resumptions.inc();
    }

    /// Adds to the buffered bytes of requests; returns the previous value.
    pub fn add_buffered(&self, bytes: i64) -> i64 {
        self.buffered.inc_by(bytes)
    }

    /// Adds to the buffered bytes of answers; returns the previous value.
    pub fn add_buffered_answers(&self, bytes: i64) -> i64 {
        self.buffered_answers.inc_by(bytes)
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> i64 {
        self.in_flight.get()
    }
}
