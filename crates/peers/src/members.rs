//! The membership port: reads come from a published view, changes go to the actor.

use crate::membership_actor::{AddListener, Announce, Leave, MembershipActor, SetRevision};
use arc_swap::ArcSwap;
use kameo::actor::ActorRef;
use oleander_core::ids::{Incarnation, Revision};
use oleander_core::membership::{Member, Rumor};
use oleander_ports::members::{MembershipPort, RumorListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The membership as published by the actor.
#[derive(Debug)]
pub struct MembersView {
    members: ArcSwap<Vec<Member>>,
    contact: AtomicBool,
    superseded_by: AtomicU64,
}

/// The view, shared by the actor and its readers.
pub type SharedView = Arc<MembersView>;

impl MembersView {
    /// Creates the view of a process that knows only itself.
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

    /// Publishes whether a peer was heard from recently.
    pub fn set_contact(&self, contact: bool) {
        self.contact.store(contact, Ordering::Relaxed);
    }

    /// Publishes that a newer process uses the id of this one.
    pub fn set_superseded(&self, incarnation: Incarnation) {
        let before = self.superseded_by.swap(incarnation.get(), Ordering::Relaxed);
        if before != incarnation.get() {
            log::error!(
                "membership_superseded by incarnation {incarnation}: stop this process, or give it another id"
            );
        }
    }

    /// The newer incarnation that uses the id of this process, if any.
    #[must_use]
    pub fn superseded_by(&self) -> Option<Incarnation> {
        let number = self.superseded_by.load(Ordering::Relaxed);
        (number > 0).then_some(Incarnation::new(number))
    }
}

/// The membership as seen by this process.
#[derive(Debug)]
pub struct PeerMembers {
    view: SharedView,
    actor: ActorRef<MembershipActor>,
}

impl PeerMembers {
    /// Creates the port of an actor and its view.
    #[must_use]
    pub const fn new(view: SharedView, actor: ActorRef<MembershipActor>) -> Self {
        Self { view, actor }
    }
}

impl MembershipPort for PeerMembers {
    fn members(&self) -> Arc<Vec<Member>> {
        self.view.members.load_full()
    }

    fn announce(&self, rumor: Rumor) {
        let _ = self.actor.tell(Announce { rumor }).try_send();
    }

    fn listen(&self, listener: RumorListener) {
        let _ = self.actor.tell(AddListener { listener }).try_send();
    }

    fn set_revision(&self, revision: Revision) {
        let _ = self.actor.tell(SetRevision { revision }).try_send();
    }

    fn leave(&self) {
        let _ = self.actor.tell(Leave {}).try_send();
    }

    fn in_contact(&self) -> bool {
        self.view.contact.load(Ordering::Relaxed)
    }
}
