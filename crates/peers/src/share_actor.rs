//! The actor that reports demand and applies grants on entries, and grants shares as coordinator.

use crate::share_coordinator::ShareCoordinator;
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

/// Weight of the latest measurement in the smoothed demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Demand below which an account is idle, in requests per second. An idle account is reported only
/// to renew its grant, so that its first requests have an equal share.
const IDLE_DEMAND: f64 = 0.01;

/// Reports of one entry to one coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// The reporting entry.
    pub entry: HostId,
    /// One report for each account.
    pub reports: Vec<(AccountName, DemandReport)>,
}

/// Answer of a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, kameo::Reply)]
pub struct GrantBatch {
    /// One grant for each reported account that it coordinates.
    pub grants: Vec<(AccountName, ShareGrant)>,
}

/// A report batch to send.
#[derive(Clone, Debug)]
pub struct DueReport {
    /// The coordinator.
    pub to: SocketAddr,
    /// When the batch was created.
    pub created_at: Timestamp,
    /// The reports.
    pub batch: ReportBatch,
}

#[derive(Debug)]
struct EntryAccount {
    meter: Arc<AccountMeter>,
    demand: f64,
    share: EntryShare,
}

/// Reports demand and applies grants on entries, and grants shares as coordinator.
pub struct ShareActor {
    me: Member,
    catalog: Arc<dyn CatalogPort>,
    members: Arc<dyn MembershipPort>,
    clock: Arc<dyn ClockPort>,
    meters: Arc<ShareMeters>,
    accounts: BTreeMap<AccountName, EntryAccount>,
    coordinator: ShareCoordinator,
    view: ShareView,
    started_at: Timestamp,
    measured_at: Timestamp,
}

impl fmt::Debug for ShareActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShareActor").finish_non_exhaustive()
    }
}

impl ShareActor {
    /// Creates the actor, without any measured demand.
    #[must_use]
    pub fn new(
        me: Member,
        catalog: Arc<dyn CatalogPort>,
        members: Arc<dyn MembershipPort>,
        clock: Arc<dyn ClockPort>,
        meters: Arc<ShareMeters>,
    ) -> Self {
        let now = clock.now();
        let coordinator = ShareCoordinator::new(&me);
        Self {
            me,
            catalog,
            members,
            clock,
            meters,
            accounts: BTreeMap::new(),
            coordinator,
            view: ShareView::default(),
            started_at: now,
            measured_at: now,
        }
    }

    fn tick(&mut self) -> Vec<DueReport> {
        let now = self.clock.now();
        let snapshot = self.catalog.snapshot();
        self.view.update(&self.members.members(), now);
        self.coordinator.update(&snapshot, &self.view, now);
        if self.me.role != MemberRole::Entry {
            return Vec::new();
        }
        self.update_accounts(&snapshot, now);
        self.measure(now);
        let due = self.reports(&snapshot, now);
        self.publish(&snapshot, now);
        due
    }

    fn update_accounts(&mut self, snapshot: &Snapshot, now: Timestamp) {
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
        self.assign_initial_shares(snapshot, now);
        if changed {
            let meter = |(name, account): (&AccountName, &EntryAccount)| {
                (name.clone(), Arc::clone(&account.meter))
            };
            let meters: MeterMap = self.accounts.iter().map(meter).collect();
            self.publish(snapshot, now);
            self.meters.publish(meters, self.view.entries());
        }
    }

    /// Gives an entry that has just started its equal share until it receives a grant.
    fn assign_initial_shares(&mut self, snapshot: &Snapshot, now: Timestamp) {
        let until = self.started_at + grant_lifetime(self.view.entries());
        if now >= until {
            return;
        }
        let entries = self.view.entries() as f64;
        for (name, account) in &mut self.accounts {
            let held = account.share.held(now);
            let Some(listed) = snapshot.catalog().client_accounts.get(name) else { continue };
            if held.grantor.is_none() {
                let amount = listed.requests_per_second * (1.0 - BASE_FRACTION) / entries;
                account.share = EntryShare::new(amount, until);
            }
        }
    }

    fn measure(&mut self, now: Timestamp) {
        let seconds = now.since(self.measured_at).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        self.measured_at = now;
        for account in self.accounts.values_mut() {
            let newest = account.meter.take_requests() as f64 / seconds;
            account.demand += DEMAND_WEIGHT * (newest - account.demand);
            account.demand = if account.demand < IDLE_DEMAND { 0.0 } else { account.demand };
        }
    }

    fn reports(&mut self, snapshot: &Snapshot, now: Timestamp) -> Vec<DueReport> {
        let mut batches: BTreeMap<SocketAddr, ReportBatch> = BTreeMap::new();
        for (name, account) in &self.accounts {
            if account.demand <= 0.0 && self.is_recent(&account.share, now) {
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
            let grants = self.coordinator.answer(&own, snapshot, &self.view, now);
            self.apply_grants(&grants, self.me.address, now);
        }
        let due = |(to, batch)| DueReport { to, created_at: now, batch };
        batches.into_iter().map(due).collect()
    }

    /// Whether the grant of an idle account is recent enough not to be renewed yet. A lowered share
    /// is always reported, since the coordinator can reassign the difference only after the report.
    fn is_recent(&self, share: &EntryShare, now: Timestamp) -> bool {
        let half_life = grant_lifetime(self.view.entries()) / 2;
        let granted = share.held(now).grantor.is_some();
        granted && !share.was_lowered() && share.left(now) > half_life
    }

    /// Applies the grants of the process at `from`, except for accounts that it no longer
    /// coordinates.
    fn apply_grants(&mut self, grants: &GrantBatch, from: SocketAddr, created_at: Timestamp) {
        for (name, grant) in &grants.grants {
            let current = self.view.coordinator(name).is_some_and(|c| c.address == from);
            if let Some(account) = self.accounts.get_mut(name).filter(|_| current) {
                account.share.apply_grant(grant, created_at);
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

impl Actor for ShareActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(actor: Self, _: kameo::actor::ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(actor)
    }
}

/// Measures the demand; the reply holds the reports to send.
#[derive(Debug)]
pub struct MeasureDemand;

impl Message<MeasureDemand> for ShareActor {
    type Reply = Vec<DueReport>;

    async fn handle(
        &mut self,
        _: MeasureDemand,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.tick()
    }
}

/// Answers the reports of an entry, as coordinator.
#[derive(Debug)]
pub struct AnswerReports(pub ReportBatch);

impl Message<AnswerReports> for ShareActor {
    type Reply = GrantBatch;

    async fn handle(
        &mut self,
        AnswerReports(batch): AnswerReports,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.clock.now();
        let snapshot = self.catalog.snapshot();
        self.coordinator.answer(&batch, &snapshot, &self.view, now)
    }
}

/// Applies the answer of a coordinator.
#[derive(Debug)]
pub struct ApplyGrants {
    /// The coordinator.
    pub from: SocketAddr,
    /// When the reports were created.
    pub created_at: Timestamp,
    /// The grants.
    pub grants: GrantBatch,
}

impl Message<ApplyGrants> for ShareActor {
    type Reply = ();

    async fn handle(&mut self, request: ApplyGrants, _: &mut Context<Self, Self::Reply>) {
        self.apply_grants(&request.grants, request.from, request.created_at);
        let snapshot = self.catalog.snapshot();
        self.publish(&snapshot, self.clock.now());
    }
}
