//! The scenarios of `review/6` and above.

use crate::clients::{Crowd, OrdinaryClients, flood, head, send};
use crate::crashing::{BAD_BODY, BAD_PART, CrashLog, start_crashing};
use crate::platform::{Machine, MachineSpec, ReadyProbe};
use crate::record::Record;
use crate::runner::{Runner, RunnerSpec, Work, spawn};
use crate::store::Store;
use std::io::{Error, Result};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

const START_TIMEOUT: Duration = Duration::from_secs(20);
/// `contact_ms` of the sheets.
const CONTACT_SECONDS: f64 = 4.0;
/// Time between attempts of one ordinary client.
const ORDINARY_INTERVAL: Duration = Duration::from_millis(250);

/// The limits of the sites' configurations, as `fleetbench wire` shows them.
const LIMITS: &str =
    r#"{"max_hdr_bytes":16384,"max_body_bytes":4194304,"hdr_timeout_ms":3000,"idle_ms":15000}"#;

/// Runs a scenario; whether the rule held.
pub fn run(scenario: &str, folder: &str, has_trouble: bool) -> Result<bool> {
    let record = Record::create(folder)?;
    record.tell(&format!("{scenario}, with trouble: {has_trouble}"));
    match scenario {
        "used-descriptors" => stay_reachable(&record, has_trouble, |front| {
            Visitors::Crowd(Crowd::new(HELD_REQUESTS, whole_request), front)
        }),
        "sent-ahead" => stay_reachable(&record, has_trouble, |front| {
            flood(front, FLOOD_CLIENTS, requests_ahead);
            Visitors::Flood
        }),
        "forgotten-part" => forget(&record, has_trouble, BadKind::Part),
        "forgotten-request" => forget(&record, has_trouble, BadKind::Request),
        other => Err(Error::other(format!("no scenario {other}"))),
    }
}

/// A whole request of a client that does not read its answer yet.
fn whole_request() -> Vec<u8> {
    let more = "Token-Count: 1460,80\r\nContent-Length: 200\r\n";
    let head = head("POST", "/draft/one", 25_000, more);
    [head.as_bytes(), &[b'x'; 200]].concat()
}

/// A deployment: store, runners and machines, each at a loopback address of its own.
struct Deployment {
    folder: PathBuf,
    store: Arc<Store>,
    runners: Vec<Arc<Runner>>,
    machines: Vec<Machine>,
}

/// What differs between the deployments of the sheets.
struct SiteSpec {
    zones: [(&'static str, &'static str); 3],
    nodes: [&'static str; 3],
    ram_mb: u64,
    retry_extra: u32,
    engines: usize,
    engine_queue: usize,
    /// Time limits and goals of the plain route, in milliseconds.
    look_timeout_ms: u64,
    look_goal_ms: u64,
}

/// `sites/tbd-hollow.toml`.
const TBD_HOLLOW: SiteSpec = SiteSpec {
    zones: [("dkr-a", "dakar"), ("ths-b", "thies"), ("stl-c", "saint-louis")],
    nodes: ["edge-dkr-a-1", "edge-ths-b-1", "edge-stl-c-1"],
    ram_mb: 110,
    retry_extra: 52,
    engines: 12,
    engine_queue: 192,
    look_timeout_ms: 1_200,
    look_goal_ms: 200,
};

/// `sites/cckc-router.toml`.
const CCKC_ROUTER: SiteSpec = SiteSpec {
    zones: [("puget-a", "puget"), ("willamette-a", "willamette"), ("inland-a", "inland")],
    nodes: ["edge-puget-a-1", "edge-willamette-a-1", "edge-inland-a-1"],
    ram_mb: 260,
    retry_extra: 54,
    engines: 9,
    engine_queue: 134,
    look_timeout_ms: 6_000,
    look_goal_ms: 400,
};

const MAX_FDS: u32 = 4_100;
const ENGINE_SLOTS: usize = 64;
/// A generation of 64 events, the mean of the longest kind of request on the sheets, by a busy runner. The
/// sheets allow pauses of a second.
const GENERATION: Work = Work::Stream { events: 64, pause: Duration::from_millis(150) };
const LOOK_UP: Work = Work::Plain { bytes: 800, time: Duration::from_millis(15) };

impl Deployment {
    fn start(site: &'static SiteSpec, record: &Record) -> Result<Self> {
        Self::start_with(site, record, None)
    }

