//! Rollouts: advanced by ratings, rolled back for a bad version, resumed by another steward.

mod support;

use oleander_core::catalog::objects::RolloutPhase;
use oleander_steward::statistics_table::StatisticsTable;
use std::sync::Arc;
use support::{
    SlowTable, TestPlatform, catalog_with_rollout, rollout_name, sleep, small_catalog, version,
};

async fn platform_with_rollout(quality_of_new: f64) -> TestPlatform {
    let platform = TestPlatform::new();
    platform.set_quality("menu-large@1", 0.9);
    platform.set_quality("menu-large@2", quality_of_new);
    platform.publish(&catalog_with_rollout()).await;
    platform
}

#[tokio::test(start_paused = true)]
async fn good_version_goes_through_every_step_and_becomes_current() {
    let platform = platform_with_rollout(0.9).await;
    let _steward = platform.steward(1);
    let mut steps = Vec::new();
    for _ in 0..40 {
        platform.run_traffic(1, 5).await;
        steps.push(platform.rollout().await.step);
    }
    steps.dedup();
    assert_eq!(steps, vec![0, 1, 2]);
    assert_eq!(platform.rollout().await.phase, RolloutPhase::Completed);
    let catalog = platform.head_catalog().await;
    assert_eq!(catalog.models.values().next().unwrap().current, version("menu-large@2"));
}

#[tokio::test(start_paused = true)]
async fn step_waits_for_its_ratings() {
    let platform = platform_with_rollout(0.9).await;
    let _steward = platform.steward(1);
    sleep(60.0).await;
    assert_eq!(platform.rollout().await.step, 0);
    platform.submit_answers("menu-large@2", 19).await;
    sleep(5.0).await;
    assert_eq!(platform.rollout().await.step, 0);
    platform.submit_answers("menu-large@2", 1).await;
    sleep(5.0).await;
    assert_eq!(platform.rollout().await.step, 1);
}

/// The new version is far worse: it is withdrawn without an operator and the old one stays current.
#[tokio::test(start_paused = true)]
async fn bad_version_is_withdrawn_automatically() {
    let platform = platform_with_rollout(0.4).await;
    let _steward = platform.steward(1);
    for _ in 0..40 {
        platform.run_traffic(1, 2).await;
    }
    let catalog = platform.head_catalog().await;
    let withdrawal = &catalog.withdrawals[&version("menu-large@2")];
    assert!(withdrawal.reason.contains("its ratings fell"), "{}", withdrawal.reason);
    assert_eq!(catalog.rollouts[&rollout_name()].phase, RolloutPhase::RolledBack);
    assert_eq!(catalog.models.values().next().unwrap().current, version("menu-large@1"));
    let head = platform.store().head().await.unwrap().record.unwrap();
    assert_eq!(&*head.author, "rollout-driver");
    assert!(head.restricts);
}

/// The driver crashes in the middle of a rollout. Another one resumes from the catalog and the
/// table alone, and no rating is lost or counted twice.
#[tokio::test(start_paused = true)]
async fn interrupted_rollout_is_resumed_by_another_steward() {
    let platform = platform_with_rollout(0.9).await;
    let first = platform.steward(1);
    platform.run_traffic(8, 5).await;
    let reached = platform.rollout().await.step;
    assert!(reached >= 1);
    first.kill();
    let second = platform.steward(2);
    platform.run_traffic(40, 5).await;
    assert_eq!(platform.rollout().await.phase, RolloutPhase::Completed);
    sleep(5.0).await;
    let table = StatisticsTable::new(Arc::new(platform.table.clone()));
    let counted: u32 =
        table.read().await.unwrap().statistics.table.sums.iter().map(|sum| sum.count).sum();
    assert_eq!(counted, 2 * 5 * 48);
    second.kill();
}

