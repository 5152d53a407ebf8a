//! A session keeps its version.

use super::CheckReport;
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{AccountName, SessionId, VersionName};
use std::collections::BTreeMap;

/// Every answer of a session names the version of its first answer.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut first: BTreeMap<(AccountName, SessionId), (VersionName, &HistoryEvent)> =
        BTreeMap::new();
    for event in &history.events {
        let SeenEvent::Answered { account, version: Some(version), session: Some(session), .. } =
            &event.seen
        else {
            continue;
        };
        report.events += 1;
        let identity = (account.clone(), session.clone());
        let (kept, start) = first.entry(identity).or_insert((version.clone(), event));
        if kept != version {
            let message = format!("session {session} went from {kept} to {version}");
            report.violate(message, &[start, event]);
        }
    }
}
