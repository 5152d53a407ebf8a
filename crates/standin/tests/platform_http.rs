//! The platform over HTTP: each failure reaches the caller as what it is.

use oleander_adapters::platform::{HttpHostList, HttpObjects, HttpRatings, HttpTable, HttpWeights};
use oleander_core::ids::RequestId;
use oleander_core::units::Timestamp;
use oleander_ports::PlatformError;
use oleander_ports::hosts::HostListPort;
use oleander_ports::objects::{ObjectPort, PutOutcome};
use oleander_ports::ratings::{AnswerSample, RatingPort};
use oleander_ports::table::{RowCondition, TablePort, TableTransaction, TransactionOutcome};
use oleander_ports::weights::{WeightGrant, WeightPort};
use oleander_standin::faults::FaultPlan;
use oleander_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(150);

fn insert(key: &str) -> TableTransaction {
    TableTransaction::new()
        .with_condition(RowCondition::Absent(Arc::from(key)))
        .with_put(key, b"v".to_vec())
}

async fn table() -> (PlatformStandin, HttpTable) {
    let standin = PlatformStandin::new();
    let addresses = standin.start_on_free_ports().await.unwrap();
    (standin, HttpTable::new(addresses.table).with_timeout(SHORT))
}

#[tokio::test]
async fn a_second_insert_conflicts_over_http() {
    let (_standin, table) = table().await;
    assert_eq!(table.transact(insert("a/b c")).await.unwrap(), TransactionOutcome::Applied);
    let again = table.transact(insert("a/b c")).await.unwrap();
    assert_eq!(again, TransactionOutcome::Conflict(vec![0]));
    let rows = table.scan("a/", "a0", 10).await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(&*rows[0].key, "a/b c");
}

#[tokio::test]
async fn a_table_that_is_down_says_that_nothing_was_applied() {
    let (standin, table) = table().await;
    standin.table_faults.set_plan(FaultPlan { down: true, ..FaultPlan::default() });
    let refused = table.transact(insert("a")).await;
    assert!(matches!(refused, Err(PlatformError::NotApplied(_))), "{refused:?}");
    standin.table_faults.set_plan(FaultPlan::default());
    assert!(table.get("a").await.unwrap().is_none());
}

#[tokio::test]
async fn a_lost_reply_is_unknown_and_the_row_is_there() {
    let (standin, table) = table().await;
    standin.table_faults.set_plan(FaultPlan { lose_replies: 1, ..FaultPlan::default() });
    let lost = table.transact(insert("a")).await;
    assert!(matches!(lost, Err(PlatformError::Unknown(_))), "{lost:?}");
    assert!(table.get("a").await.unwrap().is_some());
}

#[tokio::test]
async fn a_silent_connection_is_replaced_after_one_timeout() {
    let (standin, table) = table().await;
    table.get("a").await.unwrap();
    standin.table_faults.silence_open_connections();
    let silent = table.get("a").await;
    assert!(matches!(silent, Err(PlatformError::Unknown(_))), "{silent:?}");
    table.get("a").await.unwrap();
}

#[tokio::test]
async fn objects_are_written_once() {
    let standin = PlatformStandin::new();
    let addresses = standin.start_on_free_ports().await.unwrap();
    let objects = HttpObjects::new(addresses.objects);
    assert_eq!(objects.put_if_absent("x/1", vec![0, 255]).await.unwrap(), PutOutcome::Written);
    assert_eq!(objects.put_if_absent("x/1", vec![1]).await.unwrap(), PutOutcome::Exists);
    assert_eq!(objects.get("x/1").await.unwrap(), Some(vec![0, 255]));
    assert_eq!(objects.list("x/").await.unwrap(), vec![Arc::from("x/1")]);
    assert_eq!(objects.get("y").await.unwrap(), None);
}

#[tokio::test]
async fn ratings_weights_and_hosts_answer() {
    let standin = PlatformStandin::new();
    let addresses = standin.start_on_free_ports().await.unwrap();
    let ratings = HttpRatings::new(addresses.ratings);
    let request = RequestId::new(Timestamp::from_millis(5), 9);
    let (cascade, version) = ("tags".parse().unwrap(), "small@1".parse().unwrap());
    standin.ratings.set_quality(&cascade, &version, 0.5);
    let sample = AnswerSample { request, cascade, version, text: Arc::from("x") };
    ratings.submit(vec![sample]).await.unwrap();
    let page = ratings.ratings(0, 10).await.unwrap();
    assert_eq!((page.ratings.len(), page.cursor), (1, 1));
    assert!((page.ratings[0].score.get() - 0.5).abs() <= 0.15);
    let weights = HttpWeights::new(addresses.weights);
    let (upstream, version) = ("r1".parse().unwrap(), "small@1".parse().unwrap());
    let first = weights.reserve(&upstream, &version, 4_000_000).await.unwrap();
    assert_eq!(first, WeightGrant::Granted);
    let second = weights.reserve(&upstream, &version, 1).await.unwrap();
    assert!(matches!(second, WeightGrant::RetryAfter(_)), "{second:?}");
    assert!(HttpHostList::new(addresses.hosts).hosts().await.unwrap().is_empty());
}
