//! Membership of the system's own processes: probes, suspicion, dissemination and comparison.
//!
//! [`MemberMachine`] is a pure machine: datagrams, ticks and lists of hosts go in, datagrams
//! and events come out. It reads no clock and draws from a generator that it was seeded with.

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
