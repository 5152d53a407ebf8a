//! One gateway host of a run, whose process is stopped, paused, killed and restarted.

use crate::proxy::FaultProxy;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// The binary of this build.
pub const BINARY: &str = env!("CARGO_BIN_EXE_oleander-gateway");
/// Time from SIGTERM within which a process must exit, as in its settings.
pub const GRACE_PERIOD: Duration = Duration::from_millis(6_000);
/// Time from SIGTERM within which new requests may last until the end of the grace period.
const EARLY_STOP_TIME: Duration = Duration::from_secs(3);
/// Tolerance for the exit of a process on a loaded machine.
const EXIT_SLACK: Duration = Duration::from_millis(1_500);
/// Delay before a stopped process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time after the start within which a process may have no signal handlers yet.
const STARTUP_TIME: Duration = Duration::from_millis(500);
/// Interval at which the exit of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Event in the lifecycle of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEvent {
    Started,
    Terminated,
    Killed,
    Paused,
    Resumed,
    Ended,
}

/// One host, which keeps its addresses while its process is replaced.
pub struct GatewayHost {
    pub name: String,
    pub callers: SocketAddr,
    /// Proxy between the host and the store.
    pub store: FaultProxy,
    settings: PathBuf,
    /// Content of the settings file, without what earlier builds refuse.
    earlier_settings: Value,
    log: PathBuf,
    /// Binary that the next process runs.
    binary: Mutex<PathBuf>,
    child: Mutex<Option<Child>>,
    /// Held while the process is being stopped or is paused, so that such faults don't overlap.
    lifecycle_lock: tokio::sync::Mutex<()>,
    events: Mutex<Vec<(Instant, HostEvent)>>,
    errors: Mutex<Vec<String>>,
}

impl GatewayHost {
    /// Starts a host that runs `binary` and whose store is at `store`.
    pub async fn start(number: u8, store: SocketAddr, folder: &Path, binary: &Path) -> Self {
        let store = FaultProxy::start(store).await;
        let name = format!("host-{number}");
        let [callers, ready, peers] = free_addresses(number).await;
        let settings = folder.join(format!("{name}.jsonc"));
        let earlier_settings = json!({
            "host": name, "region": "here", "domain": "here-a", "domains": {"here-a": "here"},
            "callers": callers, "ready": ready, "peers": peers, "store": store.address,
            "memory_bytes": 80_000_000, "bounds": {"stop_ms": GRACE_PERIOD.as_millis() as u64},
        });
        let log = folder.join(format!("{name}.log"));
        let host = Self {
            name,
            callers,
            store,
            settings,
            earlier_settings,
            log,
            binary: Mutex::new(binary.to_owned()),
            child: Mutex::default(),
            lifecycle_lock: tokio::sync::Mutex::default(),
            events: Mutex::default(),
            errors: Mutex::default(),
        };
        host.spawn();
        host
    }

    fn spawn(&self) {
        let log = std::fs::File::options().create(true).append(true).open(&self.log).unwrap();
        let binary = self.binary.lock().unwrap().clone();
        let mut settings = self.earlier_settings.clone();
        if binary == Path::new(BINARY) {
            settings["outgoing"] = json!(self.callers.ip());
        }
        std::fs::write(&self.settings, settings.to_string()).unwrap();
        let child = Command::new(binary)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        *self.child.lock().unwrap() = Some(child);
        self.record_event(HostEvent::Started);
    }

    fn record_event(&self, event: HostEvent) {
        self.events.lock().unwrap().push((Instant::now(), event));
    }

    fn signal(&self, signal: Signal) {
        let child = self.child.lock().unwrap();
        let Some(child) = child.as_ref() else { return };
        let pid = Pid::from_raw(i32::try_from(child.id()).unwrap()).unwrap();
        // Fails when the process exited by itself, which is detected when its exit is awaited.
        let _ = kill_process(pid, signal);
    }

    /// Stops the process gracefully and restarts it.
    pub async fn restart(&self) {
        let _guard = self.lifecycle_lock.lock().await;
        let age = self.age();
        self.record_event(HostEvent::Terminated);
        self.signal(Signal::TERM);
        let status = self.wait_for_exit(GRACE_PERIOD + EXIT_SLACK).await;
        let is_graceful = status.is_some_and(|status| matches!(status.code(), Some(0 | 2)));
        // A process that has just been started has no signal handlers yet.
        if !is_graceful && age >= STARTUP_TIME {
            let text =
                format!("{}: exit status {status:?} after SIGTERM at age {age:?}", self.name);
            self.errors.lock().unwrap().push(text);
        }
        tokio::time::sleep(RESTART_DELAY).await;
        self.spawn();
    }

    /// Stops the process gracefully and starts one of another build.
    pub async fn replace(&self, binary: &Path) {
        *self.binary.lock().unwrap() = binary.to_owned();
        self.restart().await;
    }

    /// Stops the process while it also gets other signals, and restarts it.
    pub async fn restart_amid_signals(&self, pause: Duration) {
        let signals = async {
            for _ in 0..4 {
                tokio::time::sleep(pause).await;
                self.reload();
            }
        };
        self.reload();
        tokio::join!(self.restart(), signals);
    }

