//! Limits the time that a caller may take to send the headers of a request.
//!
//! The time counts from the first byte of the headers, so that idle connections stay open. While a
//! request is answered, bytes that arrive do not count: the server reads no further headers until
//! the answer is sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::time::Instant;

#[derive(Debug, Default)]
struct HeadState {
    /// Arrival of the first byte of headers that are not complete yet.
    started: Option<Instant>,
    /// Requests whose headers are complete and whose answer has not ended.
    in_progress: u32,
    /// Whether the caller has yet to take bytes that were written.
    is_blocked: bool,
}

/// Knows when the headers of a connection's next request began to arrive.
#[derive(Clone, Debug, Default)]
pub struct HeadTimer {
    state: Arc<watch::Sender<HeadState>>,
}

/// A request in progress, until dropped.
#[derive(Debug)]
pub struct RequestGuard(HeadTimer);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

impl HeadTimer {
    /// Creates a timer for a new connection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that bytes arrived. They belong to headers unless an answer is being sent.
    fn record_bytes(&self) {
        self.state.send_if_modified(|state| {
            let starts = state.in_progress == 0 && !state.is_blocked && state.started.is_none();
            if starts {
                state.started = Some(Instant::now());
            }
            starts
        });
    }

    /// Records whether a write has to wait for the caller or failed.
    fn record_write(&self, is_blocked: bool) {
        self.state.send_if_modified(|state| {
            state.is_blocked = is_blocked;
            // Bytes that arrived before the answer was sent are not read as headers yet.
            is_blocked && state.started.take().is_some()
        });
    }

    /// Records that the headers of a request are complete.
    pub fn begin_request(&self) {
        self.state.send_modify(|state| {
            state.in_progress += 1;
            state.started = None;
        });
    }

    /// Records that the headers of a request are complete; the guard ends the request.
    #[must_use]
    pub fn guard_request(&self) -> RequestGuard {
        self.begin_request();
        RequestGuard(self.clone())
    }

    /// Records that the answer to a request ended.
    pub fn end_request(&self) {
        self.state.send_modify(|state| state.in_progress = state.in_progress.saturating_sub(1));
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
            tokio::time::sleep_until(started + timeout).await;
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
    pub const fn watch<T>(self, inner: T) -> WatchedIo<T> {
        WatchedIo { inner, timer: self }
    }
}

/// A connection that tells its timer when bytes arrive.
#[derive(Debug)]
pub struct WatchedIo<T> {
    inner: T,
    timer: HeadTimer,
}

impl<T: AsyncRead + Unpin> AsyncRead for WatchedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.timer.record_bytes();
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
