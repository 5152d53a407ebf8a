//! A request runs only on a version that its client account allows.

use super::{CheckReport, IN_FORCE_BOUND};
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{AccountName, VersionName};
use oleander_core::units::Timestamp;

/// Every start of an attempt must be allowed by a catalog that can be in force at that time: the
/// newest one, or one that was replaced less than [`IN_FORCE_BOUND`] ago.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let published: Vec<&HistoryEvent> =
        history.events.iter().filter(|e| matches!(e.seen, SeenEvent::Published { .. })).collect();
    let accounts = history.accounts();
    for event in &history.events {
        let SeenEvent::AttemptStarted { attempt, version: Some(version), .. } = &event.seen else {
            continue;
        };
        report.events += 1;
        let Some(account) = accounts.get(&attempt.request) else {
            report.add_violation("an attempt ran for an unknown request".to_owned(), &[event]);
            continue;
        };
        if !is_allowed(&published, event.at, account, version) {
            let message = format!("{account} does not allow {version}");
            let catalog = published.iter().rfind(|catalog| catalog.at <= event.at);
            let trace: Vec<&HistoryEvent> = catalog.copied().into_iter().chain([event]).collect();
            report.add_violation(message, &trace);
        }
    }
}

fn is_allowed(
    published: &[&HistoryEvent],
    at: Timestamp,
    account: &AccountName,
    version: &VersionName,
) -> bool {
    let earlier = published.iter().enumerate().filter(|(_, catalog)| catalog.at <= at);
    earlier.into_iter().any(|(index, catalog)| {
        let replaced_at = published.get(index + 1).map(|next| next.at);
        let in_force = replaced_at.is_none_or(|time| at < time + IN_FORCE_BOUND);
        let SeenEvent::Published { allowed, .. } = &catalog.seen else { return false };
        in_force && allowed.get(account).is_some_and(|versions| versions.contains(version))
    })
}
