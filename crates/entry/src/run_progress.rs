//! Progress of a run, and the refusals that depend on it.

use crate::attempt::AttemptFault;
use crate::refusal::Refusal;
use oleander_core::attempt_retry::FaultKind;
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::Money;
use std::time::Duration;

/// `Retry-After` when a pool has no upstream for the request or the attempts failed.
pub const POOL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Attempts, tokens and cost of a run so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunProgress {
    /// Number of attempts.
    pub attempts: u16,
    /// Whether an engine may have run any of the request.
    pub ran: bool,
    /// Tokens received from the version that is being tried.
    pub position: u32,
    /// Cost of all attempts.
    pub upstream_cost: Money,
}

/// Returns the run state for a refusal at this point.
pub const fn run_state(progress: &RunProgress) -> RunState {
    if progress.ran { RunState::Partial } else { RunState::NotRun }
}

/// Returns the refusal when the deadline has passed.
pub fn deadline_refusal(progress: &RunProgress) -> Refusal {
    let message = "the deadline passed before the answer was complete";
    Refusal::new(Reason::DeadlineExceeded, message).with_run(run_state(progress))
}

/// Returns the refusal when a failed attempt is not retried.
pub fn terminal_refusal(fault: &AttemptFault, progress: &RunProgress) -> Refusal {
    let (reason, retryable) = match fault.kind {
        FaultKind::Rejected => (Reason::BadRequest, false),
        FaultKind::NotRun => (Reason::Overloaded, true),
        FaultKind::Connect => (Reason::NoUpstream, true),
        _ => (Reason::UpstreamFault, true),
    };
    let refusal = Refusal::new(reason, fault.to_string()).with_run(run_state(progress));
    if retryable { refusal.with_retry_after(POOL_RETRY_AFTER) } else { refusal }
}
