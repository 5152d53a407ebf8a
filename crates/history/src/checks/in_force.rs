//! An accepted catalog is in force everywhere within seconds and never reverts.

use super::{CheckReport, IN_FORCE_BOUND};
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{HostId, Revision};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;

#[derive(Default)]
struct HostForce<'a> {
    up_at: Option<Timestamp>,
    last: Option<(Revision, &'a HistoryEvent)>,
}

/// Revisions grow with each publication; the revision in force on a host never falls, not even
/// over a restart; and a host that is up has every revision in force within [`IN_FORCE_BOUND`]
/// of its publication.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut hosts: BTreeMap<HostId, HostForce<'_>> = BTreeMap::new();
    let mut newest: Option<(Revision, &HistoryEvent)> = None;
    let mut late = Vec::new();
    for event in &history.events {
        let overdue = newest.filter(|(_, published)| event.at >= published.at + IN_FORCE_BOUND);
        if let Some((revision, published)) = overdue {
            note_late(&hosts, revision, published, &mut late);
        }
        match &event.seen {
            SeenEvent::Published { revision, .. } => {
                report.events += 1;
                check_growth(newest, *revision, event, report);
                newest = Some((*revision, event));
            }
            SeenEvent::HostUp { host } => {
                hosts.entry(host.clone()).or_default().up_at = Some(event.at)
            }
            SeenEvent::HostDown { host } => hosts.entry(host.clone()).or_default().up_at = None,
            SeenEvent::InForce { host, revision } => {
                report.events += 1;
                let force = hosts.entry(host.clone()).or_default();
                check_fall(force, *revision, event, report);
                force.last = Some((*revision, event));
            }
            _ => {}
        }
    }
    report_late(late, report);
}

fn check_growth(
    newest: Option<(Revision, &HistoryEvent)>,
    revision: Revision,
    event: &HistoryEvent,
    report: &mut CheckReport,
) {
    if let Some((old, published)) = newest.filter(|(old, _)| *old >= revision) {
        report.violate(format!("revision {revision} came after {old}"), &[published, event]);
    }
}

fn check_fall(
    force: &HostForce<'_>,
    revision: Revision,
    event: &HistoryEvent,
    report: &mut CheckReport,
) {
    if let Some((old, before)) = force.last.filter(|(old, _)| *old > revision) {
        report.violate(format!("a host went from revision {old} to {revision}"), &[before, event]);
    }
}

/// A host, and the publication that it was late for.
type LateHost<'a> = (HostId, Revision, &'a HistoryEvent);

fn note_late<'a>(
    hosts: &BTreeMap<HostId, HostForce<'_>>,
    revision: Revision,
    published: &'a HistoryEvent,
    late: &mut Vec<LateHost<'a>>,
) {
    for (host, force) in hosts {
        let up = force.up_at.is_some_and(|up_at| up_at <= published.at);
        let behind = force.last.is_none_or(|(last, _)| last < revision);
        let known = late.iter().any(|(other, old, _)| other == host && *old == revision);
        if up && behind && !known {
            late.push((host.clone(), revision, published));
        }
    }
}

fn report_late(late: Vec<LateHost<'_>>, report: &mut CheckReport) {
    for (host, revision, published) in late {
        let message = format!("{host} did not have revision {revision} in {IN_FORCE_BOUND:?}");
        report.violate(message, &[published]);
    }
}
