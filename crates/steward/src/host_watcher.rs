//! The actor that reads the platform's list of hosts and spreads which upstreams leave.
//!
//! The list lags: the first sight of a leaving upstream wins, and only a newer incarnation
//! brings it back, however many stale lists follow.

use crate::ticker::{Tick, spawn_ticks};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use oleander_catalog::store::with_deadline;
use oleander_core::ids::{Incarnation, UpstreamName};
use oleander_core::leaving::LeavingSet;
use oleander_ports::hosts::{HostListPort, ListedHost, ListedRole};
use oleander_ports::members::{MembershipPort, Rumor};
use std::sync::Arc;
use std::time::Duration;

/// Time between two reads of the list.
const TICK: Duration = Duration::from_secs(1);

/// Starts the watcher; needs a running tokio runtime.
#[must_use]
pub fn start_watcher(
    hosts: Arc<dyn HostListPort>,
    members: Arc<dyn MembershipPort>,
) -> ActorRef<HostWatcher> {
    let leaving = LeavingSet::new();
    let heard = Arc::clone(&members);
    let actor = HostWatcher::spawn(HostWatcher { hosts, members, leaving });
    let listener = actor.downgrade();
    heard.listen(Arc::new(move |rumor| {
        let Rumor::Leaving { upstream, incarnation } = rumor else { return };
        let Some(actor) = listener.upgrade() else { return };
        let _ = actor.tell(LeavingHeard(upstream.clone(), *incarnation)).try_send();
    }));
    spawn_ticks(&actor, TICK);
    actor
}

/// Another steward saw an upstream leave.
struct LeavingHeard(UpstreamName, Incarnation);

/// Watches the list of hosts.
#[derive(Actor)]
pub struct HostWatcher {
    hosts: Arc<dyn HostListPort>,
    members: Arc<dyn MembershipPort>,
    leaving: LeavingSet,
}

impl HostWatcher {
    fn take_in(&mut self, host: &ListedHost) {
        let ListedRole::Upstream(upstream) = &host.role else { return };
        if host.leaving {
            if self.leaving.mark_leaving(upstream, host.incarnation) {
                self.announce_leaving(upstream, host.incarnation);
            }
            return;
        }
        let left = self.leaving.is_leaving(upstream);
        self.leaving.mark_present(upstream, host.incarnation);
        if left && !self.leaving.is_leaving(upstream) {
            let (upstream, incarnation) = (upstream.clone(), host.incarnation);
            log::info!("hosts.upstream_back upstream={upstream} incarnation={incarnation}");
            self.members.announce(Rumor::Joined { upstream, incarnation });
        }
    }

    fn announce_leaving(&self, upstream: &UpstreamName, incarnation: Incarnation) {
        log::info!("hosts.upstream_leaving upstream={upstream} incarnation={incarnation}");
        let upstream = upstream.clone();
        self.members.announce(Rumor::Leaving { upstream, incarnation });
    }
}

impl Message<Tick> for HostWatcher {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        match with_deadline(self.hosts.hosts()).await {
            Ok(hosts) => hosts.iter().for_each(|host| self.take_in(host)),
            Err(error) => log::warn!("hosts.list_not_read error={error}"),
        }
    }
}

impl Message<LeavingHeard> for HostWatcher {
    type Reply = ();

    async fn handle(&mut self, heard: LeavingHeard, _: &mut Context<Self, ()>) {
        self.leaving.mark_leaving(&heard.0, heard.1);
    }
}
