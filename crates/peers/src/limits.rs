//! Bounds and times of the peer protocols.

use std::time::Duration;

/// Bounds and times of the peer protocols. The same on every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLimits {
    /// Calls that this process makes at once.
    pub calls: usize,
    /// Calls that wait on one connection to be written.
    pub queued_frames: usize,
    /// Calls that this process handles at once.
    pub handlers: usize,
    /// Bytes of bodies that are held at once for calls of others.
    pub inbound_bytes: usize,
    /// Connections that others hold to this process.
    pub inbound_connections: usize,
    /// Time for a connection to be made and proved.
    pub connect_timeout: Duration,
    /// Time from one ping to the next on a connection with calls that wait.
    pub ping_interval: Duration,
    /// Time from one ping to the next on a connection without.
    pub idle_ping_interval: Duration,
    /// Time without a byte after a ping after which a connection is silent and retired.
    pub silence: Duration,
    /// Time without a call after which a connection is closed.
    pub idle: Duration,
    /// Age after which a connection takes no more calls.
    pub max_age: Duration,
    /// Longest time that a handler may take.
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
            silence: Duration::from_secs(4),
            idle: Duration::from_secs(30),
            max_age: Duration::from_secs(300),
            handler_timeout: Duration::from_secs(30),
        }
    }
}
