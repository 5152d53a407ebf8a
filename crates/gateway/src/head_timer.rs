//! Limits the time that a caller may take to send the headers of a request.
//!
//! The time counts from the first byte of the headers, so that idle connections stay open.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

#[derive(Debug, Default)]
struct HeadState {
    /// Arrival of the first byte of headers that are not complete yet.
    started: Option<Instant>,
    /// Requests whose headers are complete and which are not answered yet.
    in_progress: u32,
}

/// Knows when the headers of a connection's next request began to arrive.
#[derive(Clone, Debug, Default)]
pub struct HeadTimer {
    state: Arc<Mutex<HeadState>>,
    changed: Arc<Notify>,
}

impl HeadTimer {
    /// Creates a timer for a new connection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, HeadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes arrived. They belong to headers unless a request is in progress.
    fn record_bytes(&self) {
        let mut state = self.lock();
        if state.in_progress == 0 && state.started.is_none() {
            state.started = Some(Instant::now());
            self.changed.notify_one();
        }
    }

    /// Records that the headers of a request are complete.
    pub fn begin_request(&self) {
        let mut state = self.lock();
        state.in_progress += 1;
        state.started = None;
    }

    /// Records that a request was answered.
    pub fn end_request(&self) {
        let mut state = self.lock();
        state.in_progress = state.in_progress.saturating_sub(1);
    }

    /// Resolves when headers are incomplete `timeout` after their first byte.
    pub async fn expired(&self, timeout: Duration) {
        loop {
            let started = self.lock().started;
            let Some(started) = started else {
                self.changed.notified().await;
                continue;
            };
            tokio::time::sleep_until(started + timeout).await;
            if self.lock().started == Some(started) {
                return;
            }
        }
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
        Pin::new(&mut self.inner).poll_write(context, bytes)
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
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }
}
