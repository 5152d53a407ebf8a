//! Records reach the statement once.

mod support;

use oleander_ports::usage::UsagePort;
use std::time::Duration;
use support::{Fleet, account, record, request};

#[tokio::test(start_paused = true)]
async fn held_records_are_written_and_billed() {
    let fleet = Fleet::new(3);
    let client = fleet.client();
    let payer = account("north-van");
    for number in 0..10 {
        client.record(record(&payer, request(number))).await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let statement = fleet.statement(&payer).await;
    assert_eq!(statement.total.requests, 10);
    assert_eq!(statement.total.billed.as_micros(), 7_000);
}

#[tokio::test(start_paused = true)]
async fn single_ledger_writes_before_it_says_held() {
    let fleet = Fleet::new(1);
    let payer = account("north-van");
    fleet.client().record(record(&payer, request(1))).await.unwrap();
    assert_eq!(fleet.statement(&payer).await.total.requests, 1);
}
