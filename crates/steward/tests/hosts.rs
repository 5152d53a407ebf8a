//! The lagging list of hosts: first sight wins, only a newer incarnation brings one back.

mod support;

use oleander_core::ids::{Incarnation, UpstreamName};
use oleander_ports::hosts::{ListedHost, ListedRole};
use oleander_ports::members::Rumor;
use std::time::Duration;
use support::{World, pass};

fn upstream() -> UpstreamName {
    UpstreamName::new("engine-1").unwrap()
}

fn listed(incarnation: u64, leaving: bool) -> ListedHost {
    ListedHost {
        role: ListedRole::Upstream(upstream()),
        address: "127.0.0.1:7101".parse().unwrap(),
        region: "puget".parse().unwrap(),
        domain: "puget-1".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        leaving,
    }
}

fn leaving(incarnation: u64) -> Rumor {
    Rumor::Leaving { upstream: upstream(), incarnation: Incarnation::new(incarnation) }
}

fn joined(incarnation: u64) -> Rumor {
    Rumor::Joined { upstream: upstream(), incarnation: Incarnation::new(incarnation) }
}

#[tokio::test(start_paused = true)]
async fn leaving_upstream_is_spread_once_and_stale_lists_change_nothing() {
    let world = World::new();
    world.hosts.put(listed(3, false));
    let _steward = world.steward(1);
    pass(3.0).await;
    assert!(world.members.rumors().is_empty());
    world.hosts.put(listed(3, true));
    pass(2.0).await;
    assert_eq!(world.members.rumors(), vec![leaving(3)]);
    // A replica of the list that lags shows the upstream as it was.
    for stale in [listed(3, false), listed(2, false), listed(2, true)] {
        world.hosts.put(stale);
        pass(3.0).await;
    }
    assert_eq!(world.members.rumors(), vec![leaving(3)]);
    world.hosts.put(listed(4, false));
    pass(2.0).await;
    assert_eq!(world.members.rumors(), vec![leaving(3), joined(4)]);
}

#[tokio::test(start_paused = true)]
async fn list_that_lags_is_spread_when_it_shows() {
    let world = World::new();
    world.hosts.put(listed(3, false));
    world.hosts.set_lag(Duration::from_secs(30));
    let _steward = world.steward(1);
    world.hosts.put(listed(3, true));
    pass(20.0).await;
    assert!(world.members.rumors().is_empty());
    pass(12.0).await;
    assert_eq!(world.members.rumors(), vec![leaving(3)]);
}