/// With two stewards each step is published once, by the holder of the lease.
#[tokio::test(start_paused = true)]
async fn two_stewards_publish_each_step_once() {
    let platform = platform_with_rollout(0.9).await;
    let _stewards = (platform.steward(1), platform.steward(2));
    platform.run_traffic(60, 5).await;
    let history = platform.store().history(Default::default(), 20).await.unwrap();
    let notes: Vec<&str> = history.iter().map(|record| &*record.note).collect();
    assert_eq!(history.len(), 4, "{notes:?}");
}

/// An operator and the driver publish concurrently; neither reverts the other's changes.
#[tokio::test(start_paused = true)]
async fn operator_and_driver_do_not_revert_each_other() {
    let platform = platform_with_rollout(0.9).await;
    let steward = platform.steward(1);
    let operators = steward.operator_service();
    for round in 0..30u128 {
        platform.run_traffic(1, 5).await;
        let change = serde_json::json!({
            "publish_id": format!("pub-{round:032x}"),
            "change": { "edit": if round % 2 == 0 { "drain" } else { "undrain" },
                        "upstream": "engine-1", "reason": "heat" },
        });
        let mut change = change;
        if round % 2 == 1 {
            change["change"].as_object_mut().unwrap().remove("reason");
        }
        operators.edit(&serde_json::from_value(change).unwrap(), "kim").await.unwrap();
    }
    platform.run_traffic(10, 5).await;
    assert_eq!(platform.rollout().await.phase, RolloutPhase::Completed);
    assert!(platform.head_catalog().await.drains.is_empty());
}

#[tokio::test(start_paused = true)]
async fn rollout_completes_after_an_outage_of_the_table() {
    let platform = platform_with_rollout(0.9).await;
    let _steward = platform.steward(1);
    platform.run_traffic(3, 5).await;
    platform.table.set_down(true);
    platform.run_traffic(60, 5).await;
    platform.table.set_down(false);
    platform.run_traffic(60, 5).await;
    assert_eq!(platform.rollout().await.phase, RolloutPhase::Completed);
}

#[tokio::test(start_paused = true)]
async fn catalog_without_rollouts_is_not_changed() {
    let platform = TestPlatform::new();
    platform.publish(&small_catalog()).await;
    let _steward = platform.steward(1);
    platform.run_traffic(20, 5).await;
    assert_eq!(platform.store().head().await.unwrap().revision().get(), 1);
}

/// The driver's write of the statistics is delayed until another steward has taken over. The late
/// write must not change anything.
#[tokio::test(start_paused = true)]
async fn late_write_of_a_replaced_driver_changes_nothing() {
    let platform = platform_with_rollout(0.9).await;
    let table = SlowTable::new(platform.table.clone());
    let first = platform.steward_on(&table, 1);
    platform.run_traffic(5, 2).await;
    table.hold_next_statistics();
    while !table.is_holding() {
        platform.run_traffic(1, 2).await;
    }
    first.kill();
    let second = platform.steward(2);
    platform.run_traffic(30, 2).await;
    let statistics = StatisticsTable::new(Arc::new(platform.table.clone()));
    let before = statistics.read().await.unwrap();
    table.release();
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    let after = statistics.read().await.unwrap();
    assert_eq!(after, before);
    second.kill();
}

/// Of two concurrent edits the second conflicts and is applied to the new head; both are published.
#[tokio::test(start_paused = true)]
async fn concurrent_edits_are_both_published() {
    let platform = TestPlatform::new();
    platform.publish(&small_catalog()).await;
    let table = SlowTable::new(platform.table.clone());
    let steward = platform.steward_on(&table, 1);
    let operators = steward.operator_service();
    let drain = |number: u32| {
        let upstream = format!("engine-{number}");
        serde_json::from_value(serde_json::json!({
            "publish_id": format!("pub-{number:032x}"),
            "change": { "edit": "drain", "upstream": upstream, "reason": "heat" },
        }))
        .unwrap()
    };
    let (one, other) = (drain(1), drain(2));
    let (first, second) = tokio::join!(operators.edit(&one, "kim"), operators.edit(&other, "lee"));
    assert_ne!(first.unwrap().revision, second.unwrap().revision);
    assert_eq!(platform.head_catalog().await.drains.len(), 2);
}
