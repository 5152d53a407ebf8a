//! The callers' server and its stop.

use crate::handler;
use crate::parts::EntryParts;
use crate::state::EntryState;
use oleander_adapters::http_server::{HttpHandler, HttpServer};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An entry that is bound to its callers' port.
pub struct EntryServer {
    state: Arc<EntryState>,
    server: HttpServer,
    drain: Duration,
}

impl EntryServer {
    /// Binds the callers' port; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(parts: EntryParts, caller_address: SocketAddr) -> anyhow::Result<Self> {
        let state = Arc::new(EntryState::new(parts));
        let server = HttpServer::bind(caller_address, caller_handler(&state)).await?;
        Ok(Self { state, server, drain: Duration::ZERO })
    }

    /// Sets for how long the entry keeps serving after its health check fails.
    #[must_use]
    pub const fn with_drain(mut self, drain: Duration) -> Self {
        self.drain = drain;
        self
    }

    /// The callers' address that was bound.
    ///
    /// # Errors
    ///
    /// When the system does not tell.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        self.server.address()
    }

    /// Tells whether the entry is stopping; for health checks.
    #[must_use]
    pub fn drain_watch(&self) -> Arc<dyn Fn() -> bool + Send + Sync> {
        let state = Arc::clone(&self.state);
        Arc::new(move || state.is_draining())
    }

    /// The handler of the callers' port.
    #[must_use]
    pub fn handler(&self) -> HttpHandler {
        caller_handler(&self.state)
    }

    /// Serves until `stop` ends, then for the drain time, then finishes what is in flight.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let Self { state, server, drain } = self;
        let drained = async {
            stop.await;
            state.start_drain();
            state.parts.members.leave();
            tokio::time::sleep(drain).await;
        };
        server.serve(drained).await;
    }
}

fn caller_handler(state: &Arc<EntryState>) -> HttpHandler {
    let state = Arc::clone(state);
    Arc::new(move |request, _| Box::pin(handler::answer(Arc::clone(&state), request)))
}
