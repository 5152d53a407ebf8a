//! A non-idempotent call runs at most once, and one reported as `not_run` did not run.

mod support;

use oleander_core::units::Millis;
use oleander_standin::faults::FaultPlan;
use serde_json::json;
use std::sync::atomic::Ordering;
use support::TestBed;

const KEY: (&str, &str) = ("idempotency-key", "order-1");

#[tokio::test]
async fn repeated_order_gets_the_stored_answer() {
    let bed = TestBed::start().await;
    let body = json!({"buns": 40});
    let first = bed.call("order", &[KEY], &body).await;
    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(first.header("x-oleander-cost"), "0.000050");
    let second = bed.call("order", &[KEY], &body).await;
    assert_eq!((second.status, &second.body), (first.status, &first.body));
    assert_eq!(second.header("x-oleander-replayed"), "1");
    assert_eq!(second.header("content-type"), first.header("content-type"));
    assert_eq!((bed.service_runs(), bed.usage.billed().len()), (1, 1));
}

#[tokio::test]
async fn concurrent_orders_with_one_key_run_once() {
    let bed = TestBed::start().await;
    bed.set_service_faults(&FaultPlan { delay_ms: 100, ..FaultPlan::default() });
    let body = json!({"buns": 40});
    let (a, b, c) = tokio::join!(
        bed.call("order", &[KEY], &body),
        bed.call("order", &[KEY], &body),
        bed.call("order", &[KEY], &body)
    );
    let mut statuses = [a.status.as_u16(), b.status.as_u16(), c.status.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409, 409]);
    let held = [a, b, c].into_iter().find(|reply| reply.status == 409).unwrap();
    assert_eq!(held.header("x-oleander-reason"), "in_progress");
    assert_eq!(held.header("retry-after"), "1");
    assert_eq!(bed.service_runs(), 1);
}

#[tokio::test]
async fn key_with_another_body_is_refused() {
    let bed = TestBed::start().await;
    bed.call("order", &[KEY], &json!({"buns": 40})).await;
    let reply = bed.call("order", &[KEY], &json!({"buns": 80})).await;
    assert_eq!(reply.status, 422);
    assert_eq!(reply.header("x-oleander-reason"), "idempotency_key_reused");
    assert_eq!(bed.service_runs(), 1);
}

#[tokio::test]
async fn order_without_a_key_is_refused() {
    let bed = TestBed::start().await;
    let reply = bed.call("order", &[], &json!({})).await;
    assert_eq!(reply.status, 400);
    assert_eq!(reply.header("x-oleander-reason"), "idempotency_key_required");
    assert_eq!(bed.service_runs(), 0);
}

#[tokio::test]
async fn order_with_a_lost_reply_has_an_unknown_outcome_and_is_never_sent_again() {
    let bed = TestBed::start().await;
    bed.set_service_faults(&FaultPlan { lose_replies: 1, ..FaultPlan::default() });
    for _ in 0..3 {
        let reply = bed.call("order", &[KEY], &json!({})).await;
        assert_eq!(reply.status, 502, "{}", reply.body);
        assert_eq!(reply.header("x-oleander-reason"), "outcome_unknown");
        assert_eq!(reply.header("x-oleander-run-state"), "unknown");
    }
    assert_eq!(bed.service_runs(), 1);
    assert!(bed.usage.billed().is_empty());
}

#[tokio::test]
async fn order_without_a_claim_is_not_sent() {
    let bed = TestBed::start().await;
    bed.claims.down.store(true, Ordering::SeqCst);
    let reply = bed.call("order", &[KEY], &json!({})).await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.header("x-oleander-reason"), "platform_down");
    assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    assert_eq!(bed.service_runs(), 0);
}

#[tokio::test]
async fn host_paused_after_its_claim_sends_nothing_and_releases() {
    let bed = TestBed::start().await;
    // The deadline is long, so that only the age of the claim stops the order.
    bed.catalog.publish(|catalog| {
        let operations = catalog.services.values_mut().flat_map(|s| s.operations.values_mut());
        operations.for_each(|operation| operation.timeout = Millis::new(20_000));
    });
    bed.claims.pause_millis.store(2_100, Ordering::SeqCst);
    let reply = bed.call("order", &[KEY], &json!({})).await;
    assert_eq!(reply.header("x-oleander-run-state"), "not_run", "{}", reply.body);
    assert_eq!((bed.service_runs(), bed.claims.held()), (0, 0));
    bed.claims.pause_millis.store(0, Ordering::SeqCst);
    assert_eq!(bed.call("order", &[KEY], &json!({})).await.status, 200);
    assert_eq!(bed.service_runs(), 1);
}

#[tokio::test]
async fn order_without_a_reachable_instance_is_released_and_not_run() {
    let mut catalog = support::catalog();
    catalog.services.clear();
    let catalog_with_service = support::catalog();
    let clock = oleander_ports::clock::SystemClock::shared();
    let bed = TestBed::start_with(catalog, clock, Default::default()).await;
    // Nothing listens at the addresses of the service's instances.
    bed.catalog.publish(|catalog| catalog.services = catalog_with_service.services.clone());
    let reply = bed.call("order", &[KEY], &json!({})).await;
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    assert_eq!(bed.claims.held(), 0);
}

#[tokio::test]
async fn lookup_is_retried_until_it_is_answered() {
    let bed = TestBed::start().await;
    bed.set_service_faults(&FaultPlan { lose_replies: 1, ..FaultPlan::default() });
    let reply = bed.call("lookup", &[], &json!({"item": "buns"})).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(bed.usage.billed().len(), 1);
}

#[tokio::test]
async fn order_is_completed_after_its_caller_disconnects() {
    let bed = TestBed::start().await;
    bed.set_service_faults(&FaultPlan { delay_ms: 200, ..FaultPlan::default() });
    let request = bed.post("/v1/services/stock/order", &[KEY], &json!({}));
    let early = std::time::Duration::from_millis(50);
    let _ = tokio::time::timeout(early, bed.send(request)).await;
    let settled = tokio::time::timeout(std::time::Duration::from_secs(5), async {
        while bed.usage.billed().is_empty() {
            tokio::time::sleep(early).await;
        }
    });
    settled.await.unwrap();
    let reply = bed.call("order", &[KEY], &json!({})).await;
    assert_eq!(reply.header("x-oleander-replayed"), "1", "{}", reply.body);
    assert_eq!(bed.service_runs(), 1);
}
