//! Shares of an account's rate over three entries, with paused time.

use oleander_core::catalog::{Catalog, Snapshot};
use oleander_core::ids::{AccountName, Incarnation, Revision};
use oleander_core::membership::{Member, MemberRole, MemberState};
use oleander_core::units::Timestamp;
use oleander_peers::{ShareService, ShareSettings};
use oleander_ports::catalog::{CatalogPort, CatalogStatus};
use oleander_ports::clock::RuntimeClock;
use oleander_ports::peers::PeerChannel;
use oleander_standin::fakes::{FakeMembers, FakePeers};
use std::sync::Arc;
use std::time::Duration;

const RATE: f64 = 90.0;

struct FixedCatalog(Arc<Snapshot>);

impl CatalogPort for FixedCatalog {
    fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.0)
    }

    fn status(&self) -> CatalogStatus {
        CatalogStatus::InForce
    }
}

fn catalog() -> Arc<dyn CatalogPort> {
    let text = r#"{ "client_accounts": {
        "school-stops": { "key_digests": [], "requests_per_second": 90.0, "burst": 30 } } }"#;
    let catalog: Catalog = serde_json::from_str(text).expect("it parses");
    Arc::new(FixedCatalog(Arc::new(Snapshot::new(Revision::new(1), catalog))))
}

fn member(number: u16, role: MemberRole) -> Member {
    let kind = if role == MemberRole::Entry { "entry" } else { "steward" };
    Member {
        id: format!("host-{number}.{kind}").parse().expect("an id"),
        incarnation: Incarnation::new(1),
        role,
        region: "puget".parse().expect("a name"),
        domain: "puget-1".parse().expect("a name"),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        state: MemberState::Alive,
        revision: Revision::default(),
    }
}

struct Fleet {
    members: Vec<Member>,
    view: FakeMembers,
    peers: FakePeers,
    services: Vec<ShareService>,
    account: AccountName,
}

impl Fleet {
    fn start() -> Self {
        let entries = (0..3).map(|number| member(number, MemberRole::Entry));
        let stewards = (3..5).map(|number| member(number, MemberRole::Steward));
        let members: Vec<Member> = entries.chain(stewards).collect();
        let (view, peers) = (FakeMembers::new(), FakePeers::new());
        view.set_members(members.clone());
        let clock = Arc::new(RuntimeClock::new(Timestamp::from_millis(1_000_000)));
        let start = |me: &Member| {
            let service = ShareService::start(ShareSettings {
                me: me.clone(),
                catalog: catalog(),
                members: Arc::new(view.clone()),
                calls: Arc::new(peers.clone()),
                clock: clock.clone(),
            });
            peers.handle(me.address, PeerChannel::Shares, service.handler());
            service
        };
        let services = members.iter().map(start).collect();
        let account = "school-stops".parse().expect("a name");
        Self { members, view, peers, services, account }
    }

    /// Advances by `seconds` with `demands` requests per second at the entries.
    async fn pass(&self, seconds: usize, demands: [usize; 3]) {
        for _ in 0..seconds {
            for (service, demand) in self.services.iter().zip(demands) {
                (0..demand).for_each(|_| service.port().record_demand(&self.account));
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
            let sum: f64 = self.shares().iter().sum();
            assert!(sum <= RATE + 1e-6, "the shares add up to {sum}");
        }
    }

    fn shares(&self) -> Vec<f64> {
        let share = |service: &ShareService| {
            service.port().share(&self.account).expect("it is listed").requests_per_second
        };
        self.services[..3].iter().map(share).collect()
    }

    /// The steward that coordinates the account.
    fn coordinator(&self) -> &Member {
        let mut view = oleander_peers::share_view::ShareView::default();
        view.update(&self.members, Timestamp::from_millis(1));
        let address = view.coordinator(&self.account).expect("there is one").address;
        self.members.iter().find(|member| member.address == address).expect("it is listed")
    }
}

#[tokio::test(start_paused = true)]
async fn shares_start_equal_and_follow_demand() {
    let fleet = Fleet::start();
    fleet.pass(1, [0, 0, 0]).await;
    assert!(fleet.shares().iter().all(|share| *share >= 16.5), "{:?}", fleet.shares());
    fleet.pass(4, [70, 1, 0]).await;
    assert!(fleet.shares()[0] >= 70.0, "{:?}", fleet.shares());
    fleet.pass(60, [0, 0, 0]).await;
    assert!(fleet.shares().iter().all(|share| *share > 16.0), "{:?}", fleet.shares());
    let unlisted = "nobody".parse().expect("a name");
    assert_eq!(fleet.services[0].port().share(&unlisted), None);
}

#[tokio::test(start_paused = true)]
async fn shares_survive_loss_of_the_coordinator_and_follow_demand_at_its_successor() {
    let fleet = Fleet::start();
    fleet.pass(25, [70, 1, 0]).await;
    let lost = fleet.coordinator().clone();
    fleet.peers.set_unreachable(lost.address, true);
    fleet.pass(5, [70, 1, 0]).await;
    assert!(fleet.shares()[0] >= 70.0, "{:?}", fleet.shares());
    let remaining = fleet.members.iter().filter(|member| member.id != lost.id).cloned().collect();
    fleet.view.set_members(remaining);
    fleet.pass(5, [70, 1, 0]).await;
    assert!(fleet.shares()[0] >= 70.0, "{:?}", fleet.shares());
    fleet.pass(30, [1, 70, 0]).await;
    assert!(fleet.shares()[1] >= 70.0, "{:?}", fleet.shares());
}

#[tokio::test(start_paused = true)]
async fn without_a_coordinator_each_entry_falls_back_to_its_base_share() {
    let fleet = Fleet::start();
    fleet.pass(5, [70, 1, 0]).await;
    for steward in &fleet.members[3..] {
        fleet.peers.set_unreachable(steward.address, true);
    }
    fleet.pass(15, [70, 1, 0]).await;
    assert_eq!(fleet.shares(), vec![3.0, 3.0, 3.0]);
}
