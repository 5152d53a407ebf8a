//! Publishing is atomic and idempotent, and reports conflicts.

mod support;

use oleander_catalog::PublishError;
use oleander_core::ids::Revision;
use oleander_ports::table::RowCondition;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use support::{LossyTable, Stores, drained, request, small_catalog};
use yare::parameterized;

#[tokio::test(start_paused = true)]
async fn first_publication_is_revision_one_with_its_history() {
    let stores = Stores::default();
    let published = stores.publish(&small_catalog(), 0).await.unwrap();
    assert_eq!((published.revision, published.changed), (Revision::new(1), true));
    let history = stores.publisher().store().history(Revision::new(0), 10).await.unwrap();
    assert_eq!(history.len(), 1);
    assert_eq!(&*history[0].author, "kim");
}

#[tokio::test(start_paused = true)]
async fn catalog_with_findings_is_not_published() {
    let stores = Stores::default();
    let mut catalog = small_catalog();
    catalog.pools.clear();
    let refused = stores.publish(&catalog, 0).await.unwrap_err();
    assert!(matches!(refused, PublishError::Invalid(findings) if findings.len() >= 4));
    assert_eq!(stores.table.counts().transactions, 0);
}

#[tokio::test(start_paused = true)]
async fn unchanged_catalog_creates_no_revision() {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let again = stores.publish(&small_catalog(), 1).await.unwrap();
    assert_eq!((again.revision, again.changed), (Revision::new(1), false));
}

/// Guards against publishing twice or reporting a false failure when requests or replies of the
/// transaction are lost. The publication is found by its id.
#[parameterized(
    reply_lost = { 1, 0 },
    two_replies_lost = { 2, 0 },
    request_lost = { 0, 1 },
    both = { 1, 2 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn lost_reply_is_resolved_by_reading_back(lost_replies: u32, lost_requests: u32) {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let lossy = LossyTable { inner: stores.table.clone(), ..LossyTable::default() };
    lossy.lost_replies.store(lost_replies, Ordering::SeqCst);
    lossy.lost_requests.store(lost_requests, Ordering::SeqCst);
    let publisher = stores.publisher_on(Arc::new(lossy));
    let published = publisher.publish(&drained("engine-1", "heat"), request(77, "kim", 1)).await;
    assert_eq!(published.unwrap().revision, Revision::new(2));
    let history = publisher.store().history(Revision::new(0), 10).await.unwrap();
    assert_eq!(history.len(), 2);
}

/// Guards against publishing twice when an operator repeats a publication after a lost reply and
/// another publication has followed in between.
#[tokio::test(start_paused = true)]
async fn repeat_with_the_same_id_takes_effect_once() {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let publisher = stores.publisher();
    let catalog = drained("engine-1", "heat");
    publisher.publish(&catalog, request(77, "kim", 1)).await.unwrap();
    publisher.publish(&small_catalog(), request(78, "lee", 2)).await.unwrap();
    let again = publisher.publish(&catalog, request(77, "kim", 1)).await.unwrap();
    assert_eq!(again.revision, Revision::new(2));
    assert_eq!(publisher.store().head().await.unwrap().revision(), Revision::new(3));
}

#[tokio::test(start_paused = true)]
async fn second_of_two_operators_gets_a_conflict_with_the_changes_of_the_first() {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let publisher = stores.publisher();
    let first = drained("engine-1", "heat");
    let second = drained("engine-1", "noise");
    publisher.publish(&first, request(2, "kim", 1)).await.unwrap();
    let refused = publisher.publish(&second, request(3, "lee", 1)).await.unwrap_err();
    insta::assert_snapshot!(refused, @"revision 2 by kim came first, on base 1: it changed drains/engine-1; both change drains/engine-1; nothing was published");
    assert_eq!(publisher.store().head().await.unwrap().revision(), Revision::new(2));
}

/// Guards against two revisions when two publishers read the same head and their transactions
/// race.
#[tokio::test(start_paused = true)]
async fn racing_transactions_create_one_revision() {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let slow = LossyTable { inner: stores.table.clone(), ..LossyTable::default() };
    let publisher = stores.publisher_on(Arc::new(slow));
    let (one, other) = (drained("engine-1", "heat"), drained("engine-2", "noise"));
    let (first, second) = tokio::join!(
        publisher.publish(&one, request(2, "kim", 1)),
        publisher.publish(&other, request(3, "lee", 1)),
    );
    assert_eq!(usize::from(first.is_ok()) + usize::from(second.is_ok()), 1);
    let lost = first.err().or(second.err()).unwrap();
    assert!(matches!(lost, PublishError::Conflict(conflict) if conflict.common.is_empty()));
}

#[tokio::test(start_paused = true)]
async fn publication_under_a_lost_lease_is_fenced() {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let fence = RowCondition::VersionIs("lease/rollouts/fence".into(), 9);
    let late = request(2, "driver", 1).with_condition(fence);
    let refused = stores.publisher().publish(&drained("engine-1", "heat"), late).await.unwrap_err();
    assert!(matches!(refused, PublishError::Fenced));
    assert_eq!(stores.publisher().store().head().await.unwrap().revision(), Revision::new(1));
}

#[tokio::test(start_paused = true)]
async fn publication_during_a_store_outage_fails_with_a_store_error() {
    let stores = Stores::default();
    stores.table.set_down(true);
    let refused = stores.publish(&small_catalog(), 0).await.unwrap_err();
    assert!(matches!(refused, PublishError::Store(_)), "{refused}");
}
