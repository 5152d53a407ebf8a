//! Several ledgers in one process, with an in-memory platform and network.
#![allow(dead_code, reason = "no test file uses all of it")]

use oleander_core::claim::ClaimRequest;
use oleander_core::ids::{AccountName, Incarnation, RequestId, Revision};
use oleander_core::ledger::fold::Statement;
use oleander_core::ledger::shard::{LedgerRoute, ROUTES_PER_SHARD, ShardId};
use oleander_core::reason::RunState;
use oleander_core::units::{Money, Timestamp, TokenCount};
use oleander_core::usage::{StoredOutcome, UsageRecord, UsedItem};
use oleander_ledger::{LedgerClient, LedgerNode, LedgerPorts, NodeConfig, StatementReader};
use oleander_ports::clock::{ClockPort, RuntimeClock};
use oleander_ports::members::{Member, MemberRole, MemberState};
use oleander_ports::table::{TablePort, TableRow, TableTransaction, TransactionOutcome};
use oleander_ports::{PlatformError, PortFuture};
use oleander_standin::fakes::{FakeMembers, FakePeers};
use oleander_standin::memory::{MemoryObjects, MemoryTable};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Start time of every test.
pub const START: Timestamp = Timestamp::from_millis(1_700_000_000_000);

/// Ledgers `ledger-0`, `ledger-1`, … each in its own failure domain.
pub struct Fleet {
    pub table: MemoryTable,
    pub objects: MemoryObjects,
    pub peers: FakePeers,
    pub members: FakeMembers,
    pub clock: Arc<RuntimeClock>,
    pub nodes: Vec<Arc<LedgerNode>>,
    pub member_list: Vec<Member>,
}

impl Fleet {
    pub fn new(ledgers: usize) -> Self {
        Self::with_config(ledgers, |config| config)
    }

    pub fn with_config(ledgers: usize, change: impl Fn(NodeConfig) -> NodeConfig) -> Self {
        let mut fleet = Self {
            table: MemoryTable::new(),
            objects: MemoryObjects::new(),
            peers: FakePeers::new(),
            members: FakeMembers::new(),
            clock: Arc::new(RuntimeClock::new(START)),
            nodes: Vec::new(),
            member_list: Vec::new(),
        };
        for index in 0..ledgers {
            let member = member(index);
            let config = NodeConfig::new(
                member.id.clone(),
                member.region.clone(),
                member.domain.clone(),
                member.incarnation,
            );
            fleet.member_list.push(member);
            fleet.members.set_members(fleet.member_list.clone());
            fleet.add_node(index, change(config));
        }
        fleet
    }

    fn add_node(&mut self, index: usize, config: NodeConfig) {
        let node = LedgerNode::new(config, self.ports());
        for (channel, handler) in node.handlers() {
            self.peers.handle(address(index), channel, handler);
        }
        self.nodes.push(node);
    }

    pub fn ports(&self) -> LedgerPorts {
        LedgerPorts {
            table: Arc::new(self.table.clone()),
            objects: Arc::new(self.objects.clone()),
            peers: Arc::new(self.peers.clone()),
            members: Arc::new(self.members.clone()),
            clock: self.clock.clone(),
        }
    }

    pub fn client(&self) -> LedgerClient {
        let (peers, members) = (Arc::new(self.peers.clone()), Arc::new(self.members.clone()));
        LedgerClient::new(peers, members, self.clock.clone(), 1)
    }

    /// Simulates the loss of a ledger's host and of the backlog on it.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].kill();
        self.peers.set_unreachable(address(index), true);
        self.member_list.retain(|member| member.address != address(index));
        self.members.set_members(self.member_list.clone());
    }

    /// Simulates the loss of a ledger's host and starts a new incarnation at the same address.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index].kill();
        let member = &mut self.member_list[index];
        member.incarnation = member.incarnation.next();
        let (id, region, domain) =
            (member.id.clone(), member.region.clone(), member.domain.clone());
        let config = NodeConfig::new(id, region, domain, member.incarnation);
        self.members.set_members(self.member_list.clone());
        let node = LedgerNode::new(config, self.ports());
        for (channel, handler) in node.handlers() {
            self.peers.handle(address(index), channel, handler);
        }
        self.nodes[index] = node;
    }

    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub fn reader(&self) -> StatementReader {
        StatementReader::new(Arc::new(self.table.clone()), Arc::new(self.objects.clone()))
    }

    /// Index of the ledger that is tried first for `account`.
    pub fn first_ledger_for(&self, account: &AccountName) -> usize {
        self.first_ledger_on(LedgerRoute::of_shard(ShardId::of(account)))
    }

    /// Index of the ledger that is tried first for claims.
    pub fn first_ledger_for_claims(&self) -> usize {
        self.first_ledger_on(LedgerRoute::of_claims())
    }

    fn first_ledger_on(&self, route: LedgerRoute) -> usize {
        let ledgers = oleander_ledger::ranking::ledgers_for(&self.member_list, route, None);
        usize::from(ledgers[0].address.port()) - 1
    }

    pub async fn statement(&self, account: &AccountName) -> Statement {
        let to = self.now() + Duration::from_secs(3600);
        self.reader().statement(account, Timestamp::default(), to).await.unwrap()
    }
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

pub fn member(index: usize) -> Member {
    Member {
        id: format!("ledger-{index}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        role: MemberRole::Ledger,
        region: "puget".parse().unwrap(),
        domain: format!("domain-{index}").parse().unwrap(),
        address: address(index),
        state: MemberState::Alive,
        revision: Revision::new(1),
    }
}

pub fn account(name: &str) -> AccountName {
    name.parse().unwrap()
}

pub fn record(account: &AccountName, request: RequestId) -> UsageRecord {
    UsageRecord {
        account: account.clone(),
        request,
        item: UsedItem::Version("menu-small-3".parse().unwrap()),
        run: RunState::Done,
        tokens_in: TokenCount::new(100),
        tokens_out: TokenCount::new(40),
        billed: Money::from_micros(700),
        upstream_cost: Money::from_micros(500),
        ended_at: request.created_at() + Duration::from_millis(900),
        outcome: None,
    }
}

/// Ids that all have the same route, so that one ledger holds all of the requests.
pub fn request(number: u128) -> RequestId {
    RequestId::new(START, number * u128::from(ROUTES_PER_SHARD))
}

pub fn claim(key: &str, body: u8, number: u128) -> ClaimRequest {
    ClaimRequest {
        account: account("north-van"),
        key: key.parse().unwrap(),
        body_digest: [body; 32],
        request: request(number),
    }
}

pub fn outcome(key: &str) -> StoredOutcome {
    StoredOutcome {
        key: key.parse().unwrap(),
        status: 201,
        content_type: Arc::from("application/json"),
        body: b"{\"order\":7}".to_vec(),
    }
}

/// A table whose transactions are applied after a delay.
pub struct DelayedTable {
    pub table: MemoryTable,
    pub delay: Duration,
}

impl TablePort for DelayedTable {
    fn transact(
        &self,
        transaction: TableTransaction,
    ) -> PortFuture<'_, Result<TransactionOutcome, PlatformError>> {
        Box::pin(async move {
            tokio::time::sleep(self.delay).await;
            self.table.transact(transaction).await
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Result<Option<TableRow>, PlatformError>> {
        self.table.get(key)
    }

    fn scan<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> PortFuture<'a, Result<Vec<TableRow>, PlatformError>> {
        self.table.scan(start, end, limit)
    }
}
