//! Entries, ledgers and stewards as processes, with stand-ins in the test's own process.

use crate::testenv::process::TestProcess;
use crate::testenv::settings::{OPERATOR_KEY, PLACES, write_settings};
use oleander_adapters::http_client::HttpClient;
use oleander_catalog::{CatalogFile, parse_catalog};
use oleander_core::catalog::Catalog;
use oleander_core::choice_mode::ChoiceMode;
use oleander_history::{History, HistoryEvent, HistoryRecorder};
use oleander_standin::deployment::{DeploymentPlan, StandinDeployment};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;
use tempfile::TempDir;

const ENTRY: &str = env!("CARGO_BIN_EXE_oleander-entry");
const LEDGER: &str = env!("CARGO_BIN_EXE_oleander-ledger");
const STEWARD: &str = env!("CARGO_BIN_EXE_oleander-steward");
const CTL: &str = env!("CARGO_BIN_EXE_oleander-ctl");

/// Longest time for something to come about.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// How many processes of each role.
#[derive(Clone, Copy, Debug)]
pub struct SystemPlan {
    pub entries: usize,
    pub ledgers: usize,
    pub stewards: usize,
    /// Share of requests that explore other versions.
    pub exploration: f64,
    /// How the entries choose versions and upstreams.
    pub mode: ChoiceMode,
}

impl Default for SystemPlan {
    fn default() -> Self {
        Self {
            entries: 3,
            ledgers: 3,
            stewards: 2,
            exploration: 0.02,
            mode: ChoiceMode::ModelAware,
        }
    }
}

/// A running system with the catalog of Cascade Curbside in force.
pub struct TestSystem {
    pub folder: TempDir,
    pub mode: ChoiceMode,
    pub standins: StandinDeployment,
    pub recorder: HistoryRecorder,
    pub entries: Vec<TestProcess>,
    pub ledgers: Vec<TestProcess>,
    pub stewards: Vec<TestProcess>,
    pub client: HttpClient,
}

