//! Operators' sessions through the real `oleander-steward` and `oleander-ctl`, over loopback.

use oleander_core::catalog::Catalog;
use oleander_standin::deployment::{DeploymentPlan, StandinDeployment};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use yare::parameterized;

const SMALL: &str = "crates/core/tests/data/small.jsonc";
const BROKEN: &str = "crates/core/tests/data/broken.jsonc";
const KEY: &str = "kim-secret-0123456789";

/// A process that is killed when the test ends.
struct Process {
    child: Child,
    peers: SocketAddr,
    admin: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Two stewards on a platform of stand-ins.
struct Session {
    standins: StandinDeployment,
    stewards: Vec<Process>,
    folder: PathBuf,
    transcript: String,
}

impl Session {
    async fn start(name: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let standins = StandinDeployment::start(
            Catalog::default(),
            DeploymentPlan::on_free_ports().with_control(any),
        )
        .await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let (stewards, transcript) = (Vec::new(), String::new());
        let mut session = Self { standins: standins.unwrap(), stewards, folder, transcript };
        session.start_steward(1);
        session.start_steward(2);
        session.wait_for_members(2);
        session
    }

    fn start_steward(&mut self, number: usize) {
        let seeds: Vec<SocketAddr> = self.stewards.iter().map(|steward| steward.peers).collect();
        let settings = serde_json::json!({
            "id": format!("host-{number}.steward"), "region": "puget", "domain": "puget-1",
            "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0", "seeds": seeds,
            "platform": self.standins.platform_addresses,
            "peer_keys": [{ "id": "p1", "secret": "0123456789abcdef0123" }],
            "operator_keys": [{ "id": "kim", "secret": KEY }],
            "log_level": "warn",
        });
        let file = self.folder.join(format!("steward-{number}.jsonc"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_oleander-steward"))
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = |name: &str| ready[name].as_str().unwrap().parse().unwrap();
        let (peers, admin) = (address("peers"), address("admin"));
        self.stewards.push(Process { child, peers, admin });
    }

    fn status(&self) -> serde_json::Value {
        serde_json::from_slice(&self.ctl(&["status", "--json"]).stdout).unwrap()
    }

    fn wait_for_members(&self, count: usize) {
        for _ in 0..200 {
            if self.status()["members"].as_array().unwrap().len() == count {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("the stewards did not see each other");
    }

    /// Fencing number of the lease of roll-outs on one steward, if it holds it.
    fn fencing_on(&self, index: usize) -> Option<u64> {
        let address = self.stewards[index].admin.to_string();
        let output = self.ctl(&["status", "--json", "--steward", &address]);
        let status: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
        let leases = status["leases"].as_array()?;
        let lease = leases.iter().find(|lease| lease["name"] == "rollouts")?;
        lease["fencing"].as_u64()
    }

    /// Waits until one of the stewards from `first` on holds the lease with this number.
    fn wait_for_lease(&self, first: usize, fencing: u64) {
        for _ in 0..400 {
            if (first..2).any(|index| self.fencing_on(index) == Some(fencing)) {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("no steward holds the lease with fencing {fencing}");
    }

    fn ctl(&self, arguments: &[&str]) -> Output {
        self.ctl_with_key(arguments, KEY)
    }

    fn ctl_with_key(&self, arguments: &[&str], key: &str) -> Output {
        let stewards: Vec<String> =
            self.stewards.iter().map(|steward| steward.admin.to_string()).collect();
        Command::new(env!("CARGO_BIN_EXE_oleander-ctl"))
            .args(arguments)
            .env("OLEANDER_STEWARD", stewards.join(","))
            .env("OLEANDER_OPERATOR_KEY", key)
            .env("RUST_BACKTRACE", "0")
            .output()
            .unwrap()
    }

    /// Runs a command and writes it down as an operator sees it.
    fn note(&mut self, arguments: &[&str]) {
        let output = self.ctl(arguments);
        self.write_down(arguments, &output);
    }

    fn write_down(&mut self, arguments: &[&str], output: &Output) {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let (out, error) = (text(&output.stdout), text(&output.stderr));
        let code = output.status.code().unwrap();
        let shown = format!("$ oleander-ctl {}\n{out}{error}", arguments.join(" "));
        self.transcript.push_str(&without_accidents(&shown));
        self.transcript.push_str(&format!("[exit {code}]\n\n"));
    }
}

/// Takes out what differs from run to run: times, and who holds a lease.
fn without_accidents(text: &str) -> String {
    let lines = text.lines().filter(|line| !line.starts_with("this steward holds"));
    lines.map(|line| format!("{}\n", hide_times(line))).collect()
}

/// Replaces a time like `2026-12-03T23:47:34Z` by `TIME`.
fn hide_times(line: &str) -> String {
    let words = line.split(' ').map(|word| {
        let time = word.len() == 20 && word.ends_with('Z') && word.as_bytes()[10] == b'T';
        if time { "TIME" } else { word }
    });
    words.collect::<Vec<_>>().join(" ")
}

#[tokio::test(flavor = "multi_thread")]
async fn day_of_an_operator() {
    let mut session = Session::start("operator-day").await;
    session.note(&["status"]);
    session.note(&["publish", SMALL, "--wait", "--note", "first catalog"]);
    session.note(&["status"]);
    session.note(&["publish", SMALL, "--wait"]);
    session.note(&["drain", "engine-1", "--reason", "heat", "--wait"]);
    session.note(&["diff"]);
    session.note(&["drain", "engine-1", "--undo", "--wait"]);
    session.note(&["drain", "engine-9", "--reason", "heat"]);
    let spring = ["rollout", "start", "spring", "--model", "menu-large", "--to", "menu-large@2"];
    session.note(&[&spring[..], &["--steps", "0.05:20,1:100", "--wait"]].concat());
    session.note(&["rollout", "status"]);
    session.note(&["rollout", "pause", "spring", "--wait"]);
    session.note(&["rollout", "resume", "spring", "--wait"]);
    session.note(&["publish", SMALL, "--base", "1"]);
    session.note(&["publish", BROKEN]);
    session.note(&["withdraw", "menu-large@1", "--reason", "weak"]);
    session.note(&["withdraw", "menu-large@2", "--reason", "weak", "--wait"]);
    session.note(&["rollout", "status", "spring"]);
    session.note(&["rollout", "resume", "spring"]);
    session.note(&["diff", "1", "2"]);
    session.note(&["diff", SMALL]);
    session.note(&["bill", "vans"]);
    session.note(&["explain", "req-00000000000000000000000000000001"]);
    session.note(&["history"]);
    insta::assert_snapshot!("operator_day", session.transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_have_one_line_and_an_exit_code_of_their_own() {
    let mut session = Session::start("operator-failures").await;
    let refused = session.ctl_with_key(&["status"], "not the key");
    session.write_down(&["status"], &refused);
    session.note(&["--steward", "127.0.0.1:1", "status"]);
    session.note(&["check", "nothing.jsonc"]);
    session.note(&["catalogue"]);
    session.note(&["bill", "vans", "--from", "yesterday"]);
    session.note(&["history", "--limit", "x"]);
    session.standins.platform.table.set_down(true);
    session.note(&["publish", SMALL]);
    session.standins.platform.table.set_down(false);
    insta::assert_snapshot!("operator_failures", session.transcript);
}

/// The steward that holds a lease is killed: the other one serves operators at once and takes the
/// lease over, with a higher fencing number.
#[tokio::test(flavor = "multi_thread")]
async fn killed_steward_stops_nobody() {
    let mut session = Session::start("operator-killed").await;
    assert!(session.ctl(&["publish", SMALL, "--wait"]).status.success());
    session.wait_for_lease(0, 1);
    // The first steward that ctl calls is to be the dead one.
    if session.fencing_on(0).is_none() {
        session.stewards.swap(0, 1);
    }
    let first = &mut session.stewards[0];
    first.child.kill().unwrap();
    first.child.wait().unwrap();
    let drained = session.ctl(&["drain", "engine-1", "--reason", "heat"]);
    assert!(drained.status.success(), "{}", String::from_utf8_lossy(&drained.stderr));
    session.wait_for_lease(1, 2);
}

#[parameterized(
    whole = { &["--help"] },
    check = { &["check", "--help"] },
    publish = { &["publish", "--help"] },
    status = { &["status", "--help"] },
    diff = { &["diff", "--help"] },
    history = { &["history", "--help"] },
    rollout = { &["rollout", "--help"] },
    rollout_start = { &["rollout", "start", "--help"] },
    rollout_pause = { &["rollout", "pause", "--help"] },
    withdraw = { &["withdraw", "--help"] },
    drain = { &["drain", "--help"] },
    bill = { &["bill", "--help"] },
    explain = { &["explain", "--help"] },
)]
fn every_command_has_help(arguments: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_oleander-ctl")).args(arguments).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(String::from_utf8_lossy(&output.stdout).contains("Usage: oleander-ctl"));
}

#[parameterized(
    curbside = { "examples/cascade-curbside.jsonc" },
    teranga = { "examples/teranga-baie.jsonc" },
)]
fn examples_have_no_finding(file: &str) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_oleander-ctl")).args(["check", file]).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}
