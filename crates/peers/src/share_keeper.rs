//! The actor that reports demand, takes grants, and grants as a coordinator.

use crate::share_book::ShareBook;
use crate::share_meters::{AccountMeter, MeterMap, ShareMeters, share_of};
use crate::share_view::ShareView;
use kameo::Actor;
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use oleander_core::catalog::Snapshot;
use oleander_core::ids::{AccountName, HostId};
use oleander_core::membership::{Member, MemberRole};
use oleander_core::rate_share::{
    BASE_FRACTION, DemandReport, EntryShare, ShareGrant, grant_lifetime,
};
use oleander_core::units::Timestamp;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::clock::ClockPort;
use oleander_ports::members::MembershipPort;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Weight of the newest measurement in the smoothed demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Requests a second below which an account counts as silent. It is reported only to keep
/// its grant, so that its first requests find an equal part.
const SILENT_DEMAND: f64 = 0.01;

/// Reports of one entry to one coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// The entry.
    pub entry: HostId,
    /// One report for each account.
    pub reports: Vec<(AccountName, DemandReport)>,
}

/// A coordinator's answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, kameo::Reply)]
pub struct GrantBatch {
    /// One grant for each account that it coordinates.
    pub grants: Vec<(AccountName, ShareGrant)>,
}

/// A batch that is to be sent.
#[derive(Clone, Debug)]
pub struct DueReport {
    /// The coordinator.
    pub to: SocketAddr,
    /// When it was made.
    pub made_at: Timestamp,
    /// The batch.
    pub batch: ReportBatch,
}

#[derive(Debug)]
struct EntryAccount {
    meter: Arc<AccountMeter>,
    demand: f64,
    share: EntryShare,
}

/// Reports demand, takes grants, and grants as a coordinator.
pub struct ShareKeeper {
    me: Member,
    catalog: Arc<dyn CatalogPort>,
    members: Arc<dyn MembershipPort>,
    clock: Arc<dyn ClockPort>,
    meters: Arc<ShareMeters>,
    accounts: BTreeMap<AccountName, EntryAccount>,
    book: ShareBook,
    view: ShareView,
    started: Timestamp,
    measured: Timestamp,
}

impl fmt::Debug for ShareKeeper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShareKeeper").finish_non_exhaustive()
    }
}

impl ShareKeeper {
    /// A keeper that knows of no demand yet.
    #[must_use]
    pub fn new(
        me: Member,
        catalog: Arc<dyn CatalogPort>,
        members: Arc<dyn MembershipPort>,
        clock: Arc<dyn ClockPort>,
        meters: Arc<ShareMeters>,
    ) -> Self {
        let now = clock.now();
        let book = ShareBook::new(&me);
        Self {
            me,
            catalog,
            members,
            clock,
            meters,
            accounts: BTreeMap::new(),
            book,
            view: ShareView::default(),
            started: now,
            measured: now,
        }
    }

    fn tick(&mut self) -> Vec<DueReport> {
        let now = self.clock.now();
        let snapshot = self.catalog.snapshot();
        self.view.update(&self.members.members(), now);
        self.book.update(&snapshot, &self.view, now);
        if self.me.role != MemberRole::Entry {
            return Vec::new();
        }
        self.follow_catalog(&snapshot, now);
        self.measure(now);
        let due = self.reports(&snapshot, now);
        self.publish(&snapshot, now);
        due
    }

    fn follow_catalog(&mut self, snapshot: &Snapshot, now: Timestamp) {
        let listed = &snapshot.catalog().client_accounts;
        let mut changed = self.accounts.len() != listed.len();
        self.accounts.retain(|name, _| listed.contains_key(name));
        for name in listed.keys() {
            if !self.accounts.contains_key(name) {
                changed = true;
                let meter = Arc::new(AccountMeter::default());
                let share = EntryShare::new(0.0, now);
                self.accounts.insert(name.clone(), EntryAccount { meter, demand: 0.0, share });
            }
        }
        self.give_first_shares(snapshot, now);
        if changed {
            let meter = |(name, account): (&AccountName, &EntryAccount)| {
                (name.clone(), Arc::clone(&account.meter))
            };
            let meters: MeterMap = self.accounts.iter().map(meter).collect();
            self.publish(snapshot, now);
            self.meters.publish(meters, self.view.entries());
        }
    }

