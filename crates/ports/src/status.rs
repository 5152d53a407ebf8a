//! The status channel: a process's reply about itself.

use crate::peers::{PeerError, PeerHandler};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The reply on [`crate::peers::PeerChannel::Status`]; the request body is empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Address of the process's admin port.
    pub admin: SocketAddr,
}

/// A handler that answers every call on the status channel with `status`.
#[must_use]
pub fn status_handler(status: ProcessStatus) -> PeerHandler {
    Arc::new(move |_| {
        let refused = |error: postcard::Error| PeerError::Refused(error.to_string());
        let reply = postcard::to_stdvec(&status).map_err(refused);
        Box::pin(async move { reply })
    })
}
