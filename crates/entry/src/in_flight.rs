//! Registry of requests in flight, so that a graceful stop can wait for them.

use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::sync::Notify;

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlightRequest {
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
pub struct InFlightRegistry {
    shared: Arc<InFlightShared>,
}

/// Called for each request that is registered.
pub type InFlightListener = Box<dyn Fn(&InFlightRequest) + Send + Sync>;

#[derive(Default)]
struct InFlightShared {
    entries: Mutex<BTreeMap<RequestId, InFlightRequest>>,
    ended: Notify,
    listener: OnceLock<InFlightListener>,
}

impl InFlightRegistry {
    /// Registers a request until the returned guard is dropped.
    pub fn register(&self, entry: InFlightRequest) -> InFlightGuard {
        if let Some(listener) = self.shared.listener.get() {
            listener(&entry);
        }
        let request = entry.request;
        self.lock().insert(request, entry);
        InFlightGuard { registry: self.clone(), request }
    }

    /// Calls `listener` for each later request; only the first listener is used.
    pub fn set_listener(&self, listener: InFlightListener) {
        let _ = self.shared.listener.set(listener);
    }

    /// Returns the requests in flight, oldest first.
    pub fn entries(&self) -> Vec<InFlightRequest> {
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

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestId, InFlightRequest>> {
        self.shared.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from the registry when it is dropped.
pub struct InFlightGuard {
    registry: InFlightRegistry,
    request: RequestId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.registry.lock().remove(&self.request);
        self.registry.shared.ended.notify_waiters();
    }
}
