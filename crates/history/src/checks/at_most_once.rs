//! A non-idempotent request runs at most once.

use super::CheckReport;
use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use std::collections::BTreeMap;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum OperationIdentity {
    Key(AccountName, IdempotencyKey),
    Request(RequestId),
}

/// No non-idempotent operation takes effect twice for one client account and idempotency key, or
/// for one request if there is no key.
pub(super) fn check(history: &History, report: &mut CheckReport) {
    let (accounts, keys) = (history.accounts(), history.keys());
    let mut ran: BTreeMap<OperationIdentity, &HistoryEvent> = BTreeMap::new();
    for event in &history.events {
        let SeenEvent::OperationRan { attempt, operation, key, .. } = &event.seen else {
            continue;
        };
        report.events += 1;
        let account = accounts.get(&attempt.request);
        let key = key.as_ref().or_else(|| keys.get(&attempt.request));
        let identity = match (account, key) {
            (Some(account), Some(key)) => OperationIdentity::Key(account.clone(), key.clone()),
            _ => OperationIdentity::Request(attempt.request),
        };
        if let Some(first) = ran.insert(identity, event) {
            report.add_violation(
                format!("{operation} ran twice for the same idempotency key or request"),
                &[first, event],
            );
        }
    }
}
