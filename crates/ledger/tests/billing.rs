//! Each record is billed exactly once, whatever fails on the way to the table.

mod support;

use oleander_core::ledger::shard::{ShardId, WindowId};
use oleander_ledger::flush_loop::HandOver;
use oleander_ledger::fold_loop::FoldLoop;
use oleander_ledger::{LedgerMetrics, LedgerPorts, NodeConfig};
use oleander_ports::members::MemberState;
use oleander_ports::objects::ObjectPort;
use oleander_ports::table::TablePort;
use oleander_ports::usage::{UsageError, UsagePort};
use oleander_standin::memory::table::MemoryFault;
use std::sync::Arc;
use std::time::Duration;
use support::{DelayedTable, Fleet, account, address, record, request};

const FLUSH_WAIT: Duration = Duration::from_secs(5);
const TAKEOVER_WAIT: Duration = Duration::from_secs(20);

async fn send(fleet: &Fleet, numbers: std::ops::Range<u128>) {
    let client = fleet.client();
    for number in numbers {
        client.record(record(&account("north-van"), request(number))).await.unwrap();
    }
}

async fn billed(fleet: &Fleet) -> u64 {
    fleet.statement(&account("north-van")).await.total.requests
}

#[tokio::test(start_paused = true)]
async fn held_records_are_written_and_billed() {
    let fleet = Fleet::new(3);
    send(&fleet, 0..10).await;
    tokio::time::sleep(FLUSH_WAIT).await;
    let statement = fleet.statement(&account("north-van")).await;
    assert_eq!(statement.total.requests, 10);
    assert_eq!(statement.total.billed.as_micros(), 7_000);
}

#[tokio::test(start_paused = true)]
async fn single_ledger_writes_to_the_table_before_it_acknowledges() {
    let fleet = Fleet::new(1);
    send(&fleet, 0..1).await;
    assert_eq!(billed(&fleet).await, 1);
}

#[tokio::test(start_paused = true)]
async fn host_lost_between_acknowledgement_and_flush_loses_no_record() {
    let mut fleet = Fleet::new(3);
    send(&fleet, 0..10).await;
    let first = fleet.first_ledger_for(&account("north-van"));
    fleet.kill(first);
    assert_eq!(billed(&fleet).await, 0);
    tokio::time::sleep(TAKEOVER_WAIT).await;
    assert_eq!(billed(&fleet).await, 10);
}

#[tokio::test(start_paused = true)]
async fn record_resent_to_another_ledger_after_a_lost_reply_counts_once() {
    let fleet = Fleet::new(3);
    let first = fleet.first_ledger_for(&account("north-van"));
    fleet.peers.set_replies_lost(address(first), true);
    send(&fleet, 0..5).await;
    fleet.peers.set_replies_lost(address(first), false);
    tokio::time::sleep(TAKEOVER_WAIT).await;
    let rows = fleet.table.scan("usage/", "usage0", 100).await.unwrap();
    let origins: std::collections::BTreeSet<&str> =
        rows.iter().filter_map(|row| row.key.split('/').nth(3)).collect();
    assert_eq!(origins.len(), 2, "both ledgers wrote the record");
    assert_eq!(billed(&fleet).await, 5);
}

#[tokio::test(start_paused = true)]
async fn origin_resumed_after_its_copy_was_written_counts_once() {
    let fleet = Fleet::new(3);
    send(&fleet, 0..10).await;
    let first = fleet.first_ledger_for(&account("north-van"));
    fleet.nodes[first].stop();
    tokio::time::sleep(TAKEOVER_WAIT).await;
    assert_eq!(billed(&fleet).await, 10);
    assert_eq!(fleet.nodes[first].hand_over().await, HandOver::Written);
    assert_eq!(billed(&fleet).await, 10);
}

#[tokio::test(start_paused = true)]
async fn reply_lost_after_the_commit_writes_nothing_twice() {
    let fleet = Fleet::new(3);
    send(&fleet, 0..10).await;
    fleet.table.inject(MemoryFault::ReplyLost);
    tokio::time::sleep(FLUSH_WAIT).await;
    let rows = fleet.table.scan("usage/", "usage0", 100).await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(billed(&fleet).await, 10);
}

