//! Shares of client accounts' rates, split evenly over the entries that are alive.

use oleander_core::ids::AccountName;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::members::{MemberRole, MemberState, MembershipPort};
use oleander_ports::shares::{AccountShare, SharePort};
use std::sync::Arc;

/// Gives every entry the same share of each rate. It needs no messages, but an account whose
/// requests reach few hosts gets less than its rate.
pub struct EvenShares {
    catalog: Arc<dyn CatalogPort>,
    members: Arc<dyn MembershipPort>,
}

impl EvenShares {
    /// Shares under the catalog in force.
    #[must_use]
    pub const fn new(catalog: Arc<dyn CatalogPort>, members: Arc<dyn MembershipPort>) -> Self {
        Self { catalog, members }
    }
}

impl SharePort for EvenShares {
    fn share(&self, account: &AccountName) -> Option<AccountShare> {
        let snapshot = self.catalog.snapshot();
        let object = snapshot.catalog().client_accounts.get(account)?;
        let members = self.members.members();
        let alive = |state| matches!(state, MemberState::Alive | MemberState::Suspect);
        let entries = members.iter().filter(|m| m.role == MemberRole::Entry && alive(m.state));
        let entries = entries.count().max(1) as f64;
        Some(AccountShare {
            requests_per_second: object.requests_per_second / entries,
            burst: (f64::from(object.burst) / entries).max(1.0),
        })
    }

    fn note_demand(&self, _: &AccountName) {}
}
