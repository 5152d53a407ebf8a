//! This process's shares of client accounts' rate limits, and its estimates of quality.

use oleander_core::ids::AccountName;
use oleander_core::quality::QualityTable;
use std::sync::Arc;

/// The share of a client account's rate limit that this process may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountShare {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Burst size: requests that may exceed the rate at once.
    pub burst: f64,
}

/// Splits client accounts' rate limits over all entries, without a store write per request.
pub trait SharePort: Send + Sync {
    /// The current share of an account; `None` when the account is not in the catalog.
    fn share(&self, account: &AccountName) -> Option<AccountShare>;

    /// Counts a request of an account that asked for admission, whether admitted or not.
    fn record_demand(&self, account: &AccountName);
}

/// Quality estimates, aggregated over the whole system.
pub trait QualityPort: Send + Sync {
    /// The latest estimates; empty until the first ones arrive.
    fn estimates(&self) -> Arc<QualityTable>;
}
