//! Shares of client accounts' rates: starts the actor and exchanges its reports with coordinators.

use crate::share_actor::{
    AnswerReports, ApplyGrants, DueReport, GrantBatch, MeasureDemand, ReportBatch, ShareActor,
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

/// Timeout of one report to a coordinator.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Settings of a [`ShareService`].
#[derive(Clone)]
pub struct ShareSettings {
    /// This process, with its bound address.
    pub me: Member,
    /// The catalog in force.
    pub catalog: Arc<dyn CatalogPort>,
    /// The membership port.
    pub members: Arc<dyn MembershipPort>,
    /// The port for calls to other processes.
    pub calls: Arc<dyn PeerPort>,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
}

impl fmt::Debug for ShareSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShareSettings").field("me", &self.me).finish_non_exhaustive()
    }
}

/// Distributes the rates of client accounts. Runs on entries, which report demand and apply
/// grants, and on stewards, which coordinate.
#[derive(Debug)]
pub struct ShareService {
    actor: ActorRef<ShareActor>,
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
        let actor = ShareActor::new(me, catalog, members, clock, Arc::clone(&meters));
        let actor = ShareActor::spawn(actor);
        let task = tokio::spawn(report_demand(actor.clone(), calls, watched));
        Self { actor, meters, task }
    }

    /// The port for admission.
    #[must_use]
    pub fn port(&self) -> Arc<dyn SharePort> {
        Arc::clone(&self.meters) as Arc<dyn SharePort>
    }

    /// The call handler for the reports of entries.
    #[must_use]
    pub fn handler(&self) -> PeerHandler {
        let actor = self.actor.clone();
        Arc::new(move |body| {
            let actor = actor.clone();
            Box::pin(async move { answer(&actor, &body).await })
        })
    }
}

impl Drop for ShareService {
    fn drop(&mut self) {
        self.task.abort();
        self.actor.kill();
    }
}

async fn answer(actor: &ActorRef<ShareActor>, body: &[u8]) -> Result<Vec<u8>, PeerError> {
    let batch: ReportBatch = postcard::from_bytes(body)
        .map_err(|_| PeerError::Refused("the reports are malformed".into()))?;
    let grants = actor.ask(AnswerReports(batch)).await;
    let grants = grants.map_err(|_| PeerError::Unknown("the process stops".into()))?;
    postcard::to_stdvec(&grants).map_err(|error| PeerError::Unknown(error.to_string()))
}

async fn report_demand(
    actor: ActorRef<ShareActor>,
    calls: Arc<dyn PeerPort>,
    members: Arc<dyn MembershipPort>,
) {
    while let Ok(due) = actor.ask(MeasureDemand).await {
        for report in due {
            tokio::spawn(send_report(actor.clone(), Arc::clone(&calls), report));
        }
        let members = members.members();
        let entries = members.iter().filter(|member| member.role == MemberRole::Entry).count();
        tokio::time::sleep(report_interval(entries)).await;
    }
}

async fn send_report(
    actor: ActorRef<ShareActor>,
    calls: Arc<dyn PeerPort>,
    report: DueReport,
) -> Option<()> {
    let body = postcard::to_stdvec(&report.batch).ok()?;
    let reply = calls.call(report.to, PeerChannel::Shares, body, REPORT_TIMEOUT).await.ok()?;
    let grants: GrantBatch = postcard::from_bytes(&reply).ok()?;
    actor
        .tell(ApplyGrants { from: report.to, created_at: report.created_at, grants })
        .send()
        .await
        .ok()
}
