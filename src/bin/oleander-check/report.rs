//! Formats check reports as text and as JSON.

use crate::exit_codes::ExitCode;
use oleander_history::CheckReport;
use std::fmt::Write;

/// One line per guarantee, followed by the first violating trace.
pub fn as_text(reports: &[CheckReport]) -> String {
    let mut text = String::new();
    for report in reports {
        let result = result_name(report);
        let (check, events, count) = (report.check, report.events, report.violations.len());
        let _ = writeln!(text, "{result:<10} {check:<18} events={events} violations={count}");
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

/// Exit code for the reports.
pub fn exit_code(reports: &[CheckReport], require_all: bool) -> ExitCode {
    if reports.iter().any(|report| !report.violations.is_empty()) {
        return ExitCode::Violated;
    }
    if require_all && reports.iter().any(|report| report.events == 0) {
        return ExitCode::NotTested;
    }
    ExitCode::Passed
}

fn result_name(report: &CheckReport) -> &'static str {
    match (report.violations.len(), report.events) {
        (0, 0) => "not-tested",
        (0, _) => "kept",
        _ => "broken",
    }
}
