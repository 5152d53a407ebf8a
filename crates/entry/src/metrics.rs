//! Prometheus metrics of an entry, with bounded label sets.

use oleander_core::attempt_retry::FaultKind;
use oleander_core::ids::VersionName;
use oleander_core::reason::Reason;
use oleander_core::units::Money;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::fmt;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FaultLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabel {
    version: String,
}

/// Gauges that are read at scrape time.
pub struct GaugeValues {
    /// Requests in flight.
    pub in_flight: usize,
    /// Catalog revision in force.
    pub revision: u64,
    /// Whether the entry is draining.
    pub draining: bool,
}

/// Collects [`GaugeValues`] at scrape time.
pub struct GaugeCollector {
    read: Box<dyn Fn() -> GaugeValues + Send + Sync>,
}

impl GaugeCollector {
    /// Creates a collector of the gauges that `read` returns.
    pub fn new(read: impl Fn() -> GaugeValues + Send + Sync + 'static) -> Self {
        Self { read: Box::new(read) }
    }
}

impl fmt::Debug for GaugeCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GaugeCollector")
    }
}

impl Collector for GaugeCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let values = (self.read)();
        let gauges = [
            ("in_flight", "Requests in flight", values.in_flight as i64),
            ("revision", "Catalog revision in force", values.revision as i64),
            ("draining", "1 while stopping", i64::from(values.draining)),
        ];
        for (name, help, value) in gauges {
            let gauge = ConstGauge::new(value);
            let metric = encoder.encode_descriptor(name, help, None, gauge.metric_type())?;
            gauge.encode(metric)?;
        }
        Ok(())
    }
}

/// Counters and histograms of an entry.
pub struct EntryMetrics {
    requests: Family<OutcomeLabel, Counter>,
    faults: Family<FaultLabel, Counter>,
    answers: Family<VersionLabel, Counter>,
    billed: Counter,
    upstream_cost: Counter,
    first_token: Histogram,
    duration: Histogram,
}

/// Upper bound of the first histogram bucket; each further bound is [`BUCKET_FACTOR`] times
/// larger.
const FIRST_TOKEN_START_SECONDS: f64 = 0.005;
const DURATION_START_SECONDS: f64 = 0.02;
const BUCKET_FACTOR: f64 = 1.6;
const BUCKETS: u16 = 18;

impl EntryMetrics {
    /// Creates metrics that start at zero.
    pub fn new() -> Self {
        Self {
            requests: Family::default(),
            faults: Family::default(),
            answers: Family::default(),
            billed: Counter::default(),
            upstream_cost: Counter::default(),
            first_token: histogram(FIRST_TOKEN_START_SECONDS),
            duration: histogram(DURATION_START_SECONDS),
        }
    }

    /// Creates a registry with these metrics and `gauges`.
    pub fn registry(&self, gauges: GaugeCollector) -> Registry {
        let mut registry = Registry::with_prefix("oleander_entry");
        registry.register("requests", "Requests by outcome or reason", self.requests.clone());
        registry.register("attempt_faults", "Failed attempts by kind", self.faults.clone());
        registry.register("answers", "Whole answers by version", self.answers.clone());
        registry.register("billed_micros", "Millionths billed", self.billed.clone());
        let help = "Millionths that attempts cost";
        registry.register("upstream_cost_micros", help, self.upstream_cost.clone());
        let help = "Time to the first piece that the caller got";
        let unit = Unit::Seconds;
        registry.register_with_unit("first_token", help, unit.clone(), self.first_token.clone());
        let help = "Time to the end of the answer";
        registry.register_with_unit("duration", help, unit, self.duration.clone());
        registry.register_collector(Box::new(gauges));
        registry
    }

    fn count_outcome(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a complete answer that was billed.
    pub fn count_answer(&self, version: &VersionName, billed: Money, upstream_cost: Money) {
        self.count_outcome("answered");
        self.answers.get_or_create(&VersionLabel { version: version.to_string() }).inc();
        self.billed.inc_by(billed.as_micros());
        self.upstream_cost.inc_by(upstream_cost.as_micros());
    }

    /// Counts an answered call of a plain service.
    pub fn count_service_call(&self, billed: Money) {
        self.count_outcome("service_answered");
        self.billed.inc_by(billed.as_micros());
    }

    /// Counts a stored answer that was returned again.
    pub fn count_replay(&self) {
        self.count_outcome("replayed");
    }

    /// Counts a caller that disconnected.
    pub fn count_disconnect(&self) {
        self.count_outcome("caller_gone");
    }

    /// Counts a refusal or failure.
    pub fn count_refusal(&self, reason: Reason) {
        self.count_outcome(reason.code());
    }

    /// Counts a failed attempt.
    pub fn count_fault(&self, kind: FaultKind) {
        self.faults.get_or_create(&FaultLabel { kind: kind.name() }).inc();
    }

    /// Records the time to first token.
    pub fn observe_first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Records the time to the end of an answer.
    pub fn observe_duration(&self, time: Duration) {
        self.duration.observe(time.as_secs_f64());
    }
}

fn histogram(start: f64) -> Histogram {
    Histogram::new(exponential_buckets(start, BUCKET_FACTOR, BUCKETS))
}
