//! Each request is billed exactly once to the client account that made it.

use super::CheckReport;
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{AccountName, RequestId};
use oleander_core::reason::RunState;
use oleander_core::units::Money;
use std::collections::BTreeMap;

/// No request is billed twice, to another client account, or without having been made. If all
/// billing records were read, every request with a complete answer is billed. A request that was
/// refused as not run costs nothing.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let accounts = history.accounts();
    let mut billed: BTreeMap<RequestId, &HistoryEvent> = BTreeMap::new();
    for event in &history.events {
        let SeenEvent::Billed { account, request, .. } = &event.seen else { continue };
        report.events += 1;
        if let Some(first) = billed.insert(*request, event) {
            report.add_violation(format!("{request} is billed twice"), &[first, event]);
        }
        check_payer(accounts.get(request), account, event, report);
    }
    check_not_run(history, &billed, report);
    let billing_read = history.events.iter().any(|event| event.seen == SeenEvent::BillingRead);
    if billing_read {
        check_all_billed(history, &billed, report);
    }
}

fn check_payer(
    requester: Option<&AccountName>,
    payer: &AccountName,
    event: &HistoryEvent,
    report: &mut CheckReport,
) {
    match requester {
        None => report.add_violation("an unknown request is billed".to_owned(), &[event]),
        Some(requester) if requester != payer => {
            report
                .add_violation(format!("{payer} is billed for a request of {requester}"), &[event]);
        }
        Some(_) => {}
    }
}

fn check_all_billed(
    history: &History,
    billed: &BTreeMap<RequestId, &HistoryEvent>,
    report: &mut CheckReport,
) {
    for event in &history.events {
        let SeenEvent::Answered { request, repeat: false, .. } = &event.seen else { continue };
        if !billed.contains_key(request) {
            report.add_violation(format!("{request} was answered but is not billed"), &[event]);
        }
    }
}

fn check_not_run(
    history: &History,
    billed: &BTreeMap<RequestId, &HistoryEvent>,
    report: &mut CheckReport,
) {
    for event in &history.events {
        let SeenEvent::Refused { request: Some(request), run: RunState::NotRun, .. } = &event.seen
        else {
            continue;
        };
        let Some(record) = billed.get(request) else { continue };
        if matches!(record.seen, SeenEvent::Billed { billed, .. } if billed > Money::ZERO) {
            report.add_violation(
                format!("{request} was refused as not run but is billed"),
                &[event, record],
            );
        }
    }
}
