//! TCP keepalive, which ends connections whose peer went silent.

use hyper_util::client::legacy::connect::HttpConnector;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// When a connection to a silent peer ends. The kernel counts idle time and interval in whole
/// seconds and refuses zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketKeepalive {
    /// Idle time after which the peer is probed, in seconds.
    pub idle_seconds: u64,
    /// Time between probes, in seconds.
    pub interval_seconds: u64,
    /// Unanswered probes after which the connection is dead.
    pub probes: u32,
    /// Maximum time that sent bytes stay unacknowledged, that the peer takes none, and, above the
    /// number of probes, that probes are unanswered.
    pub silence: Duration,
}

impl SocketKeepalive {
    /// Sets the options of a socket.
    ///
    /// # Errors
    ///
    /// When the operating system refuses an option; those after it are not set.
    pub fn apply(&self, socket: &TcpStream) -> io::Result<()> {
        let keepalive = TcpKeepalive::new()
            .with_time(Duration::from_secs(self.idle_seconds))
            .with_interval(Duration::from_secs(self.interval_seconds))
            .with_retries(self.probes);
        let options = SockRef::from(socket);
        options.set_tcp_keepalive(&keepalive)?;
        options.set_tcp_user_timeout(Some(self.silence))
    }

    /// Sets the options of all connections of a connector.
    pub fn configure(&self, connector: &mut HttpConnector) {
        connector.set_keepalive(Some(Duration::from_secs(self.idle_seconds)));
        connector.set_keepalive_interval(Some(Duration::from_secs(self.interval_seconds)));
        connector.set_keepalive_retries(Some(self.probes));
        connector.set_tcp_user_timeout(Some(self.silence));
    }
}
