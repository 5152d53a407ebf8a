//! The newest known catalog revision of a process and the one that it has in force.
//!
//! Neither ever decreases, whatever the order of stale reads, late peer messages and restarts.

use crate::catalog::objects::CutOff;
use crate::ids::Revision;
use crate::units::{Millis, Timestamp};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of peers that must answer before a starting process trusts their head without the store.
pub const PEERS_FOR_START: usize = 2;

/// The published catalog: its revision and the digest of its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogHead {
    /// The revision.
    pub revision: Revision,
    /// SHA-256 of the body, in hex.
    pub digest: Arc<str>,
}

/// How a received head compares with the newest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadUpdate {
    /// It is newer; its body has to be fetched.
    Newer,
    /// It equals the newest known head.
    Known,
    /// It is older and ignored.
    Older,
    /// It has the newest revision but a different digest: one of the two is forged or corrupt.
    Conflicting,
}

/// Tracks the newest known head and the head in force.
///
/// ```
/// use oleander_core::head::{CatalogHead, HeadTracker, HeadUpdate};
/// use oleander_core::ids::Revision;
///
/// let head = |number| CatalogHead { revision: Revision::new(number), digest: "d".into() };
/// let mut tracker = HeadTracker::new();
/// assert_eq!(tracker.observe(head(2)), HeadUpdate::Newer);
/// assert!(tracker.activate(&head(2)));
/// assert_eq!(tracker.observe(head(1)), HeadUpdate::Older);
/// assert!(!tracker.activate(&head(1)));
/// assert_eq!(tracker.in_force(), Revision::new(2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeadTracker {
    newest: Option<CatalogHead>,
    in_force: Option<CatalogHead>,
}

impl HeadTracker {
    /// Starts without a head.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a head that the store or a peer reported.
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

    /// The newest head, if it is not in force yet and its body has to be fetched.
    #[must_use]
    pub fn pending(&self) -> Option<&CatalogHead> {
        let newest = self.newest.as_ref()?;
        (newest.revision > self.in_force()).then_some(newest)
    }

    /// Puts a head with a verified body into force. Returns false without a change if it is not
    /// newer than the head in force.
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

    /// The revision in force; 0 if there is none yet.
    #[must_use]
    pub fn in_force(&self) -> Revision {
        self.in_force.as_ref().map_or(Revision::new(0), |head| head.revision)
    }

    /// The head in force.
    #[must_use]
    pub const fn head_in_force(&self) -> Option<&CatalogHead> {
        self.in_force.as_ref()
    }

    /// The newest known head.
    #[must_use]
    pub const fn newest(&self) -> Option<&CatalogHead> {
        self.newest.as_ref()
    }
}

/// Whether a starting process knows enough to admit requests.
///
/// One answer of the store is sufficient. Without the store, [`PEERS_FOR_START`] peers must answer,
/// or every other member if there are fewer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartGate {
    store_answered: bool,
    peers_answered: usize,
}

impl StartGate {
    /// Starts without any answer.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer of the store.
    pub fn record_store_answer(&mut self) {
        self.store_answered = true;
    }

    /// Records how many peers answered one round of queries.
    pub fn record_peer_answers(&mut self, answered: usize) {
        self.peers_answered = self.peers_answered.max(answered);
    }

    /// Whether requests may be admitted, with `others` other members in the system.
    #[must_use]
    pub fn is_open(&self, others: usize) -> bool {
        let needed = PEERS_FOR_START.min(others);
        self.store_answered || (needed > 0 && self.peers_answered >= needed)
    }
}

/// Tracks the last contact with the store or a peer, to detect that a process is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactTracker {
    last_contact: Timestamp,
}

impl ContactTracker {
    /// Starts in contact at `now`.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self { last_contact: now }
    }

    /// Records contact with the store or a peer.
    pub fn record_contact(&mut self, now: Timestamp) {
        self.last_contact = self.last_contact.max(now);
    }

    /// Whether the process refuses requests because it is cut off.
    #[must_use]
    pub fn refuses(&self, policy: CutOff, after: Millis, now: Timestamp) -> bool {
        policy == CutOff::Refuse && now.since(self.last_contact) > after.as_duration()
    }
}
