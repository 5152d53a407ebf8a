//! The accounts that this process coordinates.

use crate::share_keeper::{GrantBatch, ReportBatch};
use crate::share_view::ShareView;
use oleander_core::catalog::Snapshot;
use oleander_core::ids::{AccountName, HostId};
use oleander_core::membership::Member;
use oleander_core::membership::record::MemberTag;
use oleander_core::rate_share::{AccountShares, ShareTerms, grant_lifetime};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;

/// The accounts that this process coordinates.
#[derive(Debug)]
pub struct ShareBook {
    me: HostId,
    tag: MemberTag,
    accounts: BTreeMap<AccountName, CoordinatedAccount>,
}

#[derive(Debug)]
struct CoordinatedAccount {
    shares: AccountShares,
    settling_until: Timestamp,
    is_mine: bool,
}

impl ShareBook {
    /// A book without accounts.
    #[must_use]
    pub fn new(me: &Member) -> Self {
        let tag = MemberTag::new(&me.id, me.incarnation);
        Self { me: me.id.clone(), tag, accounts: BTreeMap::new() }
    }

    /// Follows the catalog, and which accounts this process coordinates.
    pub fn update(&mut self, snapshot: &Snapshot, view: &ShareView, now: Timestamp) {
        let listed = &snapshot.catalog().client_accounts;
        self.accounts.retain(|name, _| listed.contains_key(name));
        for name in listed.keys() {
            let is_mine = view.coordinator(name).is_some_and(|member| member.id == self.me);
            self.set_mine(name, is_mine, view, now);
        }
    }

    fn set_mine(&mut self, name: &AccountName, is_mine: bool, view: &ShareView, now: Timestamp) {
        if !is_mine && !self.accounts.contains_key(name) {
            return;
        }
        let account = self.accounts.entry(name.clone()).or_insert_with(|| CoordinatedAccount {
            shares: AccountShares::new(self.tag, now),
            settling_until: now,
            is_mine: false,
        });
        if is_mine && !account.is_mine {
            account.shares.start_settling(now);
            account.settling_until = now + grant_lifetime(view.entries());
        }
        account.is_mine = is_mine;
    }

    /// Answers an entry's reports; accounts that this process does not coordinate are left
    /// out.
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
            let known = self.accounts.get_mut(name).filter(|account| account.is_mine);
            let Some(account) = known else { continue };
            let terms = ShareTerms {
                rate: listed.requests_per_second * view.part_in_sight(),
                lifetime: grant_lifetime(view.entries()),
                settling_until: account.settling_until,
            };
            let grant = account.shares.report(&batch.entry, report, &terms, now);
            answer.grants.push((name.clone(), grant));
        }
        answer
    }
}
