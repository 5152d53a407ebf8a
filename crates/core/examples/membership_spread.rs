//! Convergence time and traffic of 370 members, in virtual time.
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
    idle(seed);
    replace_one(seed);
    lose_domain(seed);
    partition_regions(seed);
}

fn joined(seed: u64) -> Network {
    let mut network = Network::joined(MEMBERS, seed);
    network.run(SECOND * 30);
    network.reset_counts();
    network
}

fn report(what: &str, took: Option<u64>, network: &Network, before: u64) {
    let seconds = (network.now - before) as f64 / 1_000.0;
    let running = network.nodes.iter().filter(|node| !node.stopped);
    let sent: Vec<usize> = running.map(|node| node.bytes_out).collect();
    let mean = sent.iter().sum::<usize>() as f64 / sent.len() as f64;
    let most = sent.iter().max().copied().unwrap_or(0) as f64;
    println!(
        "{what}: {took:?} ms; sent by a member in {seconds:.0} s: mean {:.1} KB ({:.2} KB/s), most {:.1} KB ({:.2} KB/s)",
        mean / 1e3,
        mean / 1e3 / seconds,
        most / 1e3,
        most / 1e3 / seconds,
    );
}

fn run_until_queues_are_empty(network: &mut Network) {
    let done = |network: &Network| {
        network.nodes.iter().all(|node| node.stopped || node.machine.queued_updates() == 0)
    };
    network.run_until(LIMIT, done);
}

fn start_at_once(seed: u64) {
    let mut network = Network::start(MEMBERS, seed);
    let before = network.now;
    let took = network.run_until(LIMIT, Network::is_converged);
    report("all start at once, every member knows all", took, &network, before);
}

fn spread_rumor(seed: u64, loss: f64) {
    let mut network = joined(seed);
    network.faults = Faults { loss, ..Faults::default() };
    let before = network.now;
    network.drive(17, |machine, _| machine.announce(&head(1)));
    let received = |network: &Network| network.nodes.iter().all(|node| node.rumors.len() == 1);
    let took = network.run_until(LIMIT, received);
    report(&format!("rumor everywhere at loss {loss}"), took, &network, before);
    for index in 0..MEMBERS {
        network.drive(index, |machine, _| machine.set_revision(Revision::new(1)));
    }
    let known_at = |network: &Network, index: usize| {
        let members = network.nodes[index].machine.members();
        members.len() == MEMBERS && members.iter().all(|m| m.revision == Revision::new(1))
    };
    let took = network.run_until(LIMIT, |network| known_at(network, MEMBERS - 1));
    println!("  every revision known at one member after {took:?} ms");
    let took = network.run_until(LIMIT, |network| (0..MEMBERS).all(|i| known_at(network, i)));
    println!("  every revision known at every member after {took:?} ms more");
    run_until_queues_are_empty(&mut network);
    report("  until no updates are queued", None, &network, before);
}

fn idle(seed: u64) {
    let mut network = joined(seed);
    let before = network.now;
    network.run(SECOND * 60);
    report("idle for a minute", None, &network, before);
}

fn replace_one(seed: u64) {
    let mut network = joined(seed);
    let before = network.now;
    network.nodes[40].stopped = true;
    let gone = |network: &Network| {
        network.nodes.iter().all(|node| node.stopped || state_of(node, 40).is_none())
    };
    let took = network.run_until(LIMIT, gone);
    report("a crash known everywhere", took, &network, before);
    network.restart(40, 2);
    let took = network.run_until(LIMIT, Network::is_converged);
    println!("  its replacement known everywhere after {took:?} ms");
    run_until_queues_are_empty(&mut network);
    report("  until no updates are queued", None, &network, before);
}

fn lose_domain(seed: u64) {
    let mut network = joined(seed);
    let before = network.now;
    for index in (0..MEMBERS).filter(|index| index % 7 == 3) {
        network.nodes[index].stopped = true;
    }
    let took = network.run_until(LIMIT, Network::is_converged);
    report("a failure domain of 53 lost, known everywhere", took, &network, before);
}

fn partition_regions(seed: u64) {
    let mut network = joined(seed);
    network.partitioned = true;
    let before = network.now;
    let apart =
        |network: &Network| network.nodes.iter().all(|node| alive_count(node) == MEMBERS / 2);
    let took = network.run_until(LIMIT, apart);
    report("regions partitioned, known everywhere", took, &network, before);
    network.run(SECOND * 60);
    network.partitioned = false;
    network.reset_counts();
    let before = network.now;
    let took = network.run_until(LIMIT, Network::is_converged);
    report("regions joined again, known everywhere", took, &network, before);
}
