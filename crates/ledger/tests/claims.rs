//! A request with an idempotency key is dispatched at most once.

mod support;

use oleander_core::claim::CLAIM_OUTCOME_TIMEOUT;
use oleander_ledger::claim_table::ClaimTable;
use oleander_ports::claims::{ClaimOutcome, ClaimPort};
use oleander_ports::usage::UsagePort;
use oleander_standin::memory::table::MemoryFault;
use std::sync::Arc;
use std::time::Duration;
use support::{DelayedTable, Fleet, account, address, claim, outcome, record};

const FLUSH_WAIT: Duration = Duration::from_secs(5);

#[tokio::test(start_paused = true)]
async fn second_host_with_the_same_key_gets_the_holder_then_the_outcome() {
    let fleet = Fleet::new(3);
    let (first, second) = (fleet.client(), fleet.client());
    let mine = claim("order-7", 1, 1);
    let (granted, held) =
        tokio::join!(first.claim(mine.clone()), second.claim(claim("order-7", 1, 2)));
    assert_eq!(granted.unwrap(), ClaimOutcome::Granted);
    assert_eq!(held.unwrap(), ClaimOutcome::Held { by: mine.request });
    let mut done = record(&account("north-van"), mine.request);
    done.outcome = Some(outcome("order-7"));
    first.record(done).await.unwrap();
    tokio::time::sleep(FLUSH_WAIT).await;
    let repeat = second.claim(claim("order-7", 1, 3)).await.unwrap();
    assert_eq!(repeat, ClaimOutcome::Done(outcome("order-7")));
}

#[tokio::test(start_paused = true)]
async fn key_with_another_body_is_refused() {
    let client = Fleet::new(2).client();
    assert_eq!(client.claim(claim("order-7", 1, 1)).await.unwrap(), ClaimOutcome::Granted);
    assert_eq!(client.claim(claim("order-7", 2, 2)).await.unwrap(), ClaimOutcome::KeyReused);
}

#[tokio::test(start_paused = true)]
async fn lost_reply_of_the_table_is_resolved_by_reading_back() {
    let fleet = Fleet::new(2);
    fleet.table.inject(MemoryFault::ReplyLost);
    fleet.table.inject(MemoryFault::ReplyLost);
    let client = fleet.client();
    assert_eq!(client.claim(claim("order-7", 1, 1)).await.unwrap(), ClaimOutcome::Granted);
    let other = client.claim(claim("order-7", 1, 2)).await.unwrap();
    assert!(matches!(other, ClaimOutcome::Held { .. }));
}

#[tokio::test(start_paused = true)]
async fn lost_reply_of_a_ledger_is_resolved_by_another_ledger() {
    let fleet = Fleet::new(3);
    let first = fleet.first_ledger_for_claims();
    fleet.peers.set_replies_lost(address(first), true);
    let client = fleet.client();
    assert_eq!(client.claim(claim("order-7", 1, 1)).await.unwrap(), ClaimOutcome::Granted);
}

#[tokio::test(start_paused = true)]
async fn unavailable_table_fails_the_claim_and_leaves_no_row() {
    let fleet = Fleet::new(3);
    fleet.table.set_down(true);
    let client = fleet.client();
    client.claim(claim("order-7", 1, 1)).await.unwrap_err();
    fleet.table.set_down(false);
    assert_eq!(client.claim(claim("order-7", 1, 2)).await.unwrap(), ClaimOutcome::Granted);
}

#[tokio::test(start_paused = true)]
async fn claim_with_a_lost_reply_does_not_block_the_key() {
    let fleet = Fleet::new(1);
    fleet.peers.set_replies_lost(address(0), true);
    let client = fleet.client();
    client.claim(claim("order-7", 1, 1)).await.unwrap_err();
    tokio::time::sleep(FLUSH_WAIT).await;
    fleet.peers.set_replies_lost(address(0), false);
    assert_eq!(client.claim(claim("order-7", 1, 2)).await.unwrap(), ClaimOutcome::Granted);
}

#[tokio::test(start_paused = true)]
async fn claim_that_arrives_after_its_release_is_not_granted() {
    let fleet = Fleet::new(1);
    let client = fleet.client();
    client.release(claim("order-7", 1, 1)).await.unwrap();
    client.claim(claim("order-7", 1, 1)).await.unwrap_err();
    assert_eq!(client.claim(claim("order-7", 1, 2)).await.unwrap(), ClaimOutcome::Granted);
}

#[tokio::test(start_paused = true)]
async fn only_the_holder_releases_and_only_before_the_outcome() {
    let fleet = Fleet::new(2);
    let client = fleet.client();
    assert_eq!(client.claim(claim("order-7", 1, 1)).await.unwrap(), ClaimOutcome::Granted);
    client.release(claim("order-7", 1, 2)).await.unwrap_err();
    client.mark_unknown(claim("order-7", 1, 1)).await.unwrap();
    client.release(claim("order-7", 1, 1)).await.unwrap_err();
    let other = client.claim(claim("order-7", 1, 3)).await.unwrap();
    assert_eq!(other, ClaimOutcome::OutcomeUnknown);
}