    /// Starts a deployment, with engines that crash if there is a log for them.
    fn start_with(
        site: &'static SiteSpec,
        record: &Record,
        crashes: Option<&Arc<CrashLog>>,
    ) -> Result<Self> {
        let process = std::process::id();
        // Addresses that no other run on this machine uses.
        let ip = |host: u8| {
            Ipv4Addr::new(127, 64 + (process % 128) as u8, (process / 128 % 250) as u8 + 1, host)
        };
        let folder = std::env::temp_dir().join(format!("oleander-review-{process}"));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start(ip(1))?;
        store.put("op", "config", &configuration(site));
        let mut runners = Vec::new();
        for index in 0..site.engines + 3 {
            let zone = site.zones[index % 3].0;
            let is_engine = index < site.engines;
            let spec = if is_engine {
                let queue = site.engine_queue;
                RunnerSpec { service: "engine", zone, slots: ENGINE_SLOTS, queue, work: GENERATION }
            } else {
                RunnerSpec { service: "desk", zone, slots: 6, queue: 24, work: LOOK_UP }
            };
            let name = format!("i-{index:02}");
            if let Some(log) = crashes.filter(|_| is_engine) {
                start_crashing(name, zone, ip(2), &store, log, record)?;
                continue;
            }
            let runner = Runner::start(name.clone(), ip(2), spec)?;
            store.put("servers", &name, &runner.row());
            runners.push(runner);
        }
        let zones: &'static str = Box::leak(
            site.zones
                .map(|(zone, region)| format!("{zone} = \"{region}\""))
                .join("\n")
                .into_boxed_str(),
        );
        let mut machines = Vec::new();
        for (index, node) in site.nodes.into_iter().enumerate() {
            let (zone, region) = site.zones[index];
            let SiteSpec { ram_mb, retry_extra, .. } = *site;
            let spec =
                MachineSpec { node, zone, region, zones, ram_mb, max_fds: MAX_FDS, retry_extra };
            let machine = Machine::new(spec, ip(11 + index as u8), store.address, &folder, record)?;
            machines.push(machine);
        }
        for machine in &mut machines {
            machine.start()?;
        }
        for machine in &mut machines {
            machine.wait_until_ready(START_TIMEOUT)?;
        }
        std::thread::sleep(Duration::from_secs(2));
        Ok(Self { folder, store, runners, machines })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn configuration(site: &SiteSpec) -> String {
    let SiteSpec { look_timeout_ms, look_goal_ms, .. } = site;
    format!(
        r#"{{"version":3,"routes":[{{"name":"draft","host":"desk.example","prefix":"/draft/","type":"stream","timeout_ms":25000,"goal_ms":4000,"priority":1,"service":"engine","attempts":3,"public":false,"sticky":true,"resumable":true,"itl_target_ms":1000}},{{"name":"look","host":"desk.example","prefix":"/look/","type":"safe","timeout_ms":{look_timeout_ms},"goal_ms":{look_goal_ms},"priority":2,"service":"desk","attempts":2,"public":false}}],"services":[{{"name":"engine","health_path":"/health","max_conns":360,"proto":"h1","tls":false}},{{"name":"desk","health_path":"/health","max_conns":96,"proto":"h1","tls":false}}],"limits":{LIMITS},"tenants":[{{"name":"one","keys":["key-of-one"],"priority":1}}]}}"#
    )
}

fn tell_runs(record: &Record, runners: &[Arc<Runner>]) {
    for runner in runners {
        let load = |count: &AtomicUsize| count.load(Relaxed);
        record.add(&format!(
            "runner at {}: {} runs, at most {} requests at once",
            runner.address,
            load(&runner.runs),
            load(&runner.most_held)
        ));
    }
}

/// Clients of the crowd that holds requests at runners.
const HELD_REQUESTS: usize = 2_700;
/// Clients that send requests ahead, and how many each of them sends.
const FLOOD_CLIENTS: usize = 400;
const REQUESTS_AHEAD: usize = 1_500;

/// Requests of a client that sends them one after the other and does not read the answers.
fn requests_ahead() -> Vec<u8> {
    let requests = (0..REQUESTS_AHEAD).map(|_| head("GET", "/nowhere/", 1_200, ""));
    requests.collect::<String>().into_bytes()
}

/// Who comes beside the ordinary clients.
enum Visitors {
    /// A crowd that comes again when it is sent away.
    Crowd(Crowd, SocketAddr),
    /// Clients that came once.
    Flood,
}

/// Whether a machine that says it is ready answers new connections within `contact_ms`, while others come too.
fn stay_reachable(
    record: &Record,
    has_trouble: bool,
    visit: impl FnOnce(SocketAddr) -> Visitors,
) -> Result<bool> {
    const CLIENTS: usize = 8;
    const TIME: f64 = 25.0;
    let mut deployment = Deployment::start(&CCKC_ROUTER, record)?;
    let machine = &mut deployment.machines[0];
    let mut probe = ReadyProbe::new(machine.ready)?;
    let clients = OrdinaryClients::start(machine.front, CLIENTS, ORDINARY_INTERVAL, record);
    record.tell(&format!("{CLIENTS} ordinary clients ask {}", machine.spec.node));
    std::thread::sleep(Duration::from_secs(2));
    record.tell(&format!("others come: {has_trouble}"));
    let mut visitors = has_trouble.then(|| visit(machine.front));
    let load = |count: &AtomicU64| count.load(Relaxed);
    let end = record.seconds() + TIME;
    let (mut ready_since, mut longest) = (None, 0.0f64);
    while record.seconds() < end {
        let filled = record.seconds();
        let crowd = match &mut visitors {
            Some(Visitors::Crowd(crowd, front)) => {
                crowd.fill(*front, Duration::from_millis(700));
                format!("; crowd: {} open, {} answered", crowd.len(), crowd.answered())
            }
            _ => String::new(),
        };
        let asked = record.seconds();
        let is_ready = probe.is_ready();
        let now = record.seconds();
        if !is_ready && let Ok(new) = ReadyProbe::new(machine.ready) {
            probe = new;
        }
        ready_since = if is_ready { ready_since.or(Some(asked)) } else { None };
        let answered = load(&clients.tally.last_answer_ms) as f64 / 1_000.0;
        let silent = ready_since.map_or(0.0, |since| now - answered.max(since));
        longest = longest.max(silent);
        let (descriptors, memory) =
            (machine.descriptors().unwrap_or(0), machine.memory().unwrap_or(0));
        record.add(&format!(
            "ready: {is_ready}; last answer to an ordinary client {:.1} s ago; {descriptors} descriptors, {memory} bytes{crowd}",
            now - answered
        ));
        let left = 1.0 - (record.seconds() - filled);
        std::thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    }
    clients.stop();
    let is_running = machine.is_running();
    let count = |count: &AtomicUsize| count.load(Relaxed);
    record.tell(&format!(
        "ordinary clients: {} served, {} failed; process runs: {is_running}",
        count(&clients.tally.served),
        count(&clients.tally.failed)
    ));
    tell_runs(record, &deployment.runners);
    let holds = longest <= CONTACT_SECONDS;
    record.tell(&format!(
        "longest time in which the machine said it was ready and answered no new connection: {longest:.1} s; the rule held: {holds}"
    ));
    Ok(holds)
}

/// What crashes the runners.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BadKind {
    /// A part of prompts; no two requests with it are alike.
    Part,
    /// One request, which comes again as it was.
    Request,
}

/// A request of a prompt of its own, or the one that crashes runners.
fn draft(bad: Option<BadKind>, index: usize) -> String {
    let bad_part =
        if bad == Some(BadKind::Part) { format!("{BAD_PART}:50,") } else { String::new() };
    let index = if bad == Some(BadKind::Request) { BAD_INDEX } else { index };
    let prompt = format!("aa01c3d4:400,{bad_part}bb02e5f6:120,{:08x}:30", 0x1000_0000 + index);
    let more = format!(
        "Token-Count: 600,120\r\nPrefix-Hash: {prompt}\r\nContent-Length: {}\r\n",
        BAD_BODY.len()
    );
    let body =
        if bad == Some(BadKind::Request) { BAD_BODY.to_owned() } else { format!("{index:08}") };
    head("POST", "/draft/one", 25_000, &more) + &body
}

/// Index of the request that crashes runners.
const BAD_INDEX: usize = 900_000;

/// Whether at most three requests that crash runners reach them, later than `contact_ms` after the crash
/// from which the bound counts, by machines in touch. The trouble is a kill of all processes at once; for
/// one request, also an outage of the store while it crashes its first runners.
fn forget(record: &Record, has_trouble: bool, kind: BadKind) -> Result<bool> {
    /// Time for which the store is away.
    const OUTAGE: Duration = Duration::from_millis(4_500);
    // Crashes after which the bound begins.
    let first_crashes = if kind == BadKind::Part { 5 } else { 3 };
    const MAX_LATER: usize = 3;
    const BAD_INTERVAL: Duration = Duration::from_millis(700);
    const SOUND_INTERVAL: Duration = Duration::from_millis(150);
    const MARGIN: Duration = Duration::from_secs(1);
    let log = Arc::new(CrashLog::default());
    let mut deployment = Deployment::start_with(&TBD_HOLLOW, record, Some(&log))?;
    let fronts: Vec<_> = deployment.machines.iter().map(|machine| machine.front).collect();
    let contact = Duration::from_secs_f64(CONTACT_SECONDS);
    let (running, tallies) =
        (Arc::new(AtomicBool::new(true)), Arc::new([const { AtomicUsize::new(0) }; 2]));
    for (number, front) in fronts.iter().copied().enumerate() {
        let (running, tallies, record) =
            (Arc::clone(&running), Arc::clone(&tallies), record.clone());
        spawn(move || {
            for index in 0.. {
                if !running.load(Relaxed) {
                    return;
                }
                let (tallies, record) = (Arc::clone(&tallies), record.clone());
                spawn(move || {
                    let result = send(front, &draft(None, number * 100_000 + index));
                    let is_served = matches!(result, Ok(200));
                    tallies[usize::from(is_served)].fetch_add(1, Relaxed);
                    if !is_served {
                        record.add(&format!("a sound client gets {result:?}"));
                    }
                });
                std::thread::sleep(SOUND_INTERVAL);
            }
        });
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut index = 500_000;
    let mut send_bad = |time: Duration| {
        let end = record.seconds() + time.as_secs_f64();
        while record.seconds() < end {
            let (front, text, record) =
                (fronts[index % fronts.len()], draft(Some(kind), index), record.clone());
            index += 1;
            spawn(move || {
                let result = send(front, &text);
                record.add(&format!("a client with a bad request gets {result:?}"));
            });
            std::thread::sleep(BAD_INTERVAL);
        }
    };
    let has_outage = has_trouble && kind == BadKind::Request;
    if has_outage {
        record.tell("the store answers 503");
        deployment.store.set_busy(true);
        std::thread::sleep(Duration::from_millis(500));
    }
    record.tell("bad requests begin to come");
    send_bad(OUTAGE - Duration::from_millis(500));
    if has_outage {
        deployment.store.set_busy(false);
        record.tell("the store is back");
    }
    send_bad(Duration::from_secs(4));
    std::thread::sleep(contact);
    let crashes = log.crashes.lock().unwrap().clone();
    record.tell(&format!("crashes so far: {crashes:.1?}"));
    let counted =
        *crashes.get(first_crashes - 1).unwrap_or(&crashes[crashes.len().saturating_sub(1)]);
    if has_trouble {
        record.tell("all processes are killed, and start again after two seconds");
        deployment.machines.iter_mut().for_each(Machine::stop);
        std::thread::sleep(Duration::from_secs(2));
        for machine in &mut deployment.machines {
            machine.start()?;
        }
        for machine in &mut deployment.machines {
            machine.wait_until_ready(START_TIMEOUT)?;
        }
        record.tell("all machines are ready again");
    }
    // From here on the machines are in touch.
    std::thread::sleep(contact + MARGIN);
    let from = record.seconds();
    record.tell("bad requests come again");
    send_bad(Duration::from_secs(12));
    std::thread::sleep(Duration::from_secs(3));
    running.store(false, Relaxed);
    let arrivals = log.arrivals.lock().unwrap().clone();
    let later = arrivals.iter().filter(|arrival| arrival.at > from.max(counted + CONTACT_SECONDS));
    let later: Vec<String> =
        later.map(|arrival| format!("{} at {:.1}", arrival.id, arrival.at)).collect();
    let broken_off = log.broken_off.lock().unwrap().len();
    record.tell(&format!(
        "sound clients: {} served, {} not; sound streams broken off by crashes: {broken_off}",
        tallies[1].load(Relaxed),
        tallies[0].load(Relaxed)
    ));
    let holds = later.len() <= MAX_LATER;
    record.tell(&format!(
        "bad requests that reached runners in touch, later than {CONTACT_SECONDS} s after crash {first_crashes}: {} ({later:?}); the rule held: {holds}",
        later.len()
    ));
    Ok(holds)
}
