//! The binary of the gateway: settings, signals, exit codes, log lines.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_oleander-gateway");
/// Longest wait for a line or an end.
const PATIENCE: Duration = Duration::from_secs(20);

const SETTINGS: &str = r#"{
    // Nothing listens at the store's address.
    "host": "host-1", "region": "here", "domain": "here-a", "domains": {"here-a": "here"},
    "callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "store": "127.0.0.1:9",
    "memory_bytes": 50000000, "bounds": {"stop_ms": 4000}
}"#;

struct RunningGateway {
    child: Child,
    lines: Receiver<String>,
}

impl RunningGateway {
    fn start(settings: &Path) -> Self {
        let mut child = Command::new(BINARY)
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let out = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            out.lines().map_while(Result::ok).for_each(|line| {
                let _ = sender.send(line);
            });
        });
        Self { child, lines }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// The next line with a message.
    fn line(&self, message: &str) -> serde_json::Value {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).expect(message);
            let value: serde_json::Value = serde_json::from_str(&line).expect("a JSON line");
            if value["message"] == message {
                return value;
            }
        }
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn it_reloads_on_hangup_and_stops_in_order() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.jsonc");
    std::fs::write(&path, SETTINGS).unwrap();
    let mut gateway = RunningGateway::start(&path);
    assert_eq!(gateway.line("started")["host"], "host-1");
    assert_eq!(gateway.line("store unavailable")["target"], "dependency");
    std::fs::write(&path, SETTINGS.replace("4000", "3500")).unwrap();
    gateway.signal(Signal::HUP);
    assert_eq!(gateway.line("settings reloaded")["is_new"], true);
    std::fs::write(&path, "{").unwrap();
    assert!(gateway.line("settings not reloaded")["error"].as_str().is_some());
    gateway.signal(Signal::TERM);
    gateway.line("stopping");
    gateway.line("stopped");
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn bad_settings_are_told_with_their_place() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.jsonc");
    std::fs::write(&path, SETTINGS.replace("\"127.0.0.1:9\"", "\"nowhere\"")).unwrap();
    let output = Command::new(BINARY).arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("settings.jsonc") && text.contains("address"), "{text}");
}

#[test]
fn the_platforms_file_is_read_where_the_variable_names_it() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, "node = \"host-1\"\n").unwrap();
    let output = Command::new(BINARY).env("OLEANDERHOLLOW_SETTINGS", &path).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("missing field"), "{text}");
}