    /// An entry that has just started uses its equal part until it is granted one.
    fn give_first_shares(&mut self, snapshot: &Snapshot, now: Timestamp) {
        let until = self.started + grant_lifetime(self.view.entries());
        if now >= until {
            return;
        }
        let parts = self.view.entries() as f64;
        for (name, account) in &mut self.accounts {
            let held = account.share.held(now);
            let Some(listed) = snapshot.catalog().client_accounts.get(name) else { continue };
            if held.grantor.is_none() {
                let part = listed.requests_per_second * (1.0 - BASE_FRACTION) / parts;
                account.share = EntryShare::new(part, until);
            }
        }
    }

    fn measure(&mut self, now: Timestamp) {
        let seconds = now.since(self.measured).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        self.measured = now;
        for account in self.accounts.values_mut() {
            let newest = account.meter.take_asked() as f64 / seconds;
            account.demand += DEMAND_WEIGHT * (newest - account.demand);
            account.demand = if account.demand < SILENT_DEMAND { 0.0 } else { account.demand };
        }
    }

    fn reports(&mut self, snapshot: &Snapshot, now: Timestamp) -> Vec<DueReport> {
        let mut batches: BTreeMap<SocketAddr, ReportBatch> = BTreeMap::new();
        for (name, account) in &self.accounts {
            if account.demand <= 0.0 && self.is_fresh(&account.share, now) {
                continue;
            }
            let Some(coordinator) = self.view.coordinator(name) else { continue };
            let report = DemandReport { demand: account.demand, held: account.share.held(now) };
            let batch = batches
                .entry(coordinator.address)
                .or_insert_with(|| ReportBatch { entry: self.me.id.clone(), reports: Vec::new() });
            batch.reports.push((name.clone(), report));
        }
        if let Some(own) = batches.remove(&self.me.address) {
            let grants = self.book.answer(&own, snapshot, &self.view, now);
            self.take(&grants, self.me.address, now);
        }
        let due = |(to, batch)| DueReport { to, made_at: now, batch };
        batches.into_iter().map(due).collect()
    }

    /// Whether a silent account's share was granted lately and needs no word to the
    /// coordinator, which may hand out what was given back only after it is told.
    fn is_fresh(&self, share: &EntryShare, now: Timestamp) -> bool {
        let half_life = grant_lifetime(self.view.entries()) / 2;
        let granted = share.held(now).grantor.is_some();
        granted && !share.was_lowered() && share.left(now) > half_life
    }

    /// Takes grants of the process at `from`. Those of one that no longer coordinates the
    /// account are left alone.
    fn take(&mut self, grants: &GrantBatch, from: SocketAddr, made_at: Timestamp) {
        for (name, grant) in &grants.grants {
            let current = self.view.coordinator(name).is_some_and(|c| c.address == from);
            if let Some(account) = self.accounts.get_mut(name).filter(|_| current) {
                account.share.apply_grant(grant, made_at);
            }
        }
    }

    fn publish(&self, snapshot: &Snapshot, now: Timestamp) {
        let entries = self.view.entries() as f64;
        for (name, account) in &self.accounts {
            let Some(listed) = snapshot.catalog().client_accounts.get(name) else { continue };
            let rate = listed.requests_per_second;
            let amount = account.share.held(now).amount + rate * BASE_FRACTION / entries;
            account.meter.set(share_of(amount, rate, listed.burst));
        }
    }
}

impl Actor for ShareKeeper {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(keeper: Self, _: kameo::actor::ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(keeper)
    }
}

/// Measure demand; answered by the reports to send.
#[derive(Debug)]
pub struct MeasureDemand;

impl Message<MeasureDemand> for ShareKeeper {
    type Reply = Vec<DueReport>;

    async fn handle(
        &mut self,
        _: MeasureDemand,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.tick()
    }
}

/// An entry reports to this process as coordinator.
#[derive(Debug)]
pub struct AnswerReports(pub ReportBatch);

impl Message<AnswerReports> for ShareKeeper {
    type Reply = GrantBatch;

    async fn handle(
        &mut self,
        AnswerReports(batch): AnswerReports,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.clock.now();
        let snapshot = self.catalog.snapshot();
        self.book.answer(&batch, &snapshot, &self.view, now)
    }
}

/// A coordinator answered.
#[derive(Debug)]
pub struct TakeGrants {
    /// The coordinator.
    pub from: SocketAddr,
    /// When the reports were made.
    pub made_at: Timestamp,
    /// Its grants.
    pub grants: GrantBatch,
}

impl Message<TakeGrants> for ShareKeeper {
    type Reply = ();

    async fn handle(&mut self, given: TakeGrants, _: &mut Context<Self, Self::Reply>) {
        self.take(&given.grants, given.from, given.made_at);
        let snapshot = self.catalog.snapshot();
        self.publish(&snapshot, self.clock.now());
    }
}
