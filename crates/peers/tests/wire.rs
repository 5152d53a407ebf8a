//! Forged, replayed, corrupt and hostile input on both peer ports.

mod support;

use oleander_core::ids::Incarnation;
use oleander_core::membership::message::{GossipUpdates, Message, MessageKind, Sender, SyncCall};
use oleander_core::membership::record::MemberRecord;
use oleander_core::membership::{MemberMachine, MembershipConfig};
use oleander_core::units::Timestamp;
use oleander_peers::PeerCounters;
use oleander_peers::datagram::{
    DatagramError, DatagramOpener, DatagramSealer, MAX_CLOCK_SKEW, MAX_DATAGRAM_BYTES,
};
use oleander_peers::frame::{FrameError, FrameHead, FrameReader, FrameWriter};
use oleander_peers::keys::{KeyRing, MacKey};
use oleander_peers::replay::{REPLAY_WINDOW, ReplayWindow};
use oleander_ports::peers::PeerChannel;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::{echo, finished, key, member, settings, start, until};
use tokio::io::AsyncWriteExt;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn here() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("an address")
}

fn ring(ids: &[&str]) -> KeyRing {
    let keys: Vec<_> = ids.iter().map(|id| key(id)).collect();
    KeyRing::new(&keys, "udp").expect("there is a key")
}

fn sealer(ids: &[&str], incarnation: u64) -> DatagramSealer {
    DatagramSealer::new(ring(ids), Incarnation::new(incarnation))
}

fn opener(ids: &[&str]) -> DatagramOpener {
    DatagramOpener::new(ring(ids), here())
}

fn message() -> Message {
    let record = MemberRecord::new(&member("a.entry", 1));
    let sender = Sender {
        id: record.id.clone(),
        version: record.version,
        leaving: false,
        revision: Default::default(),
    };
    let updates = GossipUpdates { records: vec![record], ..GossipUpdates::default() };
    Message { sender, kind: MessageKind::Ping(7), updates }
}

fn seal(sealer: &mut DatagramSealer) -> Vec<u8> {
    sealer.seal(&message(), here(), NOW).expect("it is small")
}

#[test]
fn datagram_is_accepted_once_only_at_its_receiver_and_only_in_time() {
    let (mut sealer, mut opener) = (sealer(&["k1"], 5), opener(&["k1"]));
    let bytes = seal(&mut sealer);
    assert_eq!(opener.open(&bytes, NOW), Ok(message()));
    assert_eq!(opener.open(&bytes, NOW), Err(DatagramError::Replayed));

    let elsewhere = "127.0.0.1:9001".parse().expect("an address");
    let redirected = sealer.seal(&message(), elsewhere, NOW).expect("it is small");
    assert_eq!(opener.open(&redirected, NOW), Err(DatagramError::Forged));

    let late = seal(&mut sealer);
    let later = NOW + MAX_CLOCK_SKEW + Duration::from_millis(1);
    assert_eq!(opener.open(&late, later), Err(DatagramError::Skewed));
}

#[test]
fn datagram_of_an_older_incarnation_is_dropped() {
    let mut opener = opener(&["k1"]);
    let mut before = sealer(&["k1"], 5);
    seal(&mut before);
    // Its counter is higher than those of the newer incarnation.
    let old = seal(&mut before);
    assert!(opener.open(&seal(&mut sealer(&["k1"], 6)), NOW).is_ok());
    assert_eq!(opener.open(&old, NOW), Err(DatagramError::Replayed));
}

#[test]
fn keys_rotate_without_an_interruption() {
    let opens = |signs: &[&str], verifies: &[&str]| {
        opener(verifies).open(&seal(&mut sealer(signs, 1)), NOW).is_ok()
    };
    assert!(opens(&["k1"], &["k1", "k2"]), "new key added everywhere");
    assert!(opens(&["k2", "k1"], &["k1", "k2"]), "new key signs at some processes");
    assert!(opens(&["k1", "k2"], &["k2", "k1"]), "old key signs at the others");
    assert!(opens(&["k2"], &["k2"]), "old key removed");
    assert!(!opens(&["k1"], &["k2"]), "removed key is rejected");
}

#[test]
fn no_mutated_or_random_datagram_opens() {
    let mut rng = StdRng::seed_from_u64(41);
    let (mut sealer, mut opener) = (sealer(&["k1"], 5), opener(&["k1"]));
    for _ in 0..5_000 {
        let mut bytes = seal(&mut sealer);
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..bytes.len());
            bytes[index] ^= rng.random_range(1..=255u8);
        }
        bytes.truncate(rng.random_range(bytes.len() / 2..=bytes.len()));
        let opened = opener.open(&bytes, NOW);
        let untouched = bytes.len() >= 3 && opened.is_ok();
        assert!(!untouched, "a mutated datagram opened");
        let noise: Vec<u8> =
            (0..rng.random_range(0..MAX_DATAGRAM_BYTES)).map(|_| rng.random()).collect();
        assert!(opener.open(&noise, NOW).is_err());
    }
}

