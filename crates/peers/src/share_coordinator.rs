//! Grants shares of the accounts' rates that this process coordinates.

use crate::share_actor::{GrantBatch, ReportBatch};
use crate::share_view::ShareView;
use oleander_core::catalog::Snapshot;
use oleander_core::ids::{AccountName, HostId};
use oleander_core::membership::Member;
use oleander_core::membership::record::MemberTag;
use oleander_core::rate_share::{AccountShares, ShareTerms, grant_lifetime};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;

/// Grants shares of the accounts' rates that this process coordinates.
#[derive(Debug)]
pub struct ShareCoordinator {
    me: HostId,
    tag: MemberTag,
    accounts: BTreeMap<AccountName, CoordinatedAccount>,
}

#[derive(Debug)]
struct CoordinatedAccount {
    shares: AccountShares,
    settling_until: Timestamp,
    is_coordinator: bool,
}

impl ShareCoordinator {
    /// Creates a coordinator without accounts.
    #[must_use]
    pub fn new(me: &Member) -> Self {
        let tag = MemberTag::new(&me.id, me.incarnation);
        Self { me: me.id.clone(), tag, accounts: BTreeMap::new() }
    }

    /// Updates the accounts from the catalog, and which of them this process coordinates.
    pub fn update(&mut self, snapshot: &Snapshot, view: &ShareView, now: Timestamp) {
        let listed = &snapshot.catalog().client_accounts;
        self.accounts.retain(|name, _| listed.contains_key(name));
        for name in listed.keys() {
            let is_coordinator = view.coordinator(name).is_some_and(|member| member.id == self.me);
            self.set_coordinator(name, is_coordinator, view, now);
        }
    }

    fn set_coordinator(
        &mut self,
        name: &AccountName,
        is_coordinator: bool,
        view: &ShareView,
        now: Timestamp,
    ) {
        if !is_coordinator && !self.accounts.contains_key(name) {
            return;
        }
        let account = self.accounts.entry(name.clone()).or_insert_with(|| CoordinatedAccount {
            shares: AccountShares::new(self.tag, now),
            settling_until: now,
            is_coordinator: false,
        });
        if is_coordinator && !account.is_coordinator {
            account.shares.start_settling(now);
            account.settling_until = now + grant_lifetime(view.entries());
        }
        account.is_coordinator = is_coordinator;
    }

    /// Answers the reports of an entry. Accounts that this process does not coordinate are
    /// omitted.
    pub fn answer(
        &mut self,
        batch: &ReportBatch,
        snapshot: &Snapshot,
        view: &ShareView,
        now: Timestamp,
    ) -> GrantBatch {
        let mut answer = GrantBatch::default();
        for (name, report) in &batch.reports {
            let Some(listed) = snapshot.catalog().client_accounts.get(name) else { continue };
            let coordinated = self.accounts.get_mut(name).filter(|account| account.is_coordinator);
            let Some(account) = coordinated else { continue };
            let terms = ShareTerms {
                rate: listed.requests_per_second * view.visible_fraction(),
                lifetime: grant_lifetime(view.entries()),
                settling_until: account.settling_until,
            };
            let grant = account.shares.report(&batch.entry, report, &terms, now);
            answer.grants.push((name.clone(), grant));
        }
        answer
    }
}
