//! Records usage before the caller sees the end of an answer.

use crate::refusal::Refusal;
use crate::state::EntryState;
use oleander_core::reason::{Reason, RunState};
use oleander_core::usage::UsageRecord;
use oleander_ports::usage::UsageError;
use std::time::Duration;
use tracing::Instrument;

/// Attempts to record usage; each of them asks several ledgers.
const RECORD_ATTEMPTS: u32 = 3;
/// Timeout for recording usage, over all attempts.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between two attempts.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(150);
/// `Retry-After` when usage cannot be recorded.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Refuses new work while its usage could not be recorded.
///
/// # Errors
///
/// A refusal with [`Reason::LedgerUnavailable`].
pub fn check_usage_capacity(state: &EntryState) -> Result<(), Refusal> {
    if state.parts.usage.has_room() {
        return Ok(());
    }
    let message = "usage cannot be recorded safely now";
    Err(Refusal::new(Reason::LedgerUnavailable, message).with_retry_after(LEDGER_RETRY_AFTER))
}

/// Records usage; returns when the ledger has stored the record durably. A record that is sent
/// again counts once.
///
/// # Errors
///
/// A refusal with [`Reason::LedgerUnavailable`] and run state `done`.
pub async fn record_usage(state: &EntryState, record: UsageRecord) -> Result<(), Refusal> {
    let span = tracing::info_span!("ledger", request = %record.request);
    let recorded = async {
        let mut last_error = UsageError::Full;
        for attempt in 0..RECORD_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(RECORD_RETRY_DELAY).await;
            }
            match state.parts.usage.record(record.clone()).await {
                Ok(()) => return Ok(()),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    };
    let recorded = tokio::time::timeout(RECORD_TIMEOUT, recorded.instrument(span)).await;
    let timed_out =
        |_| Err(UsageError::NotHeld(format!("no ledger held it within {RECORD_TIMEOUT:?}")));
    recorded.unwrap_or_else(timed_out).map_err(|error| {
        log::error!("usage_not_held request={} {error}", record.request);
        Refusal::new(Reason::LedgerUnavailable, error.to_string())
            .with_run(RunState::Done)
            .with_retry_after(LEDGER_RETRY_AFTER)
    })
}
