//! Cascades: answers of low confidence are escalated, and the caller sees one answer only.

mod support;

use oleander_core::choice_mode::ChoiceMode;
use oleander_ports::clock::SystemClock;
use oleander_standin::faults::FaultPlan;
use support::{TestBed, catalog, expected_text};
use yare::parameterized;

async fn bed(mode: ChoiceMode) -> TestBed {
    TestBed::start_with(catalog(), SystemClock::shared(), mode).await
}

#[tokio::test]
async fn low_confidence_answer_is_escalated_and_the_caller_billed_once() {
    let bed = bed(ChoiceMode::CheapThenEscalate).await;
    for stream in [false, true] {
        let reply = bed.chat("menu-plan", stream, &[]).await;
        assert_eq!(reply.header("x-oleander-version"), "large@1", "{}", reply.body);
        assert_eq!(reply.header("x-oleander-cascade-step"), "1");
        let text = if stream { reply.streamed_text() } else { reply.text() };
        assert_eq!(text, expected_text("large@1"));
    }
    let billed = bed.usage.billed();
    assert_eq!(billed.len(), 2);
    assert!(billed.iter().all(|record| record.upstream_cost > record.billed));
    assert_eq!(bed.engine_runs().iter().filter(|version| *version == "small@1").count(), 2);
}

#[parameterized(
    always_costly = { ChoiceMode::AlwaysCostly, "large@1" },
    model_aware = { ChoiceMode::ModelAware, "large@1" },
    uniform_random = { ChoiceMode::UniformRandom, "large@1" },
    least_reported = { ChoiceMode::LeastReported, "large@1" },
)]
#[test_macro(tokio::test)]
async fn quality_target_above_the_cheap_version_gets_the_costly_one(
    mode: ChoiceMode,
    version: &str,
) {
    let bed = bed(mode).await;
    let reply = bed.chat("menu-plan", false, &[]).await;
    assert_eq!(reply.header("x-oleander-version"), version, "{}", reply.body);
}

#[tokio::test]
async fn low_quality_target_is_served_by_the_cheap_version() {
    let bed = bed(ChoiceMode::ModelAware).await;
    let reply = bed.chat("menu-plan", false, &[("x-oleander-quality-target", "0.3")]).await;
    assert_eq!(reply.header("x-oleander-version"), "small@1", "{}", reply.body);
}

#[tokio::test]
async fn low_confidence_answer_is_returned_when_no_better_one_is_available() {
    let mut catalog = catalog();
    let mut costly = catalog.pools[&"runners".parse().unwrap()].clone();
    let (_, upstream) = costly.upstreams.pop_first().unwrap();
    costly.upstreams = [(support::upstream("runner-3"), upstream)].into();
    catalog.pools.insert("costly".parse().unwrap(), costly);
    let large = catalog.versions.get_mut(&"large@1".parse().unwrap()).unwrap();
    large.pool = "costly".parse().unwrap();
    let clock = SystemClock::shared();
    let bed = TestBed::start_with(catalog, clock, ChoiceMode::CheapThenEscalate).await;
    let engine = &bed.deployment.engines[&support::upstream("runner-3")];
    engine.faults().set_plan(FaultPlan { down: true, ..FaultPlan::default() });
    let reply = bed.chat("menu-plan", true, &[]).await;
    assert_eq!(reply.streamed_text(), expected_text("small@1"), "{}", reply.body);
    assert_eq!(reply.header("x-oleander-cascade-step"), "0");
    assert!(reply.is_done());
}

#[tokio::test]
async fn deadline_that_no_version_can_meet_is_refused_at_once() {
    let bed = bed(ChoiceMode::ModelAware).await;
    bed.set_engine_faults(&FaultPlan { delay_ms: 5_000, ..FaultPlan::default() });
    let reply = bed.chat("menu-plan", false, &[("x-oleander-deadline-ms", "50")]).await;
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!(reply.header("x-oleander-reason"), "deadline_too_short");
    assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    assert!(!reply.header("retry-after").is_empty());
}

#[tokio::test]
async fn answers_are_submitted_for_rating() {
    let bed = bed(ChoiceMode::ModelAware).await;
    bed.deployment.platform.ratings.set_sampling(1.0, std::time::Duration::ZERO);
    bed.chat("menu-plan", false, &[]).await;
    let rated = tokio::time::timeout(std::time::Duration::from_secs(5), async {
        loop {
            use oleander_ports::ratings::RatingPort;
            let page = bed.deployment.platform.ratings.ratings(0, 10).await.unwrap();
            if let Some(rating) = page.ratings.first() {
                return rating.clone();
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    });
    assert_eq!(rated.await.unwrap().version.as_str(), "large@1");
}
