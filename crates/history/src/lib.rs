//! Histories of concurrent runs and the checks over them.
//!
//! Callers, upstreams, hosts, operators and readers of statements each record what they saw in a
//! [`HistoryRecorder`]; [`check_history`] reads a whole run and verifies every promise.

#![warn(clippy::unwrap_used)]

pub mod checks;
pub mod digest;
pub mod event;
pub mod history;
pub mod recorder;

pub use checks::{CheckName, CheckReport, Violation, check_history};
pub use digest::text_digest;
pub use event::{HistoryEvent, SeenEvent};
pub use history::{History, HistoryError};
pub use recorder::HistoryRecorder;
