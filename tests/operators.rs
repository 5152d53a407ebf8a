//! Tests operators' sessions with the real `oleander-steward` and `oleander-ctl` on loopback.

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

/// Two stewards with a stand-in platform, and a transcript of commands.
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
        panic!("expected {count} members");
    }

    /// Fencing number of the lease for rollouts, if this steward holds it.
    fn fencing_on(&self, index: usize) -> Option<u64> {
        let address = self.stewards[index].admin.to_string();
        let output = self.ctl(&["status", "--json", "--steward", &address]);
        let status: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
        let leases = status["leases"].as_array()?;
        let lease = leases.iter().find(|lease| lease["name"] == "rollouts")?;
        lease["fencing"].as_u64()
    }

    /// Waits until a steward with index `first` or higher holds the lease with this fencing number.
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

    /// Runs a command and appends it and its output to the transcript.
    fn run_recorded(&mut self, arguments: &[&str]) {
        let output = self.ctl(arguments);
        self.append_to_transcript(arguments, &output);
    }

    fn append_to_transcript(&mut self, arguments: &[&str], output: &Output) {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let (out, error) = (text(&output.stdout), text(&output.stderr));
        let code = output.status.code().unwrap();
        let shown = format!("$ oleander-ctl {}\n{out}{error}", arguments.join(" "));
        self.transcript.push_str(&without_variable_parts(&shown));
        self.transcript.push_str(&format!("[exit {code}]\n\n"));
    }
}

/// Removes what differs between runs: times, and which steward holds a lease.
fn without_variable_parts(text: &str) -> String {
    let lines = text.lines().filter(|line| !line.starts_with("this steward holds"));
    lines.map(|line| format!("{}\n", replace_times(line))).collect()
}

/// Replaces a time like `2026-12-03T23:47:34Z` by `TIME`.
fn replace_times(line: &str) -> String {
    let words = line.split(' ').map(|word| {
        let time = word.len() == 20 && word.ends_with('Z') && word.as_bytes()[10] == b'T';
        if time { "TIME" } else { word }
    });
    words.collect::<Vec<_>>().join(" ")
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_of_an_operators_day() {
    let mut session = Session::start("operator-day").await;
    session.run_recorded(&["status"]);
    session.run_recorded(&["publish", SMALL, "--wait", "--note", "first catalog"]);
    session.run_recorded(&["status"]);
    session.run_recorded(&["publish", SMALL, "--wait"]);
    session.run_recorded(&["drain", "engine-1", "--reason", "heat", "--wait"]);
    session.run_recorded(&["diff"]);
    session.run_recorded(&["drain", "engine-1", "--undo", "--wait"]);
    session.run_recorded(&["drain", "engine-9", "--reason", "heat"]);
    let spring = ["rollout", "start", "spring", "--model", "menu-large", "--to", "menu-large@2"];
    session.run_recorded(&[&spring[..], &["--steps", "0.05:20,1:100", "--wait"]].concat());
    session.run_recorded(&["rollout", "status"]);
    session.run_recorded(&["rollout", "pause", "spring", "--wait"]);
    session.run_recorded(&["rollout", "resume", "spring", "--wait"]);
    session.run_recorded(&["publish", SMALL, "--base", "1"]);
    session.run_recorded(&["publish", BROKEN]);
    session.run_recorded(&["withdraw", "menu-large@1", "--reason", "weak"]);
    session.run_recorded(&["withdraw", "menu-large@2", "--reason", "weak", "--wait"]);
    session.run_recorded(&["rollout", "status", "spring"]);
    session.run_recorded(&["rollout", "resume", "spring"]);
    session.run_recorded(&["diff", "1", "2"]);
    session.run_recorded(&["diff", SMALL]);
    session.run_recorded(&["bill", "vans"]);
    session.run_recorded(&["explain", "req-00000000000000000000000000000001"]);
    session.run_recorded(&["history"]);
    insta::assert_snapshot!("operator_day", session.transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_print_one_line_and_have_distinct_exit_codes() {
    let mut session = Session::start("operator-failures").await;
    let refused = session.ctl_with_key(&["status"], "not the key");
    session.append_to_transcript(&["status"], &refused);
    session.run_recorded(&["--steward", "127.0.0.1:1", "status"]);
    session.run_recorded(&["check", "nothing.jsonc"]);
    session.run_recorded(&["catalogue"]);
    session.run_recorded(&["bill", "vans", "--from", "yesterday"]);
    session.run_recorded(&["history", "--limit", "x"]);
    session.standins.platform.table.set_down(true);
    session.run_recorded(&["publish", SMALL]);
    session.standins.platform.table.set_down(false);
    insta::assert_snapshot!("operator_failures", session.transcript);
}

/// After the steward that holds a lease is killed, the other one serves operators immediately and
/// acquires the lease with a higher fencing number.
#[tokio::test(flavor = "multi_thread")]
async fn other_steward_takes_over_after_a_kill() {
    let mut session = Session::start("operator-killed").await;
    assert!(session.ctl(&["publish", SMALL, "--wait"]).status.success());
    session.wait_for_lease(0, 1);
    // `oleander-ctl` must call the killed steward first.
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
    top_level = { &["--help"] },
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
fn examples_have_no_findings(file: &str) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_oleander-ctl")).args(["check", file]).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}
