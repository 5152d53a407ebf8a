//! Leases in the table: there is one holder, and late writes of an earlier holder fail.

mod support;

use oleander_ports::table::{TablePort, TableTransaction, TransactionOutcome};
use oleander_standin::memory::table::MemoryFault;
use oleander_steward::lease_actor::LeaseHandle;
use std::sync::Arc;
use support::{TestPlatform, host, sleep};

fn start_lease(platform: &TestPlatform, number: u64) -> LeaseHandle {
    let table = Arc::new(platform.table.clone());
    LeaseHandle::start(table, Arc::clone(&platform.clock), "work", host(number), number)
}

#[tokio::test(start_paused = true)]
async fn one_of_three_holds_the_lease_and_keeps_it() {
    let platform = TestPlatform::new();
    let handles: Vec<_> = (0..3).map(|number| start_lease(&platform, number)).collect();
    sleep(3.0).await;
    for _ in 0..600 {
        sleep(0.1).await;
        assert_eq!(handles.iter().filter_map(LeaseHandle::guard).count(), 1);
    }
    assert_eq!(handles.iter().find_map(LeaseHandle::guard).unwrap().fencing.get(), 1);
}

/// The holder is paused in the middle of its work and another takes over. When the first one
/// resumes, it finds its lease expired, and a write that it decided on before has no effect.
#[tokio::test(start_paused = true)]
async fn late_write_of_a_paused_holder_changes_nothing() {
    let platform = TestPlatform::new();
    let first = start_lease(&platform, 1);
    sleep(2.0).await;
    let stale = first.guard().unwrap();
    first.kill();
    let second = start_lease(&platform, 2);
    sleep(15.0).await;
    assert!(first.guard().is_none());
    assert_eq!(second.guard().unwrap().fencing.get(), 2);
    let late = TableTransaction::new()
        .with_condition(first.condition(stale))
        .with_put("work/result", b"late".to_vec());
    let outcome = platform.table.transact(late).await.unwrap();
    assert_eq!(outcome, TransactionOutcome::Conflict(vec![0]));
    let current = TableTransaction::new()
        .with_condition(second.condition(second.guard().unwrap()))
        .with_put("work/result", b"current".to_vec());
    assert_eq!(platform.table.transact(current).await.unwrap(), TransactionOutcome::Applied);
}

/// Renewals do not invalidate the guard of writes in progress.
#[tokio::test(start_paused = true)]
async fn guard_stays_valid_across_renewals() {
    let platform = TestPlatform::new();
    let handle = start_lease(&platform, 1);
    sleep(2.0).await;
    let guard = handle.guard().unwrap();
    sleep(60.0).await;
    assert_eq!(handle.guard(), Some(guard));
    let write = TableTransaction::new()
        .with_condition(handle.condition(guard))
        .with_put("work/result", b"x".to_vec());
    assert_eq!(platform.table.transact(write).await.unwrap(), TransactionOutcome::Applied);
}

#[tokio::test(start_paused = true)]
async fn lost_replies_and_an_outage_end_in_one_holder() {
    let platform = TestPlatform::new();
    (0..6).for_each(|_| platform.table.inject(MemoryFault::ReplyLost));
    let handles: Vec<_> = (0..2).map(|number| start_lease(&platform, number)).collect();
    sleep(20.0).await;
    assert_eq!(handles.iter().filter_map(LeaseHandle::guard).count(), 1);
    platform.table.set_down(true);
    sleep(12.0).await;
    assert_eq!(handles.iter().filter_map(LeaseHandle::guard).count(), 0);
    platform.table.set_down(false);
    sleep(15.0).await;
    assert_eq!(handles.iter().filter_map(LeaseHandle::guard).count(), 1);
}

#[tokio::test(start_paused = true)]
async fn released_lease_is_acquired_within_seconds() {
    let platform = TestPlatform::new();
    let first = start_lease(&platform, 1);
    sleep(2.0).await;
    let second = start_lease(&platform, 2);
    sleep(2.0).await;
    first.release().await;
    sleep(3.0).await;
    assert!(first.guard().is_none());
    assert_eq!(second.guard().unwrap().fencing.get(), 2);
}
