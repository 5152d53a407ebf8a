//! The callers' HTTP server and its graceful stop.

use crate::admin::admin_port;
use crate::handler;
use crate::in_flight::InFlightRequest;
use crate::load_watch::{DEFAULT_POLL_INTERVAL, listen_for_leaving, start_load_watch};
use crate::parts::EntryParts;
use crate::sample_queue::start_submissions;
use crate::state::EntryState;
use oleander_adapters::admin::AdminPort;
use oleander_adapters::http_server::{HttpHandler, HttpServer};
use oleander_history::{HistoryRecorder, SeenEvent};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An entry that is bound to its callers' port.
pub struct EntryServer {
    state: Arc<EntryState>,
    server: HttpServer,
    drain: Duration,
    poll_interval: Duration,
}

/// Read access to a running entry. Clones refer to the same entry.
#[derive(Clone)]
pub struct EntryView {
    state: Arc<EntryState>,
}

impl EntryView {
    /// Whether the entry is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state.is_draining()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.len()
    }

    /// Logs each request in flight, for a process that ends without waiting for them.
    pub fn log_aborted(&self) {
        for InFlightRequest { request, account, target, started_at, .. } in
            self.state.in_flight.entries()
        {
            let age = self.state.parts.clock.now().since(started_at);
            log::error!(
                "request_cut request={request} account={account} target={target} age={age:?}"
            );
        }
    }
}

impl EntryServer {
    /// Binds the callers' port; port 0 selects a free one.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(parts: EntryParts, caller_address: SocketAddr) -> anyhow::Result<Self> {
        let state = Arc::new(EntryState::new(parts));
        let server = HttpServer::bind(caller_address, caller_handler(&state)).await?;
        listen_for_leaving(&state);
        Ok(Self { state, server, drain: Duration::ZERO, poll_interval: DEFAULT_POLL_INTERVAL })
    }

    /// Sets for how long the entry keeps serving after its health check starts to fail.
    #[must_use]
    pub const fn with_drain(mut self, drain: Duration) -> Self {
        self.drain = drain;
        self
    }

    /// Sets the time between two polls of one upstream's load.
    #[must_use]
    pub const fn with_poll_interval(mut self, interval: Duration) -> Self {
        self.poll_interval = interval;
        self
    }

    /// Records each request that is admitted.
    #[must_use]
    pub fn with_recorder(self, recorder: HistoryRecorder) -> Self {
        let (clock, host) = (Arc::clone(&self.state.parts.clock), self.state.parts.id.clone());
        self.state.in_flight.set_listener(Box::new(move |entry| {
            let InFlightRequest { request, account, key, .. } = entry.clone();
            let host_name = host.clone();
            let seen =
                SeenEvent::Admitted { host: host_name, account, request, key, session: None };
            recorder.record(clock.now(), host.as_str(), seen);
        }));
        self
    }

    /// Returns the bound address of the callers' port.
    ///
    /// # Errors
    ///
    /// When the operating system does not return the address.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        self.server.address()
    }

    /// Returns the handler of the callers' port.
    #[must_use]
    pub fn handler(&self) -> HttpHandler {
        caller_handler(&self.state)
    }

    /// Returns the admin port: health, metrics and request traces.
    #[must_use]
    pub fn admin_port(&self) -> AdminPort {
        admin_port(&self.state)
    }

    /// Returns a view of the entry that stays valid after the server has stopped.
    #[must_use]
    pub fn view(&self) -> EntryView {
        EntryView { state: Arc::clone(&self.state) }
    }

    /// Serves until `stop` completes and for the drain time after it, then waits for the requests
    /// in flight.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let Self { state, server, drain, poll_interval } = self;
        let watch = start_load_watch(&state, poll_interval);
        let submissions = start_submissions(&state);
        let drained = async {
            stop.await;
            log::info!("entry_draining in_flight={}", state.in_flight.len());
            state.start_drain();
            state.parts.members.leave();
            tokio::time::sleep(drain).await;
        };
        server.serve(drained).await;
        state.in_flight.wait_empty().await;
        watch.abort();
        submissions.abort();
        log::info!("entry_stopped");
    }
}

fn caller_handler(state: &Arc<EntryState>) -> HttpHandler {
    let state = Arc::clone(state);
    Arc::new(move |request, _| Box::pin(handler::handle(Arc::clone(&state), request)))
}
