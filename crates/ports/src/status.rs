//! What a process says of itself on the status channel.

use crate::peers::{PeerError, PeerHandler};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The reply on [`crate::peers::PeerChannel::Status`]; the call is empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Where the process's admin port listens.
    pub admin: SocketAddr,
}

/// Answers the status channel.
#[must_use]
pub fn status_handler(status: ProcessStatus) -> PeerHandler {
    Arc::new(move |_| {
        let refused = |error: postcard::Error| PeerError::Refused(error.to_string());
        let reply = postcard::to_stdvec(&status).map_err(refused);
        Box::pin(async move { reply })
    })
}
