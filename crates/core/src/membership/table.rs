//! Member table of one process, and the rules for which record wins.

use crate::ids::{HostId, Revision};
use crate::membership::config::{MAX_MEMBERS, MAX_TOMBSTONES};
use crate::membership::record::{Liveness, MemberRecord, MemberTag};
use crate::units::Timestamp;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// One member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The newest record.
    pub record: MemberRecord,
    /// The revision that its incarnation last reported to have in force.
    pub revision: Revision,
    /// When this process last changed the record.
    pub since: Timestamp,
}

/// Result of applying a record to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is not newer than the known record, reports an unknown member as dead or left, or the
    /// table is full.
    Stale,
    /// It is no newer than the tombstone of its member, which was removed as dead.
    Tombstoned,
    /// It replaced the known record.
    Applied,
    /// It declared a present member dead; the member is marked as suspect first, so that it can
    /// refute.
    Suspected,
}

/// All members that one process knows, without itself.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<HostId, MemberEntry>,
    tags: HashMap<MemberTag, Option<HostId>>,
    tombstones: BTreeMap<HostId, MemberRecord>,
    tombstone_order: VecDeque<HostId>,
}

impl MemberTable {
    /// All entries, dead members included, in order of id.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Entries of members that are alive or suspect.
    pub fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries().filter(|entry| entry.record.is_present())
    }

    /// The entry of a member.
    #[must_use]
    pub fn get(&self, id: &HostId) -> Option<&MemberEntry> {
        self.entries.get(id)
    }

    /// Applies a record if it is newer than the known one.
    pub fn apply(&mut self, record: &MemberRecord, now: Timestamp) -> ApplyOutcome {
        match self.entries.get(&record.id) {
            Some(known) if known.record.version >= record.version => ApplyOutcome::Stale,
            Some(known) if is_death(&known.record, record) => self.apply_suspicion(record, now),
            Some(_) => self.replace(record, now),
            None if self.has_newer_tombstone(record) => ApplyOutcome::Tombstoned,
            None if self.is_not_accepted(record) => ApplyOutcome::Stale,
            None => self.replace(record, now),
        }
    }

    fn has_newer_tombstone(&self, record: &MemberRecord) -> bool {
        record.is_present()
            && self.tombstones.get(&record.id).is_some_and(|last| last.version >= record.version)
    }

    fn is_not_accepted(&self, record: &MemberRecord) -> bool {
        !record.is_present() || self.entries.len() >= MAX_MEMBERS
    }

    /// The last known record of a member, or its tombstone.
    #[must_use]
    pub fn last_record(&self, id: &HostId) -> Option<&MemberRecord> {
        self.entries.get(id).map(|entry| &entry.record).or_else(|| self.tombstones.get(id))
    }

    /// Applies a death that others declared as a suspicion, so that the member has the full
    /// suspicion time to refute here too. A member that is suspect already is declared dead only by
    /// this process's own timer.
    fn apply_suspicion(&mut self, record: &MemberRecord, now: Timestamp) -> ApplyOutcome {
        let mut suspected = record.clone();
        suspected.version.liveness = Liveness::Suspect;
        let known = self.entries.get(&record.id);
        if known.is_some_and(|known| known.record.version >= suspected.version) {
            return ApplyOutcome::Stale;
        }
        self.replace(&suspected, now);
        ApplyOutcome::Suspected
    }

    fn replace(&mut self, record: &MemberRecord, now: Timestamp) -> ApplyOutcome {
        let known = self.entries.get(&record.id);
        let same_process =
            |known: &&MemberEntry| known.record.version.incarnation == record.version.incarnation;
        let revision = known.filter(same_process).map_or(Revision::default(), |k| k.revision);
        let is_new_tag = known.filter(same_process).is_none();
        if let Some(old) = known.filter(|_| is_new_tag) {
            let old = old.record.tag();
            self.drop_tag(old, &record.id);
        }
        if is_new_tag {
            self.add_tag(record);
        }
        let entry = MemberEntry { record: record.clone(), revision, since: now };
        self.entries.insert(record.id.clone(), entry);
        ApplyOutcome::Applied
    }

    fn add_tag(&mut self, record: &MemberRecord) {
        let owner = self.tags.entry(record.tag()).or_insert_with(|| Some(record.id.clone()));
        if owner.as_ref() != Some(&record.id) {
            *owner = None;
        }
    }

    fn drop_tag(&mut self, tag: MemberTag, id: &HostId) {
        if self.tags.get(&tag).is_some_and(|owner| owner.as_ref() == Some(id)) {
            self.tags.remove(&tag);
        }
    }

    /// Records the revision that a member has in force. Returns whether it was newer.
    pub fn update_revision(&mut self, tag: MemberTag, revision: Revision) -> bool {
        let Some(Some(id)) = self.tags.get(&tag) else { return false };
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if entry.record.tag() != tag || entry.revision >= revision {
            return false;
        }
        entry.revision = revision;
        true
    }

    /// Marks an alive member as suspect. Returns the record to gossip.
    pub fn mark_suspect(&mut self, id: &HostId, now: Timestamp) -> Option<MemberRecord> {
        self.advance(id, Liveness::Alive, Liveness::Suspect, now)
    }

    fn advance(
        &mut self,
        id: &HostId,
        from: Liveness,
        to: Liveness,
        now: Timestamp,
    ) -> Option<MemberRecord> {
        let entry = self.entries.get_mut(id)?;
        if entry.record.version.liveness != from {
            return None;
        }
        entry.record.version.liveness = to;
        entry.since = now;
        Some(entry.record.clone())
    }

    /// Declares members dead that have been suspect for `suspicion` or longer. Returns the records
    /// to gossip.
    pub fn expire_suspects(&mut self, suspicion: Duration, now: Timestamp) -> Vec<MemberRecord> {
        let late = |entry: &&MemberEntry| {
            entry.record.version.liveness == Liveness::Suspect
                && now.since(entry.since) >= suspicion
        };
        let ids: Vec<HostId> =
            self.entries().filter(late).map(|entry| entry.record.id.clone()).collect();
        ids.iter()
            .filter_map(|id| self.advance(id, Liveness::Suspect, Liveness::Dead, now))
            .collect()
    }

    /// Restarts the timer of every suspect, because this process was paused and received nothing
    /// meanwhile.
    pub fn extend_suspicions(&mut self, now: Timestamp) {
        for entry in self.entries.values_mut() {
            if entry.record.version.liveness == Liveness::Suspect {
                entry.since = now;
            }
        }
    }

    /// Removes members that have been dead or gone for `dead_retention`. The last record of each is
    /// kept as a tombstone, so that no older record brings it back.
    pub fn remove_dead(&mut self, dead_retention: Duration, now: Timestamp) {
        let old = |entry: &&MemberEntry| {
            !entry.record.is_present() && now.since(entry.since) >= dead_retention
        };
        let records: Vec<MemberRecord> =
            self.entries().filter(old).map(|entry| entry.record.clone()).collect();
        for record in records {
            self.entries.remove(&record.id);
            self.drop_tag(record.tag(), &record.id);
            self.add_tombstone(&record);
        }
    }

    fn add_tombstone(&mut self, record: &MemberRecord) {
        if self.tombstones.insert(record.id.clone(), record.clone()).is_none() {
            self.tombstone_order.push_back(record.id.clone());
        }
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        if let Some(oldest) = self.tombstone_order.pop_front() {
            self.tombstones.remove(&oldest);
        }
    }
}

/// Whether `record` declares a member dead that is present here. A member's own announcement that
/// it left does not count: it is applied at once.
fn is_death(known: &MemberRecord, record: &MemberRecord) -> bool {
    known.is_present()
        && known.version.incarnation == record.version.incarnation
        && record.version.liveness == Liveness::Dead
}
