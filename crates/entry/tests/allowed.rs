//! A request runs only on a version that its client account allows and that is not withdrawn.

mod support;

use oleander_core::catalog::objects::Withdrawal;
use oleander_ports::catalog::CatalogStatus;
use oleander_standin::faults::FaultPlan;
use std::sync::Arc;
use std::time::Duration;
use support::{DEPOT_KEY, TestBed, chat_body};
use yare::parameterized;

fn depot_request(bed: &TestBed, model: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let mut request = bed.post("/v1/chat/completions", &[], &chat_body(model, false));
    let key = format!("Bearer {DEPOT_KEY}").parse().unwrap();
    request.headers_mut().insert("authorization", key);
    request
}

#[parameterized(
    model = { "large", 403, "not_allowed" },
    version = { "large@1", 403, "not_allowed" },
    other_version_of_an_allowed_model = { "small@2", 403, "not_allowed" },
    unknown = { "no-such", 404, "not_found" },
)]
#[test_macro(tokio::test)]
async fn request_for_a_disallowed_model_does_not_run(model: &str, status: u16, reason: &str) {
    let bed = TestBed::start().await;
    let reply = bed.send(depot_request(&bed, model)).await;
    assert_eq!(reply.status.as_u16(), status, "{}", reply.body);
    assert_eq!(reply.header("x-oleander-reason"), reason);
    assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    assert!(bed.engine_runs().is_empty());
}

#[tokio::test]
async fn cascade_is_served_by_allowed_versions_only() {
    let bed = TestBed::start().await;
    for _ in 0..5 {
        let reply = bed.send(depot_request(&bed, "menu-plan")).await;
        assert_eq!(reply.header("x-oleander-version"), "small@1", "{}", reply.body);
    }
    assert!(bed.engine_runs().iter().all(|version| version == "small@1"));
}

#[tokio::test]
async fn model_list_has_only_what_the_account_may_use() {
    let bed = TestBed::start().await;
    let mut request = bed.post("/v1/models", &[], &serde_json::json!({}));
    *request.method_mut() = http::Method::GET;
    let key = format!("Bearer {DEPOT_KEY}").parse().unwrap();
    request.headers_mut().insert("authorization", key);
    let list = bed.send(request).await.json();
    let ids: Vec<_> = list["data"].as_array().unwrap().iter().map(|m| m["id"].clone()).collect();
    assert_eq!(ids, ["menu-plan", "small", "small@1"]);
}

#[tokio::test]
async fn withdrawn_version_gets_no_new_work() {
    let bed = TestBed::start().await;
    assert_eq!(bed.chat("small@1", false, &[]).await.status, 200);
    bed.catalog.publish(|catalog| {
        let withdrawal = Withdrawal {
            reason: Arc::from("bad summaries"),
            stranded_accounts: Default::default(),
        };
        catalog.withdrawals.insert("small@1".parse().unwrap(), withdrawal);
    });
    let reply = bed.chat("small@1", false, &[]).await;
    assert_eq!(reply.status, 410, "{}", reply.body);
    assert_eq!(reply.header("x-oleander-reason"), "version_withdrawn");
    let reply = bed.chat("small", false, &[]).await;
    assert_eq!(reply.header("x-oleander-version"), "small@2", "{}", reply.body);
    let runs = bed.engine_runs();
    assert_eq!(runs.iter().filter(|version| *version == "small@1").count(), 1);
}

#[tokio::test]
async fn version_withdrawn_during_an_answer_gets_no_further_attempt() {
    let bed = TestBed::start().await;
    bed.set_engine_faults(&FaultPlan { stalls: 9, cut_after: 2, ..FaultPlan::default() });
    let request = bed.post("/v1/chat/completions", &[], &chat_body("small@1", true));
    let response = bed.client.send(request, Duration::from_secs(5)).await.unwrap();
    bed.catalog.publish(|catalog| {
        let withdrawal =
            Withdrawal { reason: Arc::from("bad"), stranded_accounts: Default::default() };
        catalog.withdrawals.insert("small@1".parse().unwrap(), withdrawal);
    });
    let body = oleander_adapters::http_server::read_body(response.into_body(), 1 << 20).await;
    let body = String::from_utf8(body.unwrap().to_vec()).unwrap();
    assert!(body.contains(r#""code":"version_withdrawn""#), "{body}");
    assert!(!body.contains("[DONE]"));
    assert_eq!(bed.engine_runs(), ["small@1"]);
}

#[tokio::test]
async fn host_without_a_catalog_or_cut_off_refuses() {
    let bed = TestBed::start().await;
    for status in [CatalogStatus::Missing, CatalogStatus::CutOff] {
        bed.catalog.set_status(status);
        let reply = bed.chat("large", false, &[]).await;
        assert_eq!(reply.status, 503);
        assert_eq!(reply.header("x-oleander-reason"), "no_catalog");
        assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    }
    assert!(bed.engine_runs().is_empty());
}

#[tokio::test]
async fn account_over_its_rate_gets_a_retry_after() {
    let bed = TestBed::start().await;
    *bed.shares.share.lock().unwrap() =
        oleander_ports::shares::AccountShare { requests_per_second: 0.1, burst: 1.0 };
    assert_eq!(bed.chat("large", false, &[]).await.status, 200);
    let reply = bed.chat("large", false, &[]).await;
    assert_eq!(reply.status, 429);
    assert_eq!(reply.header("retry-after"), "10");
    assert_eq!(reply.header("x-oleander-run-state"), "not_run");
}
