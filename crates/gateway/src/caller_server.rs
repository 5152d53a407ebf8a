//! Caller connections: served until the process stops, then closed without cutting a request.

use crate::connection_end::{ConnectionEnd, EndCause};
use crate::exchange::answer;
use crate::head_timer::HeadTimer;
use crate::state::GatewayState;
use crate::upstream_connection::set_options;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use oleander_adapters::client_socket::ClientSocket;
use oleander_adapters::connection_ledger::OpenConnection;
use oleander_adapters::http_server::CountedBody;
use oleander_adapters::socket_keepalive::SocketKeepalive;
use oleander_core::connection_budget::{ClientClass, CloseReason};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the first line of a request may take beside its headers, in bytes.
const REQUEST_LINE_BYTES: usize = 8 * 1024;
/// Minimum size of a header field as the limit counts it: a name of one byte and the separators.
const MIN_FIELD_BYTES: usize = 5;
/// Fields that are read in any case, the default of hyper.
const MIN_FIELDS: usize = 100;
/// Multiple of the configured idle timeout after which a connection is closed. Callers may use
/// nearly all of that timeout, so closing later avoids races with their next request.
const IDLE_FACTOR: f64 = 1.5;
/// Time for which a connection that is opened during a stop may be idle before its only request.
const LATE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Ends connections to callers that went silent. A caller that pauses reading, or whose link does
/// not work for a few seconds, still wants its answer.
pub const CALLER_KEEPALIVE: SocketKeepalive = SocketKeepalive {
    idle_seconds: 5,
    interval_seconds: 5,
    probes: 2,
    silence: Duration::from_secs(15),
};
/// Time between checks for open connections while stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time in which connections end that are cut.
const CUT_TIMEOUT: Duration = Duration::from_millis(100);

/// What connections are to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServerPhase {
    /// Serve requests.
    Serving,
    /// Close as soon as no request is in progress.
    Closing,
    /// End now.
    Cut,
}

/// Serves caller connections.
pub struct CallerServer {
    state: Arc<GatewayState>,
    listener: TcpListener,
    phase: watch::Sender<ServerPhase>,
    open: Arc<AtomicUsize>,
}

