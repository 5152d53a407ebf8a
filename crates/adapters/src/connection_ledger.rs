//! Applies the budget of connections to the listeners of a process.

use oleander_core::connection_budget::{
    BudgetLimits, ClientClass, CloseReason, ConnectionBudget, ConnectionId, ConnectionPhase,
    USUAL_SOCKET_BUFFER,
};
use oleander_core::units::{ByteCount, Timestamp};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use socket2::SockRef;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

/// Minimum time between log lines about closed and refused connections. A crowd would fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time between large headers that are read. The smallest hosts need about a millisecond for each.
const LARGE_HEADERS_INTERVAL: Duration = Duration::from_millis(5);

/// Time between requests that were sent ahead, over all connections. The smallest hosts need a fraction of a
/// millisecond for each.
const SENT_AHEAD_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// The budget of all connections of a process, shared by its listeners.
///
/// ```
/// use oleander_adapters::connection_ledger::ConnectionLedger;
/// use oleander_core::connection_budget::{BudgetLimits, ClientClass};
/// use std::sync::Arc;
///
/// let limits = BudgetLimits::new("120 MB".parse().unwrap(), 3_075);
/// let ledger = Arc::new(ConnectionLedger::new(limits));
/// let connection = ledger.open(ClientClass::Caller).unwrap();
/// assert!(connection.hold(4_096).is_some());
/// ```
pub struct ConnectionLedger {
    state: Mutex<LedgerState>,
    started: Instant,
    open: Gauge,
    held: Gauge,
    closed: Family<ReasonLabel, Counter>,
}

struct LedgerState {
    budget: ConnectionBudget,
    /// Tells each open connection to close.
    signals: HashMap<ConnectionId, watch::Sender<Option<CloseReason>>>,
    /// Connections closed or refused since the last log line, and when that was written.
    unlogged: HashMap<&'static str, u64>,
    /// When the next large headers may be read on.
    next_large: Instant,
    /// When the next request that was sent ahead may be answered.
    next_ahead: Instant,
    logged: Option<Instant>,
}

impl ConnectionLedger {
    /// Creates the ledger of a process.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        let state = LedgerState {
            budget: ConnectionBudget::new(limits),
            signals: HashMap::new(),
            unlogged: HashMap::new(),
            next_large: Instant::now(),
            next_ahead: Instant::now(),
            logged: None,
        };
        Self {
            state: Mutex::new(state),
            started: Instant::now(),
            open: Gauge::default(),
            held: Gauge::default(),
            closed: Family::default(),
        }
    }

    /// Registers the metrics of the ledger.
    #[must_use]
    pub fn with_metrics(self, registry: &mut Registry) -> Self {
        registry.register("connections", "Open connections of clients", self.open.clone());
        let help = "Bytes that connections of clients hold";
        registry.register_with_unit("connections", help, Unit::Bytes, self.held.clone());
        let help = "Connections closed or refused for want of memory or descriptors";
        registry.register("connections_closed", help, self.closed.clone());
        self
    }

    /// Takes over changed limits.
    pub fn set_limits(&self, limits: BudgetLimits) {
        self.lock().budget.set_limits(limits);
    }

    /// Sets the receive buffers of the connections of a listener.
    pub fn size_buffers(&self, listener: &TcpListener) {
        let size = self.lock().budget.limits().socket_buffer();
        let Some(size) = size.and_then(|size| usize::try_from(size.get()).ok()) else { return };
        if let Err(error) = SockRef::from(listener).set_recv_buffer_size(size) {
            log::warn!(target: "connection", error:%; "cannot set the buffers of connections");
        }
    }

    /// Opens a connection; `None` if there is no room for it.
    pub fn open(self: &Arc<Self>, class: ClientClass) -> Option<Arc<OpenConnection>> {
        let mut state = self.lock();
        let id = state.budget.open(class, self.now());
        self.close_others(&mut state);
        let Some(id) = id else {
            self.record_closed(&mut state, "refused");
            return None;
        };
        let (signal, closing) = watch::channel(None);
        state.signals.insert(id, signal);
        let max_read = state.budget.limits().max_read();
        drop(state);
        let max_read = max_read.and_then(|size| usize::try_from(size.get()).ok());
        let ledger = Arc::clone(self);
        Some(Arc::new(OpenConnection { ledger, id, max_read, closing }))
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.started.elapsed().as_millis() as u64)
    }

    /// Passes on the decisions of the budget.
    fn close_others(&self, state: &mut LedgerState) {
        for (id, reason) in state.budget.take_closing() {
            if let Some(signal) = state.signals.remove(&id) {
                signal.send_replace(Some(reason));
            }
            self.record_closed(state, reason.name());
        }
        self.open.set(i64::try_from(state.budget.connections()).unwrap_or(i64::MAX));
        self.held.set(i64::try_from(state.budget.used().get()).unwrap_or(i64::MAX));
    }

    fn record_closed(&self, state: &mut LedgerState, reason: &'static str) {
        self.closed.get_or_create(&ReasonLabel { reason }).inc();
        *state.unlogged.entry(reason).or_default() += 1;
        if state.logged.is_some_and(|logged| logged.elapsed() < LOG_INTERVAL) {
            return;
        }
        state.logged = Some(Instant::now());
        let count = |reason| state.unlogged.get(reason).copied().unwrap_or_default();
        log::warn!(
            target: "connection",
            unfinished_headers = count(CloseReason::UnfinishedHeaders.name()),
            idle = count(CloseReason::Idle.name()),
            stalled_body = count(CloseReason::StalledBody.name()),
            refused = count("refused"),
            open = state.budget.connections(),
            held = state.budget.used().get();
            "connections closed, since memory or descriptors are used up"
        );
        state.unlogged.clear();
    }
}

