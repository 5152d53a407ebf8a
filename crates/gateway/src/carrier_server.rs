//! Carries requests of hosts that do not reach an upstream which this host reaches.
//!
//! The host that received a request decides everything about it; the one that carries it makes one
//! attempt by a connection of its own and passes the answer on as it comes.

use crate::admitted::BufferReservation;
use crate::attempt::{
    OutgoingRequest, SendProgress, UpstreamAnswer, check_refusal, exchange, notice_departure,
    record_answer, remove_hop_headers,
};
use crate::carrier_wire::{CarriedHead, CarrierFault, accept_link};
use crate::refusal::Refusal;
use crate::state::GatewayState;
use crate::upstream_connection::{UPSTREAM_KEEPALIVE, set_options};
use crate::upstream_entry::UpstreamEntry;
use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_LENGTH;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use oleander_adapters::http_server::{BodyError, ResponseBody, full_body};
use oleander_core::home_regions::HomeRegions;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of connections of other hosts.
const MAX_LINKS: usize = 256;
/// Maximum number of connections that have not proven that they are of another host.
const MAX_UNPROVEN: usize = 32;
/// Time within which a connection has to prove it.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time without a request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the headers of a request, in bytes.
const MAX_HEAD_BYTES: usize = 128 * 1024;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How much this host carries for others.
#[derive(Debug, Default)]
pub struct CarrierLoad {
    /// Where connections of other hosts are accepted.
    address: OnceLock<SocketAddr>,
    carried: AtomicU16,
    links: AtomicUsize,
    unproven: AtomicUsize,
}

impl CarrierLoad {
    /// Sets where connections of other hosts are accepted.
    pub fn set_address(&self, address: SocketAddr) {
        let _ = self.address.set(address);
    }

    /// Where connections of other hosts are accepted.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get().copied()
    }

    /// Number of requests that are carried now.
    #[must_use]
    pub fn carried(&self) -> u16 {
        self.carried.load(Ordering::Relaxed)
    }
}

/// Counts something in a load while it lasts.
struct LoadCount<F: Fn(&CarrierLoad)> {
    state: Arc<GatewayState>,
    end: F,
}

impl<F: Fn(&CarrierLoad)> Drop for LoadCount<F> {
    fn drop(&mut self) {
        (self.end)(&self.state.carrier_load);
    }
}

