//! The admin port tells health and metrics.

use http::Request;
use http_body_util::Full;
use oleander_adapters::admin::{AdminPort, ProcessHealth};
use oleander_adapters::http_client::HttpClient;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[tokio::test]
async fn health_follows_the_check_and_metrics_are_listed() {
    let draining = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&draining);
    let health = Arc::new(move || match seen.load(Ordering::SeqCst) {
        true => ProcessHealth::NotReady(Arc::from("draining")),
        false => ProcessHealth::Ready,
    });
    let mut registry = Registry::default();
    let counter: Counter = Counter::default();
    registry.register("requests", "Requests", counter.clone());
    counter.inc();
    let port = AdminPort::new(registry, health);
    let server = port.bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = server.address().unwrap();
    tokio::spawn(server.serve(std::future::pending()));
    let client = HttpClient::new();
    let get = async |path: &str| {
        let request = Request::get(format!("http://{address}{path}"));
        let request = request.body(Full::default()).unwrap();
        let answer = client.send_buffered(request, Duration::from_secs(10), 1 << 16).await.unwrap();
        (answer.status().as_u16(), String::from_utf8(answer.body().to_vec()).unwrap())
    };
    assert_eq!(get("/healthz").await.0, 200);
    draining.store(true, Ordering::SeqCst);
    assert_eq!(get("/healthz").await, (503, "not ready: draining\n".to_owned()));
    assert!(get("/metrics").await.1.contains("requests_total 1"));
    assert_eq!(get("/nothing").await.0, 404);
}
