//! Tests the output and the exit codes of `oleander-check`.

use oleander_core::units::Timestamp;
use oleander_history::{HistoryRecorder, SeenEvent};
use std::path::PathBuf;
use std::process::{Command, Output};
use yare::parameterized;

struct HistoryFile(PathBuf);

impl HistoryFile {
    fn new(name: &str, revisions: &[u64]) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.jsonl", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let recorder = HistoryRecorder::to_file(&path).unwrap();
        for (index, revision) in revisions.iter().enumerate() {
            let seen = SeenEvent::InForce {
                host: "host-1.entry".parse().unwrap(),
                revision: revision.to_string().parse().unwrap(),
            };
            recorder.record(Timestamp::from_millis(index as u64), "host-1.entry", seen);
        }
        Self(path)
    }

    fn check(&self, flags: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oleander-check"));
        command.args(flags).arg(&self.0).output().unwrap()
    }
}

impl Drop for HistoryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[parameterized(
    kept = { "kept", &[1, 2], &[], 0, "kept       in_force           events=2 violations=0" },
    broken = { "broken", &[2, 1], &[], 1, "broken     in_force           events=2 violations=1" },
    not_tested = { "partly", &[1], &["--require-all"], 3, "not-tested billed_once" },
    as_json = { "json", &[2, 1], &["--json"], 1, "\"check\": \"in_force\"" },
)]
fn result_is_printed_and_returned(
    name: &str,
    revisions: &[u64],
    flags: &[&str],
    code: i32,
    line: &str,
) {
    let output = HistoryFile::new(name, revisions).check(flags);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(line), "{text}");
}

#[test]
fn violation_is_printed_with_its_trace() {
    let output = HistoryFile::new("trace", &[2, 1]).check(&[]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("a host went from revision 2 to 1"), "{text}");
    assert!(text.contains(r#""kind":"in_force","host":"host-1.entry","revision":1"#), "{text}");
}

#[test]
fn every_invalid_line_is_reported() {
    let file = HistoryFile::new("damaged", &[1]);
    std::fs::write(&file.0, "{}\nnothing\n").unwrap();
    let output = file.check(&[]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(errors.lines().count(), 2, "{errors}");
    assert!(errors.contains(":1: not an event"), "{errors}");
}