    /// Kills the process `delay` after it was asked to stop, and restarts it.
    pub async fn kill_while_stopping(&self, delay: Duration) {
        let _guard = self.lifecycle_lock.lock().await;
        self.record_event(HostEvent::Terminated);
        self.signal(Signal::TERM);
        tokio::time::sleep(delay).await;
        self.kill_and_restart(RESTART_DELAY).await;
    }

    /// Kills the process and restarts it after `down`.
    pub async fn kill(&self, down: Duration) {
        let _guard = self.lifecycle_lock.lock().await;
        self.kill_and_restart(down).await;
    }

    async fn kill_and_restart(&self, down: Duration) {
        self.record_event(HostEvent::Killed);
        self.signal(Signal::KILL);
        self.wait_for_exit(EXIT_SLACK).await;
        tokio::time::sleep(down).await;
        self.spawn();
    }

    /// Suspends the process for `span`.
    pub async fn pause(&self, span: Duration) {
        let _guard = self.lifecycle_lock.lock().await;
        self.record_event(HostEvent::Paused);
        self.signal(Signal::STOP);
        tokio::time::sleep(span).await;
        self.signal(Signal::CONT);
        self.record_event(HostEvent::Resumed);
    }

    /// Makes the process reload its settings, unless it may have no handler for the signal yet.
    pub fn reload(&self) {
        if self.age() >= STARTUP_TIME {
            self.signal(Signal::HUP);
        }
    }

    fn try_exit_status(&self) -> Option<ExitStatus> {
        let mut child = self.child.lock().unwrap();
        child.as_mut().and_then(|child| child.try_wait().unwrap())
    }

    /// Time for which the process has run since it was started.
    fn age(&self) -> Duration {
        let events = self.events.lock().unwrap();
        let (mut age, mut until) = (Duration::ZERO, Instant::now());
        for (at, event) in events.iter().rev() {
            match event {
                HostEvent::Started => return age + (until - *at),
                HostEvent::Resumed => age += until - *at,
                HostEvent::Paused => until = *at,
                _ => {}
            }
        }
        Duration::ZERO
    }

    /// Waits for the process to exit, and kills it after the timeout.
    async fn wait_for_exit(&self, timeout: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        let mut status = None;
        while status.is_none() && started.elapsed() < timeout {
            status = self.try_exit_status();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if status.is_none() {
            self.signal(Signal::KILL);
            let child = self.child.lock().unwrap().take();
            let _ = child.map(|mut child| child.wait());
        }
        self.record_event(HostEvent::Ended);
        status
    }

    /// Number of processes that the host has started.
    pub fn processes(&self) -> usize {
        let events = self.events.lock().unwrap();
        events.iter().filter(|(_, event)| *event == HostEvent::Started).count()
    }

    /// Whether the process was killed or suspended in a span of time. A graceful stop does not
    /// count, because it must not lose requests.
    pub fn was_interrupted(&self, from: Instant, to: Instant) -> bool {
        let events = self.events.lock().unwrap();
        let mut interrupted_before = false;
        let mut interrupted_within = false;
        for (at, event) in events.iter() {
            let is_interruption = matches!(event, HostEvent::Killed | HostEvent::Paused);
            if *at <= from {
                interrupted_before =
                    is_interruption || (interrupted_before && *event == HostEvent::Ended);
            }
            interrupted_within |= is_interruption && *at > from && *at <= to;
        }
        interrupted_before || interrupted_within
    }

    /// Whether a request from the first moments of a stop was still open in the last ones, when a
    /// host may break it off.
    pub fn was_stopping_late(&self, sent: Instant, ended: Instant) -> bool {
        let events = self.events.lock().unwrap();
        events.iter().any(|(at, event)| {
            let last_moments = *at + GRACE_PERIOD * 5 / 6..*at + GRACE_PERIOD + EXIT_SLACK;
            *event == HostEvent::Terminated
                && sent <= *at + EARLY_STOP_TIME
                && last_moments.contains(&ended)
        })
    }

    /// Whether the process was replaced or suspended in a span of time.
    pub fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        let events = self.events.lock().unwrap();
        events.iter().any(|(at, _)| (from..=to).contains(at)) || {
            let last = events.iter().rev().find(|(at, _)| *at < from);
            last.is_some_and(|(_, event)| *event == HostEvent::Paused)
        }
    }

    /// Unexpected exits of the process.
    pub fn errors(&self) -> Vec<String> {
        self.errors.lock().unwrap().clone()
    }
}

impl Drop for GatewayHost {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Free ports of a loopback address that no other socket uses, so that they are still free when
/// the gateway restarts.
async fn free_addresses(number: u8) -> [SocketAddr; 3] {
    let pid = std::process::id();
    let address = Ipv4Addr::new(127, 100 + (pid % 120) as u8, (pid / 120 % 250) as u8, number + 10);
    let mut addresses = Vec::new();
    let mut listeners = Vec::new();
    for _ in 0..3 {
        let listener = TcpListener::bind((IpAddr::V4(address), 0)).await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        listeners.push(listener);
    }
    [addresses[0], addresses[1], addresses[2]]
}
