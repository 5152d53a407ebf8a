//! Measures what the membership costs one process among 7, 50, 150 and 370 members.
//!
//! A generator simulates the other members for one real process over loopback: it answers probes,
//! probes the process once per second, syncs tables with it and repeats the gossip of each catalog
//! change as often as the members would.
//!
//! `cargo run --release -p oleander-peers --example slopes -- 7 50 150 370`

use anyhow::{Context, Result};
use oleander_core::ids::{Incarnation, Revision};
use oleander_core::membership::message::{
    GossipUpdates, Message, MessageKind, RevisionReport, Sender, SyncCall, SyncDigest, SyncReply,
};
use oleander_core::membership::record::MemberRecord;
use oleander_core::membership::{
    Member, MemberMachine, MemberRole, MemberState, MembershipConfig, Rumor,
};
use oleander_peers::datagram::{DatagramOpener, DatagramSealer};
use oleander_peers::handlers::HandlerTable;
use oleander_peers::keys::KeyRing;
use oleander_peers::server::PeerServer;
use oleander_peers::{PeerCounters, PeerKey, PeerLimits, PeerNode, PeerSettings};
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_ports::peers::{PeerChannel, PeerError, PeerHandler};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};

const SECOND: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_secs(25);
const STEADY_PERIOD: Duration = Duration::from_secs(30);
const CHANGES: u64 = 6;
const CHANGE_INTERVAL: Duration = Duration::from_secs(8);
const CHANGES_PER_DAY: f64 = 1_400.0;
const DAY_SECONDS: f64 = 86_400.0;
/// Size of the IP and UDP headers, in bytes.
const DATAGRAM_OVERHEAD: u64 = 28;

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Reading {
    cpu_seconds: f64,
    resident_bytes: u64,
    messages_in: u64,
    messages_out: u64,
    bytes_in: u64,
    bytes_out: u64,
    members: u64,
    known_revisions: u64,
}

fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    if let Some(seed) = arguments.iter().position(|a| a == "--node") {
        return runtime.block_on(node(arguments[seed + 1].parse()?));
    }
    println!(
        "members | CPU % steady | CPU ms a change | CPU % at 1,400 changes/day | resident MB | in B/s | out B/s | in msg/s | out msg/s | KB in a change | KB out a change | KB/s in+out total"
    );
    for argument in &arguments {
        runtime.block_on(measure(argument.parse()?))?;
    }
    Ok(())
}

fn key() -> PeerKey {
    PeerKey::new("k1".parse().expect("an id"), "a secret of this measurement".into())
}

fn member(index: usize, address: SocketAddr) -> Member {
    let (region, domain) = (index % 2, index % 7);
    Member {
        id: format!("host-{index}.entry").parse().expect("an id"),
        incarnation: Incarnation::new(1_700_000_000_000),
        role: MemberRole::Entry,
        region: format!("region-{region}").parse().expect("a name"),
        domain: format!("region-{region}-{domain}").parse().expect("a name"),
        address,
        state: MemberState::Alive,
        revision: Revision::default(),
    }
}

/// The measured process: a node that prints a [`Reading`] for each line on its standard input.
async fn node(seed_address: SocketAddr) -> Result<()> {
    let me = member(0, "127.0.0.1:0".parse()?);
    let settings =
        PeerSettings::new(me, vec![key()], SystemClock::shared()).with_seeds(vec![seed_address]);
    let node = PeerNode::start(settings, Vec::new()).await?;
    let members = node.members();
    let own = Arc::clone(&members);
    members.listen(Arc::new(move |rumor| {
        if let Rumor::Head { revision, .. } = rumor {
            own.set_revision(*revision);
        }
    }));
    println!("{}", node.address());
    let asked = std::io::stdin();
    tokio::task::spawn_blocking(move || {
        for _ in asked.lock().lines() {
            println!("{}", serde_json::to_string(&read(&node)).unwrap_or_default());
        }
    })
    .await?;
    Ok(())
}

/// CPU time of all threads in seconds, from the scheduler statistics.
fn cpu_seconds() -> f64 {
    let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let spent = threads.filter_map(|thread| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    });
    spent.sum::<f64>() / 1e9
}

fn read(node: &PeerNode) -> Reading {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|f| f.parse().ok()).unwrap_or(0);
    let counters = node.counters();
    let members = node.members().members();
    let newest = members.iter().map(|m| m.revision).max().unwrap_or_default();
    Reading {
        cpu_seconds: cpu_seconds(),
        resident_bytes: pages * 4_096,
        messages_in: counters.datagrams_in.get() + counters.frames_in.get(),
        messages_out: counters.datagrams_out.get() + counters.frames_out.get(),
        bytes_in: counters.datagram_bytes_in.get()
            + counters.datagrams_in.get() * DATAGRAM_OVERHEAD
            + counters.frame_bytes_in.get(),
        bytes_out: counters.datagram_bytes_out.get()
            + counters.datagrams_out.get() * DATAGRAM_OVERHEAD
            + counters.frame_bytes_out.get(),
        members: members.len() as u64,
        known_revisions: members.iter().filter(|m| m.revision == newest).count() as u64,
    }
}

