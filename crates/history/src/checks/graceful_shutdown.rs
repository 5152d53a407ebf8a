//! A graceful shutdown truncates no in-flight request.

use super::CheckReport;
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{HostId, RequestId};
use std::collections::BTreeMap;

/// No answer of a host is truncated between the start of its graceful shutdown and the time at
/// which it is up again.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut stopping: BTreeMap<HostId, &HistoryEvent> = BTreeMap::new();
    let hosts = admitting_hosts(history);
    for event in &history.events {
        match &event.seen {
            SeenEvent::ShutdownBegan { host } => {
                report.events += 1;
                stopping.insert(host.clone(), event);
            }
            SeenEvent::HostUp { host } => {
                stopping.remove(host);
            }
            SeenEvent::Cut { host, request } => {
                let admitting_host = request.as_ref().and_then(|request| hosts.get(request));
                let Some(host) = host.as_ref().or(admitting_host) else { continue };
                if let Some(began) = stopping.get(host) {
                    report.add_violation(
                        format!("the graceful shutdown of {host} truncated an answer"),
                        &[began, event],
                    );
                }
            }
            _ => {}
        }
    }
}

fn admitting_hosts(history: &History) -> BTreeMap<RequestId, HostId> {
    let admitted = history.events.iter().filter_map(|event| match &event.seen {
        SeenEvent::Admitted { host, request, .. } => Some((*request, host.clone())),
        _ => None,
    });
    admitted.collect()
}
