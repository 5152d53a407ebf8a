//! Membership state machines on a simulated network in virtual time, with seeded loss and delay.
#![allow(dead_code, reason = "each test file uses a part")]

use oleander_core::ids::{Incarnation, Revision};
use oleander_core::membership::message::{GossipUpdates, Message, SyncDigest, SyncReply};
use oleander_core::membership::record::MemberRecord;
use oleander_core::membership::{
    Member, MemberEvent, MemberMachine, MemberOutput, MemberRole, MemberState, MembershipConfig,
    Rumor,
};
use oleander_core::units::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const TICK_MILLIS: u64 = 100;

/// Datagram faults of the network.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplicate: f64,
    /// Maximum extra delay in milliseconds; reorders datagrams.
    pub jitter_millis: u64,
}

pub struct Node {
    pub machine: MemberMachine,
    pub region: usize,
    pub paused: bool,
    pub stopped: bool,
    pub rumors: Vec<(u64, Rumor)>,
    pub superseded: bool,
    pub bytes_out: usize,
    pub bytes_in: usize,
    pub messages_out: usize,
    next_tick: u64,
    buffered: Vec<(usize, Message)>,
}

pub struct Network {
    pub nodes: Vec<Node>,
    pub now: u64,
    pub faults: Faults,
    pub partitioned: bool,
    /// Nodes between which every datagram is dropped.
    pub blocked: Option<(usize, usize)>,
    /// Node without any connectivity.
    pub isolated: Option<usize>,
    pub syncs: usize,
    config: MembershipConfig,
    rng: StdRng,
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sequence: u64,
}

pub fn address(index: usize) -> SocketAddr {
    format!("10.{}.{}.1:9000", index / 250, index % 250).parse().expect("an address")
}

fn index_of(address: SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { panic!("not an address of this network") };
    let octets = ip.octets();
    usize::from(octets[1]) * 250 + usize::from(octets[2])
}

pub fn member(index: usize, incarnation: u64) -> Member {
    let (region, domain) = (index % 2, index % 7);
    Member {
        id: format!("host-{index}.entry").parse().expect("an id"),
        incarnation: Incarnation::new(incarnation),
        role: MemberRole::Entry,
        region: format!("region-{region}").parse().expect("a name"),
        domain: format!("region-{region}-{domain}").parse().expect("a name"),
        address: address(index),
        state: MemberState::Alive,
        revision: Revision::default(),
    }
}

impl Network {
    /// `count` nodes that start at once, each with the addresses of the first three.
    pub fn start(count: usize, seed: u64) -> Self {
        Self::start_with(count, seed, MembershipConfig::default())
    }

    pub fn start_with(count: usize, seed: u64, config: MembershipConfig) -> Self {
        let mut network = Self {
            nodes: Vec::new(),
            now: 1_000,
            faults: Faults::default(),
            partitioned: false,
            blocked: None,
            isolated: None,
            syncs: 0,
            config,
            rng: StdRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sequence: 0,
        };
        for index in 0..count {
            let node = network.new_node(index, 1);
            network.nodes.push(node);
        }
        network
    }

    /// `count` nodes that know each other from the start.
    pub fn joined(count: usize, seed: u64) -> Self {
        Self::joined_with(count, seed, MembershipConfig::default())
    }

    pub fn joined_with(count: usize, seed: u64, config: MembershipConfig) -> Self {
        let mut network = Self::start_with(count, seed, config);
        let records = (0..count).map(|index| MemberRecord::new(&member(index, 1))).collect();
        let digest = SyncDigest { buckets: Vec::new(), rumors: 0, revisions: 0 };
        let reply =
            SyncReply { digest, updates: GossipUpdates { records, ..GossipUpdates::default() } };
        let now = Timestamp::from_millis(network.now);
        for node in &mut network.nodes {
            node.machine.apply_sync_reply(&reply, now);
        }
        network
    }

    fn new_node(&mut self, index: usize, incarnation: u64) -> Node {
        let seed = self.rng.random();
        let now = Timestamp::from_millis(self.now);
        let mut machine = MemberMachine::new(&member(index, incarnation), self.config, seed, now);
        machine.set_bootstrap_addresses((0..3).map(address).collect());
        Node {
            machine,
            region: index % 2,
            paused: false,
            stopped: false,
            rumors: Vec::new(),
            superseded: false,
            bytes_out: 0,
            bytes_in: 0,
            messages_out: 0,
            next_tick: self.now + self.rng.random_range(0..TICK_MILLIS),
            buffered: Vec::new(),
        }
    }

