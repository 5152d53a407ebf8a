//! Adds the billing records of every client account to the history after a run.

use crate::faults::load::{KeyedRequest, LoadDriver};
use crate::testenv::TestSystem;
use crate::testenv::system::WAIT_TIMEOUT;
use oleander_core::ids::RequestId;
use oleander_core::units::Timestamp;
use oleander_history::{History, SeenEvent};
use oleander_ledger::statement::StatementReader;
use oleander_ports::clock::{ClockPort, SystemClock};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the ledgers' backlogs are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Records every billed request and returns the history of the run.
pub async fn read(system: &TestSystem, driver: &LoadDriver) -> History {
    let written = tokio::time::timeout(WAIT_TIMEOUT, wait_for_empty_backlogs(system)).await;
    written.expect("the backlog of a ledger is not empty within the timeout");
    let platform = &system.standins.platform;
    let (table, objects) = (platform.table.clone(), platform.objects.clone());
    let reader = StatementReader::new(Arc::new(table), Arc::new(objects));
    let keyed = driver.keyed();
    let end = SystemClock.now() + Duration::from_secs(3_600);
    for account in system.standins.catalog.client_accounts.keys() {
        let records = reader.records(account, Timestamp::default(), end).await.unwrap();
        for record in records {
            let known = keyed.get(&record.request);
            let request = known.and_then(|keyed| keyed.answered).unwrap_or(record.request);
            if let Some(keyed) = known.filter(|keyed| keyed.answered.is_none()) {
                record_admitted(system, keyed, request);
            }
            let billed = record.billed;
            record_event(system, SeenEvent::Billed { account: account.clone(), request, billed });
        }
    }
    record_event(system, SeenEvent::BillingRead);
    system.history()
}

/// Records a keyed request that ran without a complete answer as admitted for its account.
fn record_admitted(system: &TestSystem, keyed: &KeyedRequest, request: RequestId) {
    let (host, account) = ("callers".parse().unwrap(), keyed.account.clone());
    let seen = SeenEvent::Admitted { host, account, request, key: None, session: None };
    record_event(system, seen);
}

async fn wait_for_empty_backlogs(system: &TestSystem) {
    for ledger in &system.ledgers {
        let admin = ledger.ready.admin.unwrap();
        while system.metric(admin, "oleander_ledger_backlog_bytes").await != Some(0.0) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn record_event(system: &TestSystem, seen: SeenEvent) {
    system.recorder.record(SystemClock.now(), "statements", seen);
}
