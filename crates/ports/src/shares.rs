//! Shares of client accounts' rates, and estimates of quality, as this process knows them.

use oleander_core::ids::AccountName;
use oleander_core::quality::QualityTable;
use std::sync::Arc;

/// The part of a client account's rate that this process may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountShare {
    /// Requests a second.
    pub requests_per_second: f64,
    /// Requests that may come at once above the rate.
    pub burst: f64,
}

/// Shares of client accounts' rates over all entries, without a write per request.
pub trait SharePort: Send + Sync {
    /// The share of an account now; `None` when the account is not in the catalog.
    fn share(&self, account: &AccountName) -> Option<AccountShare>;

    /// Notes that a request of an account asked for admission, admitted or not.
    fn record_demand(&self, account: &AccountName);
}

/// Estimates of quality, summed over the whole system.
pub trait QualityPort: Send + Sync {
    /// The latest estimates; empty before any are known.
    fn estimates(&self) -> Arc<QualityTable>;
}
