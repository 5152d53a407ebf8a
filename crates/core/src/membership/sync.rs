//! Anti-entropy sync: two tables are compared by digests, so that only differences are sent.

use crate::membership::message::{GossipUpdates, RevisionReport, SyncDigest};
use crate::membership::record::{MemberRecord, combine, fold, id_hash};
use crate::membership::rumors::RumorTable;
use crate::membership::table::{MemberEntry, MemberTable};

/// Number of buckets that members are hashed into by id.
pub const SYNC_BUCKETS: usize = 32;

fn bucket_of(record: &MemberRecord) -> usize {
    (id_hash(record.id.as_str()) % SYNC_BUCKETS as u64) as usize
}

/// Digest of everything that is synced. Dead members are left out: a process that has removed
/// them already would differ otherwise.
#[must_use]
pub fn digest(me: &MemberEntry, table: &MemberTable, rumors: &RumorTable) -> SyncDigest {
    let mut buckets = vec![0u64; SYNC_BUCKETS];
    let mut revisions = 0u64;
    for entry in table.present().chain([me]) {
        let bucket = &mut buckets[bucket_of(&entry.record)];
        *bucket = bucket.wrapping_add(record_hash(&entry.record));
        revisions = revisions.wrapping_add(revision_hash(entry));
    }
    SyncDigest {
        buckets: buckets.into_iter().map(fold).collect(),
        rumors: rumors.digest(),
        revisions: fold(revisions),
    }
}

fn record_hash(record: &MemberRecord) -> u64 {
    let version = &record.version;
    let name_hash = combine(id_hash(record.id.as_str()), version.incarnation.get());
    combine(combine(name_hash, u64::from(version.refutation)), version.liveness as u64)
}

fn revision_hash(entry: &MemberEntry) -> u64 {
    let name_hash = id_hash(entry.record.id.as_str());
    combine(combine(name_hash, entry.record.version.incarnation.get()), entry.revision.get())
}

/// The entries of this process where its digest differs from `theirs`.
#[must_use]
pub fn difference(
    me: &MemberEntry,
    table: &MemberTable,
    rumors: &RumorTable,
    theirs: &SyncDigest,
) -> GossipUpdates {
    let mine = digest(me, table, rumors);
    let differs = |record: &MemberRecord| {
        let bucket = bucket_of(record);
        theirs.buckets.get(bucket) != mine.buckets.get(bucket)
    };
    let entries = || table.entries().chain([me]);
    let mut updates = GossipUpdates::default();
    let records = entries().map(|entry| &entry.record).filter(|record| differs(record));
    updates.records = records.cloned().collect();
    if theirs.rumors != mine.rumors {
        updates.rumors = rumors.known();
    }
    if theirs.revisions != mine.revisions {
        let present = entries().filter(|entry| entry.record.is_present());
        updates.revisions = present.map(report).collect();
    }
    updates
}

fn report(entry: &MemberEntry) -> RevisionReport {
    RevisionReport { tag: entry.record.tag(), revision: entry.revision }
}
