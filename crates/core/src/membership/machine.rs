//! The membership protocol of one process, as a state machine without I/O.

mod merge;
mod probing;

use crate::ids::{HostId, Incarnation, Revision};
use crate::membership::config::MembershipConfig;
use crate::membership::member::{Member, Rumor};
use crate::membership::message::{
    GossipUpdates, Message, MessageKind, ProbeNumber, RevisionReport, Sender, SyncCall, SyncReply,
};
use crate::membership::probe::{ProbeInFlight, ProbeSchedule, RelayedProbe, pick};
use crate::membership::queue::UpdateQueue;
use crate::membership::record::{Liveness, MemberRecord};
use crate::membership::rumors::RumorTable;
use crate::membership::sync;
use crate::membership::table::{MemberEntry, MemberTable};
use crate::units::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

/// An action for the caller of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberOutput {
    /// Send a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// The datagram.
        message: Box<Message>,
    },
    /// Sync tables with the process at this address: send it [`MemberMachine::sync_call`] and
    /// pass its reply to [`MemberMachine::apply_sync_reply`].
    Sync(SocketAddr),
    /// Report an event.
    Event(MemberEvent),
}

/// A change of what this process knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member joined, left or changed.
    MembersChanged,
    /// A new rumor arrived.
    Rumor(Rumor),
    /// Another process uses the id of this one with a newer incarnation.
    Superseded(Incarnation),
}

/// Age of an indirect probe after which its ack is no longer forwarded.
const RELAY_TIMEOUT_MILLIS: u64 = 1_000;

/// Interval between the checks for expired suspects and for dead members to remove.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of suspects that are pinged again at one check.
const MAX_SUSPECT_PINGS: usize = 8;

/// Maximum number of indirect probes in flight for other processes.
const MAX_RELAYS: usize = 256;

/// The membership protocol of one process.
///
/// ```
/// use oleander_core::ids::{Incarnation, Revision};
/// use oleander_core::membership::{Member, MemberMachine, MemberRole, MemberState};
/// use oleander_core::membership::MembershipConfig;
/// use oleander_core::units::Timestamp;
///
/// let me = Member {
///     id: "host-1.entry".parse().unwrap(),
///     incarnation: Incarnation::new(1),
///     role: MemberRole::Entry,
///     region: "dakar".parse().unwrap(),
///     domain: "dakar-1".parse().unwrap(),
///     address: "127.0.0.1:9000".parse().unwrap(),
///     state: MemberState::Alive,
///     revision: Revision::default(),
/// };
/// let now = Timestamp::from_millis(0);
/// let machine = MemberMachine::new(&me, MembershipConfig::default(), 7, now);
/// assert_eq!(machine.members(), vec![me]);
/// assert!(machine.in_contact(now));
/// ```
#[derive(Debug)]
pub struct MemberMachine {
    config: MembershipConfig,
    me: MemberEntry,
    table: MemberTable,
    rumors: RumorTable,
    queue: UpdateQueue,
    schedule: ProbeSchedule,
    rng: StdRng,
    bootstrap: Vec<SocketAddr>,
    probe: Option<ProbeInFlight>,
    relays: Vec<RelayedProbe>,
    next_number: ProbeNumber,
    next_probe: Timestamp,
    next_gossip: Timestamp,
    next_sync: Timestamp,
    next_rejoin: Timestamp,
    next_requested_sync: Timestamp,
    next_suspect_check: Timestamp,
    last_tick: Timestamp,
    last_heard: Timestamp,
    expects_peers: bool,
    outputs: Vec<MemberOutput>,
    changed: bool,
}

impl MemberMachine {
    /// Creates the state of a process that starts at `now`. `seed` seeds the random generator.
    #[must_use]
    pub fn new(me: &Member, config: MembershipConfig, seed: u64, now: Timestamp) -> Self {
        let record = MemberRecord::new(me);
        let mut queue = UpdateQueue::default();
        queue.push_record(record.clone());
        Self {
            config,
            me: MemberEntry { record, revision: me.revision, since: now },
            table: MemberTable::default(),
            rumors: RumorTable::default(),
            queue,
            schedule: ProbeSchedule::default(),
            rng: StdRng::seed_from_u64(seed),
            bootstrap: Vec::new(),
            probe: None,
            relays: Vec::new(),
            next_number: 1,
            next_probe: now,
            next_gossip: now,
            next_sync: now,
            next_rejoin: now,
            next_requested_sync: now,
            next_suspect_check: now,
            last_tick: now,
            last_heard: now,
            expects_peers: false,
            outputs: Vec::new(),
            changed: false,
        }
    }

