//! The whole rate of every client account, for a system of one entry.

use oleander_core::ids::AccountName;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::shares::{AccountShare, SharePort};
use std::sync::Arc;

/// Gives the only entry the whole rate.
pub struct WholeShare {
    catalog: Arc<dyn CatalogPort>,
}

impl WholeShare {
    /// Reads the rates from `catalog`.
    pub fn new(catalog: Arc<dyn CatalogPort>) -> Self {
        Self { catalog }
    }
}

impl SharePort for WholeShare {
    fn share(&self, account: &AccountName) -> Option<AccountShare> {
        let snapshot = self.catalog.snapshot();
        let account = snapshot.catalog().client_accounts.get(account)?;
        let requests_per_second = account.requests_per_second;
        Some(AccountShare { requests_per_second, burst: f64::from(account.burst) })
    }

    fn note_demand(&self, _account: &AccountName) {}
}