#[test]
fn no_mutated_message_of_an_authenticated_peer_makes_the_state_machine_panic() {
    let mut rng = StdRng::seed_from_u64(42);
    let mut machine =
        MemberMachine::new(&member("b.entry", 1), MembershipConfig::default(), 1, NOW);
    let datagram = postcard::to_stdvec(&message()).expect("it encodes");
    let sync = postcard::to_stdvec(&machine.sync_call()).expect("it encodes");
    let mut decoded = 0;
    for _ in 0..20_000 {
        let mut mutate = |bytes: &[u8]| {
            let mut bytes = bytes.to_vec();
            for _ in 0..rng.random_range(1..5) {
                let index = rng.random_range(0..bytes.len());
                bytes[index] = rng.random();
            }
            bytes
        };
        if let Ok(message) = postcard::from_bytes::<Message>(&mutate(&datagram)) {
            decoded += 1;
            machine.handle(here(), &message, NOW);
        }
        if let Ok(call) = postcard::from_bytes::<SyncCall>(&mutate(&sync)) {
            machine.answer_sync(&call, NOW);
        }
    }
    machine.tick(NOW + Duration::from_secs(100));
    assert!(decoded > 500, "only {decoded} were decoded");
    assert!(machine.members().len() <= 2_049);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn window_accepts_each_recent_counter_once(
        counters in prop::collection::vec(1..600u64, 1..400),
    ) {
        let mut window = ReplayWindow::default();
        let mut accepted = HashSet::new();
        let mut highest = 0;
        for counter in counters {
            let is_recent = counter + REPLAY_WINDOW > highest;
            let fresh = accepted.insert(counter);
            prop_assert_eq!(window.accept(counter), fresh && is_recent);
            highest = highest.max(counter);
        }
    }
}

/// The bytes of two frames on a connection.
async fn frames() -> Vec<u8> {
    let (mine, mut theirs) = tokio::io::duplex(1 << 16);
    let mut writer = FrameWriter::new(mine, MacKey::new(b"a key"), Arc::default());
    for number in 0..2 {
        let head = FrameHead::Call { number, channel: PeerChannel::Status, wait_millis: 9 };
        writer.write(&head, b"body").await.expect("it fits");
    }
    drop(writer);
    let mut bytes = Vec::new();
    tokio::io::AsyncReadExt::read_to_end(&mut theirs, &mut bytes).await.expect("it ends");
    bytes
}

/// Returns the number of frames that can be read from `bytes`, and the error that ends it.
async fn read_all(bytes: &[u8]) -> (usize, FrameError) {
    let counters = Arc::new(PeerCounters::default());
    let mut reader = FrameReader::new(bytes, MacKey::new(b"a key"), None, counters);
    let mut count = 0;
    loop {
        match reader.read().await {
            Ok(_) => count += 1,
            Err(error) => return (count, error),
        }
    }
}

#[tokio::test]
async fn frames_cannot_be_replayed_reordered_dropped_or_changed() {
    let bytes = frames().await;
    let (first, second) = bytes.split_at(bytes.len() / 2);
    assert!(matches!(read_all(&bytes).await, (2, FrameError::Ended(_))));
    let repeated = [first, first].concat();
    assert!(matches!(read_all(&repeated).await, (1, FrameError::Forged)));
    let reordered = [second, first].concat();
    assert!(matches!(read_all(&reordered).await, (0, FrameError::Forged)));
    let mut rng = StdRng::seed_from_u64(43);
    for _ in 0..5_000 {
        let mut mutated = bytes.clone();
        let index = rng.random_range(0..mutated.len());
        mutated[index] ^= rng.random_range(1..=255u8);
        let (count, _) = read_all(&mutated).await;
        assert!(count <= usize::from(index >= first.len()), "a changed frame was read");
    }
}

#[tokio::test]
async fn node_survives_unauthenticated_peers_on_both_ports_and_counts_them() {
    let node = oleander_peers::PeerNode::start(settings("a.entry", vec![]), vec![echo()])
        .await
        .expect("it starts");
    let mut rng = StdRng::seed_from_u64(44);
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("it binds");
    for _ in 0..200 {
        let noise: Vec<u8> = (0..rng.random_range(1..1_500)).map(|_| rng.random()).collect();
        socket.send_to(&noise, node.address()).await.expect("it sends");
        let mut stream = tokio::net::TcpStream::connect(node.address()).await.expect("it connects");
        let _ = stream.write_all(&noise).await;
    }
    until("the invalid input to be counted", || {
        node.counters().malformed.get() + node.counters().forged.get() > 200
    })
    .await;

    let mut unauthenticated = settings("x.entry", vec![node.address()]);
    unauthenticated.keys = vec![key("k9")];
    let unauthenticated =
        oleander_peers::PeerNode::start(unauthenticated, vec![]).await.expect("it starts");
    let call = |from: &oleander_peers::PeerNode| {
        let calls = from.calls();
        let address = node.address();
        async move { calls.call(address, PeerChannel::Status, vec![3], Duration::from_secs(20)).await }
    };
    assert!(finished(call(&unauthenticated)).await.is_err());
    let valid_peer = start("b.entry", vec![node.address()]).await;
    assert_eq!(finished(call(&valid_peer)).await, Ok(vec![3]));
    until("the valid peer to join", || node.members().members().len() == 2).await;
    assert!(!support::states(&node).iter().any(|(id, _)| id == "x.entry"));
}
