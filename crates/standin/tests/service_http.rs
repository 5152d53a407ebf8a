//! The service stand-in over HTTP: load reports are not recorded as runs.

use http::Request;
use http_body_util::Full;
use oleander_adapters::http_client::{CallError, HttpClient};
use oleander_ports::upstream::LoadReport;
use oleander_standin::faults::FaultPlan;
use oleander_standin::platform::any_port;
use oleander_standin::service::ServiceStandin;
use std::time::Duration;

#[tokio::test]
async fn a_call_with_a_lost_reply_is_one_run_and_a_load_report_none() {
    let service = ServiceStandin::new("desk-1".parse().unwrap());
    let address = service.start(any_port()).await.unwrap();
    let client = HttpClient::new();
    let call = async |method: &str, path: &str, timeout: u64| {
        let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        let request = request.body(Full::from("{}")).unwrap();
        client.send_buffered(request, Duration::from_millis(timeout), 1 << 16).await
    };
    let report = call("GET", "/load", 10_000).await.unwrap();
    let report: LoadReport = serde_json::from_slice(report.body()).unwrap();
    assert!(!report.leaving);
    assert!(service.runs().is_empty());
    service.faults().set_plan(FaultPlan { lose_replies: 1, ..FaultPlan::default() });
    let lost = call("POST", "/orders", 200).await;
    assert!(matches!(lost, Err(CallError::Timeout(_))), "{lost:?}");
    assert_eq!(service.runs().len(), 1);
}
