//! Authenticated protocols between the system's processes: membership, gossip and calls.
//!
//! [`PeerNode`] binds UDP and TCP on one port and gives the ports that the other crates use.

#![warn(clippy::unwrap_used)]

pub mod calls;
pub mod connection;
pub mod counters;
pub mod datagram;
pub mod frame;
pub mod handlers;
pub mod handshake;
pub mod keeper;
pub mod keys;
pub mod limits;
pub mod members;
pub mod node;
mod node_tasks;
pub mod replay;
pub mod server;
pub mod share_book;
pub mod share_keeper;
pub mod share_meters;
pub mod share_view;
pub mod shares;

pub use counters::PeerCounters;
pub use keys::PeerKey;
pub use limits::PeerLimits;
pub use node::{PeerNode, PeerSettings, PeerStartError};
pub use shares::{ShareService, ShareSettings};
