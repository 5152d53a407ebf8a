//! The users' platform: starts a gateway by the command of the deploy file and asks whether it is ready.

use crate::record::Record;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The `run` line of the role in `deploy/system.toml`.
const RUN: &str = "target/release/oleander-gateway";
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// A machine as the settings describe it.
#[derive(Clone, Copy)]
pub struct MachineSpec {
    pub node: &'static str,
    pub zone: &'static str,
    pub region: &'static str,
    /// Table `zones` of the settings.
    pub zones: &'static str,
    pub ram_mb: u64,
    pub max_fds: u32,
    pub retry_extra: u32,
}

/// One machine with its gateway process.
pub struct Machine {
    pub spec: MachineSpec,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Machine {
    /// Describes a machine at an address of its own; `folder` takes its settings and its log.
    pub fn new(
        spec: MachineSpec,
        ip: Ipv4Addr,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> std::io::Result<Self> {
        // Held together, so that the ports differ.
        let held: Vec<TcpListener> =
            (0..3).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>()?;
        let ports: Vec<u16> = held
            .iter()
            .map(|held| held.local_addr().map(|at| at.port()))
            .collect::<Result<_, _>>()?;
        let MachineSpec { node, zone, region, zones, ram_mb, max_fds, retry_extra } = spec;
        let (front, ready, peers) = (ports[0], ports[1], ports[2]);
        let text = format!(
            r#"node = "{node}"
role = "gateway"
class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{peers},{peers}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.25
cpus = 1
ram_mb = {ram_mb}
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 4000
drain_ms = 3000
grace_s = 8
cfg_apply_ms = 3000
retry_ratio = 0.9
retry_window_s = 10
retry_extra = {retry_extra}
canary_share = 0.15
canary_slack = 30
session_s = 5
[platform]
addr = "{store}"
form = "table"
"#
        );
        let settings = folder.join(format!("{node}.toml"));
        fs::write(&settings, text)?;
        Ok(Self {
            spec,
            front: (ip, front).into(),
            ready: (ip, ready).into(),
            settings,
            log: folder.join(format!("{node}.log")),
            child: None,
            record: record.clone(),
        })
    }

    /// Starts the process with the descriptors of its machine.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let command = format!("ulimit -n {} && exec {RUN}", self.spec.max_fds);
        let child = Command::new("sh")
            .args(["-c", &command])
            .env("OLEANDERHOLLOW_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        self.record.add(&format!("{} starts", self.spec.node));
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the process says that it is ready.
    pub fn wait_until_ready(&mut self, timeout: Duration) -> std::io::Result<()> {
        let started = Instant::now();
        while !is_ready(self.ready) {
            if started.elapsed() > timeout {
                return Err(std::io::Error::other(format!("{} is not ready", self.spec.node)));
            }
            if let Some(status) = self.child.as_mut().and_then(|child| child.try_wait().ok()?) {
                return Err(std::io::Error::other(format!("{}: {status}", self.spec.node)));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Resident memory of the process, in bytes. What its sockets hold is left out, though it counts too.
    pub fn memory(&self) -> Option<u64> {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.as_ref()?.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kilobytes| kilobytes * 1_024)
    }

    /// Number of open descriptors of the process.
    pub fn descriptors(&self) -> Option<usize> {
        Some(fs::read_dir(format!("/proc/{}/fd", self.child.as_ref()?.id())).ok()?.count())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends the process.
    pub fn stop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Asks on a new connection whether a machine is ready.
fn is_ready(address: SocketAddr) -> bool {
    ReadyProbe::new(address).is_ok_and(|mut probe| probe.is_ready())
}

/// The balancer's connection to the address `ready`.
pub struct ReadyProbe(BufReader<TcpStream>);

impl ReadyProbe {
    pub fn new(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, READY_TIMEOUT)?;
        socket.set_read_timeout(Some(READY_TIMEOUT))?;
        Ok(Self(BufReader::new(socket)))
    }

    /// Whether the machine answers with 200 within a second.
    pub fn is_ready(&mut self) -> bool {
        self.ask().is_ok_and(|status| status == 200)
    }

    fn ask(&mut self) -> std::io::Result<u16> {
        self.0.get_mut().write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        let (mut status, mut length) = (0, 0);
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end().to_ascii_lowercase();
            if line.starts_with("http/1.1 ") {
                status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            } else if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            } else if line.is_empty() {
                break;
            }
        }
        self.0.read_exact(&mut vec![0; length])?;
        Ok(status)
    }
}