#[tokio::test(start_paused = true)]
async fn backlog_fills_to_its_limit_in_a_long_outage_and_then_drains() {
    let fleet = Fleet::with_config(3, |config: NodeConfig| config.with_backlog_bytes(40_000));
    fleet.table.set_down(true);
    let client = fleet.client();
    let payer = account("north-van");
    let mut held = 0;
    let refusal = loop {
        match client.record(record(&payer, request(held))).await {
            Ok(()) => held += 1,
            Err(refusal) => break refusal,
        }
        if held % 50 == 0 {
            tokio::time::sleep(Duration::from_secs(60)).await;
        }
        assert!(held < 10_000, "the backlog has no limit");
    };
    assert!(matches!(refusal, UsageError::Full | UsageError::NotHeld(_)));
    assert!(!client.has_room());
    assert!(held > 100, "only {held} records fit");
    fleet.table.set_down(false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(client.has_room());
    let counted = u128::from(billed(&fleet).await);
    assert!(counted == held || counted == held + 1, "{counted} billed of {held} held");
}

#[tokio::test(start_paused = true)]
async fn backlog_drains_within_the_rate_limit() {
    let fleet = Fleet::new(3);
    fleet.table.set_down(true);
    let client = fleet.client();
    for number in 0..40 {
        for payer in 0..40 {
            let payer = account(&format!("van-{payer}"));
            client.record(record(&payer, request(number))).await.unwrap();
        }
        tokio::time::sleep(Duration::from_secs(32)).await;
    }
    fleet.table.set_down(false);
    let (mut before, mut most) = (fleet.table.counts().written_rows, 0);
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let written = fleet.table.counts().written_rows;
        most = most.max(written - before);
        before = written;
    }
    assert!(before > 400, "only {before} rows were held back");
    assert!(most < 450, "{most} rows in one second");
    assert!(fleet.nodes.iter().all(|node| node.metrics().backlog_bytes.get() == 0));
}