impl CallerServer {
    /// Creates a server for a bound listener.
    #[must_use]
    pub fn new(state: Arc<GatewayState>, listener: TcpListener) -> Self {
        state.connections.size_buffers(&listener);
        Self {
            state,
            listener,
            phase: watch::Sender::new(ServerPhase::Serving),
            open: Arc::default(),
        }
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
    /// until none is open and no request is carried for another host, then cuts the rest. Returns how many
    /// were cut.
    pub async fn close(&self, timeout: Duration) -> usize {
        self.phase.send_replace(ServerPhase::Closing);
        tokio::select! {
            // New connections are still served, since the balancer may not know of the stop yet. Those
            // that were opened already are accepted before it is found that none is open.
            biased;
            () = self.accept() => {}
            () = self.all_ended() => {}
            () = tokio::time::sleep(timeout) => {}
        }
        let left = self.open.load(Ordering::Relaxed);
        self.phase.send_replace(ServerPhase::Cut);
        // The requests that are cut are logged before the process exits.
        let _ = tokio::time::timeout(CUT_TIMEOUT, self.none_open()).await;
        left
    }

    async fn all_ended(&self) {
        while self.open.load(Ordering::Relaxed) > 0 || self.state.carrier_load.carried() > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    async fn none_open(&self) {
        while self.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    fn spawn(&self, socket: TcpStream) {
        let state = Arc::clone(&self.state);
        let Some(connection) = state.connections.open(ClientClass::Caller) else { return };
        let phase = self.phase.subscribe();
        let open = OpenCount::new(&self.open);
        tokio::spawn(async move {
            serve(state, socket, connection, phase).await;
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

/// Reason for the log lines of requests on a connection that the budget closed.
const fn closed_reason(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::UnfinishedHeaders => "no memory is left for unfinished headers",
        CloseReason::Idle => "no memory is left for idle connections",
        CloseReason::StalledBody => "no memory is left for unfinished bodies",
    }
}

async fn serve(
    state: Arc<GatewayState>,
    socket: TcpStream,
    open: Arc<OpenConnection>,
    mut phase: watch::Receiver<ServerPhase>,
) {
    set_options(&socket, &CALLER_KEEPALIVE);
    let is_late = *phase.borrow() >= ServerPhase::Closing;
    let limits = state.snapshot.load().routes.as_ref().map(|table| *table.limits());
    let idle = limits.unwrap_or_default().idle_timeout.mul_f64(IDLE_FACTOR);
    let head_timeout = limits.unwrap_or_default().head_timeout;
    let max_head_bytes = limits.unwrap_or_default().max_head_bytes;
    let timer = HeadTimer::new().with_connection(Arc::clone(&open));
    let socket = ClientSocket::new(socket);
    let watched = TokioIo::new(timer.clone().watch(socket.clone()));
    let requests = timer.clone();
    let end = ConnectionEnd::default();
    let request_end = end.clone();
    let counted = Arc::clone(&open);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (state, end) = (Arc::clone(&state), request_end.clone());
        let guard = requests.guard_request();
        request.extensions_mut().insert(Arc::clone(&counted));
        // An idle connection does not take the memory of a request.
        Box::pin(async move {
            guard.may_be_answered().await;
            let response = answer(state, end, request).await;
            Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, guard)))
        })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(max_head_bytes + REQUEST_LINE_BYTES)
        .max_headers((max_head_bytes / MIN_FIELD_BYTES).max(MIN_FIELDS))
        .serve_connection(watched, service);
    tokio::pin!(connection);
    // Waiting cannot fail, since the sender outlives every connection.
    let mut cut_phase = phase.clone();
    let cut = async move { cut_phase.wait_for(|phase| *phase == ServerPhase::Cut).await.is_ok() };
    let closing_timer = timer.clone();
    let closing = async move {
        let _ = phase.wait_for(|phase| *phase >= ServerPhase::Closing).await.is_ok();
        if is_late {
            tokio::time::sleep(LATE_IDLE_TIMEOUT).await;
        }
        // hyper would drop a kept connection whose next request is arriving. The runtime polls for
        // bytes that have arrived already before it wakes a task that yields.
        tokio::task::yield_now().await;
        closing_timer.complete().await;
    };
    let expired = timer.expired(head_timeout);
    let departed = timer.departed(|| socket.is_read_closed());
    let unaffordable = open.closing();
    tokio::pin!(cut, closing, expired, departed, unaffordable);
    let mut is_open = true;
    let cause = loop {
        tokio::select! {
            // The connection reads what has arrived before it is closed.
            biased;
            ended = connection.as_mut() => match ended {
                Ok(()) => return,
                // The error of hyper names the operation that failed, its source says why.
                Err(error) => break EndCause::Lost(format!("{:#}", anyhow::Error::new(error))),
            },
            _ = &mut cut => {
                break EndCause::Closed("this process exits");
            }
            () = &mut departed => {
                break EndCause::Lost("the caller left while its request was served".into());
            }
            reason = &mut unaffordable => break EndCause::Closed(closed_reason(reason)),
            () = &mut closing, if is_open => {
                is_open = false;
                connection.as_mut().graceful_shutdown();
            }
            () = &mut expired => {
                log::info!(
                    target: "connection", timeout_ms = head_timeout.as_millis() as u64;
                    "caller sent incomplete headers, closing its connection"
                );
                break EndCause::Closed("the headers of a request were not complete in time");
            }
        }
    };
    let reason = cause.reason();
    if timer.is_blocked() {
        // The request's own line was written when its answer was complete.
        log::info!(target: "connection", reason; "connection ended before an answer was sent");
    } else {
        log::debug!(target: "connection", reason; "caller connection ended");
    }
    end.record(cause);
}
