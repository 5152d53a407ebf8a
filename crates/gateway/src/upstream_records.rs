//! The upstreams that the store lists, as this host believes them.
//!
//! An entry may expire while its upstream is alive, when the store was unavailable; such an entry is
//! kept for a while. After the store came back from an older copy, an entry may list an upstream
//! that has left since; such an entry is held back until the platform has expired it.

use crate::control_cache::ControlEvent;
use crate::upstream_entry::{UpstreamEntry, UpstreamState};
use oleander_core::store_era::StoreRevision;
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of upstreams that left and are remembered; above what leaves in a day.
const MAX_LEFT: usize = 4_096;

#[derive(Clone, Debug)]
struct UpstreamRecord {
    entry: Arc<UpstreamEntry>,
    revision: StoreRevision,
    /// End of the grace period of an entry that expired while the store was unavailable.
    expires_at: Option<Timestamp>,
    /// Until when the entry is held back, because this incarnation is known to have left.
    held_until: Option<Timestamp>,
}

/// An incarnation that was leaving or removed when it was last heard of.
#[derive(Clone, Copy, Debug)]
struct LeftIncarnation {
    started_ms: u64,
    revision: StoreRevision,
}

/// The upstreams by their key in the store.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRecords {
    records: BTreeMap<Arc<str>, UpstreamRecord>,
    left: BTreeMap<Arc<str>, LeftIncarnation>,
}

impl UpstreamRecords {
    /// Applies a row of a feed, or of a full read within an era.
    pub fn apply(
        &mut self,
        key: &Arc<str>,
        entry: &Arc<UpstreamEntry>,
        revision: StoreRevision,
        events: &mut Vec<ControlEvent>,
    ) {
        let previous = self.records.get(key).map(|record| record.entry.state);
        match (previous, entry.state) {
            (Some(UpstreamState::Ready), UpstreamState::Draining) => {
                events.push(ControlEvent::UpstreamRemoved(Arc::clone(key), "draining"));
            }
            (None | Some(UpstreamState::Draining), UpstreamState::Ready) => {
                events.push(ControlEvent::UpstreamAdded(Arc::clone(key)));
            }
            _ => {}
        }
        match entry.state {
            UpstreamState::Ready => {
                self.left.remove(key);
            }
            UpstreamState::Draining => self.remember_left(key, entry.started_ms, revision),
        }
        let entry = Arc::clone(entry);
        let record = UpstreamRecord { entry, revision, expires_at: None, held_until: None };
        self.records.insert(Arc::clone(key), record);
    }

    /// Applies a row of the first full read after the store came back from an older copy. An
    /// incarnation that has left is held back until `held_until`, and one that has been replaced
    /// is ignored.
    pub fn apply_restored(
        &mut self,
        key: &Arc<str>,
        entry: &Arc<UpstreamEntry>,
        revision: StoreRevision,
        held_until: Timestamp,
        events: &mut Vec<ControlEvent>,
    ) {
        let known = self.records.get(key).map_or(0, |known| known.entry.started_ms);
        // An entry that does not state its start may be of the known incarnation, so it is believed
        // only if it is leaving.
        let may_be_known = entry.started_ms == 0 && entry.state == UpstreamState::Draining;
        if known > entry.started_ms && !may_be_known {
            return;
        }
        let left = self.left.get(key).copied();
        let has_left = left.is_some_and(|left| left.started_ms >= entry.started_ms);
        if entry.state == UpstreamState::Draining || !has_left {
            self.apply(key, entry, revision, events);
            return;
        }
        events.push(ControlEvent::UpstreamHeld(Arc::clone(key)));
        let record = UpstreamRecord {
            entry: Arc::clone(entry),
            revision,
            expires_at: None,
            held_until: Some(held_until),
        };
        self.records.insert(Arc::clone(key), record);
    }

    /// Removes an entry, at `grace_end` if it may only have expired.
    pub fn remove(
        &mut self,
        key: &Arc<str>,
        grace_end: Option<Timestamp>,
        events: &mut Vec<ControlEvent>,
    ) {
        let Some(record) = self.records.get_mut(key) else { return };
        let is_held = record.held_until.is_some();
        if grace_end.is_some() && record.entry.state == UpstreamState::Ready && !is_held {
            record.expires_at = grace_end;
            return;
        }
        self.drop_record(key);
        events.push(ControlEvent::UpstreamRemoved(Arc::clone(key), "removed"));
    }

    /// Drops entries whose grace period is over and uses those that the store still listed, at
    /// `heard_at`, after they were held back.
    pub fn expire(&mut self, now: Timestamp, heard_at: Timestamp) -> Vec<ControlEvent> {
        let is_over = |end: Option<Timestamp>, at| end.is_some_and(|end| at >= end);
        let keys_where = |test: &dyn Fn(&UpstreamRecord) -> bool| -> Vec<Arc<str>> {
            let found = self.records.iter().filter(|(_, record)| test(record));
            found.map(|(key, _)| Arc::clone(key)).collect()
        };
        let expired = keys_where(&|record| is_over(record.expires_at, now));
        let released = keys_where(&|record| is_over(record.held_until, heard_at));
        let mut events = Vec::new();
        for key in released {
            if let Some(record) = self.records.get_mut(&key) {
                record.held_until = None;
            }
            self.left.remove(&key);
            events.push(ControlEvent::UpstreamAdded(key));
        }
        for key in expired {
            self.drop_record(&key);
            events.push(ControlEvent::UpstreamRemoved(key, "lapsed"));
        }
        events
    }

    /// Keys of all entries.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.records.keys()
    }

    /// Entries that accept new work, without those whose address now belongs to another one.
    pub fn ready(&self) -> impl Iterator<Item = &Arc<UpstreamEntry>> {
        let mut newest: BTreeMap<_, &UpstreamRecord> = BTreeMap::new();
        for record in self.records.values() {
            let slot = newest.entry(record.entry.address).or_insert(record);
            if replaces(record, slot) {
                *slot = record;
            }
        }
        let is_ready = |record: &&UpstreamRecord| {
            record.entry.state == UpstreamState::Ready && record.held_until.is_none()
        };
        newest.into_values().filter(is_ready).map(|record| &record.entry)
    }

    fn drop_record(&mut self, key: &Arc<str>) {
        if let Some(record) = self.records.remove(key) {
            self.remember_left(key, record.entry.started_ms, record.revision);
        }
    }

    fn remember_left(&mut self, key: &Arc<str>, started_ms: u64, revision: StoreRevision) {
        self.left.insert(Arc::clone(key), LeftIncarnation { started_ms, revision });
        if self.left.len() > MAX_LEFT {
            let oldest = self.left.iter().min_by_key(|(_, left)| left.revision);
            if let Some(key) = oldest.map(|(key, _)| Arc::clone(key)) {
                self.left.remove(&key);
            }
        }
    }
}

/// Whether `record` rather than `other` describes the upstream at their common address.
fn replaces(record: &UpstreamRecord, other: &UpstreamRecord) -> bool {
    let (started, other_started) = (record.entry.started_ms, other.entry.started_ms);
    // Revisions of different eras do not tell which row was written later.
    if record.revision.era != other.revision.era && started != 0 && other_started != 0 {
        return started > other_started;
    }
    record.revision > other.revision
}
