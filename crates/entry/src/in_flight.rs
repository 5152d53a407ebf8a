//! Requests in flight, for a stop that cuts none of them.

use oleander_core::ids::{AccountName, RequestId};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlightEntry {
    /// The request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountName,
    /// What was asked for.
    pub target: Arc<str>,
    /// When it came.
    pub started_at: Timestamp,
}

/// Requests in flight. Clones share them.
#[derive(Clone, Default)]
pub struct FlightBook {
    shared: Arc<FlightShared>,
}

#[derive(Default)]
struct FlightShared {
    entries: Mutex<BTreeMap<RequestId, FlightEntry>>,
    ended: Notify,
}

impl FlightBook {
    /// Enters a request; it leaves when the ticket is dropped.
    pub fn enter(&self, entry: FlightEntry) -> FlightTicket {
        let request = entry.request;
        self.lock().insert(request, entry);
        FlightTicket { book: self.clone(), request }
    }

    /// Every request in flight, oldest first.
    pub fn entries(&self) -> Vec<FlightEntry> {
        self.lock().values().cloned().collect()
    }

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns when nothing is in flight.
    pub async fn wait_empty(&self) {
        loop {
            let ended = self.shared.ended.notified();
            if self.len() == 0 {
                return;
            }
            ended.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestId, FlightEntry>> {
        self.shared.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's place in the book.
pub struct FlightTicket {
    book: FlightBook,
    request: RequestId,
}

impl Drop for FlightTicket {
    fn drop(&mut self) {
        self.book.lock().remove(&self.request);
        self.book.shared.ended.notify_waiters();
    }
}
