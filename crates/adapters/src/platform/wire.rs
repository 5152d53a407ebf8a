//! The JSON messages of the platform's services, and percent-encoding of text in URLs.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use oleander_core::ids::{UpstreamName, VersionName};
use oleander_ports::table::TransactionOutcome;
use oleander_ports::table::{RowCondition, RowWrite, TableRow, TableTransaction};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::sync::Arc;

/// Characters that are percent-encoded in a path segment or query value: all but the unreserved.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Percent-encodes text for a path segment or a query value.
///
/// ```
/// use oleander_adapters::platform::wire::{decode_text, encode_text};
///
/// assert_eq!(encode_text("catalog/head"), "catalog%2Fhead");
/// assert_eq!(decode_text("catalog%2Fhead").unwrap(), "catalog/head");
/// ```
#[must_use]
pub fn encode_text(text: &str) -> String {
    utf8_percent_encode(text, ENCODED).to_string()
}

/// Decodes a percent-encoded path segment or query value; `None` when it is not UTF-8.
#[must_use]
pub fn decode_text(text: &str) -> Option<String> {
    percent_decode_str(text).decode_utf8().ok().map(std::borrow::Cow::into_owned)
}

/// The decoded value of a query parameter; `None` when it is absent or not UTF-8.
#[must_use]
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()?;
    decode_text(found)
}

/// Bytes that are encoded as base64 text in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireBytes(pub Vec<u8>);

impl Serialize for WireBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for WireBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        STANDARD.decode(text.as_bytes()).map(Self).map_err(de::Error::custom)
    }
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: WireBytes,
    /// Version of the row.
    pub version: u64,
}

impl From<TableRow> for WireRow {
    fn from(row: TableRow) -> Self {
        Self { key: row.key, value: WireBytes(row.value), version: row.version }
    }
}

impl From<WireRow> for TableRow {
    fn from(row: WireRow) -> Self {
        Self { key: row.key, value: row.value.0, version: row.version }
    }
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireCondition {
    /// The row does not exist.
    Absent(Arc<str>),
    /// The row exists with this version.
    VersionIs(Arc<str>, u64),
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireWrite {
    /// Writes a row.
    Put(Arc<str>, WireBytes),
    /// Removes a row.
    Delete(Arc<str>),
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireTransaction {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<WireCondition>,
    /// Writes, applied atomically.
    pub writes: Vec<WireWrite>,
}

impl From<TableTransaction> for WireTransaction {
    fn from(transaction: TableTransaction) -> Self {
        let condition = |condition| match condition {
            RowCondition::Absent(key) => WireCondition::Absent(key),
            RowCondition::VersionIs(key, version) => WireCondition::VersionIs(key, version),
        };
        let write = |write| match write {
            RowWrite::Put(key, value) => WireWrite::Put(key, WireBytes(value)),
            RowWrite::Delete(key) => WireWrite::Delete(key),
        };
        Self {
            conditions: transaction.conditions.into_iter().map(condition).collect(),
            writes: transaction.writes.into_iter().map(write).collect(),
        }
    }
}

impl From<WireTransaction> for TableTransaction {
    fn from(transaction: WireTransaction) -> Self {
        let condition = |condition| match condition {
            WireCondition::Absent(key) => RowCondition::Absent(key),
            WireCondition::VersionIs(key, version) => RowCondition::VersionIs(key, version),
        };
        let write = |write| match write {
            WireWrite::Put(key, value) => RowWrite::Put(key, value.0),
            WireWrite::Delete(key) => RowWrite::Delete(key),
        };
        Self {
            conditions: transaction.conditions.into_iter().map(condition).collect(),
            writes: transaction.writes.into_iter().map(write).collect(),
        }
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum WireOutcome {
    /// Every condition held and every write was applied.
    Applied,
    /// Nothing was applied.
    Conflict {
        /// Indexes of the conditions that did not hold.
        failed: Vec<usize>,
    },
}

impl From<TransactionOutcome> for WireOutcome {
    fn from(outcome: TransactionOutcome) -> Self {
        match outcome {
            TransactionOutcome::Applied => Self::Applied,
            TransactionOutcome::Conflict(failed) => Self::Conflict { failed },
        }
    }
}

impl From<WireOutcome> for TransactionOutcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Applied => Self::Applied,
            WireOutcome::Conflict { failed } => Self::Conflict(failed),
        }
    }
}

/// Request to reserve one load of model weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireReserve {
    /// The upstream that loads.
    pub upstream: UpstreamName,
    /// The version to load.
    pub version: VersionName,
    /// Size of the weights, in megabytes.
    pub megabytes: u32,
}

/// Reply of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireGrant {
    /// Milliseconds after which to retry; absent when the load may start now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
