//! A leaving upstream receives no new work after a few seconds.

use super::{CheckReport, LEAVING_BOUND};
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{Incarnation, UpstreamName};
use std::collections::BTreeMap;

/// No attempt starts at an incarnation that has been leaving for [`LEAVING_BOUND`].
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut leaving: BTreeMap<(UpstreamName, Incarnation), &HistoryEvent> = BTreeMap::new();
    for event in &history.events {
        match &event.seen {
            SeenEvent::UpstreamLeaving { upstream, incarnation } => {
                leaving.entry((upstream.clone(), *incarnation)).or_insert(event);
            }
            SeenEvent::AttemptStarted { upstream, incarnation, .. } => {
                report.events += 1;
                let Some(first) = leaving.get(&(upstream.clone(), *incarnation)) else { continue };
                if event.at >= first.at + LEAVING_BOUND {
                    let since = event.at.since(first.at);
                    let message = format!(
                        "{upstream} received work {since:?} after it announced that it leaves"
                    );
                    report.add_violation(message, &[first, event]);
                }
            }
            _ => {}
        }
    }
}
