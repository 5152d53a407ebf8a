//! A fake membership, controlled by the test.

use oleander_core::ids::Revision;
use oleander_ports::members::{Member, MembershipPort, Rumor, RumorListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct MembersState {
    members: Arc<Vec<Member>>,
    rumors: Vec<Rumor>,
    listeners: Vec<RumorListener>,
    revision: Revision,
    partitioned: bool,
    left: bool,
}

/// A membership with the members that the test sets. Clones share the state.
#[derive(Clone, Default)]
pub struct FakeMembers {
    state: Arc<Mutex<MembersState>>,
}

impl FakeMembers {
    /// Creates a membership without members.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the members.
    pub fn set_members(&self, members: Vec<Member>) {
        self.lock().members = Arc::new(members);
    }

    /// Sets whether the process is partitioned from its peers.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.lock().partitioned = partitioned;
    }

    /// The rumors that were announced so far.
    #[must_use]
    pub fn rumors(&self) -> Vec<Rumor> {
        self.lock().rumors.clone()
    }

    /// The revision that was set last.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.lock().revision
    }

    /// Whether the process has announced that it leaves.
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
        let rumors = {
            let mut state = self.lock();
            state.listeners.push(Arc::clone(&listener));
            state.rumors.clone()
        };
        rumors.iter().for_each(|rumor| listener(rumor));
    }

    fn set_revision(&self, revision: Revision) {
        self.lock().revision = revision;
    }

    fn leave(&self) {
        self.lock().left = true;
    }

    fn in_contact(&self) -> bool {
        !self.lock().partitioned
    }
}
