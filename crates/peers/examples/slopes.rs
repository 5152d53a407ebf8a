//! What the membership costs one process among 7, 50, 150 and 370 members.
//!
//! One real process is fed by a generator that speaks for the other members over loopback:
//! answers its probes, probes it once a second, compares tables with it and passes the news of
//! a catalog change on as often as the members would.
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
const SETTLE: Duration = Duration::from_secs(25);
const STEADY: Duration = Duration::from_secs(30);
const CHANGES: u64 = 6;
const CHANGE_SPACING: Duration = Duration::from_secs(8);
const CHANGES_A_DAY: f64 = 1_400.0;
const DAY_SECONDS: f64 = 86_400.0;
/// Bytes of IP and UDP headers.
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
        "members | CPU % steady | CPU ms a change | CPU % at 1,400 changes/day | resident MB | in B/s | out B/s | in msg/s | out msg/s | KB in a change | KB out a change | KB/s in+out all told"
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

/// The measured process: a node that tells its use of the machine when it is asked.
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

/// Processor time of every thread, from the scheduler's own nanoseconds.
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

struct Measured {
    child: Child,
    asks: ChildStdin,
    answers: BufReader<ChildStdout>,
    address: SocketAddr,
}

impl Measured {
    fn start(seed: SocketAddr) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["--node", &seed.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let asks = child.stdin.take().context("it has a standard input")?;
        let mut answers = BufReader::new(child.stdout.take().context("it has an output")?);
        let mut line = String::new();
        answers.read_line(&mut line)?;
        Ok(Self { child, asks, answers, address: line.trim().parse()? })
    }

    fn read(&mut self) -> Result<Reading> {
        writeln!(self.asks)?;
        let mut line = String::new();
        self.answers.read_line(&mut line)?;
        Ok(serde_json::from_str(&line)?)
    }

    fn stop(mut self) -> Result<()> {
        drop(self.asks);
        self.child.wait()?;
        Ok(())
    }
}

/// One member that the generator speaks for.
struct Speaker {
    record: MemberRecord,
    socket: UdpSocket,
    sealer: Mutex<DatagramSealer>,
}

/// What the members that the generator speaks for know together.
struct Crowd {
    speakers: Vec<Arc<Speaker>>,
    revision: Mutex<Revision>,
    machine: Mutex<MemberMachine>,
}

