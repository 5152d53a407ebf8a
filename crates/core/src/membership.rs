//! Cluster membership of the system's own processes: probes, suspicion, gossip and
//! anti-entropy sync.
//!
//! [`MemberMachine`] is a state machine without I/O: datagrams, ticks and addresses go in,
//! datagrams and events come out. It reads no clock, and its random generator is seeded by the
//! caller.

pub mod config;
pub mod machine;
pub mod member;
pub mod message;
pub mod probe;
pub mod queue;
pub mod record;
pub mod rumors;
pub mod sync;
pub mod table;

pub use config::MembershipConfig;
pub use machine::{MemberEvent, MemberMachine, MemberOutput};
pub use member::{BodyDigest, Member, MemberRole, MemberState, Rumor};
