//! Gossip among up to 370 members, in virtual time.

mod virtual_network;

use oleander_core::ids::Revision;
use std::time::Duration;
use virtual_network::{Faults, Network, head};

const MEMBERS: usize = 370;
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_rumor_and_every_revision_reach_370_members_in_5_s_at_10_percent_loss() {
    let mut network = Network::joined(MEMBERS, 1);
    network.faults = Faults { loss: 0.1, ..Faults::default() };
    network.run(SECOND);
    network.drive(17, |machine, _| machine.announce(&head(1)));
    let received = |network: &Network| network.nodes.iter().all(|node| node.rumors.len() == 1);
    // The remaining 3 s are for fetching and activating the change.
    let took = network.run_until(SECOND * 2, received);
    println!("rumor received by every member after {took:?} ms");
    assert!(took.is_some(), "the rumor did not reach every member within 2 s");

    for index in 0..MEMBERS {
        network.drive(index, |machine, _| machine.set_revision(Revision::new(1)));
    }
    let acknowledged = |network: &Network| {
        let members = network.nodes[MEMBERS - 1].machine.members();
        members.iter().all(|member| member.revision == Revision::new(1))
    };
    let took = network.run_until(SECOND * 5, acknowledged);
    println!("every revision known at one member after {took:?} ms");
    assert!(took.is_some(), "one member did not receive every revision within 5 s");
}

#[test]
fn members_that_start_at_once_converge_within_a_minute() {
    let mut network = Network::start(100, 2);
    let took = network.run_until(SECOND * 60, Network::is_converged);
    println!("100 members converged after {took:?} ms, {} syncs", network.syncs);
    assert!(took.is_some(), "100 members that start at once did not converge within 60 s");
}
