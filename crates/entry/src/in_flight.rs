//! Requests in flight, for a stop that cuts none of them.

use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
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
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
}

/// Requests in flight. Clones share them.
#[derive(Clone, Default)]
pub struct FlightBook {
    shared: Arc<FlightShared>,
}

/// Told of each request that enters.
pub type FlightListener = Box<dyn Fn(&FlightEntry) + Send + Sync>;

#[derive(Default)]
struct FlightShared {
    entries: Mutex<BTreeMap<RequestId, FlightEntry>>,
    ended: Notify,
    listener: OnceLock<FlightListener>,
}

impl FlightBook {
    /// Enters a request; it leaves when the ticket is dropped.
    pub fn enter(&self, entry: FlightEntry) -> FlightTicket {
        if let Some(listener) = self.shared.listener.get() {
            listener(&entry);
        }
        let request = entry.request;
        self.lock().insert(request, entry);
        FlightTicket { book: self.clone(), request }
    }

    /// Tells `listener` of each request from now on; only the first listener counts.
    pub fn listen(&self, listener: FlightListener) {
        let _ = self.shared.listener.set(listener);
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