/// Serves connections of other hosts, for as long as it is polled.
pub async fn serve_hosts(state: Arc<GatewayState>, listener: TcpListener) {
    let Ok(address) = listener.local_addr() else { return };
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let load = &state.carrier_load;
                let is_full = load.links.load(Ordering::Relaxed) >= MAX_LINKS
                    || load.unproven.load(Ordering::Relaxed) >= MAX_UNPROVEN;
                if !is_full {
                    tokio::spawn(serve_host(Arc::clone(&state), socket, address));
                }
            }
            Err(error) => {
                log::warn!(target: "connection", error:%; "cannot accept connection of a host");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_host(state: Arc<GatewayState>, mut socket: TcpStream, address: SocketAddr) {
    state.carrier_load.links.fetch_add(1, Ordering::Relaxed);
    let _link = LoadCount {
        state: Arc::clone(&state),
        end: |load| {
            load.links.fetch_sub(1, Ordering::Relaxed);
        },
    };
    set_options(&socket, &UPSTREAM_KEEPALIVE);
    if let Err(error) = prove(&state, &mut socket, address).await {
        log::debug!(target: "connection", error:%; "connection is of no host");
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(carry(state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    if let Err(error) = connection.await {
        log::debug!(target: "connection", error:%; "connection of a host ended");
    }
}

async fn prove(
    state: &Arc<GatewayState>,
    socket: &mut TcpStream,
    address: SocketAddr,
) -> anyhow::Result<()> {
    state.carrier_load.unproven.fetch_add(1, Ordering::Relaxed);
    let _unproven = LoadCount {
        state: Arc::clone(state),
        end: |load| {
            load.unproven.fetch_sub(1, Ordering::Relaxed);
        },
    };
    let ring = state.seal.link_keys();
    let ring = ring.ok_or_else(|| anyhow::anyhow!("no key is known yet"))?;
    tokio::time::timeout(PROOF_TIMEOUT, accept_link(socket, &ring, address)).await?
}

/// Makes an attempt for another host.
async fn carry(state: Arc<GatewayState>, request: Request<Incoming>) -> Response<ResponseBody> {
    state.carrier_load.carried.fetch_add(1, Ordering::Relaxed);
    let count = LoadCount {
        state: Arc::clone(&state),
        end: |load| {
            load.carried.fetch_sub(1, Ordering::Relaxed);
        },
    };
    match attempt(&state, request).await {
        Ok(answer) => answer_response(state, answer, count),
        Err(fault) => {
            state.metrics.record_carried(fault_label(&fault));
            let mut response = Response::new(full_body(Bytes::new()));
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            fault.write(response.headers_mut());
            response
        }
    }
}

const fn fault_label(fault: &CarrierFault) -> &'static str {
    match fault {
        CarrierFault::Refused(_) => "refused",
        _ => "failed",
    }
}

fn refused(reason: &str) -> CarrierFault {
    CarrierFault::Refused(Arc::from(reason))
}

async fn attempt(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
) -> Result<UpstreamAnswer, CarrierFault> {
    let started = state.clock.now();
    let (mut parts, body) = request.into_parts();
    let head = CarriedHead::take(&mut parts.headers).ok_or_else(|| refused("no carried head"))?;
    let entry = find_upstream(state, &head)?;
    let (body, _reservation) = read_carried(state, body).await?;
    notice_departure().await;
    let outgoing = OutgoingRequest {
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        may_reuse: head.may_reuse,
        // The host that received the request has chosen the upstream.
        home_regions: HomeRegions::any(),
    };
    let mut permit = state.pool.permit(&entry);
    let left = head.time_left().saturating_sub(state.clock.now().since(started));
    let upstream_head = head.upstream_head(left);
    let progress = SendProgress::default();
    let work = exchange(state, &permit, &outgoing, &upstream_head, &progress);
    let (connection, response) = state
        .within_time(state.clock.now() + left, work)
        .await
        .unwrap_or_else(|| Err(progress.timeout_fault("no response headers in time")))
        .map_err(|fault| CarrierFault::of_attempt(&fault))?;
    let (parts, body) = response.into_parts();
    // The other host checks the answer, but does not know whether this connection was kept.
    let (head, _) = record_answer(state, &mut permit, &parts, &outgoing, &connection);
    check_refusal(&connection, parts.status, &head)
        .map_err(|fault| CarrierFault::of_attempt(&fault))?;
    let (status, headers) = (parts.status, parts.headers);
    Ok(UpstreamAnswer { status, headers, head, body, connection, permit })
}

/// The upstream, if this host may send it requests and reaches it, as far as it knows.
fn find_upstream(
    state: &GatewayState,
    head: &CarriedHead,
) -> Result<Arc<UpstreamEntry>, CarrierFault> {
    let now = state.clock.now();
    if state.stop.since(now).is_some() {
        return Err(refused("the host is stopping"));
    }
    let snapshot = state.snapshot.load();
    let mut entries = snapshot.upstreams.values().flatten();
    let entry = entries
        .find(|entry| entry.name == head.upstream && entry.started_ms == head.started_ms)
        .ok_or_else(|| refused("the host does not know the upstream"))?;
    if state.evacuations.is_heard(&entry.domain, &snapshot) {
        return Err(refused("the upstream's failure domain is evacuated"));
    }
    if state.reach.lost_for(&entry.service, now).is_some() {
        return Err(refused("the host does not reach the upstream either"));
    }
    if !state.pool.is_open(entry, now) {
        return Err(refused("the upstream asked the host for no requests"));
    }
    Ok(Arc::clone(entry))
}

async fn read_carried(
    state: &Arc<GatewayState>,
    mut body: Incoming,
) -> Result<(Bytes, BufferReservation), CarrierFault> {
    let limits = state.snapshot.load().routes.as_ref().map(|table| *table.limits());
    let limit = limits.unwrap_or_default().max_body_bytes;
    let stated = body.size_hint().exact().unwrap_or(limit as u64);
    let no_room = |refusal: Refusal| refused(refusal.reason);
    let counted = i64::try_from(stated).unwrap_or(i64::MAX);
    let mut reservation = BufferReservation::reserve(state, counted).map_err(no_room)?;
    let read = crate::admitted::read_body(&mut body, limit, &mut reservation, None);
    Ok((read.await.map_err(no_room)?, reservation))
}

/// The upstream's answer as it is, event by event.
fn answer_response<F: Fn(&CarrierLoad) + Send + 'static>(
    state: Arc<GatewayState>,
    answer: UpstreamAnswer,
    count: LoadCount<F>,
) -> Response<ResponseBody> {
    state.metrics.record_carried("answered");
    let (status, mut headers) = (answer.status, answer.headers.clone());
    let length = headers.get(CONTENT_LENGTH).cloned();
    remove_hop_headers(&mut headers);
    let _ = CarrierFault::take(&mut headers);
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, length);
    }
    let frames = stream::unfold(Some((answer, count)), move |carried| {
        let state = Arc::clone(&state);
        async move {
            let (mut answer, count) = carried?;
            match answer.body.frame().await {
                Some(Ok(frame)) => {
                    let frame = frame.map_data(|bytes| bytes);
                    Some((Ok::<Frame<Bytes>, BodyError>(frame), Some((answer, count))))
                }
                Some(Err(error)) => Some((Err(error), None)),
                None => {
                    tokio::spawn(answer.release_connection(state));
                    None
                }
            }
        }
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
