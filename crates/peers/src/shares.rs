//! Shares of client accounts' rates: starts the keeper and carries its messages.

use crate::share_keeper::{
    AnswerReports, DueReport, GrantBatch, MeasureDemand, ReportBatch, ShareKeeper, TakeGrants,
};
use crate::share_meters::ShareMeters;
use kameo::actor::{ActorRef, Spawn};
use oleander_core::membership::{Member, MemberRole};
use oleander_core::rate_share::report_interval;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::clock::ClockPort;
use oleander_ports::members::MembershipPort;
use oleander_ports::peers::{PeerChannel, PeerError, PeerHandler, PeerPort};
use oleander_ports::shares::SharePort;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Deadline of one report to a coordinator.
const REPORT_DEADLINE: Duration = Duration::from_millis(800);

/// What a share service needs.
#[derive(Clone)]
pub struct ShareSettings {
    /// This process, with the address that it is bound to.
    pub me: Member,
    /// The catalog in force.
    pub catalog: Arc<dyn CatalogPort>,
    /// The membership.
    pub members: Arc<dyn MembershipPort>,
    /// Calls to other processes.
    pub calls: Arc<dyn PeerPort>,
    /// Tells the time.
    pub clock: Arc<dyn ClockPort>,
}

impl fmt::Debug for ShareSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShareSettings").field("me", &self.me).finish_non_exhaustive()
    }
}

/// Shares of client accounts' rates. Runs on entries, which report and take shares, and on
/// stewards, which coordinate.
#[derive(Debug)]
pub struct ShareService {
    keeper: ActorRef<ShareKeeper>,
    meters: Arc<ShareMeters>,
    task: JoinHandle<()>,
}

impl ShareService {
    /// Starts the service. Register [`ShareService::handler`] for [`PeerChannel::Shares`].
    #[must_use]
    pub fn start(settings: ShareSettings) -> Self {
        let meters = Arc::new(ShareMeters::new(Arc::clone(&settings.catalog)));
        let ShareSettings { me, catalog, members, calls, clock } = settings;
        let watched = Arc::clone(&members);
        let keeper = ShareKeeper::new(me, catalog, members, clock, Arc::clone(&meters));
        let keeper = ShareKeeper::spawn(keeper);
        let task = tokio::spawn(report_demand(keeper.clone(), calls, watched));
        Self { keeper, meters, task }
    }

    /// The port that admission reads.
    #[must_use]
    pub fn port(&self) -> Arc<dyn SharePort> {
        Arc::clone(&self.meters) as Arc<dyn SharePort>
    }

    /// Answers the reports of entries.
    #[must_use]
    pub fn handler(&self) -> PeerHandler {
        let keeper = self.keeper.clone();
        Arc::new(move |body| {
            let keeper = keeper.clone();
            Box::pin(async move { answer(&keeper, &body).await })
        })
    }
}

impl Drop for ShareService {
    fn drop(&mut self) {
        self.task.abort();
        self.keeper.kill();
    }
}

async fn answer(keeper: &ActorRef<ShareKeeper>, body: &[u8]) -> Result<Vec<u8>, PeerError> {
    let batch: ReportBatch = postcard::from_bytes(body)
        .map_err(|_| PeerError::Refused("the reports are malformed".into()))?;
    let grants = keeper.ask(AnswerReports(batch)).await;
    let grants = grants.map_err(|_| PeerError::Unknown("the process stops".into()))?;
    postcard::to_stdvec(&grants).map_err(|error| PeerError::Unknown(error.to_string()))
}

async fn report_demand(
    keeper: ActorRef<ShareKeeper>,
    calls: Arc<dyn PeerPort>,
    members: Arc<dyn MembershipPort>,
) {
    while let Ok(due) = keeper.ask(MeasureDemand).await {
        for report in due {
            tokio::spawn(send_report(keeper.clone(), Arc::clone(&calls), report));
        }
        let members = members.members();
        let entries = members.iter().filter(|member| member.role == MemberRole::Entry).count();
        tokio::time::sleep(report_interval(entries)).await;
    }
}

async fn send_report(
    keeper: ActorRef<ShareKeeper>,
    calls: Arc<dyn PeerPort>,
    report: DueReport,
) -> Option<()> {
    let body = postcard::to_stdvec(&report.batch).ok()?;
    let reply = calls.call(report.to, PeerChannel::Shares, body, REPORT_DEADLINE).await.ok()?;
    let grants: GrantBatch = postcard::from_bytes(&reply).ok()?;
    keeper.tell(TakeGrants { from: report.to, made_at: report.made_at, grants }).send().await.ok()
}
