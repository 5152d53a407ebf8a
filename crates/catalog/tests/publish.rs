//! Publishing: atomic, once, and clear about who came first.

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
async fn nothing_is_published_while_there_is_a_finding() {
    let stores = Stores::default();
    let mut catalog = small_catalog();
    catalog.pools.clear();
    let refused = stores.publish(&catalog, 0).await.unwrap_err();
    assert!(matches!(refused, PublishError::Invalid(findings) if findings.len() >= 4));
    assert_eq!(stores.table.counts().transactions, 0);
}

#[tokio::test(start_paused = true)]
async fn unchanged_catalog_makes_no_revision() {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let again = stores.publish(&small_catalog(), 1).await.unwrap();
    assert_eq!((again.revision, again.changed), (Revision::new(1), false));
}

/// Replies to the transaction are lost, after it took effect or before: the publication is
/// found by its id, and made once.
#[parameterized(
    after_the_effect = { 1, 0 },
    after_the_effect_twice = { 2, 0 },
    before_the_effect = { 0, 1 },
    both = { 1, 2 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn lost_reply_is_settled_by_reading_back(applied_lost: u32, sent_lost: u32) {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let lossy = LossyTable { inner: stores.table.clone(), ..LossyTable::default() };
    lossy.applied_lost.store(applied_lost, Ordering::SeqCst);
    lossy.sent_lost.store(sent_lost, Ordering::SeqCst);
    let publisher = stores.publisher_on(Arc::new(lossy));
    let published = publisher.publish(&drained("engine-1", "heat"), request(77, "kim", 1)).await;
    assert_eq!(published.unwrap().revision, Revision::new(2));
    let history = publisher.store().history(Revision::new(0), 10).await.unwrap();
    assert_eq!(history.len(), 2);
}

/// An operator repeats a publication whose answer never came, after someone else went on.
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
async fn second_of_two_racing_operators_is_told_what_the_first_changed() {
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

/// Both read the same head; the transactions race.
#[tokio::test(start_paused = true)]
async fn racing_transactions_make_one_revision() {
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
async fn publication_under_a_lease_that_is_gone_is_fenced() {
    let stores = Stores::default();
    stores.publish(&small_catalog(), 0).await.unwrap();
    let fence = RowCondition::VersionIs("lease/rollouts/fence".into(), 9);
    let late = request(2, "driver", 1).with_condition(fence);
    let refused = stores.publisher().publish(&drained("engine-1", "heat"), late).await.unwrap_err();
    assert!(matches!(refused, PublishError::Fenced));
    assert_eq!(stores.publisher().store().head().await.unwrap().revision(), Revision::new(1));
}

#[tokio::test(start_paused = true)]
async fn publication_during_an_outage_says_that_nothing_was_published() {
    let stores = Stores::default();
    stores.table.set_down(true);
    let refused = stores.publish(&small_catalog(), 0).await.unwrap_err();
    assert!(matches!(refused, PublishError::Store(_)), "{refused}");
}
