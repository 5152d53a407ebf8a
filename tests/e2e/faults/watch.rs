//! Records publications and the revision that each entry has in force.

use crate::testenv::TestSystem;
use crate::testenv::system::read_metric;
use oleander_adapters::http_client::HttpClient;
use oleander_catalog::store::CatalogStore;
use oleander_core::catalog::{Catalog, Snapshot};
use oleander_core::ids::{HostId, Revision, VersionName};
use oleander_history::{HistoryRecorder, SeenEvent};
use oleander_ports::clock::{ClockPort, SystemClock};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Interval at which the store and the entries are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Admin addresses of the entries that serve.
type WatchedEntries = Arc<Mutex<BTreeMap<HostId, SocketAddr>>>;

/// Watch of publications and revisions in force, until it is stopped.
pub struct RunWatch {
    recorder: HistoryRecorder,
    entries: WatchedEntries,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts to watch the store and every entry of a system.
pub fn start(system: &TestSystem) -> RunWatch {
    let watch = RunWatch {
        recorder: system.recorder.clone(),
        entries: WatchedEntries::default(),
        tasks: Vec::new(),
    };
    for entry in &system.entries {
        watch.host_up(entry.ready.ready.clone(), entry.ready.admin.unwrap());
    }
    let platform = &system.standins.platform;
    let store =
        CatalogStore::new(Arc::new(platform.table.clone()), Arc::new(platform.objects.clone()));
    let head = tokio::spawn(watch_head(store, system.recorder.clone()));
    let revisions =
        tokio::spawn(watch_revisions(Arc::clone(&watch.entries), system.recorder.clone()));
    RunWatch { tasks: vec![head, revisions], ..watch }
}

impl RunWatch {
    /// Records that an entry serves from now on.
    pub fn host_up(&self, host: HostId, admin: SocketAddr) {
        self.entries.lock().unwrap().insert(host.clone(), admin);
        record_event(&self.recorder, SeenEvent::HostUp { host });
    }

    /// Records that an entry no longer serves.
    pub fn host_down(&self, host: &HostId) {
        self.entries.lock().unwrap().remove(host);
        record_event(&self.recorder, SeenEvent::HostDown { host: host.clone() });
    }

    /// Stops watching.
    pub fn stop(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn record_event(recorder: &HistoryRecorder, seen: SeenEvent) {
    recorder.record(SystemClock.now(), "watch", seen);
}

async fn watch_head(store: CatalogStore, recorder: HistoryRecorder) {
    let mut last = Revision::default();
    loop {
        // The history has every revision, also when several are published between two polls.
        for record in store.history(last, 100).await.unwrap() {
            let (catalog, _) = store.body(&record.digest).await.unwrap().unwrap();
            last = record.revision;
            record_event(&recorder, published(last, &catalog));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn published(revision: Revision, catalog: &Catalog) -> SeenEvent {
    let withdrawn: BTreeSet<VersionName> = catalog.withdrawals.keys().cloned().collect();
    let mut open = catalog.clone();
    open.withdrawals.clear();
    let snapshot = Snapshot::new(revision, open);
    let accounts = catalog.client_accounts.iter();
    let allowed = accounts.map(|(name, account)| {
        let versions = catalog.versions.keys().filter(|one| snapshot.allows(account, one));
        (name.clone(), versions.cloned().collect())
    });
    SeenEvent::Published { revision, allowed: allowed.collect(), withdrawn }
}

async fn watch_revisions(entries: WatchedEntries, recorder: HistoryRecorder) {
    let client = HttpClient::new();
    let mut last: BTreeMap<HostId, Revision> = BTreeMap::new();
    loop {
        let watched = entries.lock().unwrap().clone();
        for (host, admin) in watched {
            let Some(revision) = read_revision(&client, admin).await else { continue };
            if last.insert(host.clone(), revision) != Some(revision) {
                record_event(&recorder, SeenEvent::InForce { host, revision });
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read_revision(client: &HttpClient, admin: SocketAddr) -> Option<Revision> {
    let value = read_metric(client, admin, "oleander_entry_revision").await?;
    Some(Revision::new(value as u64))
}
