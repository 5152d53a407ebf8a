//! Formats replies as text.

use crate::dates::to_text;
use oleander_catalog::records::RevisionRecord;
use oleander_core::catalog::Catalog;
use oleander_core::catalog::diff::DiffEntry;
use oleander_core::catalog::objects::Rollout;
use oleander_core::ids::RolloutName;
use oleander_core::ledger::fold::Statement;
use oleander_core::usage::UsedItem;
use oleander_steward::operators::messages::{MemberStatus, PublishReply, StatusReply};
use serde_json::Value;
use std::fmt::Write;

/// One line per difference.
pub fn differences(entries: &[DiffEntry]) -> String {
    if entries.is_empty() {
        return "no differences\n".to_owned();
    }
    entries.iter().map(|entry| format!("{entry}\n")).collect()
}

/// Summary of a publication.
pub fn publication(reply: &PublishReply) -> String {
    if !reply.changed {
        return format!("no change: revision {} has the same content\n", reply.revision);
    }
    let mut text = format!("published as revision {}\n", reply.revision);
    text.push_str(&differences(&reply.differences));
    if reply.differences.iter().any(|entry| entry.restricts) {
        text.push_str(
            "this restricts callers: each host enforces it as soon as it sees the revision\n",
        );
    }
    text
}

/// The head, the members and the leases.
pub fn status(status: &StatusReply) -> String {
    let mut text = match (&status.head, &status.store_problem) {
        (Some(head), _) => format!("head: {}\n", revision(head)),
        (None, Some(problem)) => format!("head: unknown, {problem}\n"),
        (None, None) => "head: none, nothing has been published\n".to_owned(),
    };
    for member in &status.members {
        let _ = writeln!(text, "{}", member_line(member));
    }
    for lease in &status.leases {
        let _ =
            writeln!(text, "this steward holds lease {}, fencing {}", lease.name, lease.fencing);
    }
    let behind = status.members.iter().filter(|member| !member.in_force).count();
    let _ = match behind {
        0 => writeln!(text, "in force on all {} members", status.members.len()),
        _ => writeln!(text, "not in force on {behind} of {} members", status.members.len()),
    };
    text
}

fn member_line(status: &MemberStatus) -> String {
    let member = &status.member;
    let suffix = if status.in_force { "" } else { "  BEHIND" };
    let (role, state) = (json_string(&member.role), json_string(&member.state));
    format!(
        "  {:<24} {role:<8} {:<12} {:<14} {state:<8} revision {}{suffix}",
        member.id, member.region, member.domain, member.revision
    )
}

/// The string to which a value serializes in JSON.
fn json_string<T: serde::Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn revision(record: &RevisionRecord) -> String {
    let restricts = if record.restricts { ", restricts" } else { "" };
    let note = if record.note.is_empty() { String::new() } else { format!(": {}", record.note) };
    format!(
        "revision {} by {} at {} ({} objects{restricts}){note}",
        record.revision,
        record.author,
        to_text(record.published_at),
        record.objects.len()
    )
}

/// One line per revision.
pub fn history(records: &[RevisionRecord]) -> String {
    records.iter().map(|record| format!("{}\n", revision(record))).collect()
}

/// One line per rollout.
pub fn rollouts(catalog: &Catalog, only: Option<&RolloutName>) -> String {
    let is_selected = |name: &&RolloutName| only.is_none_or(|only| only == *name);
    let names = catalog.rollouts.keys().filter(is_selected);
    let lines: String =
        names.map(|name| rollout_line(catalog, name, &catalog.rollouts[name])).collect();
    if lines.is_empty() { "no roll-outs\n".to_owned() } else { lines }
}

fn rollout_line(catalog: &Catalog, name: &RolloutName, rollout: &Rollout) -> String {
    let share = rollout.steps.get(rollout.step as usize).map_or(0.0, |step| step.share);
    let withdrawn = match catalog.withdrawals.get(&rollout.to) {
        Some(withdrawal) => format!("; {} withdrawn: {}", rollout.to, withdrawal.reason),
        None => String::new(),
    };
    format!(
        "{name}: {} from {} to {}, {}, step {} of {} (share {share}){withdrawn}\n",
        rollout.model,
        rollout.from,
        rollout.to,
        json_string(&rollout.phase),
        rollout.step + 1,
        rollout.steps.len()
    )
}

/// A statement as a table with one row per item.
pub fn statement(statement: &Statement) -> String {
    let mut text = format!("client account {}\n", statement.account);
    let _ = writeln!(
        text,
        "{:<32} {:>10} {:>12} {:>12} {:>14}",
        "item", "requests", "tokens in", "tokens out", "billed"
    );
    for line in &statement.lines {
        let item = match &line.item {
            UsedItem::Version(version) => version.as_str(),
            UsedItem::Operation(operation) => operation,
        };
        let sum = &line.sum;
        let _ = writeln!(
            text,
            "{item:<32} {:>10} {:>12} {:>12} {:>14}",
            sum.requests,
            sum.tokens_in,
            sum.tokens_out,
            sum.billed.to_string()
        );
    }
    let total = &statement.total;
    let _ = writeln!(
        text,
        "{:<32} {:>10} {:>12} {:>12} {:>14}",
        "total",
        total.requests,
        total.tokens_in,
        total.tokens_out,
        total.billed.to_string()
    );
    text
}

/// An entry's trace of a request, with one line per step.
pub fn explanation(trace: &Value) -> String {
    let field = |name: &str| trace.get(name).map(value_text).unwrap_or_default();
    let mut text = format!(
        "{} by client account {} for {}\n",
        field("name"),
        field("account"),
        field("target")
    );
    for step in trace.get("steps").and_then(Value::as_array).into_iter().flatten() {
        let after = step.get("after_ms").map(value_text).unwrap_or_default();
        let event = step.get("event").map(value_text).unwrap_or_default();
        let _ = writeln!(text, "  {after:>6} ms  {event:<10} {}", step_fields(step));
    }
    text
}

/// The fields of a step or of an object in it, as `name value` pairs.
fn step_fields(step: &Value) -> String {
    let fields = step.as_object().into_iter().flatten();
    let shown = fields.filter(|(name, _)| !matches!(name.as_str(), "after_ms" | "event"));
    let parts: Vec<String> =
        shown.map(|(name, value)| format!("{name} {}", value_text(value))).collect();
    parts.join(", ")
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(_) => format!("({})", step_fields(value)),
        other => other.to_string(),
    }
}
