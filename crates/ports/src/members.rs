//! Membership of the system's own processes and the rumors that they gossip.

use oleander_core::ids::Revision;
pub use oleander_core::membership::{BodyDigest, Member, MemberRole, MemberState, Rumor};
use std::sync::Arc;

/// Receives each rumor once, in the order in which this process learns them.
pub type RumorListener = Arc<dyn Fn(&Rumor) + Send + Sync>;

/// The membership as seen by one process.
pub trait MembershipPort: Send + Sync {
    /// Every member that is not dead, this process included, sorted by id.
    fn members(&self) -> Arc<Vec<Member>>;

    /// Gossips a rumor to the other members. A stale rumor is ignored.
    fn announce(&self, rumor: Rumor);

    /// Calls `listener` for each rumor that is already known and for each later one.
    fn listen(&self, listener: RumorListener);

    /// Publishes the revision of the catalog in force on this process.
    fn set_revision(&self, revision: Revision);

    /// Announces that this process is leaving.
    fn leave(&self);

    /// Whether any peer was heard from within the membership timeout. Also true when no other
    /// member is known.
    fn in_contact(&self) -> bool;
}
