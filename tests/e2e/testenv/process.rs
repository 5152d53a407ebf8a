//! A process of the system under test.

use oleander_adapters::ready::ReadyLine;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Maximum time for a process to become ready or to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(60);

/// A running binary; killed when dropped.
pub struct TestProcess {
    child: Child,
    /// Addresses on which it listens.
    pub ready: ReadyLine,
}

impl TestProcess {
    /// Starts `binary` with `arguments` and waits until it is ready. Its log goes to `log`.
    pub fn start(binary: &str, arguments: &[&str], log: &Path) -> Self {
        let log = std::fs::File::options().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(binary);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().unwrap();
        let stdout = child.stdout.take().unwrap();
        let ready = read_ready(stdout).unwrap_or_else(|| {
            let _ = child.kill();
            panic!("{binary} {arguments:?} did not print a ready line; see its log");
        });
        Self { child, ready }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends it with SIGSTOP until [`TestProcess::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes it with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it exits and returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let waited = async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status.code();
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PROCESS_TIMEOUT, waited)
            .await
            .expect("the process did not exit within the timeout")
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the first line that a process prints; further lines are read and discarded.
fn read_ready(stdout: ChildStdout) -> Option<ReadyLine> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    let line = receiver.recv_timeout(PROCESS_TIMEOUT).ok()?;
    serde_json::from_str(&line).ok()
}
