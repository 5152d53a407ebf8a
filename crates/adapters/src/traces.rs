//! Traces: `tracing` spans exported by OTLP over HTTP, and W3C trace context in headers.
//!
//! Spans are queued and exported by a task of the runtime. When the collector is dead or slow
//! the queue fills and further spans are dropped; the data path never waits.

use anyhow::Context as _;
use http::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::TracerProvider as _;
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::runtime::Tokio;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use opentelemetry_sdk::trace::{BatchConfigBuilder, SdkTracerProvider};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;

/// Spans that wait for export at the most.
const MAX_QUEUED_SPANS: usize = 4_096;
/// Spans exported in one call at the most.
const MAX_BATCH_SPANS: usize = 512;
/// Time between exports.
const EXPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Exports spans until it is stopped.
pub struct TraceExporter {
    provider: SdkTracerProvider,
}

impl TraceExporter {
    /// Starts exporting the process's spans to the collector. Call it once, on the runtime that
    /// lives as long as the process.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be built or a subscriber is set already.
    pub fn start(collector: SocketAddr, process: &str) -> anyhow::Result<Self> {
        let provider = new_provider(collector, process)?;
        let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("oleanderhollow"));
        let subscriber = tracing_subscriber::registry().with(layer);
        tracing::subscriber::set_global_default(subscriber)
            .context("traces were started before")?;
        Ok(Self { provider })
    }

    /// Exports what is queued, waiting at most for one export.
    pub async fn flush(self) {
        let flushed = tokio::task::spawn_blocking(move || self.provider.force_flush());
        let _ = tokio::time::timeout(EXPORT_TIMEOUT, flushed).await;
    }
}

fn new_provider(collector: SocketAddr, process: &str) -> anyhow::Result<SdkTracerProvider> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpJson)
        .with_endpoint(format!("http://{collector}/v1/traces"))
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .context("the trace exporter cannot be built")?;
    let batches = BatchConfigBuilder::default()
        .with_max_queue_size(MAX_QUEUED_SPANS)
        .with_max_export_batch_size(MAX_BATCH_SPANS)
        .with_scheduled_delay(EXPORT_INTERVAL)
        .with_max_export_timeout(EXPORT_TIMEOUT)
        .build();
    let processor = BatchSpanProcessor::builder(exporter, Tokio).with_batch_config(batches).build();
    let resource = Resource::builder_empty()
        .with_attribute(KeyValue::new("service.name", process.to_owned()))
        .build();
    Ok(SdkTracerProvider::builder().with_span_processor(processor).with_resource(resource).build())
}

struct HeaderReader<'a>(&'a HeaderMap);

impl Extractor for HeaderReader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeaderWriter<'a>(&'a mut HeaderMap);

impl Injector for HeaderWriter<'_> {
    fn set(&mut self, key: &str, value: String) {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(key), HeaderValue::try_from(value)) {
            self.0.insert(name, value);
        }
    }
}

/// Makes the trace context in `headers` the parent of `span`.
pub fn set_parent(span: &Span, headers: &HeaderMap) {
    let parent = TraceContextPropagator::new().extract(&HeaderReader(headers));
    let _ = span.set_parent(parent);
}

/// Writes the trace context of `span` into `headers`.
pub fn inject_context(span: &Span, headers: &mut HeaderMap) {
    let context: Context = span.context();
    TraceContextPropagator::new().inject_context(&context, &mut HeaderWriter(headers));
}
