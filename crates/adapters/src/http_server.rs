//! A small HTTP/1.1 server on hyper with graceful shutdown, and helpers for bounded bodies.

use crate::connection_ledger::ConnectionLedger;
use crate::head_timer::{HeadTimer, RequestGuard};
use anyhow::Context as _;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use oleander_core::connection_budget::ClientClass;
use oleander_ports::PortFuture;
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;

/// Time within which a client must send the head of a request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Connections that are accepted before those accepted earlier are read. With more than the budget allows, each would
/// be closed as the longest idle one before its request is read.
const MAX_ACCEPTED_AT_ONCE: u32 = 16;
/// The same limits for ports whose requests are small. Probes and scrapes come every few seconds.
const PROBE_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_PROBE_HEAD_BYTES: usize = 16 * 1024;

/// Error that ends a body early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a response, buffered or streamed.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;
/// Handles one request of a client at the given address.
pub type HttpHandler = Arc<
    dyn Fn(Request<Incoming>, SocketAddr) -> PortFuture<'static, Response<ResponseBody>>
        + Send
        + Sync,
>;

/// A bound listener that passes its requests to one handler.
pub struct HttpServer {
    listener: TcpListener,
    handler: HttpHandler,
    ledger: Option<Arc<ConnectionLedger>>,
}

impl HttpServer {
    /// Binds `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound; the message names it.
    pub async fn bind(address: SocketAddr, handler: HttpHandler) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.with_context(|| format!("cannot listen on {address}"))?;
        Ok(Self { listener, handler, ledger: None })
    }

    /// Lets all connections be counted in the budget of the process, for a port whose requests are small. Headers must
    /// be small and complete soon, and answers to requests sent ahead wait until earlier ones were taken.
    #[must_use]
    pub fn with_ledger(mut self, ledger: Arc<ConnectionLedger>) -> Self {
        ledger.size_buffers(&self.listener);
        self.ledger = Some(ledger);
        self
    }

    /// The bound address, with the actual port.
    ///
    /// # Errors
    ///
    /// When the operating system cannot report the address.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves until `stop` completes, then closes the listener and waits for in-flight requests.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let graceful = GracefulShutdown::new();
        tokio::pin!(stop);
        let mut accepted_at_once = 0;
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((socket, peer)) => {
                        let _ = socket.set_nodelay(true);
                        match &self.ledger {
                            Some(ledger) => spawn_counted(socket, peer, &self.handler, ledger),
                            None => spawn_connection(socket, peer, &self.handler, &graceful),
                        }
                        accepted_at_once = (accepted_at_once + 1) % MAX_ACCEPTED_AT_ONCE;
                        if accepted_at_once == 0 {
                            tokio::task::yield_now().await;
                        }
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                },
                () = &mut stop => break,
            }
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

fn spawn_connection(
    socket: tokio::net::TcpStream,
    peer: SocketAddr,
    handler: &HttpHandler,
    graceful: &GracefulShutdown,
) {
    let handler = Arc::clone(handler);
    let service = service_fn(move |request| {
        let answer = handler(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            log::debug!("connection from {peer} ended: {error}");
        }
    });
}

/// Serves a connection that counts in the budget of the process, and that is closed with the server.
fn spawn_counted(
    socket: tokio::net::TcpStream,
    peer: SocketAddr,
    handler: &HttpHandler,
    ledger: &Arc<ConnectionLedger>,
) {
    let Some(open) = ledger.open(ClientClass::Probe) else { return };
    let timer = HeadTimer::new().with_connection(Arc::clone(&open));
    let (handler, requests) = (Arc::clone(handler), timer.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, timer) = (Arc::clone(&handler), requests.clone());
        let guard = timer.guard_request();
        async move {
            guard.may_be_answered().await;
            let response = handler(request, peer).await;
            Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, guard)))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PROBE_IDLE_TIMEOUT)
        .max_buf_size(MAX_PROBE_HEAD_BYTES)
        .serve_connection(TokioIo::new(timer.clone().watch(socket)), service);
    tokio::spawn(async move {
        tokio::select! {
            ended = connection => if let Err(error) = ended {
                log::debug!("connection from {peer} ended: {error}");
            },
            () = timer.expired(PROBE_HEAD_TIMEOUT) => {}
            _ = open.closing() => {}
        }
    });
}

/// The body of a response; ends its request when dropped.
pub struct CountedBody {
    inner: ResponseBody,
    _request: RequestGuard,
}

impl CountedBody {
    /// Creates the body of the response to a request.
    #[must_use]
    pub const fn new(inner: ResponseBody, request: RequestGuard) -> Self {
        Self { inner, _request: request }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Reason why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyReadError {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body ended early.
    #[error("the body was cut: {0}")]
    Truncated(String),
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// [`BodyReadError`] when the body is larger or ends early.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyReadError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyReadError::TooLarge(limit)),
        Err(error) => Err(BodyReadError::Truncated(error.to_string())),
    }
}

/// A buffered body.
#[must_use]
pub fn full_body(body: impl Into<Bytes>) -> ResponseBody {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response with a JSON body.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// A response with a plain text body.
#[must_use]
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    let plain = http::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(http::header::CONTENT_TYPE, plain);
    response
}
