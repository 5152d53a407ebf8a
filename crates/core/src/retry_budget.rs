//! Retries as a share of first attempts, so that a failing pool is not buried in retries.

/// Retries that may be saved up, whatever the rate.
pub const DEFAULT_RETRY_RESERVE: f64 = 10.0;

/// Budget of retries of one pool or one client account. Every first attempt earns a share of
/// a retry; a retry spends one. Hedges spend from it too.
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
    /// An empty budget that earns `share` of a retry with each first attempt.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, reserve: DEFAULT_RETRY_RESERVE, balance: 0.0 }
    }

    /// Sets how many retries may be saved up.
    #[must_use]
    pub const fn with_reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self
    }

    /// Sets how many retries are saved up at the start, so that the first requests of a fresh
    /// host can be retried too.
    #[must_use]
    pub const fn with_balance(mut self, balance: f64) -> Self {
        self.balance = balance.min(self.reserve);
        self
    }

    /// Changes the share, as when the catalog changes.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Notes a first attempt.
    pub const fn record_attempt(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Spends one retry; `false` when the budget does not have one.
    pub const fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Retries that may be made now.
    #[must_use]
    pub const fn balance(&self) -> f64 {
        self.balance
    }
}
