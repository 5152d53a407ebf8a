//! Each request is billed once, before the caller sees the end of the answer.

mod support;

use oleander_core::reason::RunState;
use oleander_standin::faults::FaultPlan;
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::{TestBed, chat_body};

#[tokio::test]
async fn stream_whose_usage_is_not_recorded_has_no_end_marker() {
    let bed = TestBed::start().await;
    bed.usage.not_held.store(true, Ordering::SeqCst);
    let reply = bed.chat("large", true, &[]).await;
    assert!(!reply.is_done(), "{}", reply.body);
    assert!(!reply.body.contains("finish_reason\":\"stop"), "{}", reply.body);
    assert!(reply.body.contains(r#""code":"ledger_unavailable""#), "{}", reply.body);
}

#[tokio::test]
async fn complete_answer_whose_usage_is_not_recorded_is_not_returned() {
    let bed = TestBed::start().await;
    bed.usage.not_held.store(true, Ordering::SeqCst);
    let reply = bed.chat("large", false, &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header("x-oleander-reason"), "ledger_unavailable");
    assert_eq!(reply.header("x-oleander-run-state"), "done");
    assert!(!reply.header("retry-after").is_empty());
}

#[tokio::test]
async fn nothing_runs_when_usage_cannot_be_recorded() {
    let bed = TestBed::start().await;
    bed.usage.full.store(true, Ordering::SeqCst);
    for reply in [
        bed.chat("large", true, &[]).await,
        bed.call("order", &[("idempotency-key", "k")], &serde_json::json!({})).await,
    ] {
        assert_eq!(reply.status, 503);
        assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    }
    assert!(bed.engine_runs().is_empty());
    assert_eq!(bed.service_runs(), 0);
}

#[tokio::test]
async fn repeats_under_one_key_are_billed_as_one_request() {
    let bed = TestBed::start().await;
    let headers = [("idempotency-key", "plan-2026-12-03")];
    let first = bed.chat("large", false, &headers).await;
    let second = bed.chat("large", true, &headers).await;
    let third = bed.chat("large", false, &headers).await;
    assert_eq!(first.header("x-oleander-request-id"), third.header("x-oleander-request-id"));
    assert_ne!(first.header("x-oleander-request-id"), second.header("x-oleander-request-id"));
    assert_eq!(bed.usage.billed().len(), 2, "a request with another body is billed separately");
}

#[tokio::test]
async fn caller_that_disconnects_is_billed_for_the_generated_tokens() {
    let bed = TestBed::start().await;
    bed.set_engine_faults(&FaultPlan { stalls: 9, cut_after: 3, ..FaultPlan::default() });
    let request = bed.post("/v1/chat/completions", &[], &chat_body("large", true));
    let response = bed.client.send(request, Duration::from_secs(5)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(response);
    let billed = tokio::time::timeout(Duration::from_secs(5), async {
        while bed.usage.billed().is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bed.usage.billed()
    });
    let billed = billed.await.unwrap();
    assert_eq!(billed.len(), 1);
    assert_eq!(billed[0].run, RunState::Partial);
    assert_eq!(billed[0].tokens_out.get(), 3);
    tokio::time::timeout(Duration::from_secs(5), async {
        while bed.view.in_flight() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await
    .unwrap();
}
