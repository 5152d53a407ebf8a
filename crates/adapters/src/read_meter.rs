//! Bounds the bytes that a peer may send in excess of the content that is passed on.
//!
//! HTTP parsers skip some bytes without a limit, such as interim responses and leading zeros of a
//! chunk's size, and would read them for as long as they come.

use hyper_util::client::legacy::connect::{Connected, Connection};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of framing that each byte of content may have.
const FRAMING_RATIO: usize = 1;

/// Counts the bytes read from a connection that are not content, nor framing in proportion to it.
#[derive(Clone, Debug)]
pub struct ReadMeter {
    excess: Arc<AtomicUsize>,
    limit: usize,
    max_read: usize,
    resets_on_write: bool,
}

impl ReadMeter {
    /// Creates a meter that fails reads once `limit` bytes were read in excess.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { excess: Arc::default(), limit, max_read: usize::MAX, resets_on_write: false }
    }

    /// Starts to count anew with each write, where the peer only answers.
    #[must_use]
    pub const fn with_reset_on_write(mut self) -> Self {
        self.resets_on_write = true;
        self
    }

    /// Reads at most `max_read` bytes at a time. The parser doubles its buffer after each read that fills it, and
    /// keeps it.
    #[must_use]
    pub const fn with_max_read(mut self, max_read: usize) -> Self {
        self.max_read = max_read;
        self
    }

    /// Starts to count anew, for the next response.
    pub fn reset(&self) {
        self.excess.store(0, Ordering::Relaxed);
    }

    /// Records that content was passed on.
    pub fn record_content(&self, bytes: usize) {
        let allowed = bytes.saturating_mul(1 + FRAMING_RATIO);
        let subtract = |excess: usize| Some(excess.saturating_sub(allowed));
        // Cannot fail, since the closure always returns a value.
        let _ = self.excess.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }

    fn record_write(&self) {
        if self.resets_on_write {
            self.reset();
        }
    }

    /// Meters the bytes read from a connection.
    pub const fn watch<T>(self, inner: T) -> MeteredIo<T> {
        MeteredIo { inner, meter: self }
    }
}

/// A connection whose reads fail once its meter's limit is reached.
#[derive(Debug)]
pub struct MeteredIo<T> {
    inner: T,
    meter: ReadMeter,
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.excess.load(Ordering::Relaxed) >= self.meter.limit {
            let text = format!("{} bytes received in excess of the content", self.meter.limit);
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        let max_read = self.meter.max_read;
        let polled = if max_read < buffer.remaining() {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_read));
            let polled = Pin::new(&mut self.inner).poll_read(context, &mut part);
            let length = part.filled().len();
            buffer.advance(length);
            polled
        } else {
            Pin::new(&mut self.inner).poll_read(context, buffer)
        };
        self.meter.excess.fetch_add(buffer.filled().len() - before, Ordering::Relaxed);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.meter.record_write();
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
        self.meter.record_write();
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }
}

impl<T: Connection> Connection for MeteredIo<T> {
    fn connected(&self) -> Connected {
        self.inner.connected()
    }
}
