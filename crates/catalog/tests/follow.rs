//! Following: revisions never decrease, sources of new heads, and loss of contact.

mod support;

use oleander_catalog::records::{CatalogCall, CatalogReply};
use oleander_catalog::{CatalogFollower, FollowerPorts};
use oleander_core::ids::Revision;
use oleander_ports::catalog::{CatalogPort, CatalogStatus};
use oleander_ports::clock::ClockPort;
use oleander_ports::members::{Member, MemberRole, MembershipPort, Rumor};
use oleander_ports::peers::PeerChannel;
use oleander_standin::fakes::{FakeMembers, FakePeers};
use std::sync::Arc;
use std::time::Duration;
use support::{Stores, address, clock, domain, drained, host, member, small_catalog};

/// Processes with common stores and peers and the same members.
struct Fleet {
    stores: Stores,
    peers: FakePeers,
    clock: Arc<dyn ClockPort>,
    hosts: Vec<(FakeMembers, CatalogFollower)>,
}

impl Fleet {
    fn new(hosts: u16) -> Self {
        let mut fleet = Self {
            stores: Stores::default(),
            peers: FakePeers::new(),
            clock: clock(),
            hosts: Vec::new(),
        };
        for number in 0..hosts {
            fleet.start(number, hosts);
        }
        fleet
    }

    fn start(&mut self, number: u16, members: u16) {
        let known_members = FakeMembers::new();
        known_members.set_members(self.members(members));
        let ports = FollowerPorts {
            table: Arc::new(self.stores.table.clone()),
            objects: Arc::new(self.stores.objects.clone()),
            peers: Arc::new(self.peers.clone()),
            members: Arc::new(known_members.clone()),
            clock: Arc::clone(&self.clock),
        };
        let follower = CatalogFollower::new(ports, host(number), domain(), u64::from(number));
        self.peers.handle(address(number), PeerChannel::Catalog, follower.peer_handler());
        self.hosts.push((known_members, follower));
    }

    fn members(&self, count: u16) -> Vec<Member> {
        (0..count).map(|number| member(number, MemberRole::Entry)).collect()
    }

    fn revision(&self, index: usize) -> u64 {
        self.hosts[index].1.snapshot().revision().get()
    }

    fn status(&self, index: usize) -> CatalogStatus {
        self.hosts[index].1.status()
    }

    /// Delivers every announced head to all hosts, as gossip does.
    fn gossip(&self) {
        let announced: Vec<Rumor> =
            self.hosts.iter().flat_map(|(known_members, _)| known_members.rumors()).collect();
        for (known_members, _) in &self.hosts {
            for rumor in announced.iter().filter(|rumor| !known_members.rumors().contains(rumor)) {
                known_members.announce(rumor.clone());
            }
        }
    }

    fn set_stores_down(&self, down: bool) {
        self.stores.table.set_down(down);
        self.stores.objects.set_down(down);
    }
}

