//! Calls between processes, handled in memory.

use oleander_ports::PortFuture;
use oleander_ports::peers::{PeerChannel, PeerError, PeerHandler, PeerPort};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

#[derive(Default)]
struct PeersState {
    handlers: HashMap<(SocketAddr, PeerChannel), PeerHandler>,
    cut: HashSet<SocketAddr>,
    replies_lost: HashSet<SocketAddr>,
}

/// Handlers by address and channel. Clones share them.
#[derive(Clone, Default)]
pub struct FakePeers {
    state: Arc<Mutex<PeersState>>,
}

impl FakePeers {
    /// No handlers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets `handler` answer the calls of `channel` to `address`.
    pub fn handle(&self, address: SocketAddr, channel: PeerChannel, handler: PeerHandler) {
        self.lock().handlers.insert((address, channel), handler);
    }

    /// Makes `address` unreachable, or reachable again.
    pub fn set_unreachable(&self, address: SocketAddr, cut: bool) {
        let mut state = self.lock();
        if cut {
            state.cut.insert(address)
        } else {
            state.cut.remove(&address)
        };
    }

    /// Makes `address` handle calls and lose every reply, or stops that.
    pub fn set_replies_lost(&self, address: SocketAddr, lost: bool) {
        let mut state = self.lock();
        if lost {
            state.replies_lost.insert(address)
        } else {
            state.replies_lost.remove(&address)
        };
    }

    fn lock(&self) -> MutexGuard<'_, PeersState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerPort for FakePeers {
    fn call(
        &self,
        peer: SocketAddr,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Duration,
    ) -> PortFuture<'_, Result<Vec<u8>, PeerError>> {
        Box::pin(async move {
            let (handler, lost) = {
                let state = self.lock();
                if state.cut.contains(&peer) {
                    return Err(PeerError::Unreachable(format!("{peer} is cut off")));
                }
                let handler = state.handlers.get(&(peer, channel)).cloned();
                (handler, state.replies_lost.contains(&peer))
            };
            let refused = || PeerError::Refused(format!("{peer} does not handle {channel:?}"));
            let handler = handler.ok_or_else(refused)?;
            let late = |_| PeerError::Unknown(format!("no reply within {deadline:?}"));
            let reply = tokio::time::timeout(deadline, handler(body)).await.map_err(late)?;
            if lost {
                return Err(PeerError::Unknown("the reply was lost".to_owned()));
            }
            reply
        })
    }
}
