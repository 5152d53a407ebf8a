//! Counters of the peer protocols.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Monotonic counters of the peer protocols.
        #[derive(Debug, Default)]
        pub struct PeerCounters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl PeerCounters {
            /// Returns the name and value of every counter, in a fixed order.
            #[must_use]
            pub fn read(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds 1.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `number`.
    pub fn add(&self, number: usize) {
        self.0.fetch_add(number as u64, Ordering::Relaxed);
    }

    /// The current value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

counters! {
    /// Datagrams received.
    datagrams_in,
    /// Datagrams sent.
    datagrams_out,
    /// Bytes received in datagrams.
    datagram_bytes_in,
    /// Bytes sent in datagrams.
    datagram_bytes_out,
    /// Frames received on connections.
    frames_in,
    /// Frames sent on connections.
    frames_out,
    /// Bytes received in frames.
    frame_bytes_in,
    /// Bytes sent in frames.
    frame_bytes_out,
    /// Datagrams and frames that could not be decoded.
    malformed,
    /// Datagrams, handshakes and frames whose key or tag was wrong.
    forged,
    /// Datagrams dropped as duplicates or as older than the replay window.
    replayed,
    /// Datagrams whose send time was too far from this process's clock.
    skewed,
    /// Connections opened to other processes.
    connections_out,
    /// Connections accepted from other processes.
    connections_in,
    /// Connections closed because a ping was not answered.
    silent_connections,
    /// Calls retried on a new connection.
    calls_retried,
    /// Incoming calls refused because too many were running.
    calls_shed,
    /// Membership syncs started with a peer.
    syncs,
}

/// Counters shared by the tasks of a process.
pub type SharedCounters = Arc<PeerCounters>;
