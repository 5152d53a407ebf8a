//! The in-memory table: conditional writes and lost replies.

use oleander_ports::PlatformError;
use oleander_ports::table::{RowCondition, TablePort, TableTransaction, TransactionOutcome};
use oleander_standin::memory::MemoryTable;
use oleander_standin::memory::table::MemoryFault;
use std::sync::Arc;

fn insert(key: &str, value: &[u8]) -> TableTransaction {
    TableTransaction::new()
        .with_condition(RowCondition::Absent(Arc::from(key)))
        .with_put(key, value.to_vec())
}

#[tokio::test]
async fn second_conditional_insert_conflicts_and_changes_nothing() {
    let table = MemoryTable::new();
    assert_eq!(table.transact(insert("a", b"1")).await.unwrap(), TransactionOutcome::Applied);
    let second = table.transact(insert("a", b"2")).await.unwrap();
    assert_eq!(second, TransactionOutcome::Conflict(vec![0]));
    assert_eq!(table.get("a").await.unwrap().unwrap().value, b"1");
}

#[tokio::test]
async fn lost_reply_leaves_the_row_written() {
    let table = MemoryTable::new();
    table.inject(MemoryFault::ReplyLost);
    let lost = table.transact(insert("a", b"1")).await;
    assert!(matches!(lost, Err(PlatformError::Unknown(_))));
    assert_eq!(table.get("a").await.unwrap().unwrap().value, b"1");
}
