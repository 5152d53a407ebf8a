//! Limits the time that a caller may take to send the headers of a request.
//!
//! The time counts from the first byte of the headers, so that idle connections stay open. While a
//! request is answered, bytes that arrive do not count: the server reads no further headers until
//! the answer is sent. The timer also tells the budget of connections what its connection does.

use crate::connection_ledger::{HeldBytes, OpenConnection};
use oleander_core::connection_budget::ConnectionPhase;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time between checks whether a caller has left that sent more than its request.
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The parser's buffer may be twice as large as what it holds.
const BUFFER_FACTOR: usize = 2;

#[derive(Debug, Default)]
struct HeadState {
    /// Arrival of the first byte of headers that are not complete yet.
    started: Option<Instant>,
    /// Requests whose headers are complete and whose answer has not ended.
    in_progress: u32,
    /// Whether the caller has yet to take bytes that were written.
    is_blocked: bool,
    /// Whether bytes were read since the last headers were complete.
    has_read: bool,
    /// Whether bytes arrived that the server does not read on from, so that it does not see the end of the
    /// connection behind them.
    has_excess: bool,
}

impl HeadState {
    const fn phase(&self) -> ConnectionPhase {
        if self.in_progress > 0 || self.is_blocked {
            ConnectionPhase::Served
        } else if self.started.is_some() {
            ConnectionPhase::Headers
        } else {
            ConnectionPhase::Idle
        }
    }
}

/// Knows when the headers of a connection's next request began to arrive.
#[derive(Clone, Default)]
pub struct HeadTimer {
    state: Arc<watch::Sender<HeadState>>,
    connection: Option<Arc<OpenConnection>>,
    /// What the headers that are arriving take.
    held: Arc<Mutex<Option<HeldBytes>>>,
    /// Whether the headers that are arriving are large and had their turn.
    had_turn: Arc<AtomicBool>,
}

/// A request in progress, until dropped.
pub struct RequestGuard {
    timer: HeadTimer,
    is_ahead: bool,
}

impl RequestGuard {
    /// Waits until the caller has taken the answers before, and for its turn if the request was sent ahead.
    /// Otherwise a few callers that send many requests ahead would keep the process from everyone else.
    pub async fn may_be_answered(&self) {
        self.timer.written().await;
        let connection = self.timer.connection.as_ref().filter(|_| self.is_ahead);
        if let Some(turn) = connection.map(|connection| connection.sent_ahead_turn()) {
            sleep_until(turn).await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.timer.end_request();
    }
}

impl HeadTimer {
    /// Creates a timer for a new connection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells the budget of connections what the connection does.
    #[must_use]
    pub fn with_connection(mut self, connection: Arc<OpenConnection>) -> Self {
        self.connection = Some(connection);
        self
    }

    /// Records that bytes arrived. They belong to headers unless an answer is being sent. Returns whether the
    /// connection may hold them.
    fn record_bytes(&self, bytes: usize) -> bool {
        let mut is_head = false;
        self.modify(|state| {
            let may_start = state.in_progress == 0 && !state.is_blocked;
            let starts = may_start && state.started.is_none();
            if starts {
                state.started = Some(Instant::now());
            }
            is_head = may_start;
            state.has_read = true;
            let is_new = !state.has_excess;
            state.has_excess = true;
            starts || is_new
        });
        let Some(connection) = self.connection.as_ref().filter(|_| is_head) else { return true };
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let added = bytes * BUFFER_FACTOR;
        match &mut *held {
            Some(held) => held.grow_to(held.bytes() + added),
            None => {
                *held = connection.hold(added);
                held.is_some()
            }
        }
    }

    /// When to read on headers that have just exceeded one read.
    fn large_headers_turn(&self, max_read: usize) -> Option<Instant> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let read = held.as_ref().map_or(0, HeldBytes::bytes) / BUFFER_FACTOR;
        let had_turn = self.had_turn.swap(read >= max_read, Ordering::Relaxed);
        if read < max_read || had_turn {
            return None;
        }
        self.connection.as_ref().map(|connection| connection.large_headers_turn())
    }

    /// Records that all bytes that arrived were read.
    fn record_drained(&self) {
        self.modify(|state| std::mem::take(&mut state.has_excess));
    }

    /// Records whether a write has to wait for the caller or failed.
    fn record_write(&self, is_blocked: bool) {
        self.modify(|state| {
            let changes = state.is_blocked != is_blocked;
            state.is_blocked = is_blocked;
            // Bytes that arrived before the answer was sent are not read as headers yet.
            changes | (is_blocked && state.started.take().is_some())
        });
    }

    /// Records that the headers of a request are complete; whether the caller sent them ahead, together
    /// with an earlier request.
    pub fn begin_request(&self) -> bool {
        let mut is_ahead = false;
        self.modify(|state| {
            state.in_progress += 1;
            state.started = None;
            is_ahead = !std::mem::take(&mut state.has_read);
            true
        });
        self.held.lock().unwrap_or_else(PoisonError::into_inner).take();
        is_ahead
    }

