//! The lagging list of hosts: once an upstream is listed as leaving, only a newer incarnation makes
//! it available again.

mod support;

use oleander_core::ids::{Incarnation, UpstreamName};
use oleander_ports::hosts::{ListedHost, ListedRole};
use oleander_ports::members::Rumor;
use std::time::Duration;
use support::{TestPlatform, sleep};

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
async fn leaving_upstream_is_announced_once_and_stale_lists_change_nothing() {
    let platform = TestPlatform::new();
    platform.hosts.put(listed(3, false));
    let _steward = platform.steward(1);
    sleep(3.0).await;
    assert!(platform.members.rumors().is_empty());
    platform.hosts.put(listed(3, true));
    sleep(2.0).await;
    assert_eq!(platform.members.rumors(), vec![leaving(3)]);
    // A lagging replica of the list returns earlier states of the upstream.
    for stale in [listed(3, false), listed(2, false), listed(2, true)] {
        platform.hosts.put(stale);
        sleep(3.0).await;
    }
    assert_eq!(platform.members.rumors(), vec![leaving(3)]);
    platform.hosts.put(listed(4, false));
    sleep(2.0).await;
    assert_eq!(platform.members.rumors(), vec![leaving(3), joined(4)]);
}

#[tokio::test(start_paused = true)]
async fn lagging_list_is_announced_once_it_shows_the_change() {
    let platform = TestPlatform::new();
    platform.hosts.put(listed(3, false));
    platform.hosts.set_lag(Duration::from_secs(30));
    let _steward = platform.steward(1);
    platform.hosts.put(listed(3, true));
    sleep(20.0).await;
    assert!(platform.members.rumors().is_empty());
    sleep(12.0).await;
    assert_eq!(platform.members.rumors(), vec![leaving(3)]);
}