#[tokio::test(start_paused = true)]
async fn claim_of_a_crashed_or_paused_host_is_never_taken_over() {
    let fleet = Fleet::new(2);
    let client = fleet.client();
    let mine = claim("order-7", 1, 1);
    assert_eq!(client.claim(mine.clone()).await.unwrap(), ClaimOutcome::Granted);
    for minutes in [1, 9, 60] {
        tokio::time::sleep(Duration::from_secs(60 * minutes)).await;
        let other = client.claim(claim("order-7", 1, 2)).await.unwrap();
        let held = ClaimOutcome::Held { by: mine.request };
        assert!(other == held || other == ClaimOutcome::OutcomeUnknown, "{other:?}");
    }
    let last = client.claim(claim("order-7", 1, 2)).await.unwrap();
    assert_eq!(last, ClaimOutcome::OutcomeUnknown);

    // The holder resumes after the timeout. It dispatched once, so its outcome is stored.
    let mut done = record(&account("north-van"), mine.request);
    done.outcome = Some(outcome("order-7"));
    client.record(done).await.unwrap();
    tokio::time::sleep(FLUSH_WAIT).await;
    let repeat = client.claim(claim("order-7", 1, 3)).await.unwrap();
    assert_eq!(repeat, ClaimOutcome::Done(outcome("order-7")));
}

#[tokio::test(start_paused = true)]
async fn claim_is_held_until_the_outcome_timeout() {
    let client = Fleet::new(2).client();
    assert_eq!(client.claim(claim("order-7", 1, 1)).await.unwrap(), ClaimOutcome::Granted);
    tokio::time::sleep(CLAIM_OUTCOME_TIMEOUT - Duration::from_secs(1)).await;
    let other = client.claim(claim("order-7", 1, 2)).await.unwrap();
    assert!(matches!(other, ClaimOutcome::Held { .. }));
}

#[tokio::test(start_paused = true)]
async fn claims_share_a_transaction_and_conflicting_ones_are_made_alone() {
    let fleet = Fleet::new(1);
    let client = fleet.client();
    assert_eq!(client.claim(claim("order-3", 1, 999)).await.unwrap(), ClaimOutcome::Granted);
    let before = fleet.table.counts().transactions;
    let table = ClaimTable::new(Arc::new(fleet.table.clone()), fleet.clock.clone());
    let requests: Vec<_> =
        (0..50).map(|number| claim(&format!("order-{number}"), 1, number)).collect();
    let results = table.claim_group(&requests).await;
    let granted = results.iter().filter(|r| **r == Ok(ClaimOutcome::Granted)).count();
    assert_eq!(granted, 49);
    assert!(matches!(results[3], Ok(ClaimOutcome::Held { .. })));
    assert_eq!(fleet.table.counts().transactions - before, 2);
}

#[tokio::test(start_paused = true)]
async fn concurrent_claims_of_one_key_are_granted_once() {
    let fleet = Fleet::new(1);
    let delayed = |millis| {
        let delay = Duration::from_millis(millis);
        let table = Arc::new(DelayedTable { table: fleet.table.clone(), delay });
        ClaimTable::new(table, fleet.clock.clone())
    };
    let (left, right) = (delayed(50), delayed(60));
    let (mine, other) = (claim("order-7", 1, 1), claim("order-7", 1, 2));
    let (first, second) = tokio::join!(left.claim_one(&mine), right.claim_one(&other));
    assert_eq!(first.unwrap(), ClaimOutcome::Granted);
    assert_eq!(second.unwrap(), ClaimOutcome::Held { by: mine.request });
    let group = [claim("order-8", 1, 3), claim("order-9", 1, 4)];
    let competing = [claim("order-8", 1, 5), claim("order-9", 1, 6)];
    let (first, second) = tokio::join!(left.claim_group(&group), right.claim_group(&competing));
    assert!(first.iter().all(|result| *result == Ok(ClaimOutcome::Granted)));
    assert!(second.iter().all(|result| matches!(result, Ok(ClaimOutcome::Held { .. }))));
}

#[tokio::test(start_paused = true)]
async fn key_repeated_in_a_group_is_granted_once() {
    let fleet = Fleet::new(1);
    let table = ClaimTable::new(Arc::new(fleet.table.clone()), fleet.clock.clone());
    let requests: Vec<_> = (0..4).map(|number| claim("order-7", 1, number)).collect();
    let results = table.claim_group(&requests).await;
    let granted = results.iter().filter(|r| **r == Ok(ClaimOutcome::Granted)).count();
    assert_eq!(granted, 1);
}
