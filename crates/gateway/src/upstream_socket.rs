//! A socket that is reset instead of closed while its request may not have been delivered, and that tells
//! whether the request was written completely.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// How far the latest request on a connection was written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteState {
    /// No byte was.
    #[default]
    Begun,
    /// Some bytes were.
    Partial,
    /// All bytes were.
    Complete,
    /// The connection ended before.
    Failed,
}

/// Whether the peer has answered the latest request on a connection, and so has received it.
///
/// ```
/// use oleander_gateway::upstream_socket::DeliveryState;
/// use std::io::ErrorKind;
/// use tokio::io::AsyncReadExt;
/// use tokio::net::{TcpListener, TcpStream};
///
/// # tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap().block_on(async {
/// let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let delivery = DeliveryState::default();
/// let socket = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
/// let socket = delivery.clone().watch(socket);
/// let (mut peer, _) = listener.accept().await.unwrap();
/// delivery.begin_request();
/// drop(socket);
/// let error = peer.read(&mut [0; 8]).await.unwrap_err();
/// assert_eq!(error.kind(), ErrorKind::ConnectionReset);
/// # });
/// ```
#[derive(Clone, Debug, Default)]
pub struct DeliveryState {
    is_unanswered: Arc<AtomicBool>,
    written: Arc<watch::Sender<WriteState>>,
}

impl DeliveryState {
    /// Records that a request is sent.
    pub fn begin_request(&self) {
        self.is_unanswered.store(true, Ordering::Relaxed);
        self.written.send_replace(WriteState::Begun);
    }

    /// Resolves when the latest request was written completely; `false` if the connection ended before.
    pub fn written(&self) -> impl Future<Output = bool> + Send + 'static {
        let mut written = self.written.subscribe();
        async move {
            let is_over =
                |state: &WriteState| matches!(state, WriteState::Complete | WriteState::Failed);
            written.wait_for(is_over).await.is_ok_and(|state| *state == WriteState::Complete)
        }
    }

    fn advance(&self, from: &[WriteState], to: WriteState) {
        self.written.send_if_modified(|state| {
            let is_due = from.contains(state);
            if is_due {
                *state = to;
            }
            is_due
        });
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(_)) => self.advance(&[WriteState::Begun], WriteState::Partial),
            Poll::Ready(Err(_)) => self.record_failure(),
            Poll::Pending => {}
        }
    }

    /// Records that everything was written that was to be.
    fn record_flush(&self) {
        self.advance(&[WriteState::Partial], WriteState::Complete);
    }

    fn record_failure(&self) {
        self.advance(&[WriteState::Begun, WriteState::Partial], WriteState::Failed);
    }

    /// Records that its answer has begun.
    pub fn record_answer(&self) {
        self.is_unanswered.store(false, Ordering::Relaxed);
    }

    /// Resets a socket that is dropped before the answer has begun.
    #[must_use]
    pub const fn watch(self, socket: TcpStream) -> UpstreamSocket {
        UpstreamSocket { socket, delivery: self }
    }
}

/// A socket that is reset when it is dropped with an unanswered request.
///
/// After a close the kernel goes on sending what it holds, so a request whose path is lost would be
/// delivered when the path is back, though nobody waits for it. An answered request is closed
/// normally, since the end of a connection is repeated if it gets lost and a reset is not.
#[derive(Debug)]
pub struct UpstreamSocket {
    socket: TcpStream,
    delivery: DeliveryState,
}

impl Drop for UpstreamSocket {
    fn drop(&mut self) {
        self.delivery.record_failure();
        if self.delivery.is_unanswered.load(Ordering::Relaxed) {
            // Fails if the connection has ended already.
            let _ = self.socket.set_zero_linger();
        }
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.delivery.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP client flushes once it has written all that it holds, which is the whole request.
        self.delivery.record_flush();
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write_vectored(context, buffers);
        self.delivery.record_write(&polled);
        polled
    }
}
