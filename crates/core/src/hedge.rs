//! A second attempt while the first is still silent.

use crate::retry_budget::RetryBudget;
use std::time::Duration;

/// What to do about an attempt that has not sent its first token yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Start a second attempt elsewhere; the budget has been charged.
    Start,
    /// Look again after this time.
    Wait(Duration),
    /// Never hedge this attempt.
    Never,
}

/// When an attempt is hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgePolicy {
    after: Duration,
}

impl HedgePolicy {
    /// Hedges an attempt that is silent for `after`; use the 95th percentile of the time to
    /// the first token.
    #[must_use]
    pub const fn new(after: Duration) -> Self {
        Self { after }
    }

    /// Decides for an attempt that has been silent for `silent` with `left` until its deadline
    /// and `needed` for a whole answer from elsewhere. Work that is not idempotent is never
    /// hedged; neither is what could not finish in time.
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
        if let Some(wait) = self.after.checked_sub(silent).filter(|wait| !wait.is_zero()) {
            return HedgeDecision::Wait(wait);
        }
        if budget.try_spend() { HedgeDecision::Start } else { HedgeDecision::Never }
    }
}
