//! A crowd of clients sends bodies of legal size that stop just short of their end. The platform
//! kills each process that exceeds the memory of its machine, and starts it again.

use crate::gateway::Gateway;
use crate::http::{CallEnd, Message, call};
use crate::record::Record;
use crate::runner::{Behaviour, RunLog, Runner};
use crate::store::Store;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUNNERS: usize = 3;
const HOSTS: usize = 2;
/// Memory of a machine of tbd-hollow.
const RAM_MB: u64 = 110;
const RAM_BYTES: u64 = RAM_MB * 1024 * 1024;
/// Clients of the crowd at one machine, which has 4,100 descriptors.
const CROWD: usize = 2_400;
const CROWD_THREADS: usize = 8;
/// Body of one request of the crowd; the limit of the configuration is 4 MB.
const BODY_BYTES: usize = 6_500;
/// The crowd comes so often at each machine, and stays for so long.
const WAVES: usize = 3;
const WAVE_TIME: Duration = Duration::from_secs(5);
/// Pause of one of the crowd's threads between two connections: a thousand come in half a second.
const CONNECT_PAUSE: Duration = Duration::from_millis(4);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause of the ordinary clients between two requests at one machine.
const CALL_PAUSE: Duration = Duration::from_millis(50);
/// Number of ends of a process in a day at which the rule is broken, if two machines have them.
const MAX_ENDS: u32 = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-booking","host":"desk.example","prefix":"/booking/","type":"unsafe","timeout_ms":3000,"goal_ms":200,"priority":2,"service":"desk","attempts":1,"public":false},{"name":"r-look","host":"desk.example","prefix":"/look/","type":"safe","timeout_ms":3000,"goal_ms":200,"priority":2,"service":"desk","attempts":2,"public":false}],"services":[{"name":"desk","health_path":"/health","max_conns":96,"proto":"h1","tls":false}],"limits":{"max_hdr_bytes":16384,"max_body_bytes":4194304,"hdr_timeout_ms":3000,"idle_ms":15000},"tenants":[{"name":"bank","keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// What ordinary clients got.
#[derive(Default)]
struct Tally {
    served: AtomicU32,
    failed: AtomicU32,
}

pub fn play(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    let log = RunLog::default();
    for number in 0..RUNNERS {
        let runner = Runner::start(&format!("i-desk-{number}"), 6, &log, behaviour())?;
        store.put("servers", &runner.name, &runner.entry("desk", "v1", "ready"));
    }
    store.put("op", "config", CONFIG);
    let mut gateways = Vec::new();
    for number in 1..=HOSTS as u8 {
        let gateway = Gateway::start(number, store.address, RAM_MB, folder)?;
        gateway.wait_until_ready()?;
        gateways.push(gateway);
    }
    let (tally, is_over) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let callers: Vec<_> = fronts
        .iter()
        .map(|&front| {
            let (tally, is_over) = (Arc::clone(&tally), Arc::clone(&is_over));
            thread::spawn(move || call_as_usual(front, &tally, &is_over))
        })
        .collect();
    let mut ends = [0; HOSTS];
    for wave in 1..=WAVES {
        for (host, gateway) in gateways.iter_mut().enumerate() {
            let crowd = has_trouble.then(|| {
                record.line(&format!("wave {wave}: {CROWD} clients come at {}", gateway.name));
                Crowd::gather(gateway.front)
            });
            ends[host] += u32::from(watch(record, gateway)?);
            if let Some(crowd) = crowd {
                record.line(&format!("{} clients of the crowd were connected", crowd.leave()));
            }
        }
    }
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let (served, failed) = (tally.served.load(Ordering::Relaxed), tally.failed.load(Ordering::Relaxed));
    let is_broken = ends.iter().filter(|ends| **ends >= MAX_ENDS).count() >= 2;
    let text = format!(
        "processes ended {ends:?} times for memory over {RAM_MB} MB; of the ordinary requests {served} were served, {failed} were not"
    );
    record.line(&text);
    println!("{text}");
    Ok(is_broken)
}

/// Watches a machine as the platform does for the time of a wave; returns whether its process
/// exceeded the memory and was started again.
fn watch(record: &Record, gateway: &mut Gateway) -> io::Result<bool> {
    let (until, mut peak) = (Instant::now() + WAVE_TIME, 0);
    while Instant::now() < until {
        let used = gateway.anonymous_memory();
        peak = used.max(peak);
        if gateway.has_exited() {
            return Err(io::Error::other(format!("{} has exited", gateway.name)));
        }
        if used > RAM_BYTES {
            record.line(&format!(
                "{} uses {} MB of {RAM_MB}: the platform kills its process",
                gateway.name,
                used / 1024 / 1024
            ));
            gateway.signal("KILL")?;
            thread::sleep(RESTART_DELAY);
            gateway.restart()?;
            gateway.wait_until_ready()?;
            return Ok(true);
        }
        thread::sleep(CHECK_INTERVAL);
    }
    record.line(&format!("{} used {} MB at most", gateway.name, peak / 1024 / 1024));
    Ok(false)
}

/// The connections of the crowd at one machine.
struct Crowd {
    threads: Vec<thread::JoinHandle<usize>>,
    has_left: Arc<Mutex<bool>>,
}

impl Crowd {
    fn gather(front: SocketAddr) -> Self {
        let has_left = Arc::new(Mutex::new(false));
        let threads = (0..CROWD_THREADS).map(|number| {
            let has_left = Arc::clone(&has_left);
            thread::spawn(move || {
                let mut connections = Vec::new();
                for index in 0..CROWD / CROWD_THREADS {
                    if *has_left.lock().unwrap() {
                        break;
                    }
                    let id = format!("{:016x}", number * CROWD + index);
                    // A connection that is refused or closed is a client that gave up.
                    connections.extend(stop_short(front, &id));
                    thread::sleep(CONNECT_PAUSE);
                }
                while !*has_left.lock().unwrap() {
                    thread::sleep(CHECK_INTERVAL);
                }
                connections.len()
            })
        });
        Self { threads: threads.collect(), has_left }
    }

    /// Closes the connections; returns how many there were.
    fn leave(self) -> usize {
        *self.has_left.lock().unwrap() = true;
        self.threads.into_iter().filter_map(|thread| thread.join().ok()).sum()
    }
}

/// Sends a request without the last byte of its body.
fn stop_short(front: SocketAddr, id: &str) -> io::Result<TcpStream> {
    let mut socket = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    socket.set_write_timeout(Some(Duration::from_secs(1)))?;
    let head = format!(
        "POST /booking/{id} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 6000\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    socket.write_all(&[head.as_bytes(), &[b'x'; BODY_BYTES - 1]].concat())?;
    Ok(socket)
}

fn behaviour() -> Behaviour {
    Arc::new(|runner: &Runner, request: &Message, socket: &mut TcpStream| {
        runner.begin_run(request);
        thread::sleep(Duration::from_millis(15));
        socket.write_all(&runner.sealed(200, request, b"stock"))?;
        Ok(true)
    })
}

fn call_as_usual(front: SocketAddr, tally: &Tally, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let request = format!(
            "GET /look/{number} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: look{number}\r\n\
             Deadline-Ms: 3000\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\n\r\n"
        );
        let end = call(front, request.as_bytes(), Duration::from_secs(3));
        let is_served = matches!(&end, CallEnd::Answered(answer) if answer.status() == 200 && answer.whole);
        let count = if is_served { &tally.served } else { &tally.failed };
        count.fetch_add(1, Ordering::Relaxed);
        thread::sleep(CALL_PAUSE);
    }
}
