//! Histories of concurrent runs and checks over them.
//!
//! Callers, upstreams, hosts, operators and billing readers record their events with a
//! [`HistoryRecorder`]; [`check_history`] verifies every guarantee over the history of a run.

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
