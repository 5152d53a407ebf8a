//! One connection to an upstream. It closes as soon as its owner drops it, so that an upstream
//! stops work that nobody waits for.

use crate::fault::AttemptFault;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use oleander_core::attempt_retry::FaultKind;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Longest time for a TCP connect. A lost opening packet is sent again after a second; another
/// upstream is sooner than that, and the farthest region answers within 70 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time that bytes stay unacknowledged on a connection that is not dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest head of an answer that is read, in bytes.
const MAX_ANSWER_HEAD: usize = 64 * 1024;

/// A connection to an upstream.
pub struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl UpstreamConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`FaultKind::Connect`]: nothing was sent.
    pub async fn open(address: SocketAddr) -> Result<Self, AttemptFault> {
        let unopened = |reason: String| AttemptFault::new(FaultKind::Connect, reason);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let socket = match opened {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => return Err(unopened(format!("cannot connect: {error}"))),
            Err(_) => return Err(unopened(format!("no connection within {CONNECT_TIMEOUT:?}"))),
        };
        enable_keepalive(&socket);
        let handshake =
            http1::Builder::new().max_buf_size(MAX_ANSWER_HEAD).handshake(TokioIo::new(socket));
        let (sender, connection) =
            handshake.await.map_err(|error| unopened(format!("no handshake: {error}")))?;
        let driver = tokio::spawn(async move {
            // What ended a connection reaches whoever waits for an answer on it.
            let _ = connection.await;
        });
        Ok(Self { sender, driver: driver.abort_handle() })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`FaultKind::Connect`] when nothing was sent, [`FaultKind::Lost`] when it may have been.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptFault> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let kind = if unsent { FaultKind::Connect } else { FaultKind::Lost };
            AttemptFault::new(kind, error.into_error().to_string())
        })
    }

    /// Waits until the last answer is read and the connection takes another request; `false`
    /// when it does not.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether the connection is open and idle, as far as is known here.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Lets the kernel find connections that went silent for good.
pub(crate) fn enable_keepalive(socket: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let options = SockRef::from(socket);
    let set = socket
        .set_nodelay(true)
        .and_then(|()| options.set_tcp_keepalive(&keepalive))
        .and_then(|()| options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::debug!(target: "connection", error:% = error; "socket options were refused");
    }
}
