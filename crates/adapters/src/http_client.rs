//! An HTTP/1.1 client on hyper that discards unresponsive connections.
//!
//! A pooled connection can stop responding for good while new connections work. When a call times
//! out, all pooled connections are dropped, so that the next call opens a new one.

use crate::http_server::{BodyReadError, read_body};
use crate::read_meter::{MeteredIo, ReadMeter};
use crate::socket_keepalive::SocketKeepalive;
use arc_swap::ArcSwap;
use bytes::{Bytes, BytesMut};
use http::{Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use oleander_ports::PortFuture;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tower_service::Service;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A dead connection fails within about two seconds, also while a long poll waits on it.
pub const CLIENT_KEEPALIVE: SocketKeepalive = SocketKeepalive {
    idle_seconds: 1,
    interval_seconds: 1,
    probes: 2,
    silence: Duration::from_secs(2),
};
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Bytes of a body that make progress. Over a link of 10 Mbit/s that is shared with other traffic they take some
/// 30 to 300 ms.
pub const MIN_PROGRESS_BYTES: usize = 32 * 1024;

/// How long a call may take whose answer may be large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Until the head of the answer.
    pub head: Duration,
    /// In which [`MIN_PROGRESS_BYTES`] of its body arrive each time, or the rest of it.
    pub progress: Duration,
}

/// How large an answer may be, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Length that its head may state; a larger one is not read.
    pub stated: usize,
    /// Length of its body.
    pub body: usize,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection failed after bytes were sent; the call may have been handled.
    #[error("the connection failed: {0}")]
    Lost(String),
    /// No answer arrived in time; the call may have been handled.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The body of the answer stopped arriving; the call may have been handled.
    #[error("the answer stalled, less than {MIN_PROGRESS_BYTES} bytes within {0:?}")]
    Stalled(Duration),
    /// The answer's body could not be read.
    #[error(transparent)]
    Body(#[from] BodyReadError),
}

type PooledClient = Client<MeteredConnector, Full<Bytes>>;

/// An HTTP client with a connection pool per address.
pub struct HttpClient {
    pool: ArcSwap<PooledClient>,
    answer_limit: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// A client with an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::with_answer_limit(usize::MAX)
    }

    /// A client that closes a connection on which an answer takes more than `limit` bytes, headers
    /// and framing included.
    #[must_use]
    pub fn with_answer_limit(limit: usize) -> Self {
        Self { pool: ArcSwap::from_pointee(new_pool(limit)), answer_limit: limit }
    }

    /// Sends a request and waits at most `deadline` for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`CallError`], which states whether bytes may have been sent.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let pool = self.pool.load_full();
        match tokio::time::timeout(deadline, pool.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(CallError::Connect(describe(&error))),
            Ok(Err(error)) => Err(CallError::Lost(describe(&error))),
            Err(_) => {
                self.retire(&pool);
                Err(CallError::Timeout(deadline))
            }
        }
    }

    /// Sends a request and buffers its answer within `deadline`. The body may have at most `limit`
    /// bytes.
    ///
    /// # Errors
    ///
    /// [`CallError`], which states whether bytes may have been sent.
    pub async fn send_buffered(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let pool = self.pool.load_full();
        let call = async {
            let (head, body) = self.send(request, deadline).await?.into_parts();
            let body = read_body(body, limit).await?;
            Ok(Response::from_parts(head, body))
        };
        let finished = tokio::time::timeout(deadline, call).await;
        finished.unwrap_or_else(|_| {
            self.retire(&pool);
            Err(CallError::Timeout(deadline))
        })
    }

    /// Sends a request and buffers its answer, for as long as it makes progress; `on_progress` is
    /// called whenever some of it has arrived.
    ///
    /// # Errors
    ///
    /// [`CallError`], which states whether bytes may have been sent.
    pub async fn send_progressing(
        &self,
        request: Request<Full<Bytes>>,
        timeouts: CallTimeouts,
        limits: AnswerLimits,
        on_progress: impl Fn(),
    ) -> Result<Response<Bytes>, CallError> {
        let pool = self.pool.load_full();
        let (head, body) = self.send(request, timeouts.head).await?.into_parts();
        let read = read_progressing(body, timeouts.progress, limits, on_progress).await;
        if matches!(read, Err(CallError::Stalled(_))) {
            self.retire(&pool);
        }
        Ok(Response::from_parts(head, read?))
    }

    /// Drops all pooled connections, for example after one of them stopped responding in the
    /// middle of an answer. In-flight calls continue.
    pub fn retire_connections(&self) {
        self.pool.store(Arc::new(new_pool(self.answer_limit)));
    }

    /// Drops all pooled connections, unless another call has replaced the pool already.
    fn retire(&self, used: &Arc<PooledClient>) {
        self.pool.compare_and_swap(used, Arc::new(new_pool(self.answer_limit)));
    }
}

/// Opens connections whose reads are metered.
#[derive(Clone)]
struct MeteredConnector {
    connector: HttpConnector,
    answer_limit: usize,
}

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredIo<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = PortFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        let opened = self.connector.call(address);
        let meter = ReadMeter::new(self.answer_limit).with_reset_on_write();
        Box::pin(async move { Ok(TokioIo::new(meter.watch(opened.await?.into_inner()))) })
    }
}

fn new_pool(answer_limit: usize) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    CLIENT_KEEPALIVE.configure(&mut connector);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_PER_ADDRESS)
        .retry_canceled_requests(false)
        .build(MeteredConnector { connector, answer_limit })
}

async fn read_progressing(
    mut body: Incoming,
    timeout: Duration,
    limits: AnswerLimits,
    on_progress: impl Fn(),
) -> Result<Bytes, CallError> {
    if body.size_hint().lower() > limits.stated as u64 {
        return Err(BodyReadError::TooLarge(limits.stated).into());
    }
    let mut buffer = BytesMut::new();
    let (mut expected, mut deadline) = (MIN_PROGRESS_BYTES, Instant::now() + timeout);
    loop {
        let frame = tokio::time::timeout_at(deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::Stalled(timeout))? else {
            return Ok(buffer.freeze());
        };
        let frame = frame.map_err(|error| BodyReadError::Truncated(error.to_string()))?;
        let Ok(bytes) = frame.into_data() else { continue };
        if buffer.len() + bytes.len() > limits.body {
            return Err(BodyReadError::TooLarge(limits.body).into());
        }
        buffer.extend_from_slice(&bytes);
        on_progress();
        if buffer.len() >= expected {
            (expected, deadline) = (buffer.len() + MIN_PROGRESS_BYTES, Instant::now() + timeout);
        }
    }
}

fn describe(error: &hyper_util::client::legacy::Error) -> String {
    let cause = std::error::Error::source(error);
    cause.map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}
