//! A withdrawn version receives no new work.

use super::{CheckReport, IN_FORCE_BOUND};
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::VersionName;
use std::collections::BTreeMap;

/// No attempt starts on a version that has been withdrawn for [`IN_FORCE_BOUND`].
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let mut withdrawn_by: BTreeMap<VersionName, &HistoryEvent> = BTreeMap::new();
    for event in &history.events {
        match &event.seen {
            SeenEvent::Published { withdrawn, .. } => {
                withdrawn_by.retain(|version, _| withdrawn.contains(version));
                for version in withdrawn {
                    withdrawn_by.entry(version.clone()).or_insert(event);
                }
            }
            SeenEvent::AttemptStarted { version: Some(version), .. } => {
                report.events += 1;
                let Some(catalog) = withdrawn_by.get(version) else { continue };
                if event.at >= catalog.at + IN_FORCE_BOUND {
                    let since = event.at.since(catalog.at);
                    let message = format!("{version} received work {since:?} after its withdrawal");
                    report.add_violation(message, &[catalog, event]);
                }
            }
            _ => {}
        }
    }
}
