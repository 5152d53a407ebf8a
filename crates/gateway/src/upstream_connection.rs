//! A connection to an upstream. It closes when its owner drops it, so that the upstream stops work
//! that nobody waits for.

use crate::carrier_client::CarriedRequest;
use crate::fault::AttemptFault;
use crate::socket_dialer::SocketDialer;
use crate::upstream_socket::DeliveryState;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use oleander_adapters::http_server::BodyError;
use oleander_adapters::read_meter::ReadMeter;
use oleander_adapters::socket_keepalive::SocketKeepalive;
use oleander_core::attempt_retry::FaultKind;
use oleander_core::connection_budget::BudgetLimits;
use oleander_core::units::Timestamp;
use oleander_ports::clock::{ClockPort, SystemClock};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Ends connections to upstreams that went silent; a sound upstream may be silent for a second or
/// two.
pub const UPSTREAM_KEEPALIVE: SocketKeepalive = SocketKeepalive {
    idle_seconds: 1,
    interval_seconds: 1,
    probes: 3,
    silence: Duration::from_secs(4),
};
/// Maximum size of response headers, in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of bytes received in excess of an answer's content, including the headers and
/// what the parser reads ahead.
const MAX_EXCESS_BYTES: usize = 5 * MAX_ANSWER_HEAD_BYTES;

/// A connection to an upstream.
pub struct UpstreamConnection {
    /// Time since the Unix epoch when it was open at the latest; the upstream's process had started
    /// before.
    pub opened_at: Timestamp,
    /// The host that carries the request, if the connection is to one.
    pub carried: Option<CarriedRequest>,
    /// Whether an upstream has answered on it before.
    pub is_kept: bool,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    meter: ReadMeter,
    delivery: DeliveryState,
}

/// The body of an answer. Its connection fails when it receives too much that is no content.
///
/// An answer without a length ends with its connection. The end of the connection is the end of the
/// answer only if the upstream has taken the whole request: otherwise it may as well have been lost.
pub struct AnswerBody {
    inner: Incoming,
    meter: ReadMeter,
    /// Whether the request was written completely, if the end of the answer depends on it.
    request_written: Option<Pin<Box<dyn Future<Output = bool> + Send>>>,
    has_ended: bool,
}

impl AnswerBody {
    fn new(
        response: Response<Incoming>,
        meter: ReadMeter,
        delivery: &DeliveryState,
    ) -> Response<Self> {
        let headers = response.headers();
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        response.map(|inner| {
            let ends_with_connection = !is_framed && !inner.is_end_stream();
            let request_written = ends_with_connection.then(|| Box::pin(delivery.written()) as _);
            Self { inner, meter, request_written, has_ended: false }
        })
    }

    fn poll_end(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(written) = &mut self.request_written else { return Poll::Ready(None) };
        let is_written = ready!(written.as_mut().poll(context));
        self.request_written = None;
        Poll::Ready((!is_written).then(|| {
            Err("the connection ended before the request was written, and its answer with it"
                .into())
        }))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.has_ended {
            return self.poll_end(context);
        }
        match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            Some(Ok(frame)) => {
                self.meter.record_content(frame.data_ref().map_or(0, Bytes::len));
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error.into()))),
            None => {
                self.has_ended = true;
                self.poll_end(context)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl UpstreamConnection {
    /// Opens a connection whose buffers are within `limits`.
    ///
    /// # Errors
    ///
    /// [`FaultKind::Connect`]: nothing was sent.
    pub async fn open(
        dialer: &SocketDialer,
        address: SocketAddr,
        timeout: Duration,
        limits: &BudgetLimits,
    ) -> Result<Self, AttemptFault> {
        let unsent = |reason: String| AttemptFault::new(FaultKind::Connect, reason);
        let opened = tokio::time::timeout(timeout, dialer.dial(address)).await;
        let socket = match opened {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => return Err(unsent(format!("cannot connect: {error}"))),
            Err(_) => return Err(unsent(format!("no connection within {timeout:?}"))),
        };
        set_options(&socket, &UPSTREAM_KEEPALIVE);
        Self::over(socket, limits).await
    }

    /// Speaks HTTP over a connection that was opened.
    ///
    /// # Errors
    ///
    /// [`FaultKind::Connect`]: nothing was sent.
    pub async fn over(socket: TcpStream, limits: &BudgetLimits) -> Result<Self, AttemptFault> {
        let unsent = |reason: String| AttemptFault::new(FaultKind::Connect, reason);
        let opened_at = SystemClock.now();
        let max_read = limits.max_read().and_then(|size| usize::try_from(size.get()).ok());
        let meter = ReadMeter::new(MAX_EXCESS_BYTES).with_max_read(max_read.unwrap_or(usize::MAX));
        let delivery = DeliveryState::default();
        let socket = delivery.clone().watch(socket);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_ANSWER_HEAD_BYTES)
            .handshake(TokioIo::new(meter.clone().watch(socket)));
        let (sender, connection) =
            handshake.await.map_err(|error| unsent(format!("HTTP handshake failed: {error}")))?;
        let driver = tokio::spawn(async move {
            // The error reaches the request that waits for a response on this connection.
            let _ = connection.await;
        });
        Ok(Self {
            opened_at,
            carried: None,
            is_kept: false,
            sender,
            driver: driver.abort_handle(),
            meter,
            delivery,
        })
    }

    /// Sends a request and waits for response headers.
    ///
    /// # Errors
    ///
    /// [`FaultKind::Connect`] when nothing was sent, [`FaultKind::Lost`] when the request may have
    /// been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, AttemptFault> {
        self.meter.reset();
        self.delivery.begin_request();
        let response = self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let kind = if unsent { FaultKind::Connect } else { FaultKind::Lost };
            AttemptFault::new(kind, error.into_error().to_string())
        })?;
        self.delivery.record_answer();
        Ok(AnswerBody::new(response, self.meter.clone(), &self.delivery))
    }

    /// Waits until the last response is read; `true` when the connection accepts another request.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether the connection is open and idle, as far as is known locally.
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

/// Sets the options of a connection.
pub(crate) fn set_options(socket: &TcpStream, keepalive: &SocketKeepalive) {
    let set = socket.set_nodelay(true).and_then(|()| keepalive.apply(socket));
    if let Err(error) = set {
        log::warn!(target: "connection", error:% = error; "cannot set socket options");
    }
}