impl Crowd {
    async fn start(count: usize) -> Result<Arc<Self>> {
        let ring = KeyRing::new(&[key()], "udp").context("there is a key")?;
        let mut speakers = Vec::new();
        let mut listeners = Vec::new();
        for index in 1..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let me = member(index, address);
            let sealer = Mutex::new(DatagramSealer::new(ring.clone(), me.incarnation));
            let socket = UdpSocket::bind(address).await?;
            let record = MemberRecord::new(&me);
            speakers.push(Arc::new(Speaker { record, socket, sealer }));
            listeners.push((listener, me));
        }
        let now = SystemClock.now();
        let first = &listeners.first().context("there are two members at least")?.1;
        let mut machine = MemberMachine::new(first, MembershipConfig::default(), 1, now);
        let records = speakers.iter().map(|speaker| speaker.record.clone()).collect();
        let digest = SyncDigest { buckets: Vec::new(), rumors: 0, revisions: 0 };
        let updates = GossipUpdates { records, ..GossipUpdates::default() };
        machine.sync_reply(&SyncReply { digest, updates }, now);
        let crowd =
            Arc::new(Self { speakers, revision: Mutex::default(), machine: Mutex::new(machine) });
        for (listener, me) in listeners {
            tokio::spawn(Arc::clone(&crowd).serve(listener, me.address));
        }
        for speaker in &crowd.speakers {
            tokio::spawn(Arc::clone(&crowd).answer(Arc::clone(speaker), ring.clone()));
        }
        Ok(crowd)
    }

    /// Answers comparisons of tables.
    async fn serve(self: Arc<Self>, listener: TcpListener, me: SocketAddr) {
        let limits = PeerLimits::default();
        let counters = Arc::new(PeerCounters::default());
        let handlers = Arc::new(HandlerTable::new(&limits, Arc::clone(&counters)));
        let handler: PeerHandler = Arc::new(move |body| {
            let crowd = Arc::clone(&self);
            Box::pin(async move {
                let call: SyncCall = postcard::from_bytes(&body)
                    .map_err(|error| PeerError::Refused(error.to_string()))?;
                let mut machine = crowd.machine.lock().expect("it is not poisoned");
                let (reply, _) = machine.answer_sync(&call, SystemClock.now());
                postcard::to_stdvec(&reply).map_err(|error| PeerError::Unknown(error.to_string()))
            })
        });
        handlers.set(PeerChannel::Members, handler);
        let ring = KeyRing::new(&[key()], "tcp").expect("there is a key");
        PeerServer { me, ring, limits, handlers, counters }.serve(listener).await;
    }

    /// Answers the pings that reach one member.
    async fn answer(self: Arc<Self>, speaker: Arc<Speaker>, ring: KeyRing) {
        let mut opener = DatagramOpener::new(ring, speaker.record.address);
        let mut buffer = [0u8; 2_048];
        while let Ok((length, from)) = speaker.socket.recv_from(&mut buffer).await {
            let Ok(message) = opener.open(&buffer[..length], SystemClock.now()) else { continue };
            if let MessageKind::Ping(number) = message.kind {
                self.send(&speaker, from, MessageKind::Ack(number), GossipUpdates::default()).await;
            }
        }
    }

    async fn send(
        &self,
        speaker: &Speaker,
        to: SocketAddr,
        kind: MessageKind,
        updates: GossipUpdates,
    ) {
        let record = &speaker.record;
        let sender = Sender {
            id: record.id.clone(),
            version: record.version,
            leaving: false,
            revision: *self.revision.lock().expect("it is not poisoned"),
        };
        let message = Message { sender, kind, updates };
        let sealed = speaker.sealer.lock().expect("it is not poisoned").seal(
            &message,
            to,
            SystemClock.now(),
        );
        if let Some(bytes) = sealed {
            let _ = speaker.socket.send_to(&bytes, to).await;
        }
    }

    /// Probes the measured process once a second, as the members together do on average.
    async fn probe(self: Arc<Self>, to: SocketAddr) {
        let mut rng = StdRng::seed_from_u64(7);
        for number in 0.. {
            tokio::time::sleep(SECOND).await;
            let speaker = Arc::clone(&self.speakers[rng.random_range(0..self.speakers.len())]);
            self.send(&speaker, to, MessageKind::Ping(number), GossipUpdates::default()).await;
        }
    }

    /// Passes the news of one change on: the rumor, and each member's revision as often as
    /// each member sends a piece, in datagrams as full and as frequent as the members' gossip.
    async fn change(&self, to: SocketAddr, revision: Revision) {
        const DIGEST: &str = "8f14e45fceea167a5a36dedd4bea2543cb0d5e8a6e0c1e1b1d1a1f8b7c6d5e4f";
        const REPORTS: usize = 100;
        let config = MembershipConfig::default();
        let members = self.speakers.len() as f64 + 2.0;
        let repeats = config.retransmit_factor * members.log10().ceil() as u32;
        let pause = config.gossip_interval / config.gossip_fanout as u32;
        *self.revision.lock().expect("it is not poisoned") = revision;
        let rumor = Rumor::Head { revision, digest: DIGEST.into() };
        let mut rng = StdRng::seed_from_u64(revision.get());
        for _ in 0..repeats {
            let reports: Vec<RevisionReport> = self
                .speakers
                .iter()
                .map(|speaker| RevisionReport { tag: speaker.record.tag(), revision })
                .collect();
            for part in reports.chunks(REPORTS) {
                let rumors = vec![rumor.clone()];
                let updates =
                    GossipUpdates { rumors, records: Vec::new(), revisions: part.to_vec() };
                let speaker = &self.speakers[rng.random_range(0..self.speakers.len())];
                self.send(speaker, to, MessageKind::Gossip, updates).await;
                tokio::time::sleep(pause).await;
            }
        }
    }
}

async fn measure(count: usize) -> Result<()> {
    let crowd = Crowd::start(count).await?;
    let mut measured = Measured::start(crowd.speakers[0].record.address)?;
    tokio::spawn(Arc::clone(&crowd).probe(measured.address));
    tokio::time::sleep(SETTLE).await;

    let (begun, before) = (Instant::now(), measured.read()?);
    anyhow::ensure!(before.members as usize == count, "only {} members joined", before.members);
    tokio::time::sleep(STEADY).await;
    let (steady_span, steady) = (begun.elapsed().as_secs_f64(), measured.read()?);

    let begun = Instant::now();
    for change in 1..=CHANGES {
        let due = begun + CHANGE_SPACING * change as u32;
        crowd.change(measured.address, Revision::new(change)).await;
        tokio::time::sleep(due.saturating_duration_since(Instant::now())).await;
    }
    let (change_span, after) = (begun.elapsed().as_secs_f64(), measured.read()?);
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
    let per_second = CHANGES_A_DAY / DAY_SECONDS;
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
