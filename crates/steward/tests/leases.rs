//! Leases in the table: one holder, and late writes of an earlier one fail.

mod support;

use oleander_ports::table::{TablePort, TableTransaction, TransactionOutcome};
use oleander_standin::memory::table::MemoryFault;
use oleander_steward::lease_actor::LeaseHandle;
use std::sync::Arc;
use support::{World, host, pass};

fn seek(world: &World, number: u64) -> LeaseHandle {
    let table = Arc::new(world.table.clone());
    LeaseHandle::start(table, Arc::clone(&world.clock), "work", host(number), number)
}

#[tokio::test(start_paused = true)]
async fn one_of_three_holds_the_lease_and_keeps_it() {
    let world = World::new();
    let handles: Vec<_> = (0..3).map(|number| seek(&world, number)).collect();
    pass(3.0).await;
    for _ in 0..600 {
        pass(0.1).await;
        assert_eq!(handles.iter().filter_map(LeaseHandle::guard).count(), 1);
    }
    assert_eq!(handles.iter().find_map(LeaseHandle::guard).unwrap().fencing.get(), 1);
}

/// The holder is paused in the middle of its work, another takes over, and the holder wakes: it
/// finds its lease lapsed, and a write that it had decided on before changes nothing.
#[tokio::test(start_paused = true)]
async fn late_write_of_a_paused_holder_changes_nothing() {
    let world = World::new();
    let first = seek(&world, 1);
    pass(2.0).await;
    let stale = first.guard().unwrap();
    first.abandon();
    let second = seek(&world, 2);
    pass(15.0).await;
    assert!(first.guard().is_none());
    assert_eq!(second.guard().unwrap().fencing.get(), 2);
    let late = TableTransaction::new()
        .with_condition(first.condition(stale))
        .with_put("work/result", b"late".to_vec());
    let outcome = world.table.transact(late).await.unwrap();
    assert_eq!(outcome, TransactionOutcome::Conflict(vec![0]));
    let current = TableTransaction::new()
        .with_condition(second.condition(second.guard().unwrap()))
        .with_put("work/result", b"current".to_vec());
    assert_eq!(world.table.transact(current).await.unwrap(), TransactionOutcome::Applied);
}

/// Renewals do not disturb writes under the same guard.
#[tokio::test(start_paused = true)]
async fn guard_stays_good_over_renewals() {
    let world = World::new();
    let handle = seek(&world, 1);
    pass(2.0).await;
    let guard = handle.guard().unwrap();
    pass(60.0).await;
    assert_eq!(handle.guard(), Some(guard));
    let write = TableTransaction::new()
        .with_condition(handle.condition(guard))
        .with_put("work/result", b"x".to_vec());
    assert_eq!(world.table.transact(write).await.unwrap(), TransactionOutcome::Applied);
}

#[tokio::test(start_paused = true)]
async fn lost_replies_and_an_outage_end_in_one_holder() {
    let world = World::new();
    (0..6).for_each(|_| world.table.inject(MemoryFault::ReplyLost));
    let handles: Vec<_> = (0..2).map(|number| seek(&world, number)).collect();
    pass(20.0).await;
    assert_eq!(handles.iter().filter_map(LeaseHandle::guard).count(), 1);
    world.table.set_down(true);
    pass(12.0).await;
    assert_eq!(handles.iter().filter_map(LeaseHandle::guard).count(), 0);
    world.table.set_down(false);
    pass(15.0).await;
    assert_eq!(handles.iter().filter_map(LeaseHandle::guard).count(), 1);
}

#[tokio::test(start_paused = true)]
async fn released_lease_is_taken_within_seconds() {
    let world = World::new();
    let first = seek(&world, 1);
    pass(2.0).await;
    let second = seek(&world, 2);
    pass(2.0).await;
    first.release().await;
    pass(3.0).await;
    assert!(first.guard().is_none());
    assert_eq!(second.guard().unwrap().fencing.get(), 2);
}
