//! The actor that reads the platform's list of hosts and announces upstreams that are leaving.
//!
//! The list lags. Once an upstream has been listed as leaving, only a newer incarnation makes it
//! available again; stale lists that follow have no effect.

use crate::ticker::{Tick, spawn_ticks};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use oleander_catalog::store::with_timeout;
use oleander_core::ids::{Incarnation, UpstreamName};
use oleander_core::leaving::LeavingSet;
use oleander_ports::hosts::{HostListPort, ListedHost, ListedRole};
use oleander_ports::members::{MembershipPort, Rumor};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two reads of the list.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the watcher; needs a running tokio runtime.
#[must_use]
pub fn start_watcher(
    hosts: Arc<dyn HostListPort>,
    members: Arc<dyn MembershipPort>,
) -> ActorRef<HostWatcher> {
    let leaving = LeavingSet::new();
    let gossip = Arc::clone(&members);
    let actor = HostWatcher::spawn(HostWatcher { hosts, members, leaving });
    let listener = actor.downgrade();
    gossip.listen(Arc::new(move |rumor| {
        let Rumor::Leaving { upstream, incarnation } = rumor else { return };
        let Some(actor) = listener.upgrade() else { return };
        let _ = actor.tell(LeavingRumor(upstream.clone(), *incarnation)).try_send();
    }));
    spawn_ticks(&actor, TICK_INTERVAL);
    actor
}

/// Another steward announced that an upstream is leaving.
struct LeavingRumor(UpstreamName, Incarnation);

/// Watches the list of hosts.
#[derive(Actor)]
pub struct HostWatcher {
    hosts: Arc<dyn HostListPort>,
    members: Arc<dyn MembershipPort>,
    leaving: LeavingSet,
}

impl HostWatcher {
    fn update(&mut self, host: &ListedHost) {
        let ListedRole::Upstream(upstream) = &host.role else { return };
        if host.leaving {
            if self.leaving.mark_leaving(upstream, host.incarnation) {
                self.announce_leaving(upstream, host.incarnation);
            }
            return;
        }
        let was_leaving = self.leaving.is_leaving(upstream);
        self.leaving.mark_present(upstream, host.incarnation);
        if was_leaving && !self.leaving.is_leaving(upstream) {
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
        match with_timeout(self.hosts.hosts()).await {
            Ok(hosts) => hosts.iter().for_each(|host| self.update(host)),
            Err(error) => log::warn!("hosts.list_not_read error={error}"),
        }
    }
}

impl Message<LeavingRumor> for HostWatcher {
    type Reply = ();

    async fn handle(&mut self, rumor: LeavingRumor, _: &mut Context<Self, ()>) {
        self.leaving.mark_leaving(&rumor.0, rumor.1);
    }
}
