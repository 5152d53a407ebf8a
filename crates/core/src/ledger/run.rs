//! Groups of records as they are replicated, and runs of groups as they are written.

use super::packed;
use super::shard::{ShardId, WindowId};
use crate::ids::{AccountName, RequestId, Sequence};
use crate::usage::{StoredOutcome, UsageRecord, UsedItem};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest packed batch of one row, in bytes; below the table's limit of one value.
pub const MAX_PACKED_BYTES: usize = 200 * 1024;
/// Size at which a run takes no further group, in bytes; below the limit of one call.
pub const MAX_RUN_BYTES: usize = 2 * 1024 * 1024;
/// What a record takes beside its texts and outcome, in bytes, for the backlog's bound.
pub const RECORD_BYTES: usize = 160;

/// Records that are replicated together. Fixed once it has its sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldGroup {
    /// Its number within the origin's incarnation.
    pub sequence: Sequence,
    /// The records.
    pub records: Vec<UsageRecord>,
}

impl HeldGroup {
    /// Size for the backlog's bound, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.records.iter().map(record_bytes).sum()
    }
}

/// Size of a record for the backlog's bound, in bytes.
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

/// The outcome of a non-idempotent request, to be written to the row of its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledOutcome {
    /// The client account.
    pub account: AccountName,
    /// The request that holds the claim.
    pub request: RequestId,
    /// Its outcome.
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
    /// Outcomes that are written with them.
    pub outcomes: Vec<SettledOutcome>,
}

/// Groups that are written to the table together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRun {
    /// Sequence of the first group.
    pub first: Sequence,
    /// Sequence of the last group.
    pub last: Sequence,
    /// The batches, in order of shard and window.
    pub rows: Vec<BatchRow>,
}

impl HeldRun {
    /// Packs groups. `None` when there are none.
    #[must_use]
    pub fn seal(groups: &[HeldGroup]) -> Option<Self> {
        let (first, last) = (groups.first()?.sequence, groups.last()?.sequence);
        let mut places: BTreeMap<(ShardId, WindowId), Vec<UsageRecord>> = BTreeMap::new();
        for record in groups.iter().flat_map(|group| &group.records) {
            let place = (ShardId::of(&record.account), WindowId::of(record.request));
            places.entry(place).or_default().push(record.clone());
        }
        let mut rows = Vec::new();
        for (place, records) in places {
            pack_rows(place, &records, &mut rows);
        }
        Some(Self { first, last, rows })
    }

    /// Size for the backlog's bound, in bytes.
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
