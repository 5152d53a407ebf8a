//! Compact encoding of usage records in rows, objects and memory.
//!
//! Names are written once per batch and records refer to them by index. The end time is written as
//! the offset from the creation of the request id.

use crate::ids::{AccountName, RequestId};
use crate::reason::RunState;
use crate::units::{Money, Timestamp, TokenCount};
use crate::usage::{UsageRecord, UsedItem};
use crate::versioned::{VersionedError, decode, encode};
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Version of the encoding; the first byte of every packed batch.
pub const PACKED_VERSION: u8 = 1;

const RANDOM_BYTES: usize = 10;
const RECORD_FIELDS: usize = 10;

#[derive(Serialize, Deserialize)]
struct PackedBatch {
    accounts: Vec<AccountName>,
    items: Vec<UsedItem>,
    records: Vec<PackedRecord>,
}

struct PackedRecord {
    created_at: u64,
    random: [u8; RANDOM_BYTES],
    account: u32,
    item: u32,
    run: RunState,
    tokens_in: u32,
    tokens_out: u32,
    billed: u64,
    upstream_cost: u64,
    took: u64,
}

impl Serialize for PackedRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(RECORD_FIELDS)?;
        tuple.serialize_element(&self.created_at)?;
        tuple.serialize_element(&self.random)?;
        tuple.serialize_element(&self.account)?;
        tuple.serialize_element(&self.item)?;
        tuple.serialize_element(&self.run)?;
        tuple.serialize_element(&self.tokens_in)?;
        tuple.serialize_element(&self.tokens_out)?;
        tuple.serialize_element(&self.billed)?;
        tuple.serialize_element(&self.upstream_cost)?;
        tuple.serialize_element(&self.took)?;
        tuple.end()
    }
}

struct RecordVisitor;

impl RecordVisitor {
    fn field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
        &self,
        fields: &mut A,
        index: usize,
    ) -> Result<T, A::Error> {
        fields.next_element()?.ok_or_else(|| de::Error::invalid_length(index, self))
    }
}

impl<'de> Visitor<'de> for RecordVisitor {
    type Value = PackedRecord;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a packed usage record")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<PackedRecord, A::Error> {
        Ok(PackedRecord {
            created_at: self.field(&mut fields, 0)?,
            random: self.field(&mut fields, 1)?,
            account: self.field(&mut fields, 2)?,
            item: self.field(&mut fields, 3)?,
            run: self.field(&mut fields, 4)?,
            tokens_in: self.field(&mut fields, 5)?,
            tokens_out: self.field(&mut fields, 6)?,
            billed: self.field(&mut fields, 7)?,
            upstream_cost: self.field(&mut fields, 8)?,
            took: self.field(&mut fields, 9)?,
        })
    }
}

impl<'de> Deserialize<'de> for PackedRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(RECORD_FIELDS, RecordVisitor)
    }
}

/// Packs records. Stored outcomes are left out, because they are written to the rows of their
/// claims.
///
/// ```
/// use oleander_core::ledger::packed::{pack, unpack};
///
/// assert!(unpack(&pack(&[])).unwrap().is_empty());
/// assert!(unpack(b"no batch").is_err());
/// ```
#[must_use]
pub fn pack(records: &[UsageRecord]) -> Vec<u8> {
    let mut accounts = NameTable::default();
    let mut items = NameTable::default();
    let packed = records.iter().map(|record| PackedRecord {
        created_at: record.request.created_at().as_millis(),
        random: random_bytes(record.request),
        account: accounts.number(&record.account),
        item: items.number(&record.item),
        run: record.run,
        tokens_in: record.tokens_in.get(),
        tokens_out: record.tokens_out.get(),
        billed: record.billed.as_micros(),
        upstream_cost: record.upstream_cost.as_micros(),
        took: record.ended_at.since(record.request.created_at()).as_millis() as u64,
    });
    let records = packed.collect();
    let batch = PackedBatch { accounts: accounts.names, items: items.names, records };
    encode(PACKED_VERSION, &batch)
}

/// Unpacks records.
///
/// # Errors
///
/// [`VersionedError`] when the bytes are not a packed batch of this version.
pub fn unpack(bytes: &[u8]) -> Result<Vec<UsageRecord>, VersionedError> {
    let batch: PackedBatch = decode(PACKED_VERSION, bytes)?;
    batch.records.iter().map(|record| unpack_record(&batch, record)).collect()
}

fn unpack_record(
    batch: &PackedBatch,
    record: &PackedRecord,
) -> Result<UsageRecord, VersionedError> {
    let account = batch.accounts.get(record.account as usize).ok_or(VersionedError::Damaged)?;
    let item = batch.items.get(record.item as usize).ok_or(VersionedError::Damaged)?;
    let created_at = Timestamp::from_millis(record.created_at);
    let ended_at = record.created_at.checked_add(record.took).ok_or(VersionedError::Damaged)?;
    Ok(UsageRecord {
        account: account.clone(),
        request: RequestId::new(created_at, random_number(record.random)),
        item: item.clone(),
        run: record.run,
        tokens_in: TokenCount::new(record.tokens_in),
        tokens_out: TokenCount::new(record.tokens_out),
        billed: Money::from_micros(record.billed),
        upstream_cost: Money::from_micros(record.upstream_cost),
        ended_at: Timestamp::from_millis(0) + Duration::from_millis(ended_at),
        outcome: None,
    })
}

fn random_bytes(request: RequestId) -> [u8; RANDOM_BYTES] {
    let mut bytes = [0; RANDOM_BYTES];
    bytes.copy_from_slice(&request.get().to_be_bytes()[16 - RANDOM_BYTES..]);
    bytes
}

fn random_number(random: [u8; RANDOM_BYTES]) -> u128 {
    let mut bytes = [0; 16];
    bytes[16 - RANDOM_BYTES..].copy_from_slice(&random);
    u128::from_be_bytes(bytes)
}

struct NameTable<T> {
    names: Vec<T>,
    numbers: HashMap<T, u32>,
}

impl<T> Default for NameTable<T> {
    fn default() -> Self {
        Self { names: Vec::new(), numbers: HashMap::new() }
    }
}

impl<T: Clone + Eq + std::hash::Hash> NameTable<T> {
    fn number(&mut self, name: &T) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), number);
        number
    }
}
