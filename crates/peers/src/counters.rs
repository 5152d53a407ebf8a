//! What the peer protocols count.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the peer protocols. They only grow.
        #[derive(Debug, Default)]
        pub struct PeerCounters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl PeerCounters {
            /// Every counter with its name, in a fixed order.
            #[must_use]
            pub fn read(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

/// A counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds a number.
    pub fn add(&self, number: usize) {
        self.0.fetch_add(number as u64, Ordering::Relaxed);
    }

    /// The count.
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
    /// Datagrams that came twice or too late.
    replayed,
    /// Datagrams whose time was too far from this process's clock.
    skewed,
    /// Connections made to others.
    connections_out,
    /// Connections made by others.
    connections_in,
    /// Connections retired because nothing was heard on them.
    silent_connections,
    /// Calls tried again on a new connection.
    calls_retried,
    /// Calls of others that were refused because too many were running.
    calls_shed,
    /// Comparisons of tables begun with a peer.
    syncs,
}

/// Counters shared between the parts of a process.
pub type SharedCounters = Arc<PeerCounters>;
