//! The membership port of one process: reads a published view, tells the keeper the rest.

use crate::keeper::{Announce, Leave, Listen, MembershipKeeper, SetRevision};
use arc_swap::ArcSwap;
use kameo::actor::ActorRef;
use oleander_core::ids::{Incarnation, Revision};
use oleander_core::membership::{Member, Rumor};
use oleander_ports::members::{MembershipPort, RumorListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What the keeper publishes.
#[derive(Debug)]
pub struct MembersView {
    members: ArcSwap<Vec<Member>>,
    contact: AtomicBool,
    superseded_by: AtomicU64,
}

/// The view, shared between the keeper and its readers.
pub type SharedView = Arc<MembersView>;

impl MembersView {
    /// The view of a process that knows only itself.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            members: ArcSwap::from_pointee(vec![me]),
            contact: AtomicBool::new(true),
            superseded_by: AtomicU64::new(0),
        }
    }

    /// Publishes the members.
    pub fn set_members(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
    }

    /// Publishes whether a peer was heard lately.
    pub fn set_contact(&self, contact: bool) {
        self.contact.store(contact, Ordering::Relaxed);
    }

    /// Publishes that a newer process uses this one's id.
    pub fn set_superseded(&self, incarnation: Incarnation) {
        let before = self.superseded_by.swap(incarnation.get(), Ordering::Relaxed);
        if before != incarnation.get() {
            log::error!(
                "membership_superseded by incarnation {incarnation}: stop this process, or give it another id"
            );
        }
    }

    /// The newer incarnation that uses this process's id, if any.
    #[must_use]
    pub fn superseded_by(&self) -> Option<Incarnation> {
        let number = self.superseded_by.load(Ordering::Relaxed);
        (number > 0).then_some(Incarnation::new(number))
    }
}

/// The membership as this process sees it.
#[derive(Debug)]
pub struct PeerMembers {
    view: SharedView,
    keeper: ActorRef<MembershipKeeper>,
}

impl PeerMembers {
    /// The port of a keeper and its view.
    #[must_use]
    pub const fn new(view: SharedView, keeper: ActorRef<MembershipKeeper>) -> Self {
        Self { view, keeper }
    }
}

impl MembershipPort for PeerMembers {
    fn members(&self) -> Arc<Vec<Member>> {
        self.view.members.load_full()
    }

    fn announce(&self, rumor: Rumor) {
        let _ = self.keeper.tell(Announce { rumor }).try_send();
    }

    fn listen(&self, listener: RumorListener) {
        let _ = self.keeper.tell(Listen { listener }).try_send();
    }

    fn set_revision(&self, revision: Revision) {
        let _ = self.keeper.tell(SetRevision { revision }).try_send();
    }

    fn leave(&self) {
        let _ = self.keeper.tell(Leave {}).try_send();
    }

    fn in_contact(&self) -> bool {
        self.view.contact.load(Ordering::Relaxed)
    }
}
