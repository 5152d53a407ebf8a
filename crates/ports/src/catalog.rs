//! The catalog in force on this process.

use oleander_core::catalog::Snapshot;
use std::sync::Arc;

/// Whether work may be admitted under the catalog in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatalogStatus {
    /// A catalog is in force and the process is in contact with the store or a peer.
    InForce,
    /// No catalog has been received yet.
    Missing,
    /// The process has reached neither the store nor a peer for the policy's `cut_off_after`,
    /// and the policy makes it refuse work.
    CutOff,
}

/// The catalog in force. Its revision never decreases.
pub trait CatalogPort: Send + Sync {
    /// The catalog in force; an empty one of revision 0 until one is received.
    fn snapshot(&self) -> Arc<Snapshot>;

    /// Whether work may be admitted.
    fn status(&self) -> CatalogStatus;
}
