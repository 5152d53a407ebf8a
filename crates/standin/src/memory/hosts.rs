//! An in-memory host list.

use oleander_ports::hosts::{HostListPort, ListedHost, ListedRole};
use oleander_ports::{PlatformError, PortFuture};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Default)]
struct HostsState {
    current: Vec<ListedHost>,
    visible: Vec<ListedHost>,
    pending: VecDeque<(Instant, Vec<ListedHost>)>,
    lag: Duration,
}

/// A host list in which changes become visible after a lag. Clones share the state.
#[derive(Clone, Default)]
pub struct MemoryHosts {
    state: Arc<Mutex<HostsState>>,
}

impl MemoryHosts {
    /// Creates an empty list without lag.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time until a change becomes visible.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Adds a host, replacing one with the same role.
    pub fn put(&self, host: ListedHost) {
        self.change(|current| {
            current.retain(|listed| listed.role != host.role);
            current.push(host);
        });
    }

    /// Marks a host as leaving.
    pub fn set_leaving(&self, role: &ListedRole) {
        self.change(|current| {
            for listed in current.iter_mut().filter(|listed| listed.role == *role) {
                listed.leaving = true;
            }
        });
    }

    /// Removes a host.
    pub fn remove(&self, role: &ListedRole) {
        self.change(|current| current.retain(|listed| listed.role != *role));
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<ListedHost>)) {
        let mut state = self.lock();
        edit(&mut state.current);
        let change = (Instant::now() + state.lag, state.current.clone());
        state.pending.push_back(change);
    }

    fn lock(&self) -> MutexGuard<'_, HostsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HostListPort for MemoryHosts {
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, PlatformError>> {
        Box::pin(async move {
            let mut state = self.lock();
            let now = Instant::now();
            while state.pending.front().is_some_and(|(visible_at, _)| *visible_at <= now) {
                if let Some((_, visible)) = state.pending.pop_front() {
                    state.visible = visible;
                }
            }
            Ok(state.visible.clone())
        })
    }
}
