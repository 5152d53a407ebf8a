//! What is learned from other members, and what is answered to their belief about this one.

use super::{MemberEvent, MemberMachine, MemberOutput};
use crate::ids::{HostId, Incarnation};
use crate::membership::member::Rumor;
use crate::membership::message::{GossipUpdates, MessageKind, RevisionReport, Sender};
use crate::membership::record::{Liveness, MemberRecord};
use crate::membership::table::{MemberEntry, Offered};
use crate::units::Timestamp;
use std::net::SocketAddr;

impl MemberMachine {
    pub(super) fn hear_sender(&mut self, from: SocketAddr, sender: &Sender, now: Timestamp) {
        let known = self.table.last_record(&sender.id);
        let known_version = known.map(|record| record.version);
        match known_version {
            None => self.prompt_sync(from, now),
            Some(version) if version.incarnation == sender.version.incarnation => {
                self.note_revision(sender);
                self.note_renewal(sender, now);
                if version.liveness > Liveness::Alive && version > sender.version {
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
    pub(super) fn prompt_sync(&mut self, with: SocketAddr, now: Timestamp) {
        if now >= self.next_prompted_sync {
            self.next_prompted_sync = now + self.config.probe_interval;
            self.outputs.push(MemberOutput::Sync(with));
        }
    }

    pub(super) fn note_revision(&mut self, sender: &Sender) {
        let Some(entry) = self.table.get(&sender.id) else { return };
        let tag = entry.record.tag();
        self.learn_revision(RevisionReport { tag, revision: sender.revision }, true);
    }

    /// Takes over what a member says of itself when it has renewed its record meanwhile.
    pub(super) fn note_renewal(&mut self, sender: &Sender, now: Timestamp) {
        let Some(entry) = self.table.get(&sender.id) else { return };
        if entry.record.version < sender.version {
            let (version, leaving) = (sender.version, sender.leaving);
            let record = MemberRecord { version, leaving, ..entry.record.clone() };
            self.learn_record(&record, true, now);
        }
    }

    /// Tells a member what is said of it, so that it can refute.
    pub(super) fn tell_its_record(&mut self, to: SocketAddr, id: &HostId) {
        let Some(record) = self.table.last_record(id).cloned() else { return };
        let updates = GossipUpdates { records: vec![record], ..GossipUpdates::default() };
        self.send(to, MessageKind::Gossip, updates);
    }

    pub(super) fn learn_news(&mut self, updates: &GossipUpdates, spread: bool, now: Timestamp) {
        for record in &updates.records {
            self.learn_record(record, spread, now);
        }
        for rumor in &updates.rumors {
            self.learn_rumor(rumor, spread);
        }
        for report in &updates.revisions {
            self.learn_revision(*report, spread);
        }
    }

    pub(super) fn learn_record(&mut self, record: &MemberRecord, spread: bool, now: Timestamp) {
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

    pub(super) fn expects_peers_now(&self) -> bool {
        let stays = |entry: &MemberEntry| entry.record.version.liveness != Liveness::Left;
        self.table.entries().any(stays)
    }

    pub(super) fn hear_of_me(&mut self, incarnation: Incarnation, record: Option<&MemberRecord>) {
        let mine = self.me.record.version;
        if incarnation > mine.incarnation {
            let event = MemberEvent::Superseded(incarnation);
            self.outputs.push(MemberOutput::Event(event));
            return;
        }
        let Some(record) = record else { return };
        let accused = record.version > mine && incarnation == mine.incarnation;
        if accused && mine.liveness != Liveness::Left {
            self.renew(record.version.refutation);
        }
    }

    /// Renews this process's own record so that it wins over one of refutation `over`.
    pub(super) fn renew(&mut self, over: u32) {
        let version = &mut self.me.record.version;
        version.refutation = version.refutation.max(over).saturating_add(1);
        self.queue.push_record(self.me.record.clone());
        self.changed = true;
    }

    pub(super) fn learn_rumor(&mut self, rumor: &Rumor, spread: bool) {
        if !self.rumors.learn(rumor) {
            return;
        }
        if spread {
            self.queue.push_rumor(rumor.clone());
        }
        self.outputs.push(MemberOutput::Event(MemberEvent::Rumor(rumor.clone())));
    }

    pub(super) fn learn_revision(&mut self, report: RevisionReport, spread: bool) {
        if !self.table.note_revision(report.tag, report.revision) {
            return;
        }
        if spread {
            self.queue.push_revision(report);
        }
        self.changed = true;
    }
}
