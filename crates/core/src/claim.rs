//! Claims of non-idempotent requests: permission to dispatch once per client account and key.
//!
//! Each claim is one row. Every change is a write that is conditional on the row as it was read:
//! these functions decide, and the table resolves conflicts. A claim never passes from one request
//! to another, except from [`ClaimState::Released`], which its own request wrote without having
//! dispatched anything.

use crate::ids::{AccountName, IdempotencyKey, RequestId};
use crate::units::Timestamp;
use crate::usage::StoredOutcome;
use crate::versioned::{VersionedError, decode, encode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Age from which a claim without an outcome is reported as [`ClaimOutcome::OutcomeUnknown`];
/// longer than any request deadline.
pub const CLAIM_OUTCOME_TIMEOUT: Duration = Duration::from_secs(600);

/// Request for the permission to dispatch once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The client account.
    pub account: AccountName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// SHA-256 of operation and body; a repeat must have the same digest.
    pub body_digest: [u8; 32],
    /// The claiming request.
    pub request: RequestId,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// This request may dispatch, and no other request ever may.
    Granted,
    /// Another request holds the claim and its outcome is not known yet.
    Held {
        /// The request that holds the claim.
        by: RequestId,
    },
    /// The operation completed with this outcome.
    Done(StoredOutcome),
    /// The operation may have been dispatched, and its outcome can no longer be determined.
    OutcomeUnknown,
    /// The key was used before with a different operation or body.
    KeyReused,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request holds the claim and may have dispatched.
    Held,
    /// The request released the claim and never dispatched.
    Released,
    /// The request dispatched, and its outcome cannot be determined.
    Unknown,
    /// The operation completed.
    Done(StoredOutcome),
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request that holds or held the claim.
    pub request: RequestId,
    /// SHA-256 of operation and body.
    pub body_digest: [u8; 32],
    /// When the row was first written.
    pub claimed_at: Timestamp,
    /// State of the claim.
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
    /// [`VersionedError`] when the bytes are not a row of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, VersionedError> {
        decode(ROW_VERSION, bytes)
    }

    fn with_state(&self, state: ClaimState) -> Self {
        Self { state, ..self.clone() }
    }
}

/// Row key of a claim.
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

/// Decision on a claim, given its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Answer without a write.
    Answer(ClaimOutcome),
    /// No write: the same request has released this claim before.
    AlreadyReleased,
    /// Write this row on the condition that the row has not changed since it was read; the claim
    /// is granted once the write is applied.
    Write(ClaimRow),
}

/// Decides on a claim.
#[must_use]
pub fn decide_claim(row: Option<&ClaimRow>, claim: &ClaimRequest, now: Timestamp) -> ClaimStep {
    let Some(row) = row else {
        return ClaimStep::Write(held_row(claim, now));
    };
    let own = row.request == claim.request;
    match &row.state {
        ClaimState::Released if own => ClaimStep::AlreadyReleased,
        ClaimState::Released => ClaimStep::Write(held_row(claim, now)),
        _ if row.body_digest != claim.body_digest => ClaimStep::Answer(ClaimOutcome::KeyReused),
        ClaimState::Held if own => ClaimStep::Answer(ClaimOutcome::Granted),
        ClaimState::Held if now.since(row.claimed_at) >= CLAIM_OUTCOME_TIMEOUT => {
            ClaimStep::Answer(ClaimOutcome::OutcomeUnknown)
        }
        ClaimState::Held => ClaimStep::Answer(ClaimOutcome::Held { by: row.request }),
        ClaimState::Unknown => ClaimStep::Answer(ClaimOutcome::OutcomeUnknown),
        ClaimState::Done(outcome) => ClaimStep::Answer(ClaimOutcome::Done(outcome.clone())),
    }
}

/// The row that a granted claim writes.
#[must_use]
pub fn held_row(claim: &ClaimRequest, now: Timestamp) -> ClaimRow {
    ClaimRow {
        request: claim.request,
        body_digest: claim.body_digest,
        claimed_at: now,
        state: ClaimState::Held,
    }
}

/// Decision on the end of a claim, given its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleStep {
    /// No write: the row already records the end of the claim.
    Settled,
    /// No write: there is no claim, it belongs to another request, or its state does not allow the
    /// change.
    Refused,
    /// Write this row on the condition that the row has not changed since it was read.
    Write(ClaimRow),
}

/// Decides on a release. It leaves a row behind, so that a delayed claim of the same request cannot
/// be granted later.
#[must_use]
pub fn decide_release(row: Option<&ClaimRow>, claim: &ClaimRequest, now: Timestamp) -> SettleStep {
    let Some(row) = row else {
        return SettleStep::Write(held_row(claim, now).with_state(ClaimState::Released));
    };
    if row.request != claim.request {
        return SettleStep::Refused;
    }
    match row.state {
        ClaimState::Held => SettleStep::Write(row.with_state(ClaimState::Released)),
        ClaimState::Released => SettleStep::Settled,
        ClaimState::Unknown | ClaimState::Done(_) => SettleStep::Refused,
    }
}

/// Decides on marking the outcome of a dispatched claim as unknown.
#[must_use]
pub fn decide_unknown(row: Option<&ClaimRow>, claim: &ClaimRequest, now: Timestamp) -> SettleStep {
    let Some(row) = row else {
        return SettleStep::Write(held_row(claim, now).with_state(ClaimState::Unknown));
    };
    if row.request != claim.request {
        return SettleStep::Refused;
    }
    match row.state {
        ClaimState::Held => SettleStep::Write(row.with_state(ClaimState::Unknown)),
        ClaimState::Unknown | ClaimState::Done(_) => SettleStep::Settled,
        ClaimState::Released => SettleStep::Refused,
    }
}

/// Decides on recording that `request` completed with `outcome`.
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
