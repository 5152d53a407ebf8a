//! The membership of one process as a pure machine.

use crate::ids::{HostId, Incarnation, Revision};
use crate::membership::config::MembershipConfig;
use crate::membership::member::{Member, Rumor};
use crate::membership::message::{
    Message, MessageKind, News, ProbeNumber, RevisionReport, Sender, SyncCall, SyncReply,
};
use crate::membership::probe::{ProbeInFlight, ProbeSchedule, RelayedProbe, pick};
use crate::membership::queue::NewsQueue;
use crate::membership::record::{MemberRecord, Standing};
use crate::membership::rumors::RumorBoard;
use crate::membership::sync;
use crate::membership::table::{MemberEntry, MemberTable, Offered};
use crate::units::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberOutput {
    /// Send a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        message: Box<Message>,
    },
    /// Compare tables with the process at this address: send it
    /// [`MemberMachine::sync_call`] and hand its reply to [`MemberMachine::sync_reply`].
    Sync(SocketAddr),
    /// Something became known.
    Event(MemberEvent),
}

/// What became known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member came, went or changed.
    MembersChanged,
    /// A rumor was learned.
    Rumor(Rumor),
    /// Another process uses this one's id with a newer incarnation.
    Superseded(Incarnation),
}

/// Time between pings for other processes after which an answer is not passed on.
const RELAY_TIMEOUT_MILLIS: u64 = 1_000;

/// Time from one look for late suspects and long dead members to the next.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Most suspects that are pinged again at one look.
const MAX_ASKED_SUSPECTS: usize = 8;

/// Most pings for other processes at one time.
const MAX_RELAYS: usize = 256;

/// The membership of one process.
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
    rumors: RumorBoard,
    queue: NewsQueue,
    schedule: ProbeSchedule,
    rng: StdRng,
    listed: Vec<SocketAddr>,
    probe: Option<ProbeInFlight>,
    relays: Vec<RelayedProbe>,
    next_number: ProbeNumber,
    next_probe: Timestamp,
    next_gossip: Timestamp,
    next_sync: Timestamp,
    next_rejoin: Timestamp,
    next_prompted_sync: Timestamp,
    next_review: Timestamp,
    last_tick: Timestamp,
    last_heard: Timestamp,
    expects_peers: bool,
    outputs: Vec<MemberOutput>,
    changed: bool,
}

impl MemberMachine {
    /// The machine of a process that starts now. `seed` decides every random choice.
    #[must_use]
    pub fn new(me: &Member, config: MembershipConfig, seed: u64, now: Timestamp) -> Self {
        let record = MemberRecord::new(me);
        let mut queue = NewsQueue::default();
        queue.push_record(record.clone());
        Self {
            config,
            me: MemberEntry { record, revision: me.revision, since: now },
            table: MemberTable::default(),
            rumors: RumorBoard::default(),
            queue,
            schedule: ProbeSchedule::default(),
            rng: StdRng::seed_from_u64(seed),
            listed: Vec::new(),
            probe: None,
            relays: Vec::new(),
            next_number: 1,
            next_probe: now,
            next_gossip: now,
            next_sync: now,
            next_rejoin: now,
            next_prompted_sync: now,
            next_review: now,
            last_tick: now,
            last_heard: now,
            expects_peers: false,
            outputs: Vec::new(),
            changed: false,
        }
    }

