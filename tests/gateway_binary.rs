//! Tests the binary `oleander-gateway`: settings, signals, exit codes and log lines.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_oleander-gateway");
/// Maximum time to wait for a log line.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

const SETTINGS: &str = r#"{
    // Nothing listens on the store's address.
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

    /// Waits for the next log line with a message.
    fn wait_for_line(&self, message: &str) -> serde_json::Value {
        loop {
            let line = self.lines.recv_timeout(LINE_TIMEOUT).expect(message);
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
fn gateway_reloads_on_sighup_and_stops_gracefully() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.jsonc");
    std::fs::write(&path, SETTINGS).unwrap();
    let mut gateway = RunningGateway::start(&path);
    assert_eq!(gateway.wait_for_line("started")["host"], "host-1");
    assert_eq!(gateway.wait_for_line("store unavailable")["target"], "dependency");
    std::fs::write(&path, SETTINGS.replace("4000", "3500")).unwrap();
    gateway.signal(Signal::HUP);
    assert_eq!(gateway.wait_for_line("settings reloaded")["is_new"], true);
    std::fs::write(&path, "{").unwrap();
    assert!(gateway.wait_for_line("settings not reloaded")["error"].as_str().is_some());
    gateway.signal(Signal::TERM);
    gateway.wait_for_line("stopping");
    gateway.wait_for_line("stopped");
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn invalid_settings_are_reported_with_file_and_field() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.jsonc");
    std::fs::write(&path, SETTINGS.replace("\"127.0.0.1:9\"", "\"nowhere\"")).unwrap();
    let output = Command::new(BINARY).arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("settings.jsonc") && text.contains("address"), "{text}");
}

#[test]
fn platform_settings_are_read_from_the_file_in_the_variable() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, "node = \"host-1\"\n").unwrap();
    let output = Command::new(BINARY).env("OLEANDERHOLLOW_SETTINGS", &path).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("missing field"), "{text}");
}

/// Guards against a signal to reload that ends a process which is still starting.
#[test]
fn a_signal_to_reload_during_the_start_does_not_end_the_process() {
    let folder = tempfile::tempdir().unwrap();
    let (pipe, file) = (folder.path().join("settings.jsonc"), folder.path().join("later.jsonc"));
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    std::fs::write(&file, SETTINGS).unwrap();
    let gateway = RunningGateway::start(&pipe);
    // Opens once the process opens it to read its settings.
    let mut settings = std::fs::File::options().write(true).open(&pipe).unwrap();
    gateway.signal(Signal::HUP);
    // The reload reads a regular file.
    std::fs::rename(&file, &pipe).unwrap();
    settings.write_all(SETTINGS.as_bytes()).unwrap();
    drop(settings);
    gateway.wait_for_line("started");
    gateway.wait_for_line("settings reloaded");
}

/// Guards against a configuration with errors that a script takes for a sound one.
#[yare::parameterized(
    sound = { r#"{"version": 1, "routes": [{"name": "look", "host": "h", "prefix": "/", "type": "safe",
        "timeout_ms": 900, "public": true, "service": "desk"}], "services": [{"name": "desk"}]}"#, 0 },
    without_routes = { r#"{"version": 1}"#, 1 },
    no_configuration = { "{", 1 },
)]
fn check_exits_with_one_if_there_are_errors(text: &str, code: i32) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("new.json");
    std::fs::write(&path, text).unwrap();
    let checked = Command::new(BINARY).arg("check").arg(&path).output().unwrap();
    assert_eq!(checked.status.code(), Some(code), "{checked:?}");
}
