//! All answers of a session come from one version.

use super::CheckReport;
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{AccountName, SessionId, VersionName};
use std::collections::BTreeMap;

/// Every answer of a session comes from the version of its first answer.
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
        let (first_version, start) = first.entry(identity).or_insert((version.clone(), event));
        if first_version != version {
            let message = format!("session {session} changed from {first_version} to {version}");
            report.add_violation(message, &[start, event]);
        }
    }
}