    /// Every member that is not dead, this process included, in order of id.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let entries = self.table.present().chain([&self.me]);
        let mut members: Vec<Member> =
            entries.map(|entry| entry.record.member(entry.revision)).collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members
    }

    /// All known rumors.
    #[must_use]
    pub fn rumors(&self) -> Vec<Rumor> {
        self.rumors.known()
    }

    /// Whether a peer sent a message within the contact timeout. Also true when no peer is
    /// expected: none was ever known, or all of them announced that they left.
    #[must_use]
    pub fn in_contact(&self, now: Timestamp) -> bool {
        !self.expects_peers || now.since(self.last_heard) < self.config.contact_timeout
    }

    /// Number of updates in the gossip queue.
    #[must_use]
    pub fn queued_updates(&self) -> usize {
        self.queue.len()
    }

    /// Sets the addresses of the system's processes from the settings and the platform's host
    /// list.
    pub fn set_bootstrap_addresses(&mut self, mut bootstrap: Vec<SocketAddr>) {
        bootstrap.retain(|address| *address != self.me.record.address);
        bootstrap.sort();
        bootstrap.dedup();
        self.bootstrap = bootstrap;
    }

    /// Gossips a rumor unless a newer one on the same subject is known.
    pub fn announce(&mut self, rumor: &Rumor) -> Vec<MemberOutput> {
        self.apply_rumor(rumor, true);
        self.finish()
    }

    /// Announces the revision that this process has in force. A lower one than before is ignored.
    pub fn set_revision(&mut self, revision: Revision) -> Vec<MemberOutput> {
        if revision > self.me.revision {
            self.me.revision = revision;
            let tag = self.me.record.tag();
            self.queue.push_revision(RevisionReport { tag, revision });
            self.changed = true;
        }
        self.finish()
    }

    /// Announces that this process is leaving.
    pub fn leave(&mut self) -> Vec<MemberOutput> {
        if !self.me.record.leaving {
            self.me.record.leaving = true;
            self.reissue_own_record(self.me.record.version.refutation);
        }
        self.finish()
    }

    /// Announces that this process has left. Returns the datagrams to send before it stops.
    pub fn depart(&mut self) -> Vec<MemberOutput> {
        const LEAVE_NOTICES: usize = 6;
        self.me.record.version.refutation += 1;
        self.me.record.version.liveness = Liveness::Left;
        let record = self.me.record.clone();
        let targets = self.present_addresses();
        for to in pick(&targets, LEAVE_NOTICES, &mut self.rng) {
            let updates =
                GossipUpdates { records: vec![record.clone()], ..GossipUpdates::default() };
            self.send(to, MessageKind::Gossip, updates);
        }
        self.finish()
    }

    /// Handles one datagram. Replies go to `from`.
    pub fn handle(
        &mut self,
        from: SocketAddr,
        message: &Message,
        now: Timestamp,
    ) -> Vec<MemberOutput> {
        if message.sender.id == self.me.record.id {
            self.handle_own_record(message.sender.version.incarnation, None);
            return self.finish();
        }
        self.last_heard = now;
        self.apply_updates(&message.updates, true, now);
        self.handle_sender(from, &message.sender, now);
        match &message.kind {
            MessageKind::Ping(number) => {
                let updates = self.updates_for(Some(&message.sender.id));
                self.send(from, MessageKind::Ack(*number), updates);
            }
            MessageKind::Ack(number) => self.handle_ack(*number),
            MessageKind::PingRequest { probe, target } => self.relay(from, *probe, target, now),
            MessageKind::Gossip => {}
        }
        self.finish()
    }

    /// Runs the timers. Call it about every 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MemberOutput> {
        self.restart_timers_after_pause(now);
        self.tick_probe(now);
        self.tick_suspects(now);
        self.tick_gossip(now);
        self.tick_sync(now);
        self.tick_rejoin(now);
        self.relays
            .retain(|relay| now.since(relay.started).as_millis() < RELAY_TIMEOUT_MILLIS.into());
        self.finish()
    }

    /// Restarts the suspicion timers after a pause of this process: it missed refutations
    /// meanwhile.
    fn restart_timers_after_pause(&mut self, now: Timestamp) {
        if now.since(self.last_tick) >= self.config.pause_gap {
            self.table.extend_suspicions(now);
            self.probe = None;
            self.next_probe = now;
            self.next_sync = now;
        }
        self.last_tick = now;
    }

    fn tick_suspects(&mut self, now: Timestamp) {
        if now < self.next_suspect_check {
            return;
        }
        self.next_suspect_check = now + SUSPECT_CHECK_INTERVAL;
        for record in self.table.expire_suspects(self.config.suspicion, now) {
            self.queue.push_record(record);
            self.changed = true;
        }
        self.table.remove_dead(self.config.dead_retention, now);
        self.ping_suspects(now);
    }

    fn tick_gossip(&mut self, now: Timestamp) {
        if now < self.next_gossip || self.queue.is_empty() {
            return;
        }
        self.next_gossip = now + self.config.gossip_interval;
        let targets = self.present_addresses();
        for to in pick(&targets, self.config.gossip_fanout, &mut self.rng) {
            let updates = self.updates_for(None);
            self.send(to, MessageKind::Gossip, updates);
        }
    }

    fn tick_sync(&mut self, now: Timestamp) {
        if now < self.next_sync {
            return;
        }
        let present = self.present_addresses();
        let (targets, interval) = match present.is_empty() {
            true => (self.bootstrap.clone(), self.config.probe_interval),
            false => (present, self.config.sync_interval),
        };
        self.next_sync = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        let picked = pick(&targets, 1, &mut self.rng);
        self.outputs.extend(picked.into_iter().map(MemberOutput::Sync));
    }

    /// The request that starts an anti-entropy sync.
    #[must_use]
    pub fn sync_call(&self) -> SyncCall {
        let digest = sync::digest(&self.me, &self.table, &self.rumors);
        SyncCall::Compare { sender: self.sender(), digest }
    }

    /// Answers a sync request of another process. A push has no reply.
    pub fn answer_sync(
        &mut self,
        call: &SyncCall,
        now: Timestamp,
    ) -> (Option<SyncReply>, Vec<MemberOutput>) {
        self.last_heard = now;
        match call {
            SyncCall::Compare { digest, .. } => {
                let updates = sync::difference(&self.me, &self.table, &self.rumors, digest);
                let digest = sync::digest(&self.me, &self.table, &self.rumors);
                (Some(SyncReply { digest, updates }), self.finish())
            }
            SyncCall::Push(updates) => {
                self.apply_updates(updates, true, now);
                (None, self.finish())
            }
        }
    }

    /// Applies the reply to a sync request. Returns a push of what the other process lacks, if
    /// anything.
    pub fn apply_sync_reply(
        &mut self,
        reply: &SyncReply,
        now: Timestamp,
    ) -> (Option<SyncCall>, Vec<MemberOutput>) {
        self.last_heard = now;
        let push = sync::difference(&self.me, &self.table, &self.rumors, &reply.digest);
        let knew_others = self.table.present().next().is_some();
        self.apply_updates(&reply.updates, knew_others, now);
        let push = (push != GossipUpdates::default()).then_some(SyncCall::Push(push));
        (push, self.finish())
    }

    fn sender(&self) -> Sender {
        let MemberRecord { id, version, leaving, .. } = &self.me.record;
        Sender { id: id.clone(), version: *version, leaving: *leaving, revision: self.me.revision }
    }

    fn send(&mut self, to: SocketAddr, kind: MessageKind, updates: GossipUpdates) {
        let message = Box::new(Message { sender: self.sender(), kind, updates });
        self.outputs.push(MemberOutput::Send { to, message });
    }

    /// Updates for one message. A member that is not considered alive also gets its own record,
    /// so that it can refute it.
    fn updates_for(&mut self, to: Option<&HostId>) -> GossipUpdates {
        let mut updates = self.queue.take_for_message(self.retransmit_limit());
        let about = to.and_then(|id| self.table.last_record(id));
        if let Some(record) = about.filter(|r| r.version.liveness > Liveness::Alive) {
            updates.records.push(record.clone());
        }
        updates
    }

    fn retransmit_limit(&self) -> u32 {
        let members = self.table.present().count() + 1;
        self.config.retransmit_factor * ((members + 1) as f64).log10().ceil() as u32
    }

    fn present_addresses(&self) -> Vec<SocketAddr> {
        self.table.present().map(|entry| entry.record.address).collect()
    }

    fn next_probe_number(&mut self) -> ProbeNumber {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    fn finish(&mut self) -> Vec<MemberOutput> {
        if std::mem::take(&mut self.changed) {
            self.outputs.push(MemberOutput::Event(MemberEvent::MembersChanged));
        }
        std::mem::take(&mut self.outputs)
    }
}
