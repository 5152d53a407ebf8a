//! Time and traffic until the membership of 370 members converges, in virtual time.
//!
//! `cargo run --release -p oleander-core --example membership_spread -- SEED`

#[path = "../tests/virtual_network/mod.rs"]
mod virtual_network;

use oleander_core::ids::Revision;
use std::time::Duration;
use virtual_network::{Faults, Network, alive_count, head, state_of};

const MEMBERS: usize = 370;
const SECOND: Duration = Duration::from_secs(1);
const LIMIT: Duration = Duration::from_secs(120);

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("370 members, 2 regions, 7 failure domains, seed {seed}");
    start_at_once(seed);
    for loss in [0.0, 0.1, 0.3] {
        spread_rumor(seed, loss);
    }
    steady_state(seed);
    replace_member(seed);
    lose_failure_domain(seed);
    partition_regions(seed);
}

fn joined(seed: u64) -> Network {
    let mut network = Network::joined(MEMBERS, seed);
    network.run(SECOND * 30);
    network.reset_counts();
    network
}

fn report(label: &str, took: Option<u64>, network: &Network, before: u64) {
    let seconds = (network.now - before) as f64 / 1_000.0;
    let running = network.nodes.iter().filter(|node| !node.stopped);
    let sent: Vec<usize> = running.map(|node| node.bytes_out).collect();
    let mean = sent.iter().sum::<usize>() as f64 / sent.len() as f64;
    let most = sent.iter().max().copied().unwrap_or(0) as f64;
    println!(
        "{label}: {took:?} ms; sent by a member in {seconds:.0} s: mean {:.1} KB ({:.2} KB/s), \
         most {:.1} KB ({:.2} KB/s)",
        mean / 1e3,
        mean / 1e3 / seconds,
        most / 1e3,
        most / 1e3 / seconds,
    );
}

fn drain_updates(network: &mut Network) {
    let done = |network: &Network| {
        network.nodes.iter().all(|node| node.stopped || node.machine.queued_news() == 0)
    };
    network.run_until(LIMIT, done);
}

fn start_at_once(seed: u64) {
    let mut network = Network::start(MEMBERS, seed);
    let before = network.now;
    let took = network.run_until(LIMIT, Network::is_converged);
    report("all members start at once, membership converged", took, &network, before);
}

fn spread_rumor(seed: u64, loss: f64) {
    let mut network = joined(seed);
    network.faults = Faults { loss, ..Faults::default() };
    let before = network.now;
    network.drive(17, |machine, _| machine.announce(&head(1)));
    let has_rumor = |network: &Network| network.nodes.iter().all(|node| node.rumors.len() == 1);
    let took = network.run_until(LIMIT, has_rumor);
    report(&format!("rumor received by every member at loss {loss}"), took, &network, before);
    for index in 0..MEMBERS {
        network.drive(index, |machine, _| machine.set_revision(Revision::new(1)));
    }
    let known_at = |network: &Network, index: usize| {
        let members = network.nodes[index].machine.members();
        members.len() == MEMBERS && members.iter().all(|m| m.revision == Revision::new(1))
    };
    let took = network.run_until(LIMIT, |network| known_at(network, MEMBERS - 1));
    println!("  all revisions known to one member after {took:?} ms");
    let took = network.run_until(LIMIT, |network| (0..MEMBERS).all(|i| known_at(network, i)));
    println!("  all revisions known to every member after {took:?} ms more");
    drain_updates(&mut network);
    report("  until no update is queued", None, &network, before);
}

fn steady_state(seed: u64) {
    let mut network = joined(seed);
    let before = network.now;
    network.run(SECOND * 60);
    report("steady state for one minute", None, &network, before);
}

fn replace_member(seed: u64) {
    let mut network = joined(seed);
    let before = network.now;
    network.nodes[40].stopped = true;
    let is_removed = |network: &Network| {
        network.nodes.iter().all(|node| node.stopped || state_of(node, 40).is_none())
    };
    let took = network.run_until(LIMIT, is_removed);
    report("crash of a member known to every member", took, &network, before);
    network.restart(40, 2);
    let took = network.run_until(LIMIT, Network::is_converged);
    println!("  its replacement known to every member after {took:?} ms");
    drain_updates(&mut network);
    report("  until no update is queued", None, &network, before);
}

fn lose_failure_domain(seed: u64) {
    let mut network = joined(seed);
    let before = network.now;
    for index in (0..MEMBERS).filter(|index| index % 7 == 3) {
        network.nodes[index].stopped = true;
    }
    let took = network.run_until(LIMIT, Network::is_converged);
    report("loss of a failure domain of 53 members known to every member", took, &network, before);
}

fn partition_regions(seed: u64) {
    let mut network = joined(seed);
    network.cut = true;
    let before = network.now;
    let is_partitioned =
        |network: &Network| network.nodes.iter().all(|node| alive_count(node) == MEMBERS / 2);
    let took = network.run_until(LIMIT, is_partitioned);
    report("partition between the regions known to every member", took, &network, before);
    network.run(SECOND * 60);
    network.cut = false;
    network.reset_counts();
    let before = network.now;
    let took = network.run_until(LIMIT, Network::is_converged);
    report("partition healed, membership converged", took, &network, before);
}