struct MeasuredProcess {
    child: Child,
    requests: ChildStdin,
    answers: BufReader<ChildStdout>,
    address: SocketAddr,
}

impl MeasuredProcess {
    fn start(seed: SocketAddr) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["--node", &seed.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let requests = child.stdin.take().context("the child has a standard input")?;
        let mut answers =
            BufReader::new(child.stdout.take().context("the child has a standard output")?);
        let mut line = String::new();
        answers.read_line(&mut line)?;
        Ok(Self { child, requests, answers, address: line.trim().parse()? })
    }

    fn read(&mut self) -> Result<Reading> {
        writeln!(self.requests)?;
        let mut line = String::new();
        self.answers.read_line(&mut line)?;
        Ok(serde_json::from_str(&line)?)
    }

    fn stop(mut self) -> Result<()> {
        drop(self.requests);
        self.child.wait()?;
        Ok(())
    }
}

/// One simulated member.
struct SimulatedMember {
    record: MemberRecord,
    socket: UdpSocket,
    sealer: Mutex<DatagramSealer>,
}

/// The simulated members and their shared state.
struct Simulation {
    simulated: Vec<Arc<SimulatedMember>>,
    revision: Mutex<Revision>,
    machine: Mutex<MemberMachine>,
}

impl Simulation {
    async fn start(count: usize) -> Result<Arc<Self>> {
        let ring = KeyRing::new(&[key()], "udp").context("there is a key")?;
        let mut simulated = Vec::new();
        let mut listeners = Vec::new();
        for index in 1..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let me = member(index, address);
            let sealer = Mutex::new(DatagramSealer::new(ring.clone(), me.incarnation));
            let socket = UdpSocket::bind(address).await?;
            let record = MemberRecord::new(&me);
            simulated.push(Arc::new(SimulatedMember { record, socket, sealer }));
            listeners.push((listener, me));
        }
        let now = SystemClock.now();
        let first = &listeners.first().context("there are at least two members")?.1;
        let mut machine = MemberMachine::new(first, MembershipConfig::default(), 1, now);
        let records =
            simulated.iter().map(|simulated_member| simulated_member.record.clone()).collect();
        let digest = SyncDigest { buckets: Vec::new(), rumors: 0, revisions: 0 };
        let updates = GossipUpdates { records, ..GossipUpdates::default() };
        machine.apply_sync_reply(&SyncReply { digest, updates }, now);
        let simulation =
            Arc::new(Self { simulated, revision: Mutex::default(), machine: Mutex::new(machine) });
        for (listener, me) in listeners {
            tokio::spawn(Arc::clone(&simulation).serve(listener, me.address));
        }
        for simulated_member in &simulation.simulated {
            tokio::spawn(
                Arc::clone(&simulation).answer(Arc::clone(simulated_member), ring.clone()),
            );
        }
        Ok(simulation)
    }

    /// Answers sync requests.
    async fn serve(self: Arc<Self>, listener: TcpListener, me: SocketAddr) {
        let limits = PeerLimits::default();
        let counters = Arc::new(PeerCounters::default());
        let handlers = Arc::new(HandlerTable::new(&limits, Arc::clone(&counters)));
        let handler: PeerHandler = Arc::new(move |body| {
            let simulation = Arc::clone(&self);
            Box::pin(async move {
                let call: SyncCall = postcard::from_bytes(&body)
                    .map_err(|error| PeerError::Refused(error.to_string()))?;
                let mut machine = simulation.machine.lock().expect("it is not poisoned");
                let (reply, _) = machine.answer_sync(&call, SystemClock.now());
                postcard::to_stdvec(&reply).map_err(|error| PeerError::Unknown(error.to_string()))
            })
        });
        handlers.set(PeerChannel::Members, handler);
        let ring = KeyRing::new(&[key()], "tcp").expect("there is a key");
        PeerServer { me, ring, limits, handlers, counters }.serve(listener).await;
    }

    /// Answers the pings sent to one member.
    async fn answer(self: Arc<Self>, simulated_member: Arc<SimulatedMember>, ring: KeyRing) {
        let mut opener = DatagramOpener::new(ring, simulated_member.record.address);
        let mut buffer = [0u8; 2_048];
        while let Ok((length, from)) = simulated_member.socket.recv_from(&mut buffer).await {
            let Ok(message) = opener.open(&buffer[..length], SystemClock.now()) else { continue };
            if let MessageKind::Ping(number) = message.kind {
                self.send(
                    &simulated_member,
                    from,
                    MessageKind::Ack(number),
                    GossipUpdates::default(),
                )
                .await;
            }
        }
    }

    async fn send(
        &self,
        simulated_member: &SimulatedMember,
        to: SocketAddr,
        kind: MessageKind,
        updates: GossipUpdates,
    ) {
        let record = &simulated_member.record;
        let sender = Sender {
            id: record.id.clone(),
            version: record.version,
            leaving: false,
            revision: *self.revision.lock().expect("it is not poisoned"),
        };
        let message = Message { sender, kind, updates };
        let sealed = simulated_member.sealer.lock().expect("it is not poisoned").seal(
            &message,
            to,
            SystemClock.now(),
        );
        if let Some(bytes) = sealed {
            let _ = simulated_member.socket.send_to(&bytes, to).await;
        }
    }

    /// Probes the measured process once per second, the average rate of all members together.
    async fn probe(self: Arc<Self>, to: SocketAddr) {
        let mut rng = StdRng::seed_from_u64(7);
        for number in 0.. {
            tokio::time::sleep(SECOND).await;
            let simulated_member =
                Arc::clone(&self.simulated[rng.random_range(0..self.simulated.len())]);
            self.send(&simulated_member, to, MessageKind::Ping(number), GossipUpdates::default())
                .await;
        }
    }

    /// Gossips one catalog change: the rumor, and the revision of each member as often as each
    /// member would send it, in datagrams of the size and frequency of real gossip.
    async fn change(&self, to: SocketAddr, revision: Revision) {
        const DIGEST: &str = "8f14e45fceea167a5a36dedd4bea2543cb0d5e8a6e0c1e1b1d1a1f8b7c6d5e4f";
        const REPORTS: usize = 100;
        let config = MembershipConfig::default();
        let members = self.simulated.len() as f64 + 2.0;
        let repeats = config.retransmit_factor * members.log10().ceil() as u32;
        let pause = config.gossip_interval / config.gossip_fanout as u32;
        *self.revision.lock().expect("it is not poisoned") = revision;
        let rumor = Rumor::Head { revision, digest: DIGEST.into() };
        let mut rng = StdRng::seed_from_u64(revision.get());
        for _ in 0..repeats {
            let reports: Vec<RevisionReport> = self
                .simulated
                .iter()
                .map(|simulated_member| RevisionReport {
                    tag: simulated_member.record.tag(),
                    revision,
                })
                .collect();
            for part in reports.chunks(REPORTS) {
                let rumors = vec![rumor.clone()];
                let updates =
                    GossipUpdates { rumors, records: Vec::new(), revisions: part.to_vec() };
                let simulated_member = &self.simulated[rng.random_range(0..self.simulated.len())];
                self.send(simulated_member, to, MessageKind::Gossip, updates).await;
                tokio::time::sleep(pause).await;
            }
        }
    }
}

