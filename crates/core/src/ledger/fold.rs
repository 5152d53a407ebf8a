//! Usage totals over deduplicated records.

use crate::ids::{AccountName, RequestId};
use crate::units::{Money, Timestamp};
use crate::usage::{UsageRecord, UsedItem};
use crate::versioned::{VersionedError, decode, encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Usage of one item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSum {
    /// Requests.
    pub requests: u64,
    /// Tokens of the prompts.
    pub tokens_in: u64,
    /// Tokens of the answers.
    pub tokens_out: u64,
    /// Amount billed to the client account.
    pub billed: Money,
    /// Cost of the upstreams.
    pub upstream_cost: Money,
}

impl UsageSum {
    /// Adds one record.
    pub fn add_record(&mut self, record: &UsageRecord) {
        self.requests += 1;
        self.tokens_in += u64::from(record.tokens_in.get());
        self.tokens_out += u64::from(record.tokens_out.get());
        self.billed += record.billed;
        self.upstream_cost += record.upstream_cost;
    }

    /// Adds another sum.
    pub fn add_sum(&mut self, other: &Self) {
        self.requests += other.requests;
        self.tokens_in += other.tokens_in;
        self.tokens_out += other.tokens_out;
        self.billed += other.billed;
        self.upstream_cost += other.upstream_cost;
    }
}

/// Sums per item.
pub type ItemSums = BTreeMap<UsedItem, UsageSum>;

/// Row of a closed window: totals per client account, and the object that holds the records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldRow {
    /// Sums per client account and item.
    pub sums: BTreeMap<AccountName, ItemSums>,
    /// Name of the object that holds the records.
    pub detail: Arc<str>,
}

const ROW_VERSION: u8 = 1;

impl FoldRow {
    /// Sums up deduplicated `records`, which are stored in the object `detail`.
    #[must_use]
    pub fn new(records: &RecordSet, detail: &str) -> Self {
        let mut sums: BTreeMap<AccountName, ItemSums> = BTreeMap::new();
        for record in records.iter() {
            let items = sums.entry(record.account.clone()).or_default();
            items.entry(record.item.clone()).or_default().add_record(record);
        }
        Self { sums, detail: Arc::from(detail) }
    }

    /// The row as it is stored.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(ROW_VERSION, self)
    }

    /// Reads a stored row.
    ///
    /// # Errors
    ///
    /// [`VersionedError`] when the bytes are not a row of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, VersionedError> {
        decode(ROW_VERSION, bytes)
    }
}

/// Set of records, deduplicated by client account and request.
#[derive(Clone, Debug, Default)]
pub struct RecordSet {
    records: BTreeMap<(AccountName, RequestId), UsageRecord>,
}

impl RecordSet {
    /// An empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record unless its request is in the set. Returns whether it was added.
    pub fn insert(&mut self, record: UsageRecord) -> bool {
        let identity = (record.account.clone(), record.request);
        let new = !self.records.contains_key(&identity);
        if new {
            self.records.insert(identity, record);
        }
        new
    }

    /// The records in order of client account and request.
    pub fn iter(&self) -> impl Iterator<Item = &UsageRecord> {
        self.records.values()
    }

    /// The number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The records as a list.
    #[must_use]
    pub fn into_records(self) -> Vec<UsageRecord> {
        self.records.into_values().collect()
    }
}

/// One line of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementLine {
    /// The item.
    pub item: UsedItem,
    /// Usage of the item.
    pub sum: UsageSum,
}

/// What a client account owes for the requests created in a period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The client account.
    pub account: AccountName,
    /// Start of the period, inclusive.
    pub from: Timestamp,
    /// End of the period, exclusive.
    pub to: Timestamp,
    /// Lines in order of item.
    pub lines: Vec<StatementLine>,
    /// Sum over all lines.
    pub total: UsageSum,
}

impl Statement {
    /// Creates a statement from sums per item.
    #[must_use]
    pub fn new(account: AccountName, (from, to): (Timestamp, Timestamp), sums: ItemSums) -> Self {
        let mut total = UsageSum::default();
        sums.values().for_each(|sum| total.add_sum(sum));
        let lines = sums.into_iter().map(|(item, sum)| StatementLine { item, sum }).collect();
        Self { account, from, to, lines, total }
    }
}
