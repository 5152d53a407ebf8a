//! The history of a run, in order of time.

use crate::event::{HistoryEvent, SeenEvent};
use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A line that does not parse as an event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: not an event: {message}")]
pub struct HistoryError {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line number, starting at 1.
    pub line: usize,
    /// The parse error.
    pub message: String,
}

/// Events in order of time. Events with equal times keep the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The events.
    pub events: Vec<HistoryEvent>,
}

impl History {
    /// Sorts `events` by time.
    #[must_use]
    pub fn new(mut events: Vec<HistoryEvent>) -> Self {
        events.sort_by_key(|event| event.at);
        Self { events }
    }

    /// Parses JSON lines of several files, as pairs of name and text.
    ///
    /// # Errors
    ///
    /// One error per line that does not parse as an event.
    pub fn parse(files: &[(Arc<str>, String)]) -> Result<Self, Vec<HistoryError>> {
        let (mut events, mut errors) = (Vec::new(), Vec::new());
        for (file, text) in files {
            let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
            for (index, line) in lines {
                match serde_json::from_str(line) {
                    Ok(event) => events.push(event),
                    Err(error) => errors.push(HistoryError {
                        file: Arc::clone(file),
                        line: index + 1,
                        message: error.to_string(),
                    }),
                }
            }
        }
        if errors.is_empty() { Ok(Self::new(events)) } else { Err(errors) }
    }

    /// The client account of each request, from the first event that has it.
    #[must_use]
    pub fn accounts(&self) -> BTreeMap<RequestId, AccountName> {
        let mut accounts = BTreeMap::new();
        for event in &self.events {
            let (SeenEvent::Admitted { account, request, .. }
            | SeenEvent::Answered { account, request, repeat: false, .. }) = &event.seen
            else {
                continue;
            };
            accounts.entry(*request).or_insert_with(|| account.clone());
        }
        accounts
    }

    /// The idempotency key of each request that has one.
    #[must_use]
    pub fn keys(&self) -> BTreeMap<RequestId, IdempotencyKey> {
        let mut keys = BTreeMap::new();
        for event in &self.events {
            let (SeenEvent::Admitted { key: Some(key), request, .. }
            | SeenEvent::Answered { key: Some(key), request, repeat: false, .. }) = &event.seen
            else {
                continue;
            };
            keys.entry(*request).or_insert_with(|| key.clone());
        }
        keys
    }
}
