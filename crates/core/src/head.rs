//! Which catalog revision a process knows of and which one it has in force.
//!
//! No order of stale reads, late peers and restarts lowers either of them.

use crate::catalog::objects::CutOff;
use crate::ids::Revision;
use crate::units::{Millis, Timestamp};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Peers that a starting process hears before it trusts their head without the store.
pub const PEERS_FOR_START: usize = 2;

/// The published catalog: its revision and the digest of its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogHead {
    /// The revision.
    pub revision: Revision,
    /// SHA-256 of the body, in hex.
    pub digest: Arc<str>,
}

/// What a head that was heard of means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadUpdate {
    /// It is newer than any before; its body is wanted.
    Newer,
    /// It is the newest that is known.
    Known,
    /// It is older than what is known, and ignored.
    Older,
    /// It has the newest revision but another digest: one of the two is forged or corrupt.
    Conflicting,
}

/// Keeps the newest head and the revision in force.
///
/// ```
/// use oleander_core::head::{CatalogHead, HeadTracker, HeadUpdate};
/// use oleander_core::ids::Revision;
///
/// let head = |number| CatalogHead { revision: Revision::new(number), digest: "d".into() };
/// let mut keeper = HeadTracker::new();
/// assert_eq!(keeper.observe(head(2)), HeadUpdate::Newer);
/// assert!(keeper.activate(&head(2)));
/// assert_eq!(keeper.observe(head(1)), HeadUpdate::Older);
/// assert!(!keeper.activate(&head(1)));
/// assert_eq!(keeper.in_force(), Revision::new(2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeadTracker {
    newest: Option<CatalogHead>,
    in_force: Option<CatalogHead>,
}

impl HeadTracker {
    /// Knows of no head.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Hears of a head, from the store or from a peer.
    pub fn observe(&mut self, head: CatalogHead) -> HeadUpdate {
        let Some(newest) = &self.newest else {
            self.newest = Some(head);
            return HeadUpdate::Newer;
        };
        if head.revision < newest.revision {
            return HeadUpdate::Older;
        }
        if head.revision == newest.revision {
            let same = head.digest == newest.digest;
            return if same { HeadUpdate::Known } else { HeadUpdate::Conflicting };
        }
        self.newest = Some(head);
        HeadUpdate::Newer
    }

    /// The head whose body is wanted: the newest one, while it is not in force.
    #[must_use]
    pub fn pending(&self) -> Option<&CatalogHead> {
        let newest = self.newest.as_ref()?;
        (newest.revision > self.in_force()).then_some(newest)
    }

    /// Puts a head into force whose body was verified. Returns false, and changes nothing, when
    /// it is not newer than the one in force.
    pub fn activate(&mut self, head: &CatalogHead) -> bool {
        if head.revision <= self.in_force() {
            return false;
        }
        self.in_force = Some(head.clone());
        if self.newest.as_ref().is_none_or(|newest| newest.revision < head.revision) {
            self.newest = Some(head.clone());
        }
        true
    }

    /// The revision in force; 0 before any is.
    #[must_use]
    pub fn in_force(&self) -> Revision {
        self.in_force.as_ref().map_or(Revision::new(0), |head| head.revision)
    }

    /// The head in force.
    #[must_use]
    pub const fn head_in_force(&self) -> Option<&CatalogHead> {
        self.in_force.as_ref()
    }

    /// The newest head that was heard of.
    #[must_use]
    pub const fn newest(&self) -> Option<&CatalogHead> {
        self.newest.as_ref()
    }
}

/// Whether a starting process has heard enough to admit work.
///
/// The store's word is enough. Without the store, [`PEERS_FOR_START`] peers are, or every other
/// member when there are fewer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartGate {
    store_heard: bool,
    peers_heard: usize,
}

impl StartGate {
    /// Nothing heard.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an answer of the store.
    pub fn record_store_answer(&mut self) {
        self.store_heard = true;
    }

    /// Notes how many peers answered one round of questions.
    pub fn record_peer_answers(&mut self, answered: usize) {
        self.peers_heard = self.peers_heard.max(answered);
    }

    /// Whether enough was heard, with `others` other members in the system.
    #[must_use]
    pub fn is_open(&self, others: usize) -> bool {
        let needed = PEERS_FOR_START.min(others);
        self.store_heard || (needed > 0 && self.peers_heard >= needed)
    }
}

/// Keeps when the store or a peer was last heard, to tell when a process is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactTracker {
    last_contact: Timestamp,
}

impl ContactTracker {
    /// In contact `now`.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self { last_contact: now }
    }

    /// Notes contact with the store or a peer.
    pub fn record_contact(&mut self, now: Timestamp) {
        self.last_contact = self.last_contact.max(now);
    }

    /// Whether the process refuses work because it is cut off.
    #[must_use]
    pub fn refuses(&self, policy: CutOff, after: Millis, now: Timestamp) -> bool {
        policy == CutOff::Refuse && now.since(self.last_contact) > after.as_duration()
    }
}
