//! Hedging: a second attempt while the first has not answered yet.

use crate::retry_budget::RetryBudget;
use std::time::Duration;

/// What to do about an attempt whose first token has not arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Start a second attempt on another upstream; the budget has been charged already.
    Start,
    /// Decide again after this time.
    Wait(Duration),
    /// Never hedge this attempt.
    Never,
}

/// Decides when an attempt is hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgePolicy {
    delay: Duration,
}

impl HedgePolicy {
    /// Hedges an attempt that has been silent for `delay`; use the 95th percentile of the time
    /// to first token.
    #[must_use]
    pub const fn new(delay: Duration) -> Self {
        Self { delay }
    }

    /// Decides for an attempt that has been silent for `silent` with `left` until its deadline
    /// and `needed` for a complete answer from another upstream. A request that is not
    /// idempotent, or that could not finish in time, is never hedged.
    #[must_use]
    pub fn decide(
        &self,
        idempotent: bool,
        silent: Duration,
        left: Duration,
        needed: Duration,
        budget: &mut RetryBudget,
    ) -> HedgeDecision {
        if !idempotent || needed > left {
            return HedgeDecision::Never;
        }
        if let Some(wait) = self.delay.checked_sub(silent).filter(|wait| !wait.is_zero()) {
            return HedgeDecision::Wait(wait);
        }
        if budget.try_spend() { HedgeDecision::Start } else { HedgeDecision::Never }
    }
}