    /// Changes the state, and tells the budget of a new phase.
    fn modify(&self, change: impl FnOnce(&mut HeadState) -> bool) {
        let mut next = None;
        self.state.send_if_modified(|state| {
            let before = state.phase();
            let is_modified = change(state);
            next = Some(state.phase()).filter(|phase| *phase != before);
            is_modified
        });
        if let (Some(phase), Some(connection)) = (next, &self.connection) {
            connection.set_phase(phase);
        }
    }

    /// Records that the headers of a request are complete; the guard ends the request.
    #[must_use]
    pub fn guard_request(&self) -> RequestGuard {
        let is_ahead = self.begin_request();
        RequestGuard { timer: self.clone(), is_ahead }
    }

    /// Records that the answer to a request ended.
    pub fn end_request(&self) {
        self.modify(|state| {
            state.in_progress = state.in_progress.saturating_sub(1);
            true
        });
    }

    /// Waits until the caller has taken what was written, so that answers to requests sent ahead do not
    /// accumulate.
    pub async fn written(&self) {
        // Cannot fail, since this timer keeps the sender.
        let _ = self.state.subscribe().wait_for(|state| !state.is_blocked).await;
    }

    /// Resolves when `is_closed` holds while a request is in progress whose caller sent more than it. Otherwise
    /// the server itself reads the end of the connection.
    pub async fn departed(&self, is_closed: impl Fn() -> bool) {
        let mut changes = self.state.subscribe();
        let may_be_missed = |state: &HeadState| state.has_excess && state.in_progress > 0;
        // Bytes that wait to be read are in the socket's buffer, and count as memory of the process.
        let mut unread: Option<HeldBytes> = None;
        loop {
            if !may_be_missed(&self.state.borrow()) {
                unread = None;
            }
            // Cannot fail, since this timer keeps the sender.
            let _ = changes.wait_for(may_be_missed).await;
            tokio::time::sleep(DEPARTURE_POLL_INTERVAL).await;
            if may_be_missed(&self.state.borrow()) {
                if is_closed() {
                    return;
                }
                let connection = self.connection.as_ref().filter(|_| unread.is_none());
                unread = connection.map(OpenConnection::hold_unread).or(unread);
            }
        }
    }

    /// Resolves when headers are incomplete `timeout` after their first byte.
    pub async fn expired(&self, timeout: Duration) {
        let mut changes = self.state.subscribe();
        loop {
            let started = changes.borrow_and_update().started;
            let Some(started) = started else {
                // Cannot fail, since this timer keeps the sender.
                let _ = changes.changed().await;
                continue;
            };
            sleep_until(started + timeout).await;
            if changes.borrow().started == Some(started) {
                return;
            }
        }
    }

    /// Whether bytes of an answer wait for the caller.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.state.borrow().is_blocked
    }

    /// Waits until no headers are arriving.
    pub async fn complete(&self) {
        // Cannot fail, since this timer keeps the sender.
        let _ = self.state.subscribe().wait_for(|state| state.started.is_none()).await;
    }

    /// Watches the bytes that arrive on a connection.
    pub fn watch<T>(self, inner: T) -> WatchedIo<T> {
        WatchedIo { inner, timer: self, pause: None }
    }
}

/// A connection that tells its timer when bytes arrive.
pub struct WatchedIo<T> {
    inner: T,
    timer: HeadTimer,
    /// Ends when large headers may be read on.
    pause: Option<Pin<Box<Sleep>>>,
}

impl<T: AsyncRead + Unpin> AsyncRead for WatchedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        let max_read = self.timer.connection.as_ref().and_then(|connection| connection.max_read());
        let before = buffer.filled().len();
        let polled = match max_read.filter(|max_read| *max_read < buffer.remaining()) {
            Some(max_read) => {
                let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_read));
                let polled = Pin::new(&mut self.inner).poll_read(context, &mut part);
                let length = part.filled().len();
                buffer.advance(length);
                polled
            }
            None => Pin::new(&mut self.inner).poll_read(context, buffer),
        };
        let length = buffer.filled().len() - before;
        if length > 0 && !self.timer.record_bytes(length) {
            let text = "no memory for the headers of a request";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::OutOfMemory, text)));
        }
        if let Some(turn) = max_read.and_then(|max_read| self.timer.large_headers_turn(max_read)) {
            self.pause = Some(Box::pin(sleep_until(turn)));
        }
        if polled.is_pending() {
            self.timer.record_drained();
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WatchedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.timer.record_write(!matches!(polled, Poll::Ready(Ok(_))));
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.timer.record_write(!matches!(polled, Poll::Ready(Ok(_))));
        polled
    }
}
