//! An accepted catalog is in force everywhere within seconds and never reverts.

use super::{CheckReport, IN_FORCE_BOUND};
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{HostId, Revision};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;

#[derive(Default)]
struct HostState<'a> {
    up_at: Option<Timestamp>,
    last: Option<(Revision, &'a HistoryEvent)>,
}

/// Revisions increase with each publication. The revision in force on a host never decreases, not
/// even across a restart. A host that is up has every revision in force within
/// [`IN_FORCE_BOUND`] of its publication.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut hosts: BTreeMap<HostId, HostState<'_>> = BTreeMap::new();
    let mut newest: Option<(Revision, &HistoryEvent)> = None;
    let mut late = Vec::new();
    for event in &history.events {
        let overdue = newest.filter(|(_, published)| event.at >= published.at + IN_FORCE_BOUND);
        if let Some((revision, published)) = overdue {
            record_late_hosts(&hosts, revision, published, &mut late);
        }
        match &event.seen {
            SeenEvent::Published { revision, .. } => {
                report.events += 1;
                check_published_revision(newest, *revision, event, report);
                newest = Some((*revision, event));
            }
            SeenEvent::HostUp { host } => {
                hosts.entry(host.clone()).or_default().up_at = Some(event.at)
            }
            SeenEvent::HostDown { host } => hosts.entry(host.clone()).or_default().up_at = None,
            SeenEvent::InForce { host, revision } => {
                report.events += 1;
                let state = hosts.entry(host.clone()).or_default();
                check_host_revision(state, *revision, event, report);
                state.last = Some((*revision, event));
            }
            _ => {}
        }
    }
    report_late_hosts(late, report);
}

fn check_published_revision(
    newest: Option<(Revision, &HistoryEvent)>,
    revision: Revision,
    event: &HistoryEvent,
    report: &mut CheckReport,
) {
    if let Some((old, published)) = newest.filter(|(old, _)| *old >= revision) {
        report.add_violation(
            format!("revision {revision} was published after {old}"),
            &[published, event],
        );
    }
}

fn check_host_revision(
    state: &HostState<'_>,
    revision: Revision,
    event: &HistoryEvent,
    report: &mut CheckReport,
) {
    if let Some((old, before)) = state.last.filter(|(old, _)| *old > revision) {
        report.add_violation(
            format!("a host went from revision {old} to {revision}"),
            &[before, event],
        );
    }
}

/// A host, and the publication that it did not have in force in time.
type LateHost<'a> = (HostId, Revision, &'a HistoryEvent);

fn record_late_hosts<'a>(
    hosts: &BTreeMap<HostId, HostState<'_>>,
    revision: Revision,
    published: &'a HistoryEvent,
    late: &mut Vec<LateHost<'a>>,
) {
    for (host, state) in hosts {
        let up = state.up_at.is_some_and(|up_at| up_at <= published.at);
        let behind = state.last.is_none_or(|(last, _)| last < revision);
        let recorded = late.iter().any(|(other, old, _)| other == host && *old == revision);
        if up && behind && !recorded {
            late.push((host.clone(), revision, published));
        }
    }
}

fn report_late_hosts(late: Vec<LateHost<'_>>, report: &mut CheckReport) {
    for (host, revision, published) in late {
        let message =
            format!("{host} did not have revision {revision} in force within {IN_FORCE_BOUND:?}");
        report.add_violation(message, &[published]);
    }
}
