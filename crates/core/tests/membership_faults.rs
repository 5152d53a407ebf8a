//! Membership under packet loss, restarts, pauses and partitions, in virtual time.

mod virtual_network;

use oleander_core::ids::Incarnation;
use oleander_core::membership::message::{GossipUpdates, Message, MessageKind, Sender};
use oleander_core::membership::record::{Liveness, MemberRecord};
use oleander_core::membership::{MemberState, MembershipConfig};
use std::time::Duration;
use virtual_network::{Faults, Network, address, alive_count, head, member, state_of};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

fn converged(count: usize, seed: u64, config: MembershipConfig) -> Network {
    let mut network = Network::start_with(count, seed, config);
    assert!(network.run_until(MINUTE, Network::is_converged).is_some(), "seed {seed}");
    network
}

fn all_others_see(network: &Network, index: usize, state: Option<MemberState>) -> bool {
    let others =
        network.nodes.iter().enumerate().filter(|(other, node)| *other != index && !node.stopped);
    others.into_iter().all(|(_, node)| state_of(node, index) == state)
}

/// A gossip datagram of node 1 that carries `record`.
fn gossip_of(network: &Network, record: MemberRecord) -> Message {
    let me = network.nodes[1].machine.members().into_iter().find(|m| m.address == address(1));
    let version = MemberRecord::new(&me.expect("node 1 is in its own table")).version;
    let id = member(1, 1).id;
    let sender = Sender { id, version, leaving: false, revision: Default::default() };
    let updates = GossipUpdates { records: vec![record], ..GossipUpdates::default() };
    Message { sender, kind: MessageKind::Gossip, updates }
}

#[test]
fn loss_duplication_reordering_and_delay_cause_no_false_death() {
    let mut network = converged(40, 3, MembershipConfig::default());
    network.faults = Faults { loss: 0.3, duplicate: 0.2, jitter_millis: 150 };
    for second in 0..180 {
        network.run(SECOND);
        for (index, node) in network.nodes.iter().enumerate() {
            let members = node.machine.members().len();
            assert_eq!(members, 40, "second {second}: node {index} declared a member dead");
        }
    }
    network.faults = Faults::default();
    assert!(network.run_until(MINUTE, Network::is_converged).is_some());
}

#[test]
fn crash_is_detected_and_only_a_newer_incarnation_rejoins() {
    let mut network = converged(20, 4, MembershipConfig::default());
    network.nodes[5].stopped = true;
    let dead = network.run_until(MINUTE, |network| all_others_see(network, 5, None));
    println!("crash known to all members after {dead:?} ms");
    assert!(dead.is_some_and(|millis| millis < 20_000));

    let late = gossip_of(&network, MemberRecord::new(&member(5, 1)));
    for index in [0, 2, 3] {
        network.drive(index, |machine, now| machine.handle(address(1), &late, now));
    }
    for _ in 0..20 {
        network.run(SECOND);
        assert!(all_others_see(&network, 5, None), "an old record revived a dead member");
    }

    network.restart(5, 2);
    let back =
        network.run_until(MINUTE, |network| all_others_see(network, 5, Some(MemberState::Alive)));
    println!("restart known to all members after {back:?} ms");
    assert!(back.is_some_and(|millis| millis < 10_000));
    network.drive(0, |machine, now| machine.handle(address(1), &late, now));
    let id = member(5, 1).id;
    let seen = network.nodes[0].machine.members().into_iter().find(|m| m.id == id);
    assert_eq!(seen.map(|m| m.incarnation), Some(Incarnation::new(2)));
}

#[test]
fn paused_process_rejoins_and_declares_nobody_dead() {
    let mut network = converged(20, 5, MembershipConfig::default());
    network.nodes[7].paused = true;
    network.run(MINUTE);
    assert!(all_others_see(&network, 7, None), "a paused process is still considered alive");
    network.resume(7);
    for _ in 0..300 {
        network.run(Duration::from_millis(100));
        for index in 0..20 {
            let others = (0..20).filter(|&other| other != 7 && other != index);
            let node = &network.nodes[index];
            assert!(others.into_iter().all(|other| state_of(node, other).is_some()), "at {index}");
        }
    }
    assert!(network.is_converged(), "the paused process did not rejoin");
}

/// The record of a node with a suspicion.
fn suspected(index: usize) -> MemberRecord {
    let mut record = MemberRecord::new(&member(index, 1));
    record.version.liveness = Liveness::Suspect;
    record
}

#[test]
fn suspicion_from_before_a_pause_does_not_expire_with_the_pause() {
    let mut network = Network::joined(20, 10);
    network.run(SECOND * 3);
    let message = gossip_of(&network, suspected(9));
    network.drive(7, |machine, now| machine.handle(address(1), &message, now));
    network.nodes[7].paused = true;
    network.run(MINUTE);
    network.nodes[7].paused = false;
    for step in 0..500 {
        // The shortest step: a false death is refuted within a few milliseconds.
        network.run(Duration::from_millis(10));
        assert!(state_of(&network.nodes[7], 9).is_some(), "declared dead at step {step}");
    }
    assert_eq!(state_of(&network.nodes[7], 9), Some(MemberState::Alive));
}

