//! Fakes of the system's own other processes.

pub mod members;
pub mod peers;

pub use members::FakeMembers;
pub use peers::FakePeers;
