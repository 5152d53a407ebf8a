//! Remote calls between the system's processes.

use crate::PortFuture;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Subject of a call; each channel has its own postcard messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerChannel {
    /// Catalog bodies by digest.
    Catalog,
    /// Usage records from entries to ledgers.
    Usage,
    /// Batches of usage records between ledgers.
    Batches,
    /// Claims of non-idempotent requests.
    Claims,
    /// Demand of client accounts and their shares of the rate limits.
    Shares,
    /// Statistics of versions, from entries to stewards.
    Statistics,
    /// A process's own status, for `status` and `explain`.
    Status,
    /// Comparison of membership tables with one peer.
    Members,
}

/// Maximum body size of one call or reply, in bytes.
pub const MAX_PEER_BODY: usize = 4 * 1024 * 1024;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No byte was sent.
    #[error("the peer cannot be reached: {0}")]
    Unreachable(String),
    /// No reply arrived; the peer may have handled the call.
    #[error("the peer's reply was lost: {0}")]
    Unknown(String),
    /// The peer refused the call and changed nothing.
    #[error("the peer refused the call: {0}")]
    Refused(String),
}

/// Handles the calls of one channel: takes a postcard request and returns a postcard reply.
pub type PeerHandler =
    Arc<dyn Fn(Vec<u8>) -> PortFuture<'static, Result<Vec<u8>, PeerError>> + Send + Sync>;

/// Calls other processes of the system.
pub trait PeerPort: Send + Sync {
    /// Sends one call and waits at most `deadline` for its reply.
    fn call(
        &self,
        peer: SocketAddr,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Duration,
    ) -> PortFuture<'_, Result<Vec<u8>, PeerError>>;
}
