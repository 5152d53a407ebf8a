//! What one process knows of the others, and which record wins.

use crate::ids::{HostId, Revision};
use crate::membership::config::{MAX_MEMBERS, MAX_TOMBSTONES};
use crate::membership::record::{Liveness, MemberRecord, MemberTag};
use crate::units::Timestamp;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// One member as this process knows it.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The newest record.
    pub record: MemberRecord,
    /// The revision that its incarnation last said to have in force.
    pub revision: Revision,
    /// When the standing changed here.
    pub since: Timestamp,
}

/// What became of a record that was offered to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is not newer than what is known.
    Stale,
    /// Its member was forgotten as dead, and the record is no newer than its last one.
    Buried,
    /// It was taken as it is.
    Taken,
    /// It said that a living member is dead; the member is suspected first, so that it can
    /// refute.
    Suspected,
}

/// What one process knows of the others.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<HostId, MemberEntry>,
    tags: HashMap<MemberTag, Option<HostId>>,
    floors: BTreeMap<HostId, MemberRecord>,
    floor_order: VecDeque<HostId>,
}

impl MemberTable {
    /// Every entry, in order of id, the dead included.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Entries of members that may still answer.
    pub fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries().filter(|entry| entry.record.is_present())
    }

    /// One entry.
    #[must_use]
    pub fn get(&self, id: &HostId) -> Option<&MemberEntry> {
        self.entries.get(id)
    }

    /// Takes a record if it is newer than what is known.
    pub fn offer(&mut self, record: &MemberRecord, now: Timestamp) -> Offered {
        match self.entries.get(&record.id) {
            Some(known) if known.record.version >= record.version => Offered::Stale,
            Some(known) if kills(&known.record, record) => self.doubt(record, now),
            Some(_) => self.take(record, now),
            None if self.is_buried(record) => Offered::Buried,
            None if self.is_unwanted(record) => Offered::Stale,
            None => self.take(record, now),
        }
    }

    fn is_buried(&self, record: &MemberRecord) -> bool {
        record.is_present()
            && self.floors.get(&record.id).is_some_and(|last| last.version >= record.version)
    }

    fn is_unwanted(&self, record: &MemberRecord) -> bool {
        !record.is_present() || self.entries.len() >= MAX_MEMBERS
    }

    /// The last record of a member, also when it was forgotten.
    #[must_use]
    pub fn last_record(&self, id: &HostId) -> Option<&MemberRecord> {
        self.entries.get(id).map(|entry| &entry.record).or_else(|| self.floors.get(id))
    }

    /// Takes a death that others declared as a suspicion, so that the member has its full time
    /// to refute here too. One that is suspected already dies by this process's own time.
    fn doubt(&mut self, record: &MemberRecord, now: Timestamp) -> Offered {
        let mut suspected = record.clone();
        suspected.version.liveness = Liveness::Suspect;
        let known = self.entries.get(&record.id);
        if known.is_some_and(|known| known.record.version >= suspected.version) {
            return Offered::Stale;
        }
        self.take(&suspected, now);
        Offered::Suspected
    }

    fn take(&mut self, record: &MemberRecord, now: Timestamp) -> Offered {
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
        Offered::Taken
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

    /// Notes the revision that a member has in force. Returns whether it was news.
    pub fn note_revision(&mut self, tag: MemberTag, revision: Revision) -> bool {
        let Some(Some(id)) = self.tags.get(&tag) else { return false };
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if entry.record.tag() != tag || entry.revision >= revision {
            return false;
        }
        entry.revision = revision;
        true
    }

    /// Marks an alive member as suspect. Returns the record to spread.
    pub fn suspect(&mut self, id: &HostId, now: Timestamp) -> Option<MemberRecord> {
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

    /// Declares the members dead whose suspicion is older than `suspicion`. Returns the
    /// records to spread.
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

    /// Gives every suspect more time: this process was paused and heard nobody meanwhile.
    pub fn extend_suspicions(&mut self, now: Timestamp) {
        for entry in self.entries.values_mut() {
            if entry.record.version.liveness == Liveness::Suspect {
                entry.since = now;
            }
        }
    }

    /// Drops the records of members that have been dead for `forget_after`; of each only its
    /// last record is kept, so that no older record brings it back.
    pub fn forget(&mut self, forget_after: Duration, now: Timestamp) {
        let old = |entry: &&MemberEntry| {
            !entry.record.is_present() && now.since(entry.since) >= forget_after
        };
        let records: Vec<MemberRecord> =
            self.entries().filter(old).map(|entry| entry.record.clone()).collect();
        for record in records {
            self.entries.remove(&record.id);
            self.drop_tag(record.tag(), &record.id);
            self.keep_floor(&record);
        }
    }

    fn keep_floor(&mut self, record: &MemberRecord) {
        if self.floors.insert(record.id.clone(), record.clone()).is_none() {
            self.floor_order.push_back(record.id.clone());
        }
        if self.floors.len() <= MAX_TOMBSTONES {
            return;
        }
        if let Some(oldest) = self.floor_order.pop_front() {
            self.floors.remove(&oldest);
        }
    }
}

/// Whether `record` says that a member is dead which is held to be present here. A member
/// that said itself that it left is believed.
fn kills(known: &MemberRecord, record: &MemberRecord) -> bool {
    known.is_present()
        && known.version.incarnation == record.version.incarnation
        && record.version.liveness == Liveness::Dead
}
