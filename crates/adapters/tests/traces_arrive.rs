//! Spans reach a collector, with the trace of the caller.

use http::{HeaderMap, HeaderValue, StatusCode};
use oleander_adapters::http_server::{HttpHandler, HttpServer, json_response, read_body};
use oleander_adapters::traces::{TraceExporter, inject_context, set_parent};
use std::sync::{Arc, Mutex};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spans_of_two_hops_arrive_under_the_callers_trace() {
    let bodies: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = Arc::clone(&bodies);
    let handler: HttpHandler = Arc::new(move |request, _| {
        let seen = Arc::clone(&seen);
        Box::pin(async move {
            let body = read_body(request.into_body(), 1 << 20).await.unwrap();
            seen.lock().unwrap().push(String::from_utf8(body.to_vec()).unwrap());
            json_response(StatusCode::OK, &serde_json::json!({}))
        })
    });
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), handler).await.unwrap();
    let collector = server.address().unwrap();
    tokio::spawn(server.serve(std::future::pending()));

    let exporter = TraceExporter::start(collector, "test.entry").unwrap();
    let mut incoming = HeaderMap::new();
    let parent = format!("00-{TRACE}-b7ad6b7169203331-01");
    incoming.insert("traceparent", HeaderValue::from_str(&parent).unwrap());
    let mut outgoing = HeaderMap::new();
    {
        let caller = tracing::info_span!("caller");
        set_parent(&caller, &incoming);
        let attempt = tracing::info_span!(parent: &caller, "attempt");
        inject_context(&attempt, &mut outgoing);
    }
    exporter.flush().await;

    let sent = outgoing["traceparent"].to_str().unwrap();
    assert!(sent.contains(TRACE), "{sent}");
    assert_ne!(sent, parent);
    let received = bodies.lock().unwrap().concat();
    for wanted in ["\"caller\"", "\"attempt\"", TRACE, "test.entry"] {
        assert!(received.contains(wanted), "{wanted} is missing in {received}");
    }
}
