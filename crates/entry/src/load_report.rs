//! Reads the load report of an upstream.

use crate::upstream_handle::UpstreamHandle;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use oleander_adapters::http_client::HttpClient;
use oleander_ports::upstream::LoadReport;
use std::time::Duration;

/// Timeout for reading a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest report that is read, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Reads an upstream's load report; `None` when it cannot be read.
pub async fn read_report(client: &HttpClient, handle: &UpstreamHandle) -> Option<LoadReport> {
    let uri = format!("http://{}/load", handle.address);
    let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
    let sent = client.send_buffered(request, REPORT_TIMEOUT, MAX_REPORT_BYTES).await;
    let response = sent.inspect_err(|error| {
        log::debug!("load_report_failed upstream={} {error}", handle.name);
    });
    serde_json::from_slice(response.ok()?.body()).ok()
}

/// Whether an upstream reports queued requests, polled on a new connection.
pub async fn is_queueing(handle: &UpstreamHandle) -> bool {
    let report = read_report(&HttpClient::new(), handle).await;
    report.is_some_and(|report| report.queued > 0)
}
