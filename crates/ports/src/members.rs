//! Membership of the system's own processes, and what they tell each other.

use oleander_core::ids::Revision;
pub use oleander_core::membership::{BodyDigest, Member, MemberRole, MemberState, Rumor};
use std::sync::Arc;

/// Receives rumors in the order in which this process learns them, each once.
pub type RumorListener = Arc<dyn Fn(&Rumor) + Send + Sync>;

/// The membership as one process sees it.
pub trait MembershipPort: Send + Sync {
    /// Every member but the dead, this process included, in order of id.
    fn members(&self) -> Arc<Vec<Member>>;

    /// Spreads a fact. One that is older than what is known does nothing.
    fn announce(&self, rumor: Rumor);

    /// Calls `listener` for each rumor from now on, and for those that are known already.
    fn listen(&self, listener: RumorListener);

    /// Says which catalog revision this process has in force.
    fn set_revision(&self, revision: Revision);

    /// Says that this process is leaving.
    fn leave(&self);

    /// Whether any peer was heard within the membership's timeout. A process that knows of no
    /// other member is in contact.
    fn in_contact(&self) -> bool;
}
