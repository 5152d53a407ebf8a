//! Reads every statement after the run.

use crate::faults::load::{KeyedRequest, LoadDriver};
use crate::testenv::TestSystem;
use crate::testenv::system::PATIENCE;
use oleander_core::ids::RequestId;
use oleander_core::units::Timestamp;
use oleander_history::{History, SeenEvent};
use oleander_ledger::statement::StatementReader;
use oleander_ports::clock::{ClockPort, SystemClock};
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at what the ledgers hold.
const POLL: Duration = Duration::from_millis(200);

/// Adds what was billed to the history of a run.
pub async fn read(system: &TestSystem, driver: &LoadDriver) -> History {
    let written = tokio::time::timeout(PATIENCE, wait_written(system)).await;
    written.expect("the ledgers did not write what they hold");
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
                note_made(system, keyed, request);
            }
            let billed = record.billed;
            note(system, SeenEvent::Billed { account: account.clone(), request, billed });
        }
    }
    note(system, SeenEvent::BillingRead);
    system.history()
}

/// A keyed request that ran but was never answered whole was still made by its account.
fn note_made(system: &TestSystem, keyed: &KeyedRequest, request: RequestId) {
    let (host, account) = ("callers".parse().unwrap(), keyed.account.clone());
    let seen = SeenEvent::Admitted { host, account, request, key: None, session: None };
    note(system, seen);
}

async fn wait_written(system: &TestSystem) {
    for ledger in &system.ledgers {
        let admin = ledger.ready.admin.unwrap();
        while system.metric(admin, "oleander_ledger_backlog_bytes").await != Some(0.0) {
            tokio::time::sleep(POLL).await;
        }
    }
}

fn note(system: &TestSystem, seen: SeenEvent) {
    system.recorder.record(SystemClock.now(), "statements", seen);
}
