//! What a process says of itself on the status channel.

use crate::operators::messages::ProcessStatus;
use oleander_ports::peers::{PeerError, PeerHandler};
use std::net::SocketAddr;

/// Answers the status channel with the address of the process's admin port.
#[must_use]
pub fn status_handler(admin: SocketAddr) -> PeerHandler {
    std::sync::Arc::new(move |_| {
        let refused = |error: postcard::Error| PeerError::Refused(error.to_string());
        let reply = postcard::to_stdvec(&ProcessStatus { admin }).map_err(refused);
        Box::pin(async move { reply })
    })
}