#[test]
fn suspect_is_pinged_again_if_the_refutation_was_lost() {
    let hour = MINUTE * 60;
    let config = MembershipConfig {
        gossip_fanout: 0,
        probe_interval: hour,
        sync_interval: hour,
        rejoin_interval: hour,
        ..MembershipConfig::default()
    };
    let mut network = Network::joined_with(5, 11, config);
    network.run(SECOND * 3);
    let message = gossip_of(&network, suspected(3));
    network.drive(0, |machine, now| machine.handle(address(1), &message, now));
    network.run(SECOND * 10);
    assert_eq!(state_of(&network.nodes[0], 3), Some(MemberState::Alive));
}

#[test]
fn indirect_probes_prevent_suspicion_when_one_link_is_blocked() {
    let mut network = Network::joined(8, 12);
    network.blocked = Some((0, 2));
    for second in 0..120 {
        network.run(SECOND);
        assert!(network.is_converged(), "second {second}: a member is suspected");
    }
}

#[test]
fn rumor_missed_by_gossip_arrives_by_sync() {
    let mut network = Network::joined(20, 13);
    network.run(SECOND * 5);
    network.isolated = Some(3);
    network.drive(0, |machine, _| machine.announce(&head(1)));
    network.run(SECOND * 4);
    network.isolated = None;
    let took = network.run_until(SECOND * 60, |network| network.nodes[3].rumors.len() == 1);
    println!("missed rumor received after {took:?} ms");
    assert!(took.is_some(), "the rumor never arrived");
}

#[test]
fn last_member_stays_in_contact_after_announced_departures() {
    let mut network = Network::joined(2, 14);
    network.run(SECOND * 3);
    network.drive(1, |machine, _| machine.depart());
    network.run(Duration::from_millis(50));
    network.nodes[1].stopped = true;
    network.run(MINUTE);
    let now = oleander_core::units::Timestamp::from_millis(network.now);
    assert!(network.nodes[0].machine.in_contact(now));
}

#[test]
fn process_paused_past_the_dead_retention_does_not_revive_removed_members() {
    let config = MembershipConfig { dead_retention: SECOND * 30, ..MembershipConfig::default() };
    let mut network = converged(12, 6, config);
    network.nodes[7].paused = true;
    network.nodes[4].stopped = true;
    network.run(MINUTE * 3);
    network.resume(7);
    for second in 0..40 {
        network.run(SECOND);
        let running = network.nodes.iter().enumerate().filter(|(index, _)| ![4, 7].contains(index));
        for (index, node) in running {
            assert_eq!(state_of(node, 4), None, "second {second}: node {index} revived it");
        }
    }
    assert!(network.is_converged());
}

#[test]
fn regions_rejoin_after_a_partition_of_three_hours() {
    let mut network = converged(14, 7, MembershipConfig::default());
    network.partitioned = true;
    network.run(MINUTE);
    assert!(
        network.nodes.iter().all(|node| alive_count(node) == 7),
        "the partition is not detected"
    );
    network.drive(0, |machine, _| machine.announce(&head(9)));
    network.run(MINUTE * 180);
    assert!(network.nodes[1].rumors.is_empty());

    network.partitioned = false;
    let healed_at = network.now;
    while !network.is_converged() && network.now < healed_at + 120_000 {
        network.run(Duration::from_millis(100));
        for (index, node) in network.nodes.iter().enumerate() {
            let own = (0..14).filter(|other| other % 2 == index % 2);
            let kept = own.into_iter().all(|other| state_of(node, other).is_some());
            assert!(kept, "a record from the other region removed a local member at {index}");
        }
    }
    network.run(SECOND * 5);
    println!("partition healed after {} ms", network.now - healed_at - 5_000);
    assert!(network.is_converged(), "the regions did not rejoin");
    assert_eq!(network.nodes[1].rumors.len(), 1, "the rumor did not reach the other region");
}

#[test]
fn process_is_superseded_by_a_newer_incarnation_of_its_id() {
    let mut network = converged(6, 8, MembershipConfig::default());
    let newer = gossip_of(&network, MemberRecord::new(&member(2, 9)));
    network.drive(2, |machine, now| machine.handle(address(1), &newer, now));
    assert!(network.nodes[2].superseded);
}

#[test]
fn contact_is_lost_when_all_peers_stop_responding() {
    let mut network = converged(3, 9, MembershipConfig::default());
    let in_contact = |network: &Network| {
        let now = oleander_core::units::Timestamp::from_millis(network.now);
        network.nodes[0].machine.in_contact(now)
    };
    network.nodes[1].stopped = true;
    network.run(SECOND * 10);
    assert!(in_contact(&network));
    network.nodes[2].stopped = true;
    network.run(SECOND * 6);
    assert!(!in_contact(&network));
    network.run(MINUTE * 150);
    assert!(!in_contact(&network), "removing dead members must not restore contact");
}
