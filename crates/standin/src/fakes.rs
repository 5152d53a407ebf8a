//! In-memory fakes of the system's other processes.

pub mod members;
pub mod peers;

pub use members::FakeMembers;
pub use peers::FakePeers;
