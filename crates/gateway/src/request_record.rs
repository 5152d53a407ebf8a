//! The access log: one line per request, written when the request ends for any reason.

use crate::attempt::SendProgress;
use crate::connection_end::{ConnectionEnd, EndCause};
use crate::event_pace::EventPace;
use crate::state::GatewayState;
use oleander_core::units::Timestamp;
use std::fmt::Write;
use std::sync::Arc;

/// Outcome of a request that was dropped while its connection was open.
const DROPPED: &str = "dropped";

/// An attempt that has no answer yet.
struct PendingAttempt {
    upstream: Arc<str>,
    model: Option<Arc<str>>,
    progress: Arc<SendProgress>,
}

/// The log entry of a request, written on drop.
pub struct RequestRecord {
    state: Arc<GatewayState>,
    connection: ConnectionEnd,
    started: Timestamp,
    id: Arc<str>,
    route: Arc<str>,
    account: Arc<str>,
    session: Arc<str>,
    config: u64,
    attempts: String,
    pending: Option<PendingAttempt>,
    outcome: Option<(&'static str, u16)>,
    reason: String,
    events: EventPace,
}

impl RequestRecord {
    /// Starts the entry of a request that arrived now on a connection.
    pub fn new(state: Arc<GatewayState>, connection: ConnectionEnd, id: &str) -> Self {
        state.metrics.record_start();
        Self {
            started: state.clock.now(),
            state,
            connection,
            id: Arc::from(id),
            route: Arc::from(""),
            account: Arc::from(""),
            session: Arc::from(""),
            config: 0,
            attempts: String::new(),
            pending: None,
            outcome: None,
            reason: String::new(),
            events: EventPace::default(),
        }
    }

    /// Sets the route, the account and the configuration version they come from.
    pub fn set_route(&mut self, route: &Arc<str>, account: Option<&Arc<str>>, config: u64) {
        self.route = Arc::clone(route);
        self.account = account.map_or_else(|| Arc::from(""), Arc::clone);
        self.config = config;
    }

    /// Sets the session id.
    pub fn set_session(&mut self, session: &Arc<str>) {
        self.session = Arc::clone(session);
    }

    /// Records that an attempt begins; it is in the entry if the request ends before its answer does
    /// begin.
    pub fn begin_attempt(
        &mut self,
        upstream: &str,
        model: Option<&str>,
        progress: Arc<SendProgress>,
    ) {
        let (upstream, model) = (Arc::from(upstream), model.map(Arc::from));
        self.pending = Some(PendingAttempt { upstream, model, progress });
    }

    /// Adds an attempt with its result.
    pub fn add_attempt(&mut self, upstream: &str, model: Option<&str>, result: &str) {
        self.pending = None;
        let separator = if self.attempts.is_empty() { "" } else { "; " };
        let at = self.state.clock.now().since(self.started).as_millis();
        let model = model.unwrap_or("-");
        // Writing to a string cannot fail.
        let _ = write!(self.attempts, "{separator}{upstream} {model} {result} at {at}");
    }

    /// Sets the events of the latest answer of a stream.
    pub const fn set_events(&mut self, events: EventPace) {
        self.events = events;
    }

    /// Sets the outcome of the request.
    pub fn set_outcome(&mut self, outcome: &'static str, status: u16, reason: impl Into<String>) {
        self.outcome = Some((outcome, status));
        self.reason = reason.into();
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if let Some(pending) = self.pending.take() {
            let result = if pending.progress.is_sent() { "sent" } else { "unsent" };
            self.add_attempt(&pending.upstream, pending.model.as_deref(), result);
        }
        let cause = self.connection.cause();
        let (outcome, status) =
            self.outcome.unwrap_or_else(|| (cause.map_or(DROPPED, EndCause::outcome), 0));
        let reason = match cause {
            Some(cause) if self.outcome.is_none() => cause.reason(),
            _ => self.reason.as_str(),
        };
        let span = self.state.clock.now().since(self.started);
        self.state.metrics.record_end(outcome, span);
        let gap = self.events.mean_gap().unwrap_or_default();
        log::info!(
            target: "request",
            id:% = self.id,
            route:% = self.route,
            account:% = self.account,
            session:% = self.session,
            config = self.config,
            outcome,
            status,
            reason,
            attempts = self.attempts.as_str(),
            events = self.events.events(),
            gap_ms = gap.as_millis() as u64,
            ms = span.as_millis() as u64;
            "request ended"
        );
    }
}