async fn measure(count: usize) -> Result<()> {
    let simulation = Simulation::start(count).await?;
    let mut measured = MeasuredProcess::start(simulation.simulated[0].record.address)?;
    tokio::spawn(Arc::clone(&simulation).probe(measured.address));
    tokio::time::sleep(WARM_UP).await;

    let (started, before) = (Instant::now(), measured.read()?);
    anyhow::ensure!(before.members as usize == count, "only {} members joined", before.members);
    tokio::time::sleep(STEADY_PERIOD).await;
    let (steady_span, steady) = (started.elapsed().as_secs_f64(), measured.read()?);

    let started = Instant::now();
    for change in 1..=CHANGES {
        let due = started + CHANGE_INTERVAL * change as u32;
        simulation.change(measured.address, Revision::new(change)).await;
        tokio::time::sleep(due.saturating_duration_since(Instant::now())).await;
    }
    let (change_span, after) = (started.elapsed().as_secs_f64(), measured.read()?);
    anyhow::ensure!(after.known_revisions as usize == count, "{after:?}");
    print_row(count, (&before, &steady, steady_span), (&after, change_span));
    measured.stop()
}

fn print_row(
    count: usize,
    (before, steady, span): (&Reading, &Reading, f64),
    (after, change_span): (&Reading, f64),
) {
    let rate = |late: u64, early: u64| (late - early) as f64 / span;
    let cpu = (steady.cpu_seconds - before.cpu_seconds) / span;
    let (into, out) =
        (rate(steady.bytes_in, before.bytes_in), rate(steady.bytes_out, before.bytes_out));
    let changes = CHANGES as f64;
    let extra =
        |late: u64, early: u64, rate: f64| ((late - early) as f64 - rate * change_span) / changes;
    let cpu_change = (after.cpu_seconds - steady.cpu_seconds - cpu * change_span) / changes;
    let in_change = extra(after.bytes_in, steady.bytes_in, into);
    let out_change = extra(after.bytes_out, steady.bytes_out, out);
    let per_second = CHANGES_PER_DAY / DAY_SECONDS;
    println!(
        "{count} | {:.2} | {:.1} | {:.2} | {:.1} | {into:.0} | {out:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2}",
        cpu * 100.0,
        cpu_change * 1e3,
        (cpu + cpu_change * per_second) * 100.0,
        after.resident_bytes as f64 / 1e6,
        rate(steady.messages_in, before.messages_in),
        rate(steady.messages_out, before.messages_out),
        in_change / 1e3,
        out_change / 1e3,
        (into + out + (in_change + out_change) * per_second) / 1e3,
    );
}
