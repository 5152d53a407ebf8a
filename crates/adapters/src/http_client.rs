//! An HTTP/1.1 client on hyper that retires connections which went silent.
//!
//! A pooled connection can go silent for good while new ones work. When a call times out, every
//! pooled connection is dropped with it, so that the next call dials anew.

use crate::http_server::{BodyReadError, read_body};
use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::sync::Arc;
use std::time::Duration;

/// Longest time that an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which a connection is probed, so that one that went silent for good fails
/// within about two seconds even while a long poll waits on it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time that bytes stay unacknowledged on a connection that is not dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Most unused connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// Bytes were sent; whether the call was handled is not known.
    #[error("the connection failed: {0}")]
    Lost(String),
    /// No answer came in time; whether the call was handled is not known.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The answer's body could not be read.
    #[error(transparent)]
    Body(#[from] BodyReadError),
}

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// A client with a pool of connections per address.
pub struct HttpClient {
    pool: ArcSwap<PooledClient>,
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
        Self { pool: ArcSwap::from_pointee(new_pool()) }
    }

    /// Sends a request and waits for the head of its answer, at most `deadline`.
    ///
    /// # Errors
    ///
    /// [`CallError`], which tells whether bytes may have been sent.
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

    /// Sends a request and reads its whole answer, at most `limit` bytes, within `deadline`.
    ///
    /// # Errors
    ///
    /// [`CallError`], which tells whether bytes may have been sent.
    pub async fn send_buffered(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let pool = self.pool.load_full();
        let whole = async {
            let (head, body) = self.send(request, deadline).await?.into_parts();
            let body = read_body(body, limit).await?;
            Ok(Response::from_parts(head, body))
        };
        let finished = tokio::time::timeout(deadline, whole).await;
        finished.unwrap_or_else(|_| {
            self.retire(&pool);
            Err(CallError::Timeout(deadline))
        })
    }

    /// Drops every pooled connection, as after one of them went silent in the middle of an
    /// answer. Calls in flight go on.
    pub fn retire_connections(&self) {
        self.pool.store(Arc::new(new_pool()));
    }

    /// Drops every pooled connection, unless another call did so already.
    fn retire(&self, seen: &Arc<PooledClient>) {
        self.pool.compare_and_swap(seen, Arc::new(new_pool()));
    }
}

fn new_pool() -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_PER_ADDRESS)
        .retry_canceled_requests(false)
        .build(connector)
}

fn describe(error: &hyper_util::client::legacy::Error) -> String {
    let cause = std::error::Error::source(error);
    cause.map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}
