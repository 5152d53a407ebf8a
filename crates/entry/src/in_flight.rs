//! Registry of requests in flight, so that a graceful stop can wait for them.

use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::sync::Notify;

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlightEntry {
    /// Request id.
    pub request: RequestId,
    /// Client account.
    pub account: AccountName,
    /// Requested model or service operation.
    pub target: Arc<str>,
    /// Time of arrival.
    pub started_at: Timestamp,
    /// Idempotency key of the caller.
    pub key: Option<IdempotencyKey>,
}

/// Requests in flight. Clones share one registry.
#[derive(Clone, Default)]
pub struct FlightBook {
    shared: Arc<FlightShared>,
}

/// Called for each request that is registered.
pub type FlightListener = Box<dyn Fn(&FlightEntry) + Send + Sync>;

#[derive(Default)]
struct FlightShared {
    entries: Mutex<BTreeMap<RequestId, FlightEntry>>,
    ended: Notify,
    listener: OnceLock<FlightListener>,
}

impl FlightBook {
    /// Registers a request until the returned guard is dropped.
    pub fn enter(&self, entry: FlightEntry) -> FlightTicket {
        if let Some(listener) = self.shared.listener.get() {
            listener(&entry);
        }
        let request = entry.request;
        self.lock().insert(request, entry);
        FlightTicket { book: self.clone(), request }
    }

    /// Calls `listener` for each later request; only the first listener is used.
    pub fn listen(&self, listener: FlightListener) {
        let _ = self.shared.listener.set(listener);
    }

    /// Returns the requests in flight, oldest first.
    pub fn entries(&self) -> Vec<FlightEntry> {
        self.lock().values().cloned().collect()
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Waits until no request is in flight.
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

/// Removes a request from the registry when it is dropped.
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
