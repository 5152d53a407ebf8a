//! Roll-outs: driven by ratings, ended for a bad version, resumed by another steward.

mod support;

use oleander_core::catalog::objects::RolloutPhase;
use oleander_steward::statistics_table::StatisticsTable;
use std::sync::Arc;
use support::{SlowTable, World, catalog_with_rollout, pass, rollout_name, small_catalog, version};

async fn world_with_rollout(quality_of_new: f64) -> World {
    let world = World::new();
    world.set_quality("menu-large@1", 0.9);
    world.set_quality("menu-large@2", quality_of_new);
    world.publish(&catalog_with_rollout()).await;
    world
}

#[tokio::test(start_paused = true)]
async fn good_version_goes_through_every_step_and_becomes_current() {
    let world = world_with_rollout(0.9).await;
    let _steward = world.steward(1);
    let mut steps = Vec::new();
    for _ in 0..40 {
        world.run(1, 5).await;
        steps.push(world.rollout().await.step);
    }
    steps.dedup();
    assert_eq!(steps, vec![0, 1, 2]);
    assert_eq!(world.rollout().await.phase, RolloutPhase::Completed);
    let catalog = world.head_catalog().await;
    assert_eq!(catalog.models.values().next().unwrap().current, version("menu-large@2"));
}

#[tokio::test(start_paused = true)]
async fn step_waits_for_its_ratings() {
    let world = world_with_rollout(0.9).await;
    let _steward = world.steward(1);
    pass(60.0).await;
    assert_eq!(world.rollout().await.step, 0);
    world.answer("menu-large@2", 19).await;
    pass(5.0).await;
    assert_eq!(world.rollout().await.step, 0);
    world.answer("menu-large@2", 1).await;
    pass(5.0).await;
    assert_eq!(world.rollout().await.step, 1);
}

/// The new version is far worse: it is withdrawn without an operator, the old one stays current.
#[tokio::test(start_paused = true)]
async fn bad_version_is_withdrawn_by_itself() {
    let world = world_with_rollout(0.4).await;
    let _steward = world.steward(1);
    for _ in 0..40 {
        world.run(1, 2).await;
    }
    let catalog = world.head_catalog().await;
    let withdrawal = &catalog.withdrawals[&version("menu-large@2")];
    assert!(withdrawal.reason.contains("its ratings fell"), "{}", withdrawal.reason);
    assert_eq!(catalog.rollouts[&rollout_name()].phase, RolloutPhase::RolledBack);
    assert_eq!(catalog.models.values().next().unwrap().current, version("menu-large@1"));
    let head = world.store().head().await.unwrap().record.unwrap();
    assert_eq!(&*head.author, "rollout-driver");
    assert!(head.restricts);
}

/// The driver dies in the middle; another goes on from the catalog and the table alone, and no
/// rating is counted twice or lost.
#[tokio::test(start_paused = true)]
async fn interrupted_rollout_is_resumed_by_another_steward() {
    let world = world_with_rollout(0.9).await;
    let first = world.steward(1);
    world.run(8, 5).await;
    let reached = world.rollout().await.step;
    assert!(reached >= 1);
    first.abandon();
    let second = world.steward(2);
    world.run(40, 5).await;
    assert_eq!(world.rollout().await.phase, RolloutPhase::Completed);
    pass(5.0).await;
    let table = StatisticsTable::new(Arc::new(world.table.clone()));
    let counted: u32 =
        table.read().await.unwrap().statistics.table.sums.iter().map(|sum| sum.count).sum();
    assert_eq!(counted, 2 * 5 * 48);
    second.abandon();
}

/// Two stewards at once: steps are published once each, by the holder of the lease.
#[tokio::test(start_paused = true)]
async fn two_stewards_publish_each_step_once() {
    let world = world_with_rollout(0.9).await;
    let _stewards = (world.steward(1), world.steward(2));
    world.run(60, 5).await;
    let history = world.store().history(Default::default(), 20).await.unwrap();
    let notes: Vec<&str> = history.iter().map(|record| &*record.note).collect();
    assert_eq!(history.len(), 4, "{notes:?}");
}

/// An operator publishes while the driver drives; neither undoes the other.
#[tokio::test(start_paused = true)]
async fn operator_and_driver_do_not_undo_each_other() {
    let world = world_with_rollout(0.9).await;
    let steward = world.steward(1);
    let desk = steward.desk();
    for round in 0..30u128 {
        world.run(1, 5).await;
        let change = serde_json::json!({
            "publish_id": format!("pub-{round:032x}"),
            "change": { "edit": if round % 2 == 0 { "drain" } else { "undrain" },
                        "upstream": "engine-1", "reason": "heat" },
        });
        let mut change = change;
        if round % 2 == 1 {
            change["change"].as_object_mut().unwrap().remove("reason");
        }
        desk.edit(&serde_json::from_value(change).unwrap(), "kim").await.unwrap();
    }
    world.run(10, 5).await;
    assert_eq!(world.rollout().await.phase, RolloutPhase::Completed);
    assert!(world.head_catalog().await.drains.is_empty());
}

#[tokio::test(start_paused = true)]
async fn nothing_is_driven_while_the_table_is_out_and_all_goes_on_after() {
    let world = world_with_rollout(0.9).await;
    let _steward = world.steward(1);
    world.run(3, 5).await;
    world.table.set_down(true);
    world.run(60, 5).await;
    world.table.set_down(false);
    world.run(60, 5).await;
    assert_eq!(world.rollout().await.phase, RolloutPhase::Completed);
}

#[tokio::test(start_paused = true)]
async fn catalog_without_rollouts_is_left_alone() {
    let world = World::new();
    world.publish(&small_catalog()).await;
    let _steward = world.steward(1);
    world.run(20, 5).await;
    assert_eq!(world.store().head().await.unwrap().revision().get(), 1);
}

/// The driver's write of the statistics stays in the network; another steward goes on; then the
/// write arrives. It changes nothing.
#[tokio::test(start_paused = true)]
async fn late_write_of_a_replaced_driver_changes_nothing() {
    let world = world_with_rollout(0.9).await;
    let table = SlowTable::new(world.table.clone());
    let first = world.steward_on(&table, 1);
    world.run(5, 2).await;
    table.hold_next_statistics();
    while !table.is_holding() {
        world.run(1, 2).await;
    }
    first.abandon();
    let second = world.steward(2);
    world.run(30, 2).await;
    let statistics = StatisticsTable::new(Arc::new(world.table.clone()));
    let before = statistics.read().await.unwrap();
    table.release();
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    let after = statistics.read().await.unwrap();
    assert_eq!(after, before);
    second.abandon();
}

/// Two changes by name at once: the one that comes second is decided anew, and both are made.
#[tokio::test(start_paused = true)]
async fn changes_by_name_at_once_are_both_made() {
    let world = World::new();
    world.publish(&small_catalog()).await;
    let table = SlowTable::new(world.table.clone());
    let steward = world.steward_on(&table, 1);
    let desk = steward.desk();
    let drain = |number: u32| {
        let upstream = format!("engine-{number}");
        serde_json::from_value(serde_json::json!({
            "publish_id": format!("pub-{number:032x}"),
            "change": { "edit": "drain", "upstream": upstream, "reason": "heat" },
        }))
        .unwrap()
    };
    let (one, other) = (drain(1), drain(2));
    let (first, second) = tokio::join!(desk.edit(&one, "kim"), desk.edit(&other, "lee"));
    assert_ne!(first.unwrap().revision, second.unwrap().revision);
    assert_eq!(world.head_catalog().await.drains.len(), 2);
}