/// An open connection, until dropped.
pub struct OpenConnection {
    ledger: Arc<ConnectionLedger>,
    id: ConnectionId,
    max_read: Option<usize>,
    closing: watch::Receiver<Option<CloseReason>>,
}

impl OpenConnection {
    /// Records what the connection does from now on.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        self.ledger.lock().budget.set_phase(self.id, phase, self.ledger.now());
    }

    /// Maximum size of one read; `None` if any is fine.
    #[must_use]
    pub const fn max_read(&self) -> Option<usize> {
        self.max_read
    }

    /// When large headers of the connection may be read on. A crowd of them, each of thousands of fields, would keep
    /// the process from everything else.
    #[must_use]
    pub fn large_headers_turn(&self) -> Instant {
        let mut state = self.ledger.lock();
        let turn = state.next_large.max(Instant::now());
        state.next_large = turn + LARGE_HEADERS_INTERVAL;
        turn
    }

    /// When a request of the connection may be answered that its client sent ahead.
    #[must_use]
    pub fn sent_ahead_turn(&self) -> Instant {
        let mut state = self.ledger.lock();
        let turn = state.next_ahead.max(Instant::now());
        state.next_ahead = turn + SENT_AHEAD_INTERVAL;
        turn
    }

    /// Records that bytes of a body arrived.
    pub fn receive(&self, bytes: usize) {
        let bytes = ByteCount::new(bytes as u64);
        self.ledger.lock().budget.receive(self.id, bytes, self.ledger.now());
    }

    /// Lets the connection hold bytes; `None` if they do not fit.
    #[must_use]
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Option<HeldBytes> {
        let mut held = HeldBytes { connection: Arc::clone(self), bytes: 0 };
        held.grow_to(bytes).then_some(held)
    }

    /// Lets the connection hold bytes if they fit without closing others.
    #[must_use]
    pub fn hold_spare(self: &Arc<Self>, bytes: usize) -> Option<HeldBytes> {
        let fits = self.ledger.lock().budget.hold_spare(self.id, ByteCount::new(bytes as u64));
        fits.then(|| HeldBytes { connection: Arc::clone(self), bytes })
    }

    /// Holds what the socket's receive buffer may contain, which cannot be refused.
    #[must_use]
    pub fn hold_unread(self: &Arc<Self>) -> HeldBytes {
        let size = self.ledger.lock().budget.limits().socket_buffer();
        let size = size.unwrap_or(USUAL_SOCKET_BUFFER).get();
        let mut held = HeldBytes { connection: Arc::clone(self), bytes: 0 };
        held.force_to(usize::try_from(size).unwrap_or(usize::MAX));
        held
    }

    /// Resolves when the budget wants the connection closed.
    pub async fn closing(&self) -> CloseReason {
        let mut closing = self.closing.clone();
        let reason = closing.wait_for(Option::is_some).await.map(|reason| *reason);
        // The sender is dropped only after the reason was set, or with the connection.
        reason.ok().flatten().unwrap_or(CloseReason::Idle)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.ledger.lock();
        state.budget.close(self.id);
        state.signals.remove(&self.id);
        self.ledger.close_others(&mut state);
    }
}

/// Bytes that a connection holds, until dropped.
pub struct HeldBytes {
    connection: Arc<OpenConnection>,
    bytes: usize,
}

impl HeldBytes {
    /// Holds at least `bytes` in all. Returns whether they fit.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        if added == 0 {
            return true;
        }
        let (ledger, id) = (&self.connection.ledger, self.connection.id);
        let mut state = ledger.lock();
        let fits = state.budget.hold(id, ByteCount::new(added as u64), ledger.now());
        ledger.close_others(&mut state);
        if fits {
            self.bytes = bytes;
        }
        fits
    }

    /// Holds at least `bytes` in all, whether they fit or not.
    pub fn force_to(&mut self, bytes: usize) {
        let added = bytes.saturating_sub(self.bytes);
        let ledger = &self.connection.ledger;
        ledger.lock().budget.add(self.connection.id, ByteCount::new(added as u64));
        self.bytes += added;
    }

    /// The number of bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let bytes = ByteCount::new(self.bytes as u64);
        self.connection.ledger.lock().budget.release(self.connection.id, bytes);
    }
}
