//! Hands requests to hosts that reach the upstreams which this host does not.

use crate::attempt::{OutgoingRequest, SendProgress, new_request};
use crate::carrier_wire::{CarriedHead, CarrierFault, open_link};
use crate::fault::AttemptFault;
use crate::socket_dialer::dial;
use crate::state::GatewayState;
use crate::upstream_connection::{AnswerBody, UPSTREAM_KEEPALIVE, UpstreamConnection, set_options};
use crate::upstream_handle::UpstreamPermit;
use crate::wire_format::UpstreamHead;
use http::Response;
use oleander_core::attempt_retry::FaultKind;
use oleander_core::reach_view::{CarrierHost, CarrierRule};
use oleander_core::units::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of hosts that are asked to carry one attempt.
const MAX_CARRIERS: usize = 3;
/// Timeout of a connection to another host, with its handshake: two round trips to the farthest
/// region and more.
const LINK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time of a connection to another host.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Maximum number of idle connections to another host.
const MAX_IDLE_LINKS: usize = 8;

struct IdleLink {
    connection: UpstreamConnection,
    until: Timestamp,
}

/// Idle connections to other hosts.
#[derive(Default)]
pub struct CarrierLinks(Mutex<BTreeMap<SocketAddr, Vec<IdleLink>>>);

impl CarrierLinks {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<IdleLink>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, address: SocketAddr, now: Timestamp) -> Option<UpstreamConnection> {
        let mut links = self.lock();
        let idle = links.get_mut(&address)?;
        while let Some(link) = idle.pop() {
            if now < link.until && link.connection.is_idle() {
                return Some(link.connection);
            }
        }
        None
    }

    /// Keeps an idle connection to another host.
    pub fn keep(&self, address: SocketAddr, connection: UpstreamConnection, now: Timestamp) {
        let mut links = self.lock();
        links.retain(|_, idle| {
            idle.retain(|link| now < link.until);
            !idle.is_empty()
        });
        let idle = links.entry(address).or_default();
        if idle.len() < MAX_IDLE_LINKS {
            idle.push(IdleLink { connection, until: now + MAX_IDLE_TIME });
        }
    }
}

/// A request that another host carries, until dropped.
pub struct CarriedRequest {
    /// The host.
    pub carrier: CarrierHost,
    state: Arc<GatewayState>,
}

impl Drop for CarriedRequest {
    fn drop(&mut self) {
        self.state.reach.end_carried(self.carrier.host);
    }
}

/// Hands an attempt to a host that reaches the upstream, and waits for response headers.
///
/// # Errors
///
/// The fault of the attempt at the upstream; [`FaultKind::Unreached`] if no host took it,
/// [`FaultKind::CarrierLost`] if one was lost after it had.
pub async fn send_carried(
    state: &Arc<GatewayState>,
    permit: &UpstreamPermit,
    request: &OutgoingRequest,
    head: &UpstreamHead,
    progress: &SendProgress,
) -> Result<(UpstreamConnection, Response<AnswerBody>), AttemptFault> {
    let (started, service) = (state.clock.now(), &permit.upstream.entry.service);
    let mut excluded = BTreeSet::new();
    while excluded.len() < MAX_CARRIERS {
        let (point, now) = (state.random.next_unit(), state.clock.now());
        let rule = CarrierRule { excluded: &excluded, home_regions: &request.home_regions };
        let Some(carrier) = state.reach.begin_carried(service, &rule, point, now) else {
            break;
        };
        let carried = CarriedRequest { carrier, state: Arc::clone(state) };
        let left = head.time_left.saturating_sub(now.since(started));
        let head = UpstreamHead { time_left: left, ..head.clone() };
        match send_to(carried, permit, request, &head, progress).await {
            Ok(answered) => return Ok(answered),
            Err(fault) if fault.kind == FaultKind::Unreached => {
                log::info!(
                    target: "attempt", carrier:% = carrier.address, fault:%;
                    "host did not carry a request"
                );
                state.reach.avoid_carrier(carrier.host, state.clock.now());
                excluded.insert(carrier.host);
            }
            Err(fault) => {
                if fault.kind == FaultKind::CarrierLost {
                    state.reach.avoid_carrier(carrier.host, state.clock.now());
                }
                return Err(fault);
            }
        }
    }
    Err(AttemptFault::new(FaultKind::Unreached, "no other host carried the request"))
}

async fn send_to(
    carried: CarriedRequest,
    permit: &UpstreamPermit,
    request: &OutgoingRequest,
    head: &UpstreamHead,
    progress: &SendProgress,
) -> Result<(UpstreamConnection, Response<AnswerBody>), AttemptFault> {
    let (state, address) = (Arc::clone(&carried.state), carried.carrier.address);
    let mut out = new_request(&state.wire, request, head)?;
    CarriedHead::new(&permit.upstream.entry, request, head).write(out.headers_mut());
    // Only repeatable requests use a connection that may have been closed meanwhile.
    let idle = if request.may_reuse { state.links.take(address, state.clock.now()) } else { None };
    let mut connection = match idle {
        Some(connection) => connection,
        None => tokio::time::timeout(LINK_TIMEOUT, open_connection(&state, address))
            .await
            .unwrap_or_else(|_| Err(unreached(format!("no link within {LINK_TIMEOUT:?}"))))?,
    };
    connection.carried = Some(carried);
    progress.begin();
    state.metrics.record_handed_over();
    let mut response = connection.send(out).await.map_err(|fault| {
        let is_sent = fault.kind == FaultKind::Lost;
        let kind = if is_sent { FaultKind::CarrierLost } else { FaultKind::Unreached };
        AttemptFault::new(kind, fault.message)
    })?;
    match CarrierFault::take(response.headers_mut()).map(CarrierFault::into_attempt) {
        None => Ok((connection, response)),
        Some(Ok(fault)) => Err(fault),
        Some(Err(reason)) => Err(unreached(reason.to_string())),
    }
}

async fn open_connection(
    state: &GatewayState,
    address: SocketAddr,
) -> Result<UpstreamConnection, AttemptFault> {
    let failed = |error: &dyn std::fmt::Display| unreached(format!("no link to a host: {error}"));
    let ring = state.seal.link_keys().ok_or_else(|| unreached("no key is known yet".to_owned()))?;
    let limits = state.settings.load().connection_limits();
    let opened = dial(address, limits.receive_buffer(), None).await;
    let mut socket = opened.map_err(|error| failed(&error))?;
    set_options(&socket, &UPSTREAM_KEEPALIVE);
    open_link(&mut socket, &ring, address).await.map_err(|error| failed(&error))?;
    UpstreamConnection::over(socket, &limits).await
}

fn unreached(reason: String) -> AttemptFault {
    AttemptFault::new(FaultKind::Unreached, reason)
}
