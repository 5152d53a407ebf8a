//! Authenticated protocols between the system's processes: membership, gossip and calls.
//!
//! [`PeerNode`] binds one port for UDP and TCP and implements the membership and call ports.
//! [`ShareService`] distributes the rates of client accounts over the entries.

#![warn(clippy::unwrap_used)]

pub mod calls;
pub mod connection;
pub mod counters;
pub mod datagram;
pub mod frame;
pub mod handlers;
pub mod handshake;
pub mod keys;
pub mod limits;
pub mod members;
pub mod membership_actor;
pub mod node;
mod node_tasks;
pub mod replay;
pub mod server;
pub mod share_actor;
pub mod share_coordinator;
pub mod share_meters;
pub mod share_view;
pub mod shares;

pub use counters::PeerCounters;
pub use keys::PeerKey;
pub use limits::PeerLimits;
pub use node::{PeerNode, PeerSettings, PeerStartError};
pub use shares::{ShareService, ShareSettings};
