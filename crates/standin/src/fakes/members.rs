//! A membership that a test sets by hand.

use oleander_core::ids::Revision;
use oleander_ports::members::{Member, MembershipPort, Rumor, RumorListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct MembersState {
    members: Arc<Vec<Member>>,
    rumors: Vec<Rumor>,
    listeners: Vec<RumorListener>,
    revision: Revision,
    cut_off: bool,
    left: bool,
}

/// Members as set by a test. Clones share them.
#[derive(Clone, Default)]
pub struct FakeMembers {
    state: Arc<Mutex<MembersState>>,
}

impl FakeMembers {
    /// No members.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the members that are seen.
    pub fn set_members(&self, members: Vec<Member>) {
        self.lock().members = Arc::new(members);
    }

    /// Sets whether the process is cut off from its peers.
    pub fn set_partitioned(&self, cut_off: bool) {
        self.lock().cut_off = cut_off;
    }

    /// The rumors announced so far.
    #[must_use]
    pub fn rumors(&self) -> Vec<Rumor> {
        self.lock().rumors.clone()
    }

    /// The revision that was set last.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.lock().revision
    }

    /// Whether the process said that it leaves.
    #[must_use]
    pub fn left(&self) -> bool {
        self.lock().left
    }

    fn lock(&self) -> MutexGuard<'_, MembersState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MembershipPort for FakeMembers {
    fn members(&self) -> Arc<Vec<Member>> {
        Arc::clone(&self.lock().members)
    }

    fn announce(&self, rumor: Rumor) {
        let listeners = {
            let mut state = self.lock();
            state.rumors.push(rumor.clone());
            state.listeners.clone()
        };
        listeners.iter().for_each(|listener| listener(&rumor));
    }

    fn listen(&self, listener: RumorListener) {
        let known = {
            let mut state = self.lock();
            state.listeners.push(Arc::clone(&listener));
            state.rumors.clone()
        };
        known.iter().for_each(|rumor| listener(rumor));
    }

    fn set_revision(&self, revision: Revision) {
        self.lock().revision = revision;
    }

    fn leave(&self) {
        self.lock().left = true;
    }

    fn in_contact(&self) -> bool {
        !self.lock().cut_off
    }
}