async fn advance(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_admitted_before_a_catalog_is_known() {
    let fleet = Fleet::new(1);
    assert_eq!(fleet.status(0), CatalogStatus::Missing);
    advance(3.0).await;
    assert_eq!(fleet.status(0), CatalogStatus::Missing);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(2.0).await;
    assert_eq!((fleet.revision(0), fleet.status(0)), (1, CatalogStatus::InForce));
    assert_eq!(fleet.hosts[0].0.revision(), Revision::new(1));
}

#[tokio::test(start_paused = true)]
async fn change_is_in_force_on_all_hosts_within_five_seconds() {
    let fleet = Fleet::new(20);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(3.0).await;
    let reads_before = fleet.stores.table.counts().reads;
    fleet.stores.publish(&drained("engine-1", "heat"), 1).await.unwrap();
    for _ in 0..40 {
        advance(0.1).await;
        fleet.gossip();
    }
    assert!((0..20).all(|index| fleet.revision(index) == 2));
    // Two reads per second, the reads of the publication and a few backstop polls.
    let reads = fleet.stores.table.counts().reads - reads_before;
    assert!(reads < 30, "{reads} reads");
}

/// Guards against hosts that stay behind when all rumors are lost. They learn of the new head from
/// the revisions that members report.
#[tokio::test(start_paused = true)]
async fn lost_rumors_are_compensated_by_reported_revisions() {
    let fleet = Fleet::new(8);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(3.0).await;
    fleet.stores.publish(&drained("engine-1", "heat"), 1).await.unwrap();
    advance(1.5).await;
    let ahead = (0..8).filter(|&index| fleet.revision(index) == 2).count();
    assert!(ahead < 8, "some host must depend on the rumor");
    let mut members = fleet.members(8);
    for (member, (_, follower)) in members.iter_mut().zip(&fleet.hosts) {
        member.revision = follower.snapshot().revision();
    }
    fleet.hosts.iter().for_each(|(known_members, _)| known_members.set_members(members.clone()));
    advance(2.0).await;
    assert!((0..8).all(|index| fleet.revision(index) == 2));
}

/// Guards against a lower revision after the store was restored to an older state, with a late
/// rumor and a lagging peer.
#[tokio::test(start_paused = true)]
async fn stale_store_late_rumor_and_lagging_peer_never_lower_the_revision() {
    let fleet = Fleet::new(3);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    fleet.stores.publish(&drained("engine-1", "heat"), 1).await.unwrap();
    advance(2.0).await;
    fleet.gossip();
    advance(2.0).await;
    assert_eq!(fleet.revision(0), 2);
    let old = fleet.stores.publisher().store().record(Revision::new(1)).await.unwrap().unwrap();
    fleet.stores.set_head_row(serde_json::to_vec(&old).unwrap()).await;
    let late = Rumor::Head { revision: old.revision, digest: old.digest };
    fleet.hosts.iter().for_each(|(known_members, _)| known_members.announce(late.clone()));
    for _ in 0..50 {
        advance(0.1).await;
        assert!((0..3).all(|index| fleet.revision(index) == 2));
    }
}

#[tokio::test(start_paused = true)]
async fn restarted_host_learns_the_head_from_several_peers_while_the_store_is_down() {
    let mut fleet = Fleet::new(4);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(2.0).await;
    fleet.gossip();
    advance(2.0).await;
    fleet.set_stores_down(true);
    fleet.start(4, 5);
    assert_eq!(fleet.status(4), CatalogStatus::Missing);
    advance(3.0).await;
    assert_eq!((fleet.revision(4), fleet.status(4)), (1, CatalogStatus::InForce));
}

#[tokio::test(start_paused = true)]
async fn one_reachable_peer_is_not_enough_to_start() {
    let mut fleet = Fleet::new(4);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(2.0).await;
    fleet.set_stores_down(true);
    (1..4).for_each(|number| fleet.peers.set_unreachable(address(number), true));
    fleet.start(4, 5);
    advance(10.0).await;
    assert_eq!(fleet.status(4), CatalogStatus::Missing);
    (1..4).for_each(|number| fleet.peers.set_unreachable(address(number), false));
    advance(3.0).await;
    assert_eq!(fleet.status(4), CatalogStatus::InForce);
}

#[tokio::test(start_paused = true)]
async fn store_outage_does_not_stop_hosts_that_reach_peers() {
    let fleet = Fleet::new(3);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(3.0).await;
    fleet.set_stores_down(true);
    advance(3_600.0).await;
    assert_eq!(fleet.status(0), CatalogStatus::InForce);
}

#[tokio::test(start_paused = true)]
async fn host_cut_off_from_peers_serves_while_the_store_answers() {
    let fleet = Fleet::new(3);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(3.0).await;
    fleet.hosts.iter().for_each(|(known_members, _)| known_members.set_partitioned(true));
    for _ in 0..600 {
        advance(0.1).await;
        assert!((0..3).all(|index| fleet.status(index) == CatalogStatus::InForce));
    }
    fleet.stores.publish(&drained("engine-1", "heat"), 1).await.unwrap();
    advance(3.0).await;
    assert!((0..3).all(|index| fleet.revision(index) == 2));
}

#[tokio::test(start_paused = true)]
async fn host_cut_off_from_store_and_peers_stops_admitting_until_it_reconnects() {
    let fleet = Fleet::new(3);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(3.0).await;
    fleet.set_stores_down(true);
    fleet.hosts[0].0.set_partitioned(true);
    advance(3.0).await;
    assert_eq!(fleet.status(0), CatalogStatus::InForce);
    advance(3.0).await;
    assert_eq!(fleet.status(0), CatalogStatus::CutOff);
    assert_eq!(fleet.status(1), CatalogStatus::InForce);
    fleet.hosts[0].0.set_partitioned(false);
    advance(0.5).await;
    assert_eq!(fleet.status(0), CatalogStatus::InForce);
}

/// Guards against admission after a pause of the process: the actor has not run, but the clock has
/// advanced.
#[tokio::test(start_paused = true)]
async fn paused_host_is_cut_off_before_it_admits_requests() {
    let fleet = Fleet::new(2);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    advance(3.0).await;
    let follower = &fleet.hosts[0].1;
    follower.stop();
    tokio::time::advance(Duration::from_secs(60)).await;
    assert_eq!(follower.status(), CatalogStatus::CutOff);
}

#[tokio::test(start_paused = true)]
async fn forged_body_of_a_peer_is_rejected() {
    let fleet = Fleet::new(6);
    fleet.stores.publish(&small_catalog(), 0).await.unwrap();
    let forged = postcard::to_stdvec(&CatalogReply::Body(Some(b"{}".to_vec()))).unwrap();
    for number in 0..6 {
        let reply = forged.clone();
        let handler = move |call: Vec<u8>| {
            let call: CatalogCall = postcard::from_bytes(&call).unwrap();
            let head = postcard::to_stdvec(&CatalogReply::Head(None)).unwrap();
            let reply = if call == CatalogCall::Head { head } else { reply.clone() };
            Box::pin(async move { Ok(reply) }) as oleander_ports::PortFuture<'static, _>
        };
        fleet.peers.handle(address(number), PeerChannel::Catalog, Arc::new(handler));
    }
    advance(5.0).await;
    fleet.gossip();
    advance(3.0).await;
    assert!((0..6).all(|index| fleet.revision(index) == 1));
    assert!(fleet.hosts[5].1.snapshot().catalog().versions.len() == 3);
}

#[tokio::test]
async fn malformed_call_is_refused() {
    let fleet = Fleet::new(1);
    let handler = fleet.hosts[0].1.peer_handler();
    assert!(handler(vec![255; 40]).await.is_err());
}
