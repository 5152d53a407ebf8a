//! Calls to other processes over pooled connections.

use crate::connection::{Exchange, PeerConnection};
use crate::counters::SharedCounters;
use crate::keys::KeyRing;
use crate::limits::PeerLimits;
use oleander_ports::PortFuture;
use oleander_ports::peers::{MAX_PEER_BODY, PeerChannel, PeerError, PeerPort};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

/// Whether calls on a channel are idempotent, so that they may be retried: they read, or replace
/// soft state.
#[must_use]
pub const fn is_idempotent(channel: PeerChannel) -> bool {
    match channel {
        PeerChannel::Catalog | PeerChannel::Shares | PeerChannel::Status | PeerChannel::Members => {
            true
        }
        PeerChannel::Usage
        | PeerChannel::Batches
        | PeerChannel::Claims
        | PeerChannel::Statistics => false,
    }
}

type Slot = Arc<tokio::sync::Mutex<Option<Arc<PeerConnection>>>>;

/// Calls other processes over one connection per process.
#[derive(Debug)]
pub struct PeerCaller {
    ring: KeyRing,
    limits: PeerLimits,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
    running: Semaphore,
    counters: SharedCounters,
}

impl PeerCaller {
    /// Creates a caller without connections.
    #[must_use]
    pub fn new(ring: KeyRing, limits: PeerLimits, counters: SharedCounters) -> Self {
        let running = Semaphore::new(limits.calls);
        Self { ring, limits, slots: Mutex::default(), running, counters }
    }

    /// Closes every connection once its calls have ended.
    pub async fn close(&self) {
        let slots: Vec<Slot> = self.lock().drain().map(|(_, slot)| slot).collect();
        for slot in slots {
            if let Some(connection) = slot.lock().await.take() {
                connection.retire();
            }
        }
    }

    async fn run(
        &self,
        peer: SocketAddr,
        channel: PeerChannel,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        if body.len() > MAX_PEER_BODY {
            return Err(PeerError::Unreachable("the call's body is too large".into()));
        }
        let started = Instant::now();
        let deadline = started + timeout;
        let Ok(Ok(_permit)) = timeout_at(deadline, self.running.acquire()).await else {
            return Err(PeerError::Unreachable("too many calls are running".into()));
        };
        match self.try_once(peer, channel, body.clone(), deadline, started + timeout / 2).await? {
            Exchange::Replied(result) => result,
            Exchange::NotSent(_) => self.retry(peer, channel, body, deadline).await,
            Exchange::Lost(why) if !is_idempotent(channel) => Err(PeerError::Unknown(why.into())),
            Exchange::Silent if !is_idempotent(channel) => Err(no_response()),
            Exchange::Lost(_) | Exchange::Silent => {
                self.retry(peer, channel, body, deadline).await.map_err(as_unknown)
            }
        }
    }

    /// The second and last attempt, on another connection.
    async fn retry(
        &self,
        peer: SocketAddr,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<Vec<u8>, PeerError> {
        self.counters.calls_retried.increment();
        match self.try_once(peer, channel, body, deadline, deadline).await? {
            Exchange::Replied(result) => result,
            Exchange::NotSent(why) => Err(PeerError::Unreachable(why.into())),
            Exchange::Lost(why) => Err(PeerError::Unknown(why.into())),
            Exchange::Silent => Err(no_response()),
        }
    }

    async fn try_once(
        &self,
        peer: SocketAddr,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Instant,
        silence_deadline: Instant,
    ) -> Result<Exchange, PeerError> {
        let silence_deadline = if is_idempotent(channel) { silence_deadline } else { deadline };
        let connection = timeout_at(deadline, self.connection(peer))
            .await
            .unwrap_or_else(|_| Err(connect_timed_out()))?;
        Ok(connection.exchange(channel, body, deadline, silence_deadline).await)
    }

    /// Returns the usable connection to a peer, or opens one.
    async fn connection(&self, peer: SocketAddr) -> Result<Arc<PeerConnection>, PeerError> {
        let slot = self.slot(peer);
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|connection| connection.is_usable()) {
            return Ok(Arc::clone(connection));
        }
        if let Some(old) = held.take() {
            old.retire();
        }
        let counters = Arc::clone(&self.counters);
        let opening = PeerConnection::open(peer, &self.ring, self.limits, counters);
        let connect_deadline = Instant::now() + self.limits.connect_timeout;
        let opened = timeout_at(connect_deadline, opening)
            .await
            .unwrap_or_else(|_| Err("it does not answer".into()));
        let connection = opened.map_err(PeerError::Unreachable)?;
        *held = Some(Arc::clone(&connection));
        Ok(connection)
    }

    fn slot(&self, peer: SocketAddr) -> Slot {
        let mut slots = self.lock();
        if let Some(slot) = slots.get(&peer) {
            return Arc::clone(slot);
        }
        slots.retain(|_, slot| is_in_use(slot));
        Arc::clone(slots.entry(peer).or_default())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_in_use(slot: &Slot) -> bool {
    let Ok(held) = slot.try_lock() else { return true };
    Arc::strong_count(slot) > 1 || held.as_ref().is_some_and(|connection| connection.is_usable())
}

/// Maps the failure of a second attempt whose first attempt was sent: the outcome is unknown.
fn as_unknown(error: PeerError) -> PeerError {
    match error {
        PeerError::Unreachable(text) | PeerError::Refused(text) => PeerError::Unknown(text),
        PeerError::Unknown(_) => error,
    }
}

fn no_response() -> PeerError {
    PeerError::Unknown("nothing was heard on the connection since the call was sent".into())
}

fn connect_timed_out() -> PeerError {
    PeerError::Unreachable("no connection within the deadline".into())
}

impl PeerPort for PeerCaller {
    fn call(
        &self,
        peer: SocketAddr,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Duration,
    ) -> PortFuture<'_, Result<Vec<u8>, PeerError>> {
        Box::pin(self.run(peer, channel, body, deadline))
    }
}
