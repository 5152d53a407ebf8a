//! A configuration as it is written, before it is in force.

use crate::routes::{AccountSpec, CallerLimits, Route, RouteTable, ServiceSpec};
use std::sync::Arc;

/// The parts of a configuration in the order in which they are written, also those that hide each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationDraft {
    /// Version of the configuration; newer ones are higher.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The client accounts with their keys.
    pub accounts: Vec<(AccountSpec, Vec<Arc<str>>)>,
    /// Limits on callers, if stated.
    pub limits: Option<CallerLimits>,
}

impl ConfigurationDraft {
    /// The configuration as requests use it.
    ///
    /// ```
    /// use oleander_gateway::configuration_draft::ConfigurationDraft;
    ///
    /// let draft = ConfigurationDraft { version: 7, ..ConfigurationDraft::default() };
    /// assert_eq!(draft.into_table().version(), 7);
    /// ```
    #[must_use]
    pub fn into_table(self) -> RouteTable {
        let mut table = RouteTable::new(self.version);
        if let Some(limits) = self.limits {
            table = table.with_limits(limits);
        }
        table = self.routes.into_iter().fold(table, RouteTable::with_route);
        table = self.services.into_iter().fold(table, RouteTable::with_service);
        let accounts = self.accounts.into_iter();
        accounts.fold(table, |table, (account, keys)| table.with_account(account, keys))
    }
}
