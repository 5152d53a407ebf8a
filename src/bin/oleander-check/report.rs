//! Reports as text and as JSON.

use crate::exit_codes::ExitCode;
use oleander_history::CheckReport;
use std::fmt::Write;

/// One line per promise, and under it the first violating trace.
pub fn as_text(reports: &[CheckReport]) -> String {
    let mut text = String::new();
    for report in reports {
        let verdict = verdict_of(report);
        let (check, events, count) = (report.check, report.events, report.violations.len());
        let _ = writeln!(text, "{verdict:<10} {check:<18} events={events} violations={count}");
        let Some(first) = report.violations.first() else { continue };
        let _ = writeln!(text, "    {}", first.message);
        for event in &first.trace {
            let line = serde_json::to_string(event).unwrap_or_default();
            let _ = writeln!(text, "    {line}");
        }
    }
    text
}

/// The reports as one JSON document.
pub fn as_json(reports: &[CheckReport]) -> String {
    let mut text = serde_json::to_string_pretty(reports).unwrap_or_default();
    text.push('\n');
    text
}

/// How the process ends.
pub fn verdict(reports: &[CheckReport], require_all: bool) -> ExitCode {
    if reports.iter().any(|report| !report.violations.is_empty()) {
        return ExitCode::Broken;
    }
    if require_all && reports.iter().any(|report| report.events == 0) {
        return ExitCode::NotTested;
    }
    ExitCode::Kept
}

fn verdict_of(report: &CheckReport) -> &'static str {
    match (report.violations.len(), report.events) {
        (0, 0) => "not-tested",
        (0, _) => "kept",
        _ => "broken",
    }
}
