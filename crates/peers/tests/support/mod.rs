//! Nodes on free loopback ports.
#![allow(dead_code, reason = "each test file uses only some of it")]

use oleander_core::ids::{Incarnation, Revision};
use oleander_core::membership::{Member, MemberRole, MemberState, MembershipConfig};
use oleander_peers::{PeerKey, PeerLimits, PeerNode, PeerSettings};
use oleander_ports::clock::SystemClock;
use oleander_ports::peers::{PeerChannel, PeerHandler};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub fn member(id: &str, incarnation: u64) -> Member {
    Member {
        id: id.parse().expect("well formed"),
        incarnation: Incarnation::new(incarnation),
        role: MemberRole::Entry,
        region: "dakar".parse().expect("well formed"),
        domain: "dakar-1".parse().expect("well formed"),
        address: "127.0.0.1:0".parse().expect("well formed"),
        state: MemberState::Alive,
        revision: Revision::default(),
    }
}

pub fn key(id: &str) -> PeerKey {
    PeerKey::new(id.parse().expect("well formed"), format!("the shared secret {id}").into())
}

/// Membership timing with shorter intervals than the default.
pub fn short_intervals() -> MembershipConfig {
    MembershipConfig {
        probe_interval: Duration::from_millis(200),
        probe_repeat: Duration::from_millis(60),
        suspicion: Duration::from_millis(800),
        gossip_interval: Duration::from_millis(100),
        sync_interval: Duration::from_millis(500),
        rejoin_interval: Duration::from_millis(300),
        contact_timeout: Duration::from_millis(1_500),
        ..MembershipConfig::default()
    }
}

/// Limits with shorter timeouts than the default.
pub fn short_timeouts() -> PeerLimits {
    PeerLimits {
        ping_interval: Duration::from_millis(100),
        idle_ping_interval: Duration::from_millis(200),
        silence_timeout: Duration::from_millis(400),
        ..PeerLimits::default()
    }
}

pub fn settings(id: &str, seeds: Vec<SocketAddr>) -> PeerSettings {
    PeerSettings::new(member(id, 1), vec![key("k1")], SystemClock::shared())
        .with_seeds(seeds)
        .with_membership(short_intervals())
        .with_limits(short_timeouts())
}

pub async fn start(id: &str, seeds: Vec<SocketAddr>) -> PeerNode {
    PeerNode::start(settings(id, seeds), Vec::new()).await.expect("the node starts")
}

pub fn echo() -> (PeerChannel, PeerHandler) {
    let handler: PeerHandler = Arc::new(|body| Box::pin(async move { Ok(body) }));
    (PeerChannel::Status, handler)
}

/// Waits until `condition` holds. Panics after a minute.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..1_200 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("timed out after a minute waiting for: {what}");
}

pub async fn finished<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(60), future)
        .await
        .expect("the call ends within a minute")
}

pub fn states(node: &PeerNode) -> Vec<(String, MemberState)> {
    let members = node.members().members();
    members.iter().map(|member| (member.id.to_string(), member.state)).collect()
}
