//! Claims of non-idempotent requests: the right to dispatch once per client account and key.
//!
//! One row per claim. Every change is a conditional write on the row as it was read, so these
//! functions decide and the table arbitrates. Nothing ever moves a claim from one request to
//! another, except out of [`ClaimState::Released`], which its own request wrote before it
//! dispatched anything.

use crate::ids::{AccountName, IdempotencyKey, RequestId};
use crate::units::Timestamp;
use crate::usage::StoredOutcome;
use crate::versioned::{VersionedError, decode, encode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Age at which a claim without an outcome is read as [`ClaimOutcome::OutcomeUnknown`]; longer
/// than any deadline of a request.
pub const CLAIM_OUTCOME_TIMEOUT: Duration = Duration::from_secs(600);

/// A claim of the right to dispatch one request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The client account.
    pub account: AccountName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// SHA-256 of operation and body; a repeat must have the same.
    pub body_digest: [u8; 32],
    /// The request that claims.
    pub request: RequestId,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// This request, and no other ever, may dispatch.
    Granted,
    /// Another request holds the claim and its outcome is not known yet.
    Held {
        /// The request that holds it.
        by: RequestId,
    },
    /// The work is done; this is its answer.
    Done(StoredOutcome),
    /// The work was dispatched and its outcome can no longer be known.
    OutcomeUnknown,
    /// The key was used with another body.
    KeyReused,
}

/// How far a claim got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Its request may have dispatched.
    Held,
    /// Its request gave it up and never dispatched.
    Released,
    /// Its request dispatched and cannot know the outcome.
    Unknown,
    /// The work is done.
    Done(StoredOutcome),
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request that claimed.
    pub request: RequestId,
    /// SHA-256 of operation and body.
    pub body_digest: [u8; 32],
    /// When the row was first written.
    pub claimed_at: Timestamp,
    /// How far the claim got.
    pub state: ClaimState,
}

const ROW_VERSION: u8 = 1;

impl ClaimRow {
    /// The row as it is stored.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(ROW_VERSION, self)
    }

    /// Reads a stored row.
    ///
    /// # Errors
    ///
    /// [`VersionedError`] when the bytes are no row of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, VersionedError> {
        decode(ROW_VERSION, bytes)
    }

    fn with_state(&self, state: ClaimState) -> Self {
        Self { state, ..self.clone() }
    }
}

/// Key of the row of a claim.
///
/// ```
/// use oleander_core::claim::claim_key;
///
/// let key = claim_key(&"north-van".parse().unwrap(), &"order-7".parse().unwrap());
/// assert_eq!(key, "claim/north-van/order-7");
/// ```
#[must_use]
pub fn claim_key(account: &AccountName, key: &IdempotencyKey) -> String {
    format!("claim/{account}/{key}")
}

/// What to do about a claim, given its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Nothing is written.
    Answer(ClaimOutcome),
    /// Nothing is written: the request gave this claim up before.
    AlreadyReleased,
    /// Write this row on the condition that the row is still as it was read; the claim is then
    /// granted.
    Write(ClaimRow),
}

/// Decides a claim.
#[must_use]
pub fn decide_claim(row: Option<&ClaimRow>, wanted: &ClaimRequest, now: Timestamp) -> ClaimStep {
    let Some(row) = row else {
        return ClaimStep::Write(held_row(wanted, now));
    };
    let own = row.request == wanted.request;
    match &row.state {
        ClaimState::Released if own => ClaimStep::AlreadyReleased,
        ClaimState::Released => ClaimStep::Write(held_row(wanted, now)),
        _ if row.body_digest != wanted.body_digest => ClaimStep::Answer(ClaimOutcome::KeyReused),
        ClaimState::Held if own => ClaimStep::Answer(ClaimOutcome::Granted),
        ClaimState::Held if now.since(row.claimed_at) >= CLAIM_OUTCOME_TIMEOUT => {
            ClaimStep::Answer(ClaimOutcome::OutcomeUnknown)
        }
        ClaimState::Held => ClaimStep::Answer(ClaimOutcome::Held { by: row.request }),
        ClaimState::Unknown => ClaimStep::Answer(ClaimOutcome::OutcomeUnknown),
        ClaimState::Done(outcome) => ClaimStep::Answer(ClaimOutcome::Done(outcome.clone())),
    }
}

/// The row that a claim writes.
#[must_use]
pub fn held_row(wanted: &ClaimRequest, now: Timestamp) -> ClaimRow {
    ClaimRow {
        request: wanted.request,
        body_digest: wanted.body_digest,
        claimed_at: now,
        state: ClaimState::Held,
    }
}

/// What to do about the end of a claim, given its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleStep {
    /// The row already says so.
    Settled,
    /// The claim belongs to another request or is past this change; nothing is written.
    Refused,
    /// Write this row on the condition that the row is still as it was read.
    Write(ClaimRow),
}

/// Decides a release. A row is left behind, so that a claim of the same request that is still
/// on its way cannot be granted later.
#[must_use]
pub fn decide_release(row: Option<&ClaimRow>, wanted: &ClaimRequest, now: Timestamp) -> SettleStep {
    let Some(row) = row else {
        return SettleStep::Write(held_row(wanted, now).with_state(ClaimState::Released));
    };
    if row.request != wanted.request {
        return SettleStep::Refused;
    }
    match row.state {
        ClaimState::Held => SettleStep::Write(row.with_state(ClaimState::Released)),
        ClaimState::Released => SettleStep::Settled,
        ClaimState::Unknown | ClaimState::Done(_) => SettleStep::Refused,
    }
}

/// Decides that the outcome of a dispatched claim cannot be known.
#[must_use]
pub fn decide_unknown(row: Option<&ClaimRow>, wanted: &ClaimRequest, now: Timestamp) -> SettleStep {
    let Some(row) = row else {
        return SettleStep::Write(held_row(wanted, now).with_state(ClaimState::Unknown));
    };
    if row.request != wanted.request {
        return SettleStep::Refused;
    }
    match row.state {
        ClaimState::Held => SettleStep::Write(row.with_state(ClaimState::Unknown)),
        ClaimState::Unknown | ClaimState::Done(_) => SettleStep::Settled,
        ClaimState::Released => SettleStep::Refused,
    }
}

/// Decides that the work of `request` is done with `outcome`.
#[must_use]
pub fn decide_done(
    row: Option<&ClaimRow>,
    request: RequestId,
    outcome: &StoredOutcome,
) -> SettleStep {
    let Some(row) = row else {
        return SettleStep::Refused;
    };
    if row.request != request {
        return SettleStep::Refused;
    }
    match row.state {
        ClaimState::Done(_) => SettleStep::Settled,
        _ => SettleStep::Write(row.with_state(ClaimState::Done(outcome.clone()))),
    }
}
