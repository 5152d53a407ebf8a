//! The list of hosts in memory.

use oleander_ports::hosts::{HostListPort, ListedHost, ListedRole};
use oleander_ports::{PlatformError, PortFuture};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Default)]
struct HostsState {
    truth: Vec<ListedHost>,
    shown: Vec<ListedHost>,
    pending: VecDeque<(Instant, Vec<ListedHost>)>,
    lag: Duration,
}

/// A list that shows changes only after its lag. Clones share it.
#[derive(Clone, Default)]
pub struct MemoryHosts {
    state: Arc<Mutex<HostsState>>,
}

impl MemoryHosts {
    /// An empty list without lag.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long a change takes to show.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Adds a host, in place of one with the same role.
    pub fn put(&self, host: ListedHost) {
        self.change(|truth| {
            truth.retain(|listed| listed.role != host.role);
            truth.push(host);
        });
    }

    /// Marks a host as leaving.
    pub fn set_leaving(&self, role: &ListedRole) {
        self.change(|truth| {
            for listed in truth.iter_mut().filter(|listed| listed.role == *role) {
                listed.leaving = true;
            }
        });
    }

    /// Takes a host off the list.
    pub fn remove(&self, role: &ListedRole) {
        self.change(|truth| truth.retain(|listed| listed.role != *role));
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<ListedHost>)) {
        let mut state = self.lock();
        edit(&mut state.truth);
        let change = (Instant::now() + state.lag, state.truth.clone());
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
            while state.pending.front().is_some_and(|(due, _)| *due <= now) {
                if let Some((_, shown)) = state.pending.pop_front() {
                    state.shown = shown;
                }
            }
            Ok(state.shown.clone())
        })
    }
}