    /// Replaces a node with a new process that has the same id.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        self.nodes[index] = self.new_node(index, incarnation);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_millis() as u64;
        while self.now < end {
            self.now += 10;
            self.deliver_due();
            for index in 0..self.nodes.len() {
                let node = &self.nodes[index];
                if node.next_tick <= self.now && !node.paused && !node.stopped {
                    self.nodes[index].next_tick = self.now + TICK_MILLIS;
                    self.drive(index, |machine, now| machine.tick(now));
                }
            }
        }
    }

    /// Runs until `done`, for at most `limit`. Returns the elapsed milliseconds.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let started = self.now;
        while self.now - started < limit.as_millis() as u64 {
            self.run(Duration::from_millis(50));
            if done(self) {
                return Some(self.now - started);
            }
        }
        None
    }

    pub fn drive(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut MemberMachine, Timestamp) -> Vec<MemberOutput>,
    ) {
        let now = Timestamp::from_millis(self.now);
        let outputs = step(&mut self.nodes[index].machine, now);
        self.perform(index, outputs);
    }

    fn perform(&mut self, index: usize, outputs: Vec<MemberOutput>) {
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => self.send(index, index_of(to), *message),
                MemberOutput::Sync(with) => self.sync(index, index_of(with)),
                MemberOutput::Event(MemberEvent::Rumor(rumor)) => {
                    let now = self.now;
                    self.nodes[index].rumors.push((now, rumor));
                }
                MemberOutput::Event(MemberEvent::Superseded(_)) => {
                    self.nodes[index].superseded = true;
                }
                MemberOutput::Event(MemberEvent::MembersChanged) => {}
            }
        }
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        let same_side = !self.partitioned || self.nodes[a].region == self.nodes[b].region;
        let connected = self.isolated.is_none_or(|isolated| isolated != a && isolated != b);
        same_side && connected && !self.nodes[a].stopped && !self.nodes[b].stopped
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = postcard::to_stdvec(&message).expect("must encode").len();
        self.nodes[from].bytes_out += bytes;
        self.nodes[from].messages_out += 1;
        if self.blocked.is_some_and(|pair| pair == (from, to) || pair == (to, from)) {
            return;
        }
        if to >= self.nodes.len() || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            let delay = if self.nodes[from].region == self.nodes[to].region { 1 } else { 30 };
            let jitter = self.rng.random_range(0..=self.faults.jitter_millis);
            self.sequence += 1;
            let at = (self.now + delay + jitter, self.sequence);
            self.in_flight.insert(at, (from, to, message.clone()));
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            if !self.is_linked(from, to) {
                continue;
            }
            if self.nodes[to].paused {
                self.nodes[to].buffered.push((from, message));
                continue;
            }
            self.receive(from, to, &message);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: &Message) {
        self.nodes[to].bytes_in += postcard::to_stdvec(message).expect("must encode").len();
        self.drive(to, |machine, now| machine.handle(address(from), message, now));
    }

    /// Resumes a paused node; datagrams that its socket buffered are delivered first.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for (from, message) in std::mem::take(&mut self.nodes[index].buffered) {
            self.receive(from, index, &message);
        }
    }

    fn sync(&mut self, from: usize, with: usize) {
        if with >= self.nodes.len() || !self.is_linked(from, with) || self.nodes[with].paused {
            return;
        }
        self.syncs += 1;
        let call = self.nodes[from].machine.sync_call();
        let now = Timestamp::from_millis(self.now);
        let (reply, outputs) = self.nodes[with].machine.answer_sync(&call, now);
        self.perform(with, outputs);
        let reply = reply.expect("a sync request has a reply");
        self.count_sync(from, with, postcard::to_stdvec(&call).expect("must encode").len());
        self.count_sync(with, from, postcard::to_stdvec(&reply).expect("must encode").len());
        let (push, outputs) = self.nodes[from].machine.apply_sync_reply(&reply, now);
        self.perform(from, outputs);
        if let Some(push) = push {
            self.count_sync(from, with, postcard::to_stdvec(&push).expect("must encode").len());
            let (_, outputs) = self.nodes[with].machine.answer_sync(&push, now);
            self.perform(with, outputs);
        }
    }

    fn count_sync(&mut self, from: usize, to: usize, bytes: usize) {
        self.nodes[from].bytes_out += bytes;
        self.nodes[to].bytes_in += bytes;
    }

    /// Whether every running node considers exactly the running nodes alive.
    pub fn is_converged(&self) -> bool {
        let running = |node: &&Node| !node.stopped;
        let alive = self.nodes.iter().filter(running).count();
        self.nodes.iter().filter(running).all(|node| alive_count(node) == alive)
    }

    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            (node.bytes_out, node.bytes_in, node.messages_out) = (0, 0, 0);
        }
    }
}

pub fn alive_count(node: &Node) -> usize {
    node.machine.members().iter().filter(|member| member.state == MemberState::Alive).count()
}

pub fn state_of(node: &Node, index: usize) -> Option<MemberState> {
    let id = member(index, 1).id;
    node.machine.members().iter().find(|member| member.id == id).map(|member| member.state)
}

pub fn head(revision: u64) -> Rumor {
    let digest = "8f14e45fceea167a5a36dedd4bea2543cb0d5e8a6e0c1e1b1d1a1f8b7c6d5e4f";
    Rumor::Head { revision: Revision::new(revision), digest: digest.into() }
}
