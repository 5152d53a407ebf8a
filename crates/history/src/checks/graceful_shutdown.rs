//! A graceful shutdown cuts no request in flight.

use super::CheckReport;
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{HostId, RequestId};
use std::collections::BTreeMap;

/// No answer of a host is cut from the beginning of its graceful shutdown on, until it is up
/// again.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut stopping: BTreeMap<HostId, &HistoryEvent> = BTreeMap::new();
    let hosts = hosts_of(history);
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
                let known = request.as_ref().and_then(|request| hosts.get(request));
                let Some(host) = host.as_ref().or(known) else { continue };
                if let Some(began) = stopping.get(host) {
                    report
                        .violate(format!("the shutdown of {host} cut an answer"), &[began, event]);
                }
            }
            _ => {}
        }
    }
}

fn hosts_of(history: &History) -> BTreeMap<RequestId, HostId> {
    let admitted = history.events.iter().filter_map(|event| match &event.seen {
        SeenEvent::Admitted { host, request, .. } => Some((*request, host.clone())),
        _ => None,
    });
    admitted.collect()
}
