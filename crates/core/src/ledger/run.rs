//! Groups of records, the unit of replication, and runs of groups, the unit of flushing.

use super::packed;
use super::shard::{ShardId, WindowId};
use crate::ids::{AccountName, RequestId, Sequence};
use crate::usage::{StoredOutcome, UsageRecord, UsedItem};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum size of a packed batch in one row, in bytes; below the table's limit for a value.
pub const MAX_PACKED_BYTES: usize = 200 * 1024;
/// Size from which no further group is added to a run, in bytes; below the limit of one call.
pub const MAX_RUN_BYTES: usize = 2 * 1024 * 1024;
/// Size of a record without its texts and outcome, in bytes, as counted against the backlog limit.
pub const RECORD_BYTES: usize = 160;

/// Records that are replicated together. Immutable once it has a sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldGroup {
    /// Sequence number within the incarnation of the origin.
    pub sequence: Sequence,
    /// The records.
    pub records: Vec<UsageRecord>,
}

impl HeldGroup {
    /// Size as counted against the backlog limit, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.records.iter().map(record_bytes).sum()
    }
}

/// Size of a record as counted against the backlog limit, in bytes.
#[must_use]
pub fn record_bytes(record: &UsageRecord) -> usize {
    let item = match &record.item {
        UsedItem::Version(name) => name.as_str().len(),
        UsedItem::Operation(text) => text.len(),
    };
    let outcome = record.outcome.as_ref().map_or(0, outcome_bytes);
    RECORD_BYTES + record.account.as_str().len() + item + outcome
}

fn outcome_bytes(outcome: &StoredOutcome) -> usize {
    RECORD_BYTES + outcome.key.as_str().len() + outcome.content_type.len() + outcome.body.len()
}

/// Outcome of a non-idempotent request, to be written to the row of its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledOutcome {
    /// The client account.
    pub account: AccountName,
    /// The request that holds the claim.
    pub request: RequestId,
    /// The outcome.
    pub outcome: StoredOutcome,
}

/// One batch: the records of one shard and window, packed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchRow {
    /// The shard.
    pub shard: ShardId,
    /// The window.
    pub window: WindowId,
    /// The records.
    pub packed: Vec<u8>,
    /// Outcomes to write together with the records.
    pub outcomes: Vec<SettledOutcome>,
}

/// Packed groups that are written to the table together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRun {
    /// Sequence number of the first group.
    pub first: Sequence,
    /// Sequence number of the last group.
    pub last: Sequence,
    /// The batches, in order of shard and window.
    pub rows: Vec<BatchRow>,
}

impl HeldRun {
    /// Packs groups into a run. `None` when `groups` is empty.
    #[must_use]
    pub fn seal(groups: &[HeldGroup]) -> Option<Self> {
        let (first, last) = (groups.first()?.sequence, groups.last()?.sequence);
        let mut records_by_place: BTreeMap<(ShardId, WindowId), Vec<UsageRecord>> = BTreeMap::new();
        for record in groups.iter().flat_map(|group| &group.records) {
            let place = (ShardId::of(&record.account), WindowId::of(record.request));
            records_by_place.entry(place).or_default().push(record.clone());
        }
        let mut rows = Vec::new();
        for (place, records) in records_by_place {
            pack_rows(place, &records, &mut rows);
        }
        Some(Self { first, last, rows })
    }

    /// Size as counted against the backlog limit, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let outcomes = |row: &BatchRow| {
            let sizes = row.outcomes.iter().map(|settled| outcome_bytes(&settled.outcome));
            sizes.sum::<usize>()
        };
        self.rows.iter().map(|row| RECORD_BYTES + row.packed.len() + outcomes(row)).sum()
    }
}

fn pack_rows(place: (ShardId, WindowId), records: &[UsageRecord], rows: &mut Vec<BatchRow>) {
    let packed = packed::pack(records);
    if packed.len() > MAX_PACKED_BYTES && records.len() > 1 {
        let (left, right) = records.split_at(records.len() / 2);
        pack_rows(place, left, rows);
        pack_rows(place, right, rows);
        return;
    }
    let outcomes = records.iter().filter_map(|record| {
        let outcome = record.outcome.clone()?;
        Some(SettledOutcome { account: record.account.clone(), request: record.request, outcome })
    });
    let outcomes = outcomes.collect();
    rows.push(BatchRow { shard: place.0, window: place.1, packed, outcomes });
}
