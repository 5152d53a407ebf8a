//! Limits and timeouts of the peer protocols.

use std::time::Duration;

/// Limits and timeouts of the peer protocols. All processes use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLimits {
    /// Maximum number of concurrent outgoing calls.
    pub calls: usize,
    /// Maximum number of calls queued for writing on one connection.
    pub queued_frames: usize,
    /// Maximum number of calls that are handled concurrently.
    pub handlers: usize,
    /// Maximum total size of the incoming calls in memory, in bytes.
    pub inbound_bytes: usize,
    /// Maximum number of incoming connections.
    pub inbound_connections: usize,
    /// Timeout of connecting, including the handshake.
    pub connect_timeout: Duration,
    /// Interval between pings on a connection with pending calls.
    pub ping_interval: Duration,
    /// Interval between pings on a connection without pending calls.
    pub idle_ping_interval: Duration,
    /// Time without a frame after a ping until the connection is closed as silent. Also the
    /// timeout of writing one frame.
    pub silence_timeout: Duration,
    /// Time without a call after which a connection is closed.
    pub idle_timeout: Duration,
    /// Age after which a connection accepts no more calls.
    pub max_age: Duration,
    /// Maximum run time of a handler.
    pub handler_timeout: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            calls: 1_024,
            queued_frames: 256,
            handlers: 512,
            inbound_bytes: 16 * 1024 * 1024,
            inbound_connections: 1_024,
            connect_timeout: Duration::from_secs(2),
            ping_interval: Duration::from_secs(2),
            idle_ping_interval: Duration::from_secs(10),
            silence_timeout: Duration::from_secs(4),
            idle_timeout: Duration::from_secs(30),
            max_age: Duration::from_secs(300),
            handler_timeout: Duration::from_secs(30),
        }
    }
}
