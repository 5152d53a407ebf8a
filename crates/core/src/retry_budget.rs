//! Limits retries to a share of first attempts, so that a failing pool is not overloaded.

/// Maximum number of retries that can accumulate, regardless of the share.
pub const DEFAULT_RETRY_RESERVE: f64 = 10.0;

/// Retry budget of one pool or one client account. Every first attempt adds a share of a retry;
/// a retry or a hedge consumes one.
///
/// ```
/// use oleander_core::retry_budget::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.5).with_reserve(2.0);
/// assert!(!budget.try_spend());
/// budget.record_attempt();
/// budget.record_attempt();
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    balance: f64,
}

impl RetryBudget {
    /// An empty budget that grows by `share` of a retry with each first attempt.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, reserve: DEFAULT_RETRY_RESERVE, balance: 0.0 }
    }

    /// Sets the maximum number of retries that can accumulate.
    #[must_use]
    pub const fn with_reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self
    }

    /// Sets the initial number of retries, so that the first requests of a host that has just
    /// started can be retried too.
    #[must_use]
    pub const fn with_balance(mut self, balance: f64) -> Self {
        self.balance = balance.min(self.reserve);
        self
    }

    /// Updates the share, e.g. after a catalog change.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Records a first attempt.
    pub const fn record_attempt(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Consumes one retry; `false` when none is left.
    pub const fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Number of retries available now.
    #[must_use]
    pub const fn balance(&self) -> f64 {
        self.balance
    }
}