    /// Every member but the dead, this process included, in order of id.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let entries = self.table.present().chain([&self.me]);
        let mut members: Vec<Member> =
            entries.map(|entry| entry.record.member(entry.revision)).collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members
    }

    /// Every rumor that is known.
    #[must_use]
    pub fn rumors(&self) -> Vec<Rumor> {
        self.rumors.known()
    }

    /// Whether a peer was heard lately, or none was ever known but such that left by
    /// themselves.
    #[must_use]
    pub fn in_contact(&self, now: Timestamp) -> bool {
        !self.expects_peers || now.since(self.last_heard) < self.config.contact_timeout
    }

    /// How many pieces of news wait to be sent.
    #[must_use]
    pub fn queued_news(&self) -> usize {
        self.queue.len()
    }

    /// Takes the addresses of the system's processes that the settings and the platform's list
    /// name.
    pub fn set_listed(&mut self, mut listed: Vec<SocketAddr>) {
        listed.retain(|address| *address != self.me.record.address);
        listed.sort();
        listed.dedup();
        self.listed = listed;
    }

    /// Spreads a rumor, unless a newer one is known.
    pub fn announce(&mut self, rumor: &Rumor) -> Vec<MemberOutput> {
        self.learn_rumor(rumor, true);
        self.finish()
    }

    /// Says which revision this process has in force. A lower one than before does nothing.
    pub fn set_revision(&mut self, revision: Revision) -> Vec<MemberOutput> {
        if revision > self.me.revision {
            self.me.revision = revision;
            let tag = self.me.record.tag();
            self.queue.push_revision(RevisionReport { tag, revision });
            self.changed = true;
        }
        self.finish()
    }

    /// Says that this process is leaving.
    pub fn leave(&mut self) -> Vec<MemberOutput> {
        if !self.me.record.leaving {
            self.me.record.leaving = true;
            self.renew(self.me.record.version.refutation);
        }
        self.finish()
    }

    /// Says that this process is gone: the datagrams to send before it stops.
    pub fn depart(&mut self) -> Vec<MemberOutput> {
        const FAREWELLS: usize = 6;
        self.me.record.version.refutation += 1;
        self.me.record.version.standing = Standing::Left;
        let record = self.me.record.clone();
        let targets = self.present_addresses();
        for to in pick(&targets, FAREWELLS, &mut self.rng) {
            let news = News { records: vec![record.clone()], ..News::default() };
            self.send(to, MessageKind::Gossip, news);
        }
        self.finish()
    }

    /// Handles one datagram. `from` is the address that the answer goes to.
    pub fn handle(
        &mut self,
        from: SocketAddr,
        message: &Message,
        now: Timestamp,
    ) -> Vec<MemberOutput> {
        if message.sender.id == self.me.record.id {
            self.hear_of_me(message.sender.version.incarnation, None);
            return self.finish();
        }
        self.last_heard = now;
        self.learn_news(&message.news, true, now);
        self.hear_sender(from, &message.sender, now);
        match &message.kind {
            MessageKind::Ping(number) => {
                let news = self.news_for(Some(&message.sender.id));
                self.send(from, MessageKind::Ack(*number), news);
            }
            MessageKind::Ack(number) => self.hear_ack(*number),
            MessageKind::PingRequest { probe, target } => self.relay(from, *probe, target, now),
            MessageKind::Gossip => {}
        }
        self.finish()
    }

    fn hear_sender(&mut self, from: SocketAddr, sender: &Sender, now: Timestamp) {
        let known = self.table.last_record(&sender.id);
        let known_version = known.map(|record| record.version);
        match known_version {
            None => self.prompt_sync(from, now),
            Some(version) if version.incarnation == sender.version.incarnation => {
                self.note_revision(sender);
                self.note_renewal(sender, now);
                if version.standing > Standing::Alive && version > sender.version {
                    self.tell_its_record(from, &sender.id);
                }
            }
            Some(version) if version.incarnation < sender.version.incarnation => {
                self.prompt_sync(from, now);
            }
            Some(_) => self.tell_its_record(from, &sender.id),
        }
        self.last_heard = now;
    }

    /// Compares tables out of turn, at most once in a probe interval.
    fn prompt_sync(&mut self, with: SocketAddr, now: Timestamp) {
        if now >= self.next_prompted_sync {
            self.next_prompted_sync = now + self.config.probe_interval;
            self.outputs.push(MemberOutput::Sync(with));
        }
    }

    fn note_revision(&mut self, sender: &Sender) {
        let Some(entry) = self.table.get(&sender.id) else { return };
        let tag = entry.record.tag();
        self.learn_revision(RevisionReport { tag, revision: sender.revision }, true);
    }

    /// Takes over what a member says of itself when it has renewed its record meanwhile.
    fn note_renewal(&mut self, sender: &Sender, now: Timestamp) {
        let Some(entry) = self.table.get(&sender.id) else { return };
        if entry.record.version < sender.version {
            let (version, leaving) = (sender.version, sender.leaving);
            let record = MemberRecord { version, leaving, ..entry.record.clone() };
            self.learn_record(&record, true, now);
        }
    }

    /// Tells a member what is said of it, so that it can refute.
    fn tell_its_record(&mut self, to: SocketAddr, id: &HostId) {
        let Some(record) = self.table.last_record(id).cloned() else { return };
        let news = News { records: vec![record], ..News::default() };
        self.send(to, MessageKind::Gossip, news);
    }

    fn hear_ack(&mut self, number: ProbeNumber) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            probe.answered = true;
        }
        let relayed = self.relays.iter().position(|relay| relay.number == number);
        let Some(index) = relayed else { return };
        let relay = self.relays.swap_remove(index);
        let news = self.news_for(None);
        self.send(relay.asker, MessageKind::Ack(relay.asker_number), news);
    }

    fn relay(&mut self, asker: SocketAddr, probe: ProbeNumber, target: &HostId, now: Timestamp) {
        let Some(entry) = self.table.get(target) else { return };
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let to = entry.record.address;
        let number = self.take_number();
        self.relays.push(RelayedProbe { number, asker, asker_number: probe, started: now });
        let news = self.news_for(Some(target));
        self.send(to, MessageKind::Ping(number), news);
    }

    /// Moves time on. Call it every tenth of a second or so.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MemberOutput> {
        self.mind_pause(now);
        self.tick_probe(now);
        self.tick_suspicion(now);
        self.tick_gossip(now);
        self.tick_sync(now);
        self.tick_rejoin(now);
        self.relays
            .retain(|relay| now.since(relay.started).as_millis() < RELAY_TIMEOUT_MILLIS.into());
        self.finish()
    }

    fn mind_pause(&mut self, now: Timestamp) {
        if now.since(self.last_tick) >= self.config.pause_gap {
            self.table.extend_suspicions(now);
            self.probe = None;
            self.next_probe = now;
            self.next_sync = now;
        }
        self.last_tick = now;
    }

    fn tick_probe(&mut self, now: Timestamp) {
        if now >= self.next_probe {
            self.end_probe(now);
            self.begin_probe(now);
            self.next_probe = now + self.config.probe_interval;
        }
        self.repeat_probe(now);
    }

    fn end_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.answered) else { return };
        if let Some(record) = self.table.suspect(&probe.target, now) {
            self.queue.push_record(record);
            self.changed = true;
        }
    }

    fn begin_probe(&mut self, now: Timestamp) {
        let target = self.schedule.next(&self.me.record, &self.table, &mut self.rng);
        let Some(target) = target else { return };
        let number = self.take_number();
        self.ping(&target, number);
        self.probe = Some(ProbeInFlight { number, target, started: now, sent: 1, answered: false });
    }

    fn repeat_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.as_mut().filter(|probe| !probe.answered) else { return };
        if now.since(probe.started) < self.config.probe_repeat * probe.sent {
            return;
        }
        probe.sent += 1;
        let (number, target) = (probe.number, probe.target.clone());
        self.ping(&target, number);
        let others = self.table.present().filter(|entry| entry.record.id != target);
        let helpers: Vec<SocketAddr> = others.map(|entry| entry.record.address).collect();
        for to in pick(&helpers, self.config.indirect_probes, &mut self.rng) {
            let kind = MessageKind::PingRequest { probe: number, target: target.clone() };
            let news = self.news_for(None);
            self.send(to, kind, news);
        }
    }

    fn ping(&mut self, target: &HostId, number: ProbeNumber) {
        let Some(entry) = self.table.get(target) else { return };
        let to = entry.record.address;
        let news = self.news_for(Some(target));
        self.send(to, MessageKind::Ping(number), news);
    }

    fn tick_suspicion(&mut self, now: Timestamp) {
        if now < self.next_review {
            return;
        }
        self.next_review = now + REVIEW_INTERVAL;
        for record in self.table.expire_suspects(self.config.suspicion, now) {
            self.queue.push_record(record);
            self.changed = true;
        }
        self.table.forget(self.config.forget_after, now);
        self.ask_suspects(now);
    }

    /// Pings members that have been suspect for a while: who missed the refutation among the
    /// gossip gets it from the member itself.
    fn ask_suspects(&mut self, now: Timestamp) {
        let patience = self.config.suspicion / 3;
        let late = self.table.present().filter(|entry| {
            entry.record.version.standing == Standing::Suspect && now.since(entry.since) >= patience
        });
        let ids: Vec<HostId> = late.map(|entry| entry.record.id.clone()).collect();
        for id in pick(&ids, MAX_ASKED_SUSPECTS, &mut self.rng) {
            let number = self.take_number();
            self.ping(&id, number);
        }
    }

    fn tick_gossip(&mut self, now: Timestamp) {
        if now < self.next_gossip || self.queue.is_empty() {
            return;
        }
        self.next_gossip = now + self.config.gossip_interval;
        let targets = self.present_addresses();
        for to in pick(&targets, self.config.gossip_fanout, &mut self.rng) {
            let news = self.news_for(None);
            self.send(to, MessageKind::Gossip, news);
        }
    }

    fn tick_sync(&mut self, now: Timestamp) {
        if now < self.next_sync {
            return;
        }
        let present = self.present_addresses();
        let (targets, interval) = match present.is_empty() {
            true => (self.listed.clone(), self.config.probe_interval),
            false => (present, self.config.sync_interval),
        };
        self.next_sync = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        let picked = pick(&targets, 1, &mut self.rng);
        self.outputs.extend(picked.into_iter().map(MemberOutput::Sync));
    }

    /// Pings one address that should be a member and is none: a dead one, or one that is only
    /// listed. That is how regions find each other again.
    fn tick_rejoin(&mut self, now: Timestamp) {
        if now < self.next_rejoin {
            return;
        }
        self.next_rejoin = now + self.config.rejoin_interval;
        let present = self.present_addresses();
        let dead =
            self.table.entries().filter(|entry| entry.record.version.standing == Standing::Dead);
        let mut absent: Vec<SocketAddr> = dead.map(|entry| entry.record.address).collect();
        absent.extend(&self.listed);
        absent.retain(|address| !present.contains(address));
        for to in pick(&absent, 1, &mut self.rng) {
            let number = self.take_number();
            let news = self.news_about_address(to);
            self.send(to, MessageKind::Ping(number), news);
        }
    }

    fn news_about_address(&self, address: SocketAddr) -> News {
        let there = self.table.entries().filter(|entry| entry.record.address == address);
        let mut records: Vec<MemberRecord> = there.map(|entry| entry.record.clone()).collect();
        records.truncate(2);
        records.push(self.me.record.clone());
        News { records, ..News::default() }
    }

    /// The call that begins a comparison.
    #[must_use]
    pub fn sync_call(&self) -> SyncCall {
        let digest = sync::digest(&self.me, &self.table, &self.rumors);
        SyncCall::Compare { sender: self.sender(), digest }
    }

    /// Answers a comparison that another process began; `None` for a push, which needs none.
    pub fn answer_sync(
        &mut self,
        call: &SyncCall,
        now: Timestamp,
    ) -> (Option<SyncReply>, Vec<MemberOutput>) {
        self.last_heard = now;
        match call {
            SyncCall::Compare { digest, .. } => {
                let news = sync::difference(&self.me, &self.table, &self.rumors, digest);
                let digest = sync::digest(&self.me, &self.table, &self.rumors);
                (Some(SyncReply { digest, news }), self.finish())
            }
            SyncCall::Push(news) => {
                self.learn_news(news, true, now);
                (None, self.finish())
            }
        }
    }

    /// Takes the answer to a comparison in. Returns what the other process lacks, if anything.
    pub fn sync_reply(
        &mut self,
        reply: &SyncReply,
        now: Timestamp,
    ) -> (Option<SyncCall>, Vec<MemberOutput>) {
        self.last_heard = now;
        let push = sync::difference(&self.me, &self.table, &self.rumors, &reply.digest);
        let knew_others = self.table.present().next().is_some();
        self.learn_news(&reply.news, knew_others, now);
        let push = (push != News::default()).then_some(SyncCall::Push(push));
        (push, self.finish())
    }

    fn learn_news(&mut self, news: &News, spread: bool, now: Timestamp) {
        for record in &news.records {
            self.learn_record(record, spread, now);
        }
        for rumor in &news.rumors {
            self.learn_rumor(rumor, spread);
        }
        for report in &news.revisions {
            self.learn_revision(*report, spread);
        }
    }

    fn learn_record(&mut self, record: &MemberRecord, spread: bool, now: Timestamp) {
        if record.id == self.me.record.id {
            self.hear_of_me(record.version.incarnation, Some(record));
            return;
        }
        let was_dead = self.table.get(&record.id).is_some_and(|known| !known.record.is_present());
        let offered = self.table.offer(record, now);
        if was_dead && record.is_present() && offered == Offered::Taken {
            self.prompt_sync(record.address, now);
        }
        match offered {
            Offered::Stale => return,
            Offered::Buried => {}
            Offered::Taken | Offered::Suspected => self.changed = true,
        }
        self.expects_peers = self.expects_peers_now();
        if let Some(known) = self.table.last_record(&record.id).filter(|_| spread) {
            self.queue.push_record(known.clone());
        }
    }

    fn expects_peers_now(&self) -> bool {
        let stays = |entry: &MemberEntry| entry.record.version.standing != Standing::Left;
        self.table.entries().any(stays)
    }

    fn hear_of_me(&mut self, incarnation: Incarnation, record: Option<&MemberRecord>) {
        let mine = self.me.record.version;
        if incarnation > mine.incarnation {
            let event = MemberEvent::Superseded(incarnation);
            self.outputs.push(MemberOutput::Event(event));
            return;
        }
        let Some(record) = record else { return };
        let accused = record.version > mine && incarnation == mine.incarnation;
        if accused && mine.standing != Standing::Left {
            self.renew(record.version.refutation);
        }
    }

    /// Renews this process's own record so that it wins over one of refutation `over`.
    fn renew(&mut self, over: u32) {
        let version = &mut self.me.record.version;
        version.refutation = version.refutation.max(over).saturating_add(1);
        self.queue.push_record(self.me.record.clone());
        self.changed = true;
    }

    fn learn_rumor(&mut self, rumor: &Rumor, spread: bool) {
        if !self.rumors.learn(rumor) {
            return;
        }
        if spread {
            self.queue.push_rumor(rumor.clone());
        }
        self.outputs.push(MemberOutput::Event(MemberEvent::Rumor(rumor.clone())));
    }

    fn learn_revision(&mut self, report: RevisionReport, spread: bool) {
        if !self.table.note_revision(report.tag, report.revision) {
            return;
        }
        if spread {
            self.queue.push_revision(report);
        }
        self.changed = true;
    }

    fn sender(&self) -> Sender {
        let MemberRecord { id, version, leaving, .. } = &self.me.record;
        Sender { id: id.clone(), version: *version, leaving: *leaving, revision: self.me.revision }
    }

    fn send(&mut self, to: SocketAddr, kind: MessageKind, news: News) {
        let message = Box::new(Message { sender: self.sender(), kind, news });
        self.outputs.push(MemberOutput::Send { to, message });
    }

    /// News for one message; to a member that is not held to be alive also its own record.
    fn news_for(&mut self, to: Option<&HostId>) -> News {
        let mut news = self.queue.take(self.retransmit_limit());
        let about = to.and_then(|id| self.table.last_record(id));
        if let Some(record) = about.filter(|r| r.version.standing > Standing::Alive) {
            news.records.push(record.clone());
        }
        news
    }

    fn retransmit_limit(&self) -> u32 {
        let members = self.table.present().count() + 1;
        self.config.retransmit_factor * ((members + 1) as f64).log10().ceil() as u32
    }

    fn present_addresses(&self) -> Vec<SocketAddr> {
        self.table.present().map(|entry| entry.record.address).collect()
    }

    fn take_number(&mut self) -> ProbeNumber {
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
