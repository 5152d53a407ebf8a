//! A small HTTP/1.1 server on hyper with a bounded body and a graceful stop.

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use oleander_ports::PortFuture;
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time that a client has to send the head of a request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why a body ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of every response; it may be a stream.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;
/// Answers one request.
pub type HttpHandler = Arc<
    dyn Fn(Request<Incoming>, SocketAddr) -> PortFuture<'static, Response<ResponseBody>>
        + Send
        + Sync,
>;

/// A bound listener that serves one handler.
pub struct HttpServer {
    listener: TcpListener,
    handler: HttpHandler,
}

impl HttpServer {
    /// Binds `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound; the message names it.
    pub async fn bind(address: SocketAddr, handler: HttpHandler) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.with_context(|| format!("cannot listen on {address}"))?;
        Ok(Self { listener, handler })
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// When the system does not tell.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves until `stop` ends, then closes the listener and waits for the requests in flight.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let graceful = GracefulShutdown::new();
        tokio::pin!(stop);
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((socket, peer)) => {
                        let _ = socket.set_nodelay(true);
                        spawn_connection(socket, peer, &self.handler, &graceful);
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

/// Why a request body was not read.
#[derive(Debug, thiserror::Error)]
pub enum BodyReadError {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The client stopped sending.
    #[error("the body was cut: {0}")]
    Truncated(String),
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// [`BodyReadError`] when it is larger or cut.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyReadError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyReadError::TooLarge(limit)),
        Err(error) => Err(BodyReadError::Truncated(error.to_string())),
    }
}

/// A body held in memory.
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
