//! The line that a process prints on standard output when it is ready.

use oleander_core::ids::HostId;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::net::SocketAddr;

/// The addresses at which a process listens, printed as one line of JSON.
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
    /// Address of the callers' port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// Address of the peer port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
    /// Address of the admin port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin: Option<SocketAddr>,
}

impl ReadyLine {
    /// A line without addresses.
    #[must_use]
    pub const fn new(id: HostId) -> Self {
        Self { ready: id, callers: None, peers: None, admin: None }
    }

    /// Sets the address of the callers' port.
    #[must_use]
    pub const fn with_callers(mut self, address: SocketAddr) -> Self {
        self.callers = Some(address);
        self
    }

    /// Sets the address of the peer port.
    #[must_use]
    pub const fn with_peers(mut self, address: SocketAddr) -> Self {
        self.peers = Some(address);
        self
    }

    /// Sets the address of the admin port.
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

    /// Prints the line on standard output.
    pub fn print(&self) {
        let mut out = std::io::stdout().lock();
        // A closed standard output must not stop the process.
        let _ = writeln!(out, "{}", self.to_json()).and_then(|()| out.flush());
    }
}