impl TestSystem {
    /// Starts the system and publishes the catalog.
    pub async fn start(plan: SystemPlan) -> Self {
        let recorder = HistoryRecorder::in_memory();
        let mut catalog = curbside();
        catalog.policy.exploration = plan.exploration;
        let standins = DeploymentPlan::on_free_ports().with_recorder(&recorder);
        let standins = StandinDeployment::start(catalog, standins);
        let mut system = Self {
            mode: plan.mode,
            folder: tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).unwrap(),
            standins: standins.await.unwrap(),
            recorder,
            entries: Vec::new(),
            ledgers: Vec::new(),
            stewards: Vec::new(),
            client: HttpClient::new(),
        };
        for index in 0..plan.stewards {
            let process = system.start_process(STEWARD, "steward", index);
            system.stewards.push(process);
        }
        for index in 0..plan.ledgers {
            let process = system.start_process(LEDGER, "ledger", index);
            system.ledgers.push(process);
        }
        for index in 0..plan.entries {
            let process = system.start_process(ENTRY, "entry", index);
            system.entries.push(process);
        }
        system.publish_standins();
        system.wait_healthy().await;
        system
    }

    /// Starts one more process; its id has `index`.
    pub fn start_process(&self, binary: &str, role: &str, index: usize) -> TestProcess {
        let id = format!("host-{index}.{role}");
        let seeds = self.peer_addresses();
        let place = PLACES[index % PLACES.len()];
        let platform = &self.standins.platform_addresses;
        let settings = write_settings(self.folder.path(), &id, place, &seeds, platform);
        let log = self.folder.path().join(format!("{id}.log"));
        let history = self.folder.path().join("history.jsonl");
        let mut arguments = vec![settings.to_str().unwrap()];
        if role == "entry" {
            arguments.extend(["--history", history.to_str().unwrap()]);
            arguments.extend(["--mode", self.mode.name()]);
        }
        TestProcess::start(binary, &arguments, &log)
    }

    /// What was recorded in this process and by the entries.
    pub fn history(&self) -> History {
        let text = std::fs::read_to_string(self.folder.path().join("history.jsonl")).unwrap();
        // A line that a killed process did not finish is not an event.
        let lines = text.lines().filter(|line| line.ends_with('}'));
        let entries = lines.filter_map(|line| serde_json::from_str(line).ok());
        let mut events: Vec<HistoryEvent> = entries.collect();
        events.extend(self.recorder.history().events);
        History::new(events)
    }

    /// Starts an entry again after it was killed.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = self.start_process(ENTRY, "entry", index);
    }

    /// Starts a ledger again after it was killed.
    pub fn restart_ledger(&mut self, index: usize) {
        self.ledgers[index] = self.start_process(LEDGER, "ledger", index);
    }

    /// Starts a steward again after it was killed.
    pub fn restart_steward(&mut self, index: usize) {
        self.stewards[index] = self.start_process(STEWARD, "steward", index);
    }

    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let all = self.stewards.iter().chain(&self.ledgers).chain(&self.entries);
        all.filter_map(|process| process.ready.peers).collect()
    }

    /// Where callers reach an entry.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].ready.callers.unwrap()
    }

    /// Runs `oleander-ctl` against every steward.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        let admin = |process: &TestProcess| process.ready.admin.unwrap().to_string();
        let stewards: Vec<String> = self.stewards.iter().map(admin).collect();
        let mut command = Command::new(CTL);
        command.args(["--steward", &stewards.join(",")]).args(arguments);
        command.env("OLEANDER_OPERATOR_KEY", OPERATOR_KEY).output().unwrap()
    }

    /// Runs `oleander-ctl` and returns what it printed; it must succeed.
    pub fn ctl_ok(&self, arguments: &[&str]) -> String {
        let output = self.ctl(arguments);
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "oleander-ctl {arguments:?}: {said}{errors}");
        said
    }

    /// Writes a catalog to a file and returns its path.
    pub fn write_catalog(&self, name: &str, catalog: &Catalog) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, serde_json::to_string_pretty(catalog).unwrap()).unwrap();
        path
    }

    fn publish_standins(&self) {
        let path = self.write_catalog("catalog.jsonc", &self.standins.catalog);
        self.ctl_ok(&["publish", path.to_str().unwrap(), "--wait", "--wait-seconds", "60"]);
    }

    /// Waits until every entry takes work.
    pub async fn wait_healthy(&self) {
        for entry in &self.entries {
            let admin = entry.ready.admin.unwrap();
            let healthy = async {
                while self.health(admin).await != Some(200) {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            };
            let waited = tokio::time::timeout(PATIENCE, healthy).await;
            waited.unwrap_or_else(|_| panic!("{} did not become healthy", entry.ready.ready));
        }
    }

    /// The value of a metric without labels.
    pub async fn metric(&self, admin: SocketAddr, name: &str) -> Option<f64> {
        read_metric(&self.client, admin, name).await
    }

    /// Status of a process's health check.
    pub async fn health(&self, admin: SocketAddr) -> Option<u16> {
        let request = http::Request::get(format!("http://{admin}/healthz"));
        let request = request.body(http_body_util::Full::default()).unwrap();
        let answer = self.client.send_buffered(request, Duration::from_secs(5), 1 << 16).await;
        answer.ok().map(|answer| answer.status().as_u16())
    }
}

/// The value of a metric without labels on an admin port.
pub async fn read_metric(client: &HttpClient, admin: SocketAddr, name: &str) -> Option<f64> {
    let request = http::Request::get(format!("http://{admin}/metrics"));
    let request = request.body(http_body_util::Full::default()).unwrap();
    let answer = client.send_buffered(request, Duration::from_secs(1), 1 << 20).await.ok()?;
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    let mut values = text.lines().filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    values.next_back()?.trim().parse().ok()
}

impl Drop for TestSystem {
    /// The logs stay when the test failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.folder.path().display());
            self.folder.disable_cleanup(true);
        }
    }
}

/// The catalog of Cascade Curbside.
pub fn curbside() -> Catalog {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/cascade-curbside.jsonc");
    let text = std::fs::read_to_string(path).unwrap();
    parse_catalog(&[CatalogFile::new("cascade-curbside.jsonc", &text)]).unwrap().0
}
