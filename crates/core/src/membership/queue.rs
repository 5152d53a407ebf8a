//! Queue of updates to piggyback on messages, each a limited number of times.

use crate::ids::{HostId, UpstreamName};
use crate::membership::config::MAX_UPDATE_BYTES;
use crate::membership::member::Rumor;
use crate::membership::message::{GossipUpdates, RevisionReport};
use crate::membership::record::{MemberRecord, MemberTag};
use std::collections::BTreeMap;

/// Key of an update; a newer update replaces a queued one with the same key. Keys are ordered
/// as updates are sent: rumors first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UpdateKey {
    Head,
    Upstream(UpstreamName),
    Member(HostId),
    Revision(MemberTag),
}

#[derive(Clone, Debug)]
enum Update {
    Rumor(Rumor),
    Record(MemberRecord),
    Revision(RevisionReport),
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    sent: u32,
}

/// Encoded size of a rumor without its name or digest, in bytes.
const RUMOR_FIXED_BYTES: usize = 14;
/// Encoded size of a revision report, in bytes.
const REVISION_BYTES: usize = 9;

impl Update {
    fn wire_bytes(&self) -> usize {
        match self {
            Self::Rumor(rumor) => RUMOR_FIXED_BYTES + name_bytes(rumor),
            Self::Record(record) => record.wire_bytes(),
            Self::Revision(_) => REVISION_BYTES,
        }
    }

    fn add_to(&self, updates: &mut GossipUpdates) {
        match self {
            Self::Rumor(rumor) => updates.rumors.push(rumor.clone()),
            Self::Record(record) => updates.records.push(record.clone()),
            Self::Revision(report) => updates.revisions.push(*report),
        }
    }

    const fn priority(&self) -> u8 {
        match self {
            Self::Rumor(_) => 0,
            Self::Record(_) => 1,
            Self::Revision(_) => 2,
        }
    }
}

fn name_bytes(rumor: &Rumor) -> usize {
    match rumor {
        Rumor::Head { digest, .. } => digest.len(),
        Rumor::Leaving { upstream, .. } | Rumor::Joined { upstream, .. } => upstream.as_str().len(),
    }
}

/// Updates that wait to be sent.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    entries: BTreeMap<UpdateKey, QueuedUpdate>,
}

impl UpdateQueue {
    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of queued updates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Queues a rumor.
    pub fn push_rumor(&mut self, rumor: Rumor) {
        let key = match &rumor {
            Rumor::Head { .. } => UpdateKey::Head,
            Rumor::Leaving { upstream, .. } | Rumor::Joined { upstream, .. } => {
                UpdateKey::Upstream(upstream.clone())
            }
        };
        self.push(key, Update::Rumor(rumor));
    }

    /// Queues a record.
    pub fn push_record(&mut self, record: MemberRecord) {
        self.push(UpdateKey::Member(record.id.clone()), Update::Record(record));
    }

    /// Queues a revision report.
    pub fn push_revision(&mut self, report: RevisionReport) {
        self.push(UpdateKey::Revision(report.tag), Update::Revision(report));
    }

    fn push(&mut self, key: UpdateKey, update: Update) {
        self.entries.insert(key, QueuedUpdate { update, sent: 0 });
    }

    /// Returns the updates for one message: rumors, then records, then revisions, the least sent
    /// first. An update that was sent `limit` times is dropped.
    pub fn take_for_message(&mut self, limit: u32) -> GossipUpdates {
        let mut order: Vec<&mut QueuedUpdate> = self.entries.values_mut().collect();
        order.sort_by_key(|queued| (queued.update.priority(), queued.sent));
        let mut updates = GossipUpdates::default();
        let mut remaining_bytes = MAX_UPDATE_BYTES;
        for queued in order {
            let bytes = queued.update.wire_bytes();
            if bytes > remaining_bytes {
                continue;
            }
            remaining_bytes -= bytes;
            queued.sent += 1;
            queued.update.add_to(&mut updates);
        }
        self.entries.retain(|_, queued| queued.sent < limit);
        updates
    }
}