#[tokio::test(start_paused = true)]
async fn two_ledgers_lost_in_sequence_during_an_outage_lose_no_record() {
    let mut fleet = Fleet::new(5);
    fleet.table.set_down(true);
    send(&fleet, 0..20).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    for _ in 0..2 {
        let largest = |index: &usize| fleet.nodes[*index].metrics().backlog_bytes.get();
        let alive = fleet.member_list.iter().map(|member| usize::from(member.address.port()) - 1);
        let largest_ledger = alive.max_by_key(largest).unwrap();
        fleet.kill(largest_ledger);
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    fleet.table.set_down(false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(billed(&fleet).await, 20);
}

#[tokio::test(start_paused = true)]
async fn copy_lost_in_a_restart_is_replicated_again() {
    let mut fleet = Fleet::new(3);
    fleet.table.set_down(true);
    send(&fleet, 0..20).await;
    let first = fleet.first_ledger_for(&account("north-van"));
    let backup = (0..3)
        .find(|&index| index != first && fleet.nodes[index].metrics().backlog_bytes.get() > 0)
        .unwrap();
    fleet.restart(backup);
    tokio::time::sleep(FLUSH_WAIT).await;
    fleet.kill(first);
    tokio::time::sleep(TAKEOVER_WAIT).await;
    fleet.table.set_down(false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(billed(&fleet).await, 20);
}

#[tokio::test(start_paused = true)]
async fn unreplicated_record_is_refused_and_billed_once_later() {
    let fleet = Fleet::new(1);
    fleet.table.set_down(true);
    let client = fleet.client();
    let usage = record(&account("north-van"), request(1));
    let refusal = client.record(usage.clone()).await;
    assert!(matches!(refusal, Err(UsageError::NotHeld(_))));
    fleet.table.set_down(false);
    client.record(usage).await.unwrap();
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(billed(&fleet).await, 1);
}

#[tokio::test(start_paused = true)]
async fn stopping_ledger_writes_its_backlog() {
    let fleet = Fleet::new(3);
    send(&fleet, 0..10).await;
    let first = fleet.first_ledger_for(&account("north-van"));
    assert_eq!(fleet.nodes[first].hand_over().await, HandOver::Written);
    assert_eq!(billed(&fleet).await, 10);
}

#[tokio::test(start_paused = true)]
async fn stopping_ledger_hands_over_its_backlog_while_the_table_is_unavailable() {
    let mut fleet = Fleet::new(4);
    fleet.table.set_down(true);
    send(&fleet, 0..10).await;
    let first = fleet.first_ledger_for(&account("north-van"));
    fleet.member_list[first].state = MemberState::Leaving;
    fleet.members.set_members(fleet.member_list.clone());
    assert_eq!(fleet.nodes[first].hand_over().await, HandOver::Copied);
    fleet.kill(first);
    tokio::time::sleep(TAKEOVER_WAIT).await;
    fleet.table.set_down(false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(billed(&fleet).await, 10);
}

#[tokio::test(start_paused = true)]
async fn stopping_ledger_without_peers_and_table_reports_an_incomplete_hand_over() {
    let fleet = Fleet::new(1);
    fleet.table.set_down(true);
    let refusal = fleet.client().record(record(&account("north-van"), request(1))).await;
    assert!(refusal.is_err());
    assert_eq!(fleet.nodes[0].hand_over().await, HandOver::Incomplete);
}

fn fold_loop(fleet: &Fleet, ports: &LedgerPorts) -> FoldLoop {
    let member = &fleet.member_list[0];
    let config = NodeConfig::new(
        member.id.clone(),
        member.region.clone(),
        member.domain.clone(),
        member.incarnation,
    );
    FoldLoop::new(&config, ports, Arc::new(LedgerMetrics::new()))
}

#[tokio::test(start_paused = true)]
async fn closed_window_is_folded_and_a_late_duplicate_changes_nothing() {
    let fleet = Fleet::new(3);
    send(&fleet, 0..10).await;
    tokio::time::sleep(FLUSH_WAIT).await;
    let before = fleet.statement(&account("north-van")).await;
    tokio::time::sleep(Duration::from_secs(600)).await;
    assert!(fleet.table.scan("usage/", "usage0", 100).await.unwrap().is_empty());
    assert_eq!(fleet.objects.list("usage-detail/").await.unwrap().len(), 1);
    assert_eq!(fleet.statement(&account("north-van")).await.lines, before.lines);

    send(&fleet, 5..12).await;
    tokio::time::sleep(FLUSH_WAIT).await;
    assert_eq!(billed(&fleet).await, 12);
    tokio::time::sleep(Duration::from_secs(600)).await;
    assert!(fleet.table.scan("usage/", "usage0", 100).await.unwrap().is_empty());
    assert_eq!(billed(&fleet).await, 12);
}

#[tokio::test(start_paused = true)]
async fn concurrent_folds_and_lost_replies_do_not_change_the_sum() {
    let fleet = Fleet::new(3);
    send(&fleet, 0..10).await;
    tokio::time::sleep(FLUSH_WAIT).await;
    let fold_loop = fold_loop(&fleet, &fleet.ports());
    let shard = ShardId::of(&account("north-van"));
    tokio::time::sleep(Duration::from_secs(355)).await;
    fleet.table.inject(MemoryFault::ReplyLost);
    let (left, right) = tokio::join!(fold_loop.fold_shard(shard), fold_loop.fold_shard(shard));
    assert!(left.is_err() || right.is_err());
    fold_loop.fold_shard(shard).await.unwrap();
    assert_eq!(billed(&fleet).await, 10);
}

#[tokio::test(start_paused = true)]
async fn outdated_fold_changes_nothing() {
    let fleet = Fleet::new(3);
    send(&fleet, 0..10).await;
    tokio::time::sleep(FLUSH_WAIT).await;
    let (shard, window) = (ShardId::of(&account("north-van")), WindowId::of(request(0)));
    let mut ports = fleet.ports();
    let delay = Duration::from_secs(4);
    ports.table = Arc::new(DelayedTable { table: fleet.table.clone(), delay });
    let slow = fold_loop(&fleet, &ports);
    let slow = tokio::spawn(async move { slow.fold_window(shard, window).await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    send(&fleet, 10..15).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(fold_loop(&fleet, &fleet.ports()).fold_window(shard, window).await.unwrap());
    assert_eq!(slow.await.unwrap(), Ok(false));
    assert_eq!(billed(&fleet).await, 15);
}

#[tokio::test(start_paused = true)]
async fn stopping_ledger_hands_over_the_copies_of_a_lost_one() {
    let mut fleet = Fleet::new(4);
    fleet.table.set_down(true);
    send(&fleet, 0..10).await;
    let first = fleet.first_ledger_for(&account("north-van"));
    let holds = |index: &usize| fleet.nodes[*index].metrics().backlog_bytes.get() > 0;
    let backup = (0..4).filter(|index| *index != first).find(holds).unwrap();
    fleet.kill(first);
    let began = fleet.now();
    assert_eq!(fleet.nodes[backup].hand_over().await, HandOver::Copied);
    assert!(
        fleet.now().since(began) < FLUSH_WAIT,
        "it waited for the owner timeout of the lost ledger"
    );
    fleet.kill(backup);
    fleet.table.set_down(false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(billed(&fleet).await, 10);
}

#[tokio::test(start_paused = true)]
async fn statement_period_may_end_within_a_window() {
    let fleet = Fleet::new(3);
    let payer = account("north-van");
    let client = fleet.client();
    let early = oleander_core::ids::RequestId::new(support::START, 1);
    let late = oleander_core::ids::RequestId::new(support::START + Duration::from_secs(1), 2);
    client.record(record(&payer, early)).await.unwrap();
    client.record(record(&payer, late)).await.unwrap();
    for wait in [FLUSH_WAIT, Duration::from_secs(600)] {
        tokio::time::sleep(wait).await;
        let reader = fleet.reader();
        let boundary = late.created_at();
        let first = reader.statement(&payer, support::START, boundary).await.unwrap();
        let second = reader.statement(&payer, boundary, fleet.now()).await.unwrap();
        assert_eq!((first.total.requests, second.total.requests), (1, 1));
        assert_eq!(reader.record(&payer, late).await.unwrap().unwrap().request, late);
    }
}
