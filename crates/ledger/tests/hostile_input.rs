//! Invalid messages are refused and have no effect.

mod support;

use oleander_core::usage::{MAX_OUTCOME_BYTES, UsedItem};
use oleander_ledger::wire::{ClaimCall, UsageCall, UsageReply, to_wire};
use oleander_ports::peers::{PeerChannel, PeerError, PeerPort};
use oleander_ports::usage::{UsageError, UsagePort};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::sync::Arc;
use std::time::Duration;
use support::{Fleet, account, address, claim, outcome, record, request};

const DEADLINE: Duration = Duration::from_secs(5);
const CHANNELS: [PeerChannel; 3] = [PeerChannel::Usage, PeerChannel::Batches, PeerChannel::Claims];

async fn assert_refused(fleet: &Fleet, channel: PeerChannel, body: Vec<u8>) {
    let reply = fleet.peers.call(address(0), channel, body, DEADLINE).await;
    assert!(matches!(reply, Err(PeerError::Refused(_))), "{channel:?} accepted it: {reply:?}");
}

#[tokio::test(start_paused = true)]
async fn truncated_extended_and_unversioned_messages_are_refused() {
    let fleet = Fleet::new(1);
    let usage = to_wire(&UsageCall::Record(record(&account("north-van"), request(1))));
    let claim_call = to_wire(&ClaimCall::Claim(claim("order-7", 1, 1)));
    for (channel, valid) in [(PeerChannel::Usage, usage), (PeerChannel::Claims, claim_call)] {
        for length in 0..valid.len() {
            assert_refused(&fleet, channel, valid[..length].to_vec()).await;
        }
        let mut extended = valid.clone();
        extended.push(0);
        assert_refused(&fleet, channel, extended).await;
        let mut wrong_version = valid;
        wrong_version[0] = 9;
        assert_refused(&fleet, channel, wrong_version).await;
    }
    tokio::time::sleep(DEADLINE).await;
    assert_eq!(fleet.table.counts().transactions, 0);
}

#[test]
fn random_bytes_never_panic() {
    let config = Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.unwrap().block_on(async {
        let fleet = Fleet::new(1);
        let handlers = fleet.nodes[0].handlers();
        let strategy = (0..CHANNELS.len(), prop::collection::vec(any::<u8>(), 0..64));
        let mut runner = TestRunner::new(config);
        let handle = tokio::runtime::Handle::current();
        let calls = std::sync::Mutex::new(Vec::new());
        runner
            .run(&strategy, |(channel, mut body)| {
                if let Some(first) = body.first_mut() {
                    *first = oleander_ledger::wire::WIRE_VERSION;
                }
                let task = handle.spawn(handlers[channel].1(body));
                calls.lock().unwrap().push(task);
                Ok(())
            })
            .unwrap();
        for call in calls.into_inner().unwrap() {
            call.await.expect("a handler panicked").ok();
        }
    });
}

#[tokio::test(start_paused = true)]
async fn oversized_records_are_refused() {
    let fleet = Fleet::new(1);
    let client = fleet.client();
    let mut long = record(&account("north-van"), request(1));
    long.item = UsedItem::Operation(Arc::from("x".repeat(1_000)));
    assert!(matches!(client.record(long).await, Err(UsageError::NotHeld(_))));
    let mut large = record(&account("north-van"), request(2));
    let mut stored = outcome("order-7");
    stored.body = vec![0; MAX_OUTCOME_BYTES + 1];
    large.outcome = Some(stored);
    let reply = fleet.nodes[0].record(large).await;
    assert!(matches!(reply, UsageReply::NotHeld(_)));
}
