//! Limits retries to a share of first attempts, so that a failing pool is not overloaded.

/// Default reserve of a [`RetryBudget`], in retries.
pub const DEFAULT_RETRY_RESERVE: f64 = 10.0;

/// Retry budget of one pool or one client account. Its balance is counted in retries and can be
/// fractional. Every first attempt adds the share, a fraction of a retry, until the balance reaches
/// the reserve, its maximum. A retry or a hedge needs a balance of at least 1.0 and consumes 1.0.
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
    /// A budget with a balance of 0.0 and the default reserve, to which each first attempt adds
    /// `share` of a retry.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, reserve: DEFAULT_RETRY_RESERVE, balance: 0.0 }
    }

    /// Sets the reserve, the maximum balance; a higher balance is reduced to it.
    #[must_use]
    pub const fn with_reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self.balance = self.balance.min(reserve);
        self
    }

    /// Sets the initial balance, at most the reserve set so far. It lets this host exceed the share
    /// after its start, so that its first requests can be retried too.
    #[must_use]
    pub const fn with_balance(mut self, balance: f64) -> Self {
        self.balance = balance.min(self.reserve);
        self
    }

    /// Updates the share, e.g. after a catalog change.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds the share to the balance for a first attempt, up to the reserve.
    pub const fn record_attempt(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Consumes one retry; `false` when the balance is below 1.0.
    pub const fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// The current balance.
    #[must_use]
    pub const fn balance(&self) -> f64 {
        self.balance
    }
}
