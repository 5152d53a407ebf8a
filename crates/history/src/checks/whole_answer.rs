//! A caller receives the complete answer to its own request.

use super::CheckReport;
use crate::event::{HistoryEvent, SeenEvent, TextDigest};
use crate::history::History;
use oleander_core::ids::RequestId;
use std::collections::BTreeMap;

/// An answer equals the text that the caller expects, if the caller knows it, and the complete
/// text of an attempt of the same request, if upstreams recorded any.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut texts: BTreeMap<RequestId, Vec<(&TextDigest, &HistoryEvent)>> = BTreeMap::new();
    for event in &history.events {
        if let SeenEvent::AttemptEnded { attempt, answer, .. } = &event.seen {
            texts.entry(attempt.request).or_default().push((answer, event));
        }
    }
    let recorded = !texts.is_empty();
    for event in &history.events {
        let SeenEvent::Answered { request, answer, expected, repeat, .. } = &event.seen else {
            continue;
        };
        report.events += 1;
        if expected.as_ref().is_some_and(|expected| expected != answer) {
            let message = format!("the answer to {request} differs from the expected text");
            report.add_violation(message, &[event]);
            continue;
        }
        let attempt_texts = texts.get(request).map(Vec::as_slice).unwrap_or_default();
        if recorded && !repeat && attempt_texts.iter().all(|(text, _)| *text != answer) {
            let trace: Vec<&HistoryEvent> =
                attempt_texts.iter().map(|(_, ended)| *ended).chain([event]).collect();
            report.add_violation(
                format!("the answer to {request} is the text of none of its attempts"),
                &trace,
            );
        }
    }
}
