//! How far a run got, and the refusals that follow from it.

use crate::attempt::AttemptFault;
use crate::refusal::Refusal;
use oleander_core::attempt_retry::FaultKind;
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::Money;
use std::time::Duration;

/// When a caller may come back to a pool that refused.
pub const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a run used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunProgress {
    /// Attempts that were sent.
    pub attempts: u16,
    /// Whether any byte was sent that an engine may have run.
    pub ran: bool,
    /// Tokens that came from the version that runs now.
    pub position: u32,
    /// What all attempts cost.
    pub upstream_cost: Money,
}

/// How far a request got.
pub const fn run_state(progress: &RunProgress) -> RunState {
    if progress.ran { RunState::Partial } else { RunState::NotRun }
}

/// The refusal when the deadline passed.
pub fn deadline_refusal(progress: &RunProgress) -> Refusal {
    let message = "the deadline passed before the answer was complete";
    Refusal::new(Reason::DeadlineExceeded, message).with_run(run_state(progress))
}

/// The refusal when no attempt follows a fault.
pub fn stop_refusal(fault: &AttemptFault, progress: &RunProgress) -> Refusal {
    let (reason, again) = match fault.kind {
        FaultKind::Rejected => (Reason::BadRequest, false),
        FaultKind::NotRun => (Reason::Overloaded, true),
        FaultKind::Connect => (Reason::NoUpstream, true),
        _ => (Reason::UpstreamFault, true),
    };
    let refusal = Refusal::new(reason, fault.to_string()).with_run(run_state(progress));
    if again { refusal.with_retry_after(FULL_RETRY_AFTER) } else { refusal }
}
