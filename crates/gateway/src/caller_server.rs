//! Caller connections: served until the process stops, then closed without cutting a request.

use crate::exchange::answer;
use crate::head_timer::HeadTimer;
use crate::state::GatewayState;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum size of request headers that are read, in bytes; the configured limit is lower and
/// decides.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Multiple of the configured idle timeout after which a connection is closed. Callers may use
/// nearly all of that timeout, so closing later avoids races with their next request.
const IDLE_FACTOR: f64 = 1.5;
/// Timeout for the headers of the only request on a connection that is opened during a stop.
const LATE_HEAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between checks for open connections while stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves caller connections.
pub struct CallerServer {
    state: Arc<GatewayState>,
    listener: TcpListener,
    closing: watch::Sender<bool>,
    open: Arc<AtomicUsize>,
}

impl CallerServer {
    /// Creates a server for a bound listener.
    #[must_use]
    pub fn new(state: Arc<GatewayState>, listener: TcpListener) -> Self {
        Self { state, listener, closing: watch::Sender::new(false), open: Arc::default() }
    }

    /// The address of the listener.
    ///
    /// # Errors
    ///
    /// When the address cannot be read from the socket.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Accepts connections for as long as it is polled.
    pub async fn accept(&self) {
        loop {
            match self.listener.accept().await {
                Ok((socket, _)) => self.spawn(socket),
                Err(error) => {
                    log::warn!(target: "connection", error:% = error; "cannot accept connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Closes idle connections now and the others after their request, and waits at most `timeout`
    /// until none is open. Returns how many are still open.
    pub async fn close(&self, timeout: Duration) -> usize {
        self.closing.send_replace(true);
        let none_left = async {
            while self.open.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            () = none_left => {}
            () = tokio::time::sleep(timeout) => {}
            // New connections are still served, since the balancer may not know of the stop yet.
            () = self.accept() => {}
        }
        self.open.load(Ordering::Relaxed)
    }

    fn spawn(&self, socket: TcpStream) {
        let state = Arc::clone(&self.state);
        let closing = self.closing.subscribe();
        let open = OpenCount::new(&self.open);
        tokio::spawn(async move {
            serve(state, socket, closing).await;
            drop(open);
        });
    }
}

/// Counts a connection while it is open.
struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(state: Arc<GatewayState>, socket: TcpStream, mut closing: watch::Receiver<bool>) {
    crate::upstream_connection::enable_keepalive(&socket);
    let is_late = *closing.borrow();
    let limits = state.snapshot.load().routes.as_ref().map(|table| *table.limits());
    let idle = limits.unwrap_or_default().idle_timeout.mul_f64(IDLE_FACTOR);
    let idle = if is_late { LATE_HEAD_TIMEOUT } else { idle };
    let head_timeout = limits.unwrap_or_default().head_timeout;
    let timer = HeadTimer::new();
    let watched = TokioIo::new(timer.clone().watch(socket));
    let requests = timer.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, requests) = (Arc::clone(&state), requests.clone());
        requests.begin_request();
        async move {
            let response = answer(state, request).await;
            requests.end_request();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(watched, service);
    tokio::pin!(connection);
    let closes = async move {
        if is_late {
            // Its only request closes the connection when it is answered; a shutdown now would lose
            // that request.
            std::future::pending::<()>().await;
        }
        // Cannot fail, since the sender outlives every connection.
        let _ = closing.wait_for(|closing| *closing).await.is_ok();
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closes => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = timer.expired(head_timeout) => {
            log::debug!(
                target: "connection", timeout_ms = head_timeout.as_millis() as u64;
                "caller sent incomplete headers, closing its connection"
            );
            return;
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "connection", error:% = error; "caller connection failed");
    }
}
