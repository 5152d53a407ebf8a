//! Call handlers of this process, one per channel.

use crate::counters::SharedCounters;
use crate::frame::ReplyOutcome;
use crate::limits::PeerLimits;
use arc_swap::ArcSwap;
use oleander_ports::peers::{MAX_PEER_BODY, PeerChannel, PeerError, PeerHandler};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// The call handlers by channel. At most [`PeerLimits::handlers`] calls run concurrently.
pub struct HandlerTable {
    handlers: ArcSwap<BTreeMap<PeerChannel, PeerHandler>>,
    running: Semaphore,
    timeout: Duration,
    counters: SharedCounters,
}

impl fmt::Debug for HandlerTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HandlerTable").finish_non_exhaustive()
    }
}

impl HandlerTable {
    /// Creates a table without handlers.
    #[must_use]
    pub fn new(limits: &PeerLimits, counters: SharedCounters) -> Self {
        Self {
            handlers: ArcSwap::default(),
            running: Semaphore::new(limits.handlers),
            timeout: limits.handler_timeout,
            counters,
        }
    }

    /// Sets the handler of a channel and replaces an earlier one.
    pub fn set(&self, channel: PeerChannel, handler: PeerHandler) {
        self.handlers.rcu(|known| {
            let mut handlers = BTreeMap::clone(known);
            handlers.insert(channel, Arc::clone(&handler));
            handlers
        });
    }

    /// Runs the handler of a channel for at most `wait`, and at most the handler timeout.
    pub async fn run(
        &self,
        channel: PeerChannel,
        body: Vec<u8>,
        wait: Duration,
    ) -> (ReplyOutcome, Vec<u8>) {
        let Ok(_permit) = self.running.try_acquire() else {
            self.counters.calls_shed.increment();
            return (ReplyOutcome::refused("too many calls are running"), Vec::new());
        };
        let Some(handler) = self.handlers.load().get(&channel).cloned() else {
            return (ReplyOutcome::refused("this process does not serve the channel"), Vec::new());
        };
        // A separate task, so that a panic in a handler ends only its own call.
        let task = tokio::spawn(tokio::time::timeout(wait.min(self.timeout), handler(body)));
        match task.await {
            Ok(Ok(Ok(reply))) if reply.len() > MAX_PEER_BODY => {
                (ReplyOutcome::unknown("the reply is too large"), Vec::new())
            }
            Ok(Ok(Ok(reply))) => (ReplyOutcome::Done, reply),
            Ok(Ok(Err(error))) => (outcome_of(&error), Vec::new()),
            Ok(Err(_)) => (ReplyOutcome::unknown("the handler took too long"), Vec::new()),
            Err(_) => (ReplyOutcome::unknown("the handler failed"), Vec::new()),
        }
    }
}

/// Maps the failure of a handler to the outcome for the caller: only a refusal guarantees that
/// the call had no effect.
fn outcome_of(error: &PeerError) -> ReplyOutcome {
    match error {
        PeerError::Refused(text) => ReplyOutcome::refused(text),
        PeerError::Unreachable(text) | PeerError::Unknown(text) => ReplyOutcome::unknown(text),
    }
}
