//! A caller gets the complete answer to its own request, or an explicit failure.

mod support;

use oleander_standin::faults::FaultPlan;
use std::time::Duration;
use support::{Reply, TestBed, expected_text};
use yare::parameterized;

async fn answer_under(plan: FaultPlan, stream: bool) -> (TestBed, Reply) {
    let bed = TestBed::start().await;
    bed.set_engine_faults(&plan);
    let reply = bed.chat("large", stream, &[]).await;
    (bed, reply)
}

#[parameterized(
    other_attempt = { FaultPlan { wrong_attempts: 1, ..FaultPlan::default() } },
    other_version = { FaultPlan { wrong_versions: 1, ..FaultPlan::default() } },
    cut = { FaultPlan { cuts: 1, cut_after: 3, ..FaultPlan::default() } },
    cut_before_any_token = { FaultPlan { cuts: 1, ..FaultPlan::default() } },
    duplicated = { FaultPlan { duplicates: 1, ..FaultPlan::default() } },
    stalled = { FaultPlan { stalls: 1, cut_after: 2, ..FaultPlan::default() } },
    reply_lost = { FaultPlan { lose_replies: 1, ..FaultPlan::default() } },
)]
#[test_macro(tokio::test)]
async fn single_fault_is_not_seen_by_the_caller(plan: FaultPlan) {
    for stream in [false, true] {
        let (bed, reply) = answer_under(plan.clone(), stream).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        let text = if stream { reply.streamed_text() } else { reply.text() };
        assert_eq!(text, expected_text("large@1"));
        assert_eq!(reply.is_done(), stream);
        assert_eq!(bed.usage.billed().len(), 1);
    }
}

#[parameterized(
    other_attempt = { FaultPlan { wrong_attempts: 99, ..FaultPlan::default() } },
    other_version = { FaultPlan { wrong_versions: 99, ..FaultPlan::default() } },
)]
#[test_macro(tokio::test)]
async fn answer_of_another_request_or_version_is_never_passed_on(plan: FaultPlan) {
    for stream in [false, true] {
        let (bed, reply) = answer_under(plan.clone(), stream).await;
        assert_eq!(reply.status, 502, "{}", reply.body);
        assert_eq!(reply.header("x-oleander-reason"), "upstream_fault");
        assert_eq!(reply.header("x-oleander-run-state"), "partial");
        assert!(bed.usage.billed().is_empty());
    }
}

#[tokio::test]
async fn stream_that_stays_cut_fails_in_band_and_is_not_billed() {
    let plan = FaultPlan { cuts: 99, cut_after: 2, ..FaultPlan::default() };
    let (bed, reply) = answer_under(plan, true).await;
    assert_eq!(reply.status, 200);
    assert!(!reply.is_done(), "{}", reply.body);
    assert!(reply.body.contains(r#""code":"upstream_fault""#), "{}", reply.body);
    assert!(expected_text("large@1").starts_with(&reply.streamed_text()));
    assert!(bed.usage.billed().is_empty());
}

#[tokio::test]
async fn non_streamed_answer_that_stays_cut_fails() {
    let plan = FaultPlan { cuts: 99, cut_after: 2, ..FaultPlan::default() };
    let (_, reply) = answer_under(plan, false).await;
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header("x-oleander-run-state"), "partial");
}

#[tokio::test]
async fn silent_connections_are_replaced_without_a_failure_of_their_upstream() {
    let bed = TestBed::start().await;
    // More pooled connections than attempts, so that trying them one by one does not succeed.
    let warm = (0..24).map(|_| bed.chat("large", false, &[]));
    for reply in futures_util::future::join_all(warm).await {
        assert_eq!(reply.status, 200);
    }
    bed.engines().iter().for_each(|engine| engine.faults().silence_open_connections());
    let reply = bed.chat("large", true, &[]).await;
    assert_eq!(reply.streamed_text(), expected_text("large@1"));
    let steps = bed.explain(reply.header("x-oleander-request-id")).await;
    let events: Vec<_> = steps.iter().map(|(event, _)| event.as_str()).collect();
    let expected = ["planned", "admitted", "attempt", "fault", "attempt", "answered", "billed"];
    assert_eq!(events, expected);
    assert_eq!(steps[2].1, steps[4].1, "the request was not sent to the same upstream again");
}

#[tokio::test]
async fn engine_that_is_down_is_avoided() {
    let bed = TestBed::start().await;
    bed.engines()[0].faults().set_plan(FaultPlan { down: true, ..FaultPlan::default() });
    for _ in 0..4 {
        assert_eq!(bed.chat("large", false, &[]).await.text(), expected_text("large@1"));
    }
}

#[tokio::test]
async fn request_refused_by_every_engine_is_not_run_and_has_a_retry_after() {
    let plan = FaultPlan { down: true, ..FaultPlan::default() };
    let (bed, reply) = answer_under(plan, true).await;
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    assert_eq!(reply.header("retry-after"), "1");
    assert!(bed.engine_runs().is_empty());
}

/// Starts a test bed with one upstream of one slot, which needs more than a second per answer.
async fn slow_bed() -> TestBed {
    let mut catalog = support::catalog();
    let runners = catalog.pools.get_mut(&"runners".parse().unwrap()).unwrap();
    runners.upstreams.pop_last();
    runners.upstreams.values_mut().for_each(|upstream| upstream.slots = 1);
    for version in catalog.versions.values_mut() {
        version.token_gap = oleander_core::units::Millis::new(60);
    }
    let clock = oleander_ports::clock::SystemClock::shared();
    TestBed::start_with(catalog, clock, Default::default()).await
}

#[tokio::test]
async fn wait_for_a_slot_does_not_count_as_a_silent_connection() {
    let bed = slow_bed().await;
    let (a, b) = tokio::join!(bed.chat("large", true, &[]), bed.chat("large", true, &[]));
    for reply in [a, b] {
        assert!(reply.is_done(), "{}", reply.body);
        let steps = bed.explain(reply.header("x-oleander-request-id")).await;
        assert!(steps.iter().all(|(event, _)| event != "fault"), "{steps:?}");
    }
    assert_eq!(bed.engine_runs().len(), 2);
}

#[tokio::test]
async fn deadline_ends_a_stream_in_progress() {
    let bed = slow_bed().await;
    let reply = bed.chat("large", true, &[("x-oleander-deadline-ms", "500")]).await;
    assert!(!reply.is_done());
    assert!(reply.body.contains(r#""code":"deadline_exceeded""#), "{}", reply.body);
    assert!(expected_text("large@1").starts_with(&reply.streamed_text()));
    assert!(bed.usage.billed().is_empty());
}

#[tokio::test]
async fn deadline_ends_the_request_and_its_attempt() {
    let bed = TestBed::start().await;
    bed.set_engine_faults(&FaultPlan { delay_ms: 3_000, ..FaultPlan::default() });
    let headers = [("x-oleander-deadline-ms", "400")];
    let reply = tokio::time::timeout(Duration::from_secs(2), bed.chat("large", true, &headers));
    let reply = reply.await.unwrap();
    assert_eq!(reply.status, 504, "{}", reply.body);
    assert_eq!(reply.header("x-oleander-reason"), "deadline_exceeded");
    assert!(bed.usage.billed().is_empty());
}
