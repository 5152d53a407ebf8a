//! Check whether a claimed request may still be sent, made just before its first byte.
//!
//! A host may be paused between its claim and its dispatch. When it resumes, its caller is gone
//! and no other process waits for the result, so the work must not run.

use crate::deadline::Deadline;
use crate::units::Timestamp;
use std::time::Duration;

/// Age of a claim above which its request is not sent.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(2);

/// Why a claimed request may no longer be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DispatchDenial {
    /// The host was paused after it claimed the request.
    #[error("this host was held up for {0:?} after it claimed the request")]
    ClaimTooOld(Duration),
    /// The deadline has passed.
    #[error("the deadline passed before the request was sent")]
    DeadlinePast,
}

/// Checks a claim that was requested at `claimed_at`.
///
/// # Errors
///
/// [`DispatchDenial`]; the claimer may then release the claim, because it sent nothing.
///
/// ```
/// use oleander_core::deadline::Deadline;
/// use oleander_core::dispatch_guard::may_dispatch;
/// use oleander_core::units::{Millis, Timestamp};
///
/// let claimed_at = Timestamp::from_millis(0);
/// let deadline = Deadline::new(claimed_at, Millis::new(5_000));
/// assert!(may_dispatch(claimed_at, deadline, Timestamp::from_millis(20)).is_ok());
/// assert!(may_dispatch(claimed_at, deadline, Timestamp::from_millis(2_001)).is_err());
/// ```
pub fn may_dispatch(
    claimed_at: Timestamp,
    deadline: Deadline,
    now: Timestamp,
) -> Result<(), DispatchDenial> {
    let age = now.since(claimed_at);
    if age > MAX_CLAIM_AGE {
        return Err(DispatchDenial::ClaimTooOld(age));
    }
    if deadline.is_past(now) {
        return Err(DispatchDenial::DeadlinePast);
    }
    Ok(())
}
