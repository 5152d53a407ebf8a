//! One named check per guarantee of the system.

mod allowed_version;
mod at_most_once;
mod billed_once;
mod graceful_shutdown;
mod in_force;
mod leaving_upstream;
mod session_version;
mod true_refusal;
mod whole_answer;
mod withdrawn_version;

use crate::event::HistoryEvent;
use crate::history::History;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Time within which an accepted catalog must be in force on every host.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(5);
/// Time after which a leaving upstream must not receive new work.
pub const LEAVING_BOUND: Duration = Duration::from_secs(5);

/// Name of a check, which stands for one guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckName {
    /// A request runs only on a version that its client account allows.
    AllowedVersion,
    /// A withdrawn version receives no new work.
    WithdrawnVersion,
    /// All answers of a session come from one version.
    SessionVersion,
    /// Each request is billed exactly once to the client account that made it.
    BilledOnce,
    /// A caller receives the complete answer to its own request.
    WholeAnswer,
    /// A request that was refused as not run has not run.
    TrueRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving upstream receives no new work after a few seconds.
    LeavingUpstream,
    /// A graceful shutdown truncates no in-flight request.
    GracefulShutdown,
    /// An accepted catalog is in force everywhere within seconds and never reverts.
    InForce,
}

impl CheckName {
    /// All checks, in the order in which they are reported.
    pub const ALL: [Self; 10] = [
        Self::AllowedVersion,
        Self::WithdrawnVersion,
        Self::SessionVersion,
        Self::BilledOnce,
        Self::WholeAnswer,
        Self::TrueRefusal,
        Self::AtMostOnce,
        Self::LeavingUpstream,
        Self::GracefulShutdown,
        Self::InForce,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::AllowedVersion => "allowed_version",
            Self::WithdrawnVersion => "withdrawn_version",
            Self::SessionVersion => "session_version",
            Self::BilledOnce => "billed_once",
            Self::WholeAnswer => "whole_answer",
            Self::TrueRefusal => "true_refusal",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingUpstream => "leaving_upstream",
            Self::GracefulShutdown => "graceful_shutdown",
            Self::InForce => "in_force",
        }
    }
}

impl fmt::Display for CheckName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// One violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Description of the violation.
    pub message: String,
    /// The events that show the violation, in order.
    pub trace: Vec<HistoryEvent>,
}

/// The result of one check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReport {
    /// The check.
    pub check: CheckName,
    /// Number of events that the check examined; 0 means that nothing was tested.
    pub events: usize,
    /// Violations that were found.
    pub violations: Vec<Violation>,
}

impl CheckReport {
    fn new(check: CheckName) -> Self {
        Self { check, events: 0, violations: Vec::new() }
    }

    fn add_violation(&mut self, message: String, trace: &[&HistoryEvent]) {
        let trace = trace.iter().copied().cloned().collect();
        self.violations.push(Violation { message, trace });
    }
}

/// Runs every check over a history.
///
/// ```
/// use oleander_history::{History, check_history};
///
/// let reports = check_history(&History::default());
/// assert!(reports.iter().all(|report| report.violations.is_empty()));
/// ```
#[must_use]
pub fn check_history(history: &History) -> Vec<CheckReport> {
    CheckName::ALL.iter().map(|&check| run_check(history, check)).collect()
}

fn run_check(history: &History, check: CheckName) -> CheckReport {
    let mut report = CheckReport::new(check);
    match check {
        CheckName::AllowedVersion => allowed_version::check(history, &mut report),
        CheckName::WithdrawnVersion => withdrawn_version::check(history, &mut report),
        CheckName::SessionVersion => session_version::check(history, &mut report),
        CheckName::BilledOnce => billed_once::check(history, &mut report),
        CheckName::WholeAnswer => whole_answer::check(history, &mut report),
        CheckName::TrueRefusal => true_refusal::check(history, &mut report),
        CheckName::AtMostOnce => at_most_once::check(history, &mut report),
        CheckName::LeavingUpstream => leaving_upstream::check(history, &mut report),
        CheckName::GracefulShutdown => graceful_shutdown::check(history, &mut report),
        CheckName::InForce => in_force::check(history, &mut report),
    }
    report
}
