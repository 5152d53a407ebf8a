//! Direct probes, indirect probes for other members, and pings that rejoin lost members.

use super::{MAX_RELAYS, MAX_SUSPECT_PINGS, MemberMachine};
use crate::ids::HostId;
use crate::membership::message::{GossipUpdates, MessageKind, ProbeNumber};
use crate::membership::probe::{ProbeInFlight, RelayedProbe, pick};
use crate::membership::record::{Liveness, MemberRecord};
use crate::units::Timestamp;
use std::net::SocketAddr;

impl MemberMachine {
    pub(super) fn handle_ack(&mut self, number: ProbeNumber) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            probe.answered = true;
        }
        let relayed = self.relays.iter().position(|relay| relay.number == number);
        let Some(index) = relayed else { return };
        let relay = self.relays.swap_remove(index);
        let updates = self.updates_for(None);
        self.send(relay.requester, MessageKind::Ack(relay.requester_number), updates);
    }

    /// Pings `target` on behalf of `requester`.
    pub(super) fn relay(
        &mut self,
        requester: SocketAddr,
        probe: ProbeNumber,
        target: &HostId,
        now: Timestamp,
    ) {
        let Some(entry) = self.table.get(target) else { return };
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let to = entry.record.address;
        let number = self.next_probe_number();
        self.relays.push(RelayedProbe { number, requester, requester_number: probe, started: now });
        let updates = self.updates_for(Some(target));
        self.send(to, MessageKind::Ping(number), updates);
    }

    pub(super) fn tick_probe(&mut self, now: Timestamp) {
        if now >= self.next_probe {
            self.end_probe(now);
            self.begin_probe(now);
            self.next_probe = now + self.config.probe_interval;
        }
        self.repeat_probe(now);
    }

    /// Marks the probed member as suspect if it did not answer.
    pub(super) fn end_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.answered) else { return };
        if let Some(record) = self.table.mark_suspect(&probe.target, now) {
            self.queue.push_record(record);
            self.changed = true;
        }
    }

    pub(super) fn begin_probe(&mut self, now: Timestamp) {
        let target = self.schedule.next(&self.me.record, &self.table, &mut self.rng);
        let Some(target) = target else { return };
        let number = self.next_probe_number();
        self.ping(&target, number);
        self.probe = Some(ProbeInFlight { number, target, started: now, sent: 1, answered: false });
    }

    /// Repeats an unanswered probe, directly and through other members.
    pub(super) fn repeat_probe(&mut self, now: Timestamp) {
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
            let updates = self.updates_for(None);
            self.send(to, kind, updates);
        }
    }

    pub(super) fn ping(&mut self, target: &HostId, number: ProbeNumber) {
        let Some(entry) = self.table.get(target) else { return };
        let to = entry.record.address;
        let updates = self.updates_for(Some(target));
        self.send(to, MessageKind::Ping(number), updates);
    }

    /// Pings members that have been suspect for a third of the suspicion time: if the refutation
    /// was lost in gossip, the ack of the member brings it.
    pub(super) fn ping_suspects(&mut self, now: Timestamp) {
        let min_age = self.config.suspicion / 3;
        let late = self.table.present().filter(|entry| {
            entry.record.version.liveness == Liveness::Suspect && now.since(entry.since) >= min_age
        });
        let ids: Vec<HostId> = late.map(|entry| entry.record.id.clone()).collect();
        for id in pick(&ids, MAX_SUSPECT_PINGS, &mut self.rng) {
            let number = self.next_probe_number();
            self.ping(&id, number);
        }
    }

    /// Pings one dead member or one bootstrap address that is not a live member, so that regions
    /// rejoin after a network partition.
    pub(super) fn tick_rejoin(&mut self, now: Timestamp) {
        if now < self.next_rejoin {
            return;
        }
        self.next_rejoin = now + self.config.rejoin_interval;
        let present = self.present_addresses();
        let dead =
            self.table.entries().filter(|entry| entry.record.version.liveness == Liveness::Dead);
        let mut absent: Vec<SocketAddr> = dead.map(|entry| entry.record.address).collect();
        absent.extend(&self.bootstrap);
        absent.retain(|address| !present.contains(address));
        for to in pick(&absent, 1, &mut self.rng) {
            let number = self.next_probe_number();
            let updates = self.updates_for_address(to);
            self.send(to, MessageKind::Ping(number), updates);
        }
    }

    /// The records of members known at `address`, two at most, and this process's own record.
    pub(super) fn updates_for_address(&self, address: SocketAddr) -> GossipUpdates {
        let there = self.table.entries().filter(|entry| entry.record.address == address);
        let mut records: Vec<MemberRecord> = there.map(|entry| entry.record.clone()).collect();
        records.truncate(2);
        records.push(self.me.record.clone());
        GossipUpdates { records, ..GossipUpdates::default() }
    }
}
