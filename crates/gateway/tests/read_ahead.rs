//! Streams that are read ahead of slow callers.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use oleander_adapters::connection_ledger::ConnectionLedger;
use oleander_adapters::http_server::BodyError;
use oleander_core::connection_budget::{BudgetLimits, ClientClass};
use oleander_core::units::ByteCount;
use oleander_gateway::read_ahead::{MAX_READ_AHEAD, read_ahead};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const EVENT_BYTES: usize = 1_000;
const EVENTS: usize = 500;

/// Guards against an upstream that waits for a caller though its events could be held, and against events that are
/// held beyond the bound of a stream or the budget.
#[yare::parameterized(
    room = { 10_000_000, MAX_READ_AHEAD as usize / EVENT_BYTES },
    little_room = { 70_000, 23 },
    no_room = { 30_000, 2 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn events_are_held_within_the_bound_and_the_budget(bytes: u64, most_read: usize) {
    let limits = BudgetLimits { bytes: ByteCount::new(bytes), connections: 40 };
    let ledger = Arc::new(ConnectionLedger::new(limits));
    let connection = ledger.open(ClientClass::Caller).unwrap();
    let read = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&read);
    let source = stream::unfold(0, move |sent| {
        count.fetch_add(usize::from(sent < EVENTS), Ordering::Relaxed);
        let event = Ok::<_, BodyError>(Bytes::from(vec![b'x'; EVENT_BYTES]));
        std::future::ready((sent < EVENTS).then_some((event, sent + 1)))
    });
    let body = read_ahead(Bytes::from_static(b"first"), source, Some(connection));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ahead = read.load(Ordering::Relaxed);
    assert!((most_read..=most_read + 2).contains(&ahead), "{ahead} events were read ahead");
    let received = body.collect().await.unwrap().to_bytes();
    assert_eq!(received.len(), 5 + EVENTS * EVENT_BYTES, "nothing is lost");
}
