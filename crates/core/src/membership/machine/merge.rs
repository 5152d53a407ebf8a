//! Merges received updates and refutes wrong records about this process.

use super::{MemberEvent, MemberMachine, MemberOutput};
use crate::ids::{HostId, Incarnation};
use crate::membership::member::Rumor;
use crate::membership::message::{GossipUpdates, MessageKind, RevisionReport, Sender};
use crate::membership::record::{Liveness, MemberRecord};
use crate::membership::table::{ApplyOutcome, MemberEntry};
use crate::units::Timestamp;
use std::net::SocketAddr;

impl MemberMachine {
    /// Compares the version of a sender with its known record. If its incarnation is unknown or
    /// newer, a sync is requested. If its incarnation is outdated or it has to refute its record,
    /// the record is sent to it.
    pub(super) fn handle_sender(&mut self, from: SocketAddr, sender: &Sender, now: Timestamp) {
        let known = self.table.last_record(&sender.id);
        let known_version = known.map(|record| record.version);
        match known_version {
            None => self.request_sync(from, now),
            Some(version) if version.incarnation == sender.version.incarnation => {
                self.apply_sender_revision(sender);
                self.apply_sender_version(sender, now);
                if version.liveness > Liveness::Alive && version > sender.version {
                    self.send_known_record(from, &sender.id);
                }
            }
            Some(version) if version.incarnation < sender.version.incarnation => {
                self.request_sync(from, now);
            }
            Some(_) => self.send_known_record(from, &sender.id),
        }
        self.last_heard = now;
    }

    /// Requests a sync outside the regular schedule, at most once per probe interval.
    pub(super) fn request_sync(&mut self, with: SocketAddr, now: Timestamp) {
        if now >= self.next_requested_sync {
            self.next_requested_sync = now + self.config.probe_interval;
            self.outputs.push(MemberOutput::Sync(with));
        }
    }

    pub(super) fn apply_sender_revision(&mut self, sender: &Sender) {
        let Some(entry) = self.table.get(&sender.id) else { return };
        let tag = entry.record.tag();
        self.apply_revision(RevisionReport { tag, revision: sender.revision }, true);
    }

    /// Applies the sender's own version if it is newer than the known record.
    pub(super) fn apply_sender_version(&mut self, sender: &Sender, now: Timestamp) {
        let Some(entry) = self.table.get(&sender.id) else { return };
        if entry.record.version < sender.version {
            let (version, leaving) = (sender.version, sender.leaving);
            let record = MemberRecord { version, leaving, ..entry.record.clone() };
            self.apply_record(&record, true, now);
        }
    }

    /// Sends a member the record that is known about it, so that it can refute it.
    pub(super) fn send_known_record(&mut self, to: SocketAddr, id: &HostId) {
        let Some(record) = self.table.last_record(id).cloned() else { return };
        let updates = GossipUpdates { records: vec![record], ..GossipUpdates::default() };
        self.send(to, MessageKind::Gossip, updates);
    }

    pub(super) fn apply_updates(&mut self, updates: &GossipUpdates, spread: bool, now: Timestamp) {
        for record in &updates.records {
            self.apply_record(record, spread, now);
        }
        for rumor in &updates.rumors {
            self.apply_rumor(rumor, spread);
        }
        for report in &updates.revisions {
            self.apply_revision(*report, spread);
        }
    }

    pub(super) fn apply_record(&mut self, record: &MemberRecord, spread: bool, now: Timestamp) {
        if record.id == self.me.record.id {
            self.handle_own_record(record.version.incarnation, Some(record));
            return;
        }
        let was_dead = self.table.get(&record.id).is_some_and(|known| !known.record.is_present());
        let outcome = self.table.apply(record, now);
        if was_dead && record.is_present() && outcome == ApplyOutcome::Applied {
            self.request_sync(record.address, now);
        }
        match outcome {
            ApplyOutcome::Stale => return,
            ApplyOutcome::Tombstoned => {}
            ApplyOutcome::Applied | ApplyOutcome::Suspected => self.changed = true,
        }
        self.expects_peers = self.has_expected_peers();
        if let Some(known) = self.table.last_record(&record.id).filter(|_| spread) {
            self.queue.push_record(known.clone());
        }
    }

    /// Whether a known member has not announced that it left.
    pub(super) fn has_expected_peers(&self) -> bool {
        let stays = |entry: &MemberEntry| entry.record.version.liveness != Liveness::Left;
        self.table.entries().any(stays)
    }

    /// Handles a message or record that carries the id of this process. A newer incarnation means
    /// that this process was replaced; a newer record of this incarnation is refuted.
    pub(super) fn handle_own_record(
        &mut self,
        incarnation: Incarnation,
        record: Option<&MemberRecord>,
    ) {
        let mine = self.me.record.version;
        if incarnation > mine.incarnation {
            let event = MemberEvent::Superseded(incarnation);
            self.outputs.push(MemberOutput::Event(event));
            return;
        }
        let Some(record) = record else { return };
        let contradicted = record.version > mine && incarnation == mine.incarnation;
        if contradicted && mine.liveness != Liveness::Left {
            self.reissue_own_record(record.version.refutation);
        }
    }

    /// Reissues this process's own record with a refutation number above `over`.
    pub(super) fn reissue_own_record(&mut self, over: u32) {
        let version = &mut self.me.record.version;
        version.refutation = version.refutation.max(over).saturating_add(1);
        self.queue.push_record(self.me.record.clone());
        self.changed = true;
    }

    pub(super) fn apply_rumor(&mut self, rumor: &Rumor, spread: bool) {
        if !self.rumors.apply(rumor) {
            return;
        }
        if spread {
            self.queue.push_rumor(rumor.clone());
        }
        self.outputs.push(MemberOutput::Event(MemberEvent::Rumor(rumor.clone())));
    }

    pub(super) fn apply_revision(&mut self, report: RevisionReport, spread: bool) {
        if !self.table.update_revision(report.tag, report.revision) {
            return;
        }
        if spread {
            self.queue.push_revision(report);
        }
        self.changed = true;
    }
}
