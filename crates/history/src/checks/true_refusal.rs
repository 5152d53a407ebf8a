//! A request that was refused as not run has not run.

use super::CheckReport;
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::RequestId;
use oleander_core::reason::RunState;
use std::collections::BTreeMap;

/// No upstream started an attempt of a request that was refused as not run.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut started: BTreeMap<RequestId, &HistoryEvent> = BTreeMap::new();
    for event in &history.events {
        let (SeenEvent::AttemptStarted { attempt, .. } | SeenEvent::OperationRan { attempt, .. }) =
            &event.seen
        else {
            continue;
        };
        started.entry(attempt.request).or_insert(event);
    }
    for event in &history.events {
        let SeenEvent::Refused { request: Some(request), run: RunState::NotRun, .. } = &event.seen
        else {
            continue;
        };
        report.events += 1;
        if let Some(start) = started.get(request) {
            report.add_violation(
                format!("{request} was refused as not run but ran"),
                &[start, event],
            );
        }
    }
}
