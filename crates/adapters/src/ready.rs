//! The line that a process prints when it is ready.

use oleander_core::ids::HostId;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::net::SocketAddr;

/// Where a process really listens, printed on standard output as one line of JSON.
///
/// ```
/// use oleander_adapters::ready::ReadyLine;
///
/// let line = ReadyLine::new("host-1.entry".parse().unwrap())
///     .with_callers("127.0.0.1:8080".parse().unwrap());
/// assert_eq!(line.to_json(), r#"{"ready":"host-1.entry","callers":"127.0.0.1:8080"}"#);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyLine {
    /// Id of the process.
    pub ready: HostId,
    /// Callers' port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// Peer port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
    /// Admin port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin: Option<SocketAddr>,
}

impl ReadyLine {
    /// A line without addresses.
    #[must_use]
    pub const fn new(id: HostId) -> Self {
        Self { ready: id, callers: None, peers: None, admin: None }
    }

    /// Tells the callers' port.
    #[must_use]
    pub const fn with_callers(mut self, address: SocketAddr) -> Self {
        self.callers = Some(address);
        self
    }

    /// Tells the peer port.
    #[must_use]
    pub const fn with_peers(mut self, address: SocketAddr) -> Self {
        self.peers = Some(address);
        self
    }

    /// Tells the admin port.
    #[must_use]
    pub const fn with_admin(mut self, address: SocketAddr) -> Self {
        self.admin = Some(address);
        self
    }

    /// The line as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Prints the line.
    pub fn print(&self) {
        let mut out = std::io::stdout().lock();
        // A closed standard output does not stop the process.
        let _ = writeln!(out, "{}", self.to_json()).and_then(|()| out.flush());
    }
}
