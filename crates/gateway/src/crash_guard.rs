//! Blocks requests that crash upstreams, by themselves or by a part in their prompts, as all hosts
//! report them.

use crate::control_port::SharedRow;
use crate::state::GatewayState;
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::CallerHead;
use oleander_core::host_view::HostHash;
use oleander_core::ids::HostId;
use oleander_core::part_quarantine::{PartHash, PartQuarantine, PartReport, RunHash};
use oleander_core::request_hash::RequestHash;
use oleander_core::request_quarantine::{RequestPermission, RequestQuarantine, RequestReport};
use oleander_core::stable_hash::unit_point;
use oleander_core::units::Timestamp;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Time over which hosts spread the first trial of a part that was blocked.
const TRIAL_SPREAD: Duration = Duration::from_secs(30);
/// Delays after the loss of a request at which its upstream is checked: a process that ends may
/// accept connections for a moment more.
const CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(250)];
/// Time in which it is found out whether other upstreams of the service refuse connections as well.
const REACH_CHECK_TIME: Duration = Duration::from_millis(150);
/// Timeout of the connection by which an upstream is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The quarantines of prompt parts and of requests.
#[derive(Debug)]
pub struct CrashGuard {
    parts: Mutex<PartQuarantine>,
    requests: Mutex<RequestQuarantine>,
    /// Notified when something is blocked, or tried.
    changed: Notify,
}

/// A request that was lost on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct LostRequest<'a> {
    /// Parts of its prompt that other requests may share.
    pub parts: &'a [PartHash],
    /// What the caller sends again.
    pub request: RequestHash,
    /// When it was sent there.
    pub sent_at: Timestamp,
}

impl CrashGuard {
    /// Creates the guard of a host; `seed` differs from host to host.
    #[must_use]
    pub fn new(host: &HostId, seed: u64) -> Self {
        let delay = TRIAL_SPREAD.mul_f64(unit_point(seed));
        let parts = Mutex::new(PartQuarantine::new().with_trial_delay(delay));
        let requests = Mutex::new(RequestQuarantine::new(HostHash::new(host)));
        Self { parts, requests, changed: Notify::new() }
    }

    /// Performs `work` and logs which requests it blocked or unblocked.
    fn update_requests<T>(&self, work: impl FnOnce(&mut RequestQuarantine) -> T) -> T {
        let mut quarantine = lock(&self.requests);
        let before: BTreeSet<RequestHash> = quarantine.blocked().collect();
        let result = work(&mut quarantine);
        let after: BTreeSet<RequestHash> = quarantine.blocked().collect();
        for request in after.difference(&before) {
            log::warn!(
                target: "belief", request:% = request;
                "request blocked, since it crashes upstreams"
            );
            self.changed.notify_one();
        }
        for request in before.difference(&after) {
            log::info!(target: "belief", request:% = request; "request no longer blocked");
        }
        result
    }

    /// Performs `work` and logs which parts it blocked or unblocked.
    fn update_parts<T>(&self, work: impl FnOnce(&mut PartQuarantine) -> T) -> T {
        let mut quarantine = lock(&self.parts);
        let before: BTreeSet<PartHash> = quarantine.blocked().collect();
        let result = work(&mut quarantine);
        let after: BTreeSet<PartHash> = quarantine.blocked().collect();
        for part in after.difference(&before) {
            log::warn!(
                target: "belief", part:% = part;
                "prompt part blocked, since requests with it crash upstreams"
            );
            self.changed.notify_one();
        }
        for part in before.difference(&after) {
            log::info!(target: "belief", part:% = part; "prompt part no longer blocked");
        }
        result
    }

    /// Records that a request was lost on an upstream before its answer had begun for long, and finds
    /// out whether the upstream has ended.
    pub fn record_loss(
        self: &Arc<Self>,
        entry: &UpstreamEntry,
        lost: &LostRequest<'_>,
        state: &Arc<GatewayState>,
    ) {
        let (run, now) = (run_hash(entry), state.clock.now());
        let are_parts_first =
            self.update_parts(|quarantine| quarantine.record_loss(run, lost.parts, now));
        let is_request_first = self.update_requests(|quarantine| {
            quarantine.record_loss(run, lost.request, lost.sent_at, now)
        });
        if are_parts_first || is_request_first {
            let (guard, state) = (Arc::clone(self), Arc::clone(state));
            let entry = entry.clone();
            tokio::spawn(async move {
                for delay in CHECK_DELAYS {
                    tokio::time::sleep(delay).await;
                    let connect =
                        tokio::time::timeout(CHECK_TIMEOUT, state.dialer.dial(entry.address));
                    let refused =
                        |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
                    if connect.await.is_ok_and(|connected| connected.as_ref().is_err_and(refused)) {
                        // This host alone may have lost the path to all upstreams.
                        state.reach.suspect(&entry.service);
                        tokio::time::sleep(REACH_CHECK_TIME).await;
                        let now = state.clock.now();
                        if state.reach.lost_for(&entry.service, now).is_none() {
                            guard.record_run_end(run, now);
                            state.pool.record_loss(&entry, now);
                        }
                        return;
                    }
                }
            });
        }
    }

    /// Records that an upstream refused a connection.
    pub fn record_end(&self, entry: &UpstreamEntry, now: Timestamp) {
        self.record_run_end(run_hash(entry), now);
    }

    fn record_run_end(&self, run: RunHash, now: Timestamp) {
        self.update_parts(|quarantine| quarantine.record_end(run, now));
        self.update_requests(|quarantine| quarantine.record_end(run, now));
    }

    /// Resolves when something was blocked or tried.
    pub async fn next_change(&self) {
        self.changed.notified().await;
    }

    /// What a shared row should hold, if it lacks anything that this host has to write; `responsible`
    /// tells whether this host writes for others which have seen it, by a key. `store_now` is the
    /// store's monotonic clock.
    #[must_use]
    pub fn unsaved(
        &self,
        row: SharedRow,
        responsible: impl Fn(u64) -> bool,
        now: Timestamp,
        store_now: Timestamp,
    ) -> Option<Vec<u8>> {
        match row {
            SharedRow::Requests => {
                let report = lock(&self.requests).unsaved_report(responsible, now)?;
                Some(encode_row(&report, store_now))
            }
            SharedRow::Parts => {
                let report = lock(&self.parts).unsaved_report(responsible, now)?;
                Some(encode_row(&report, store_now))
            }
        }
    }

    /// Records that the store holds a value of a shared row, which this host has written.
    pub fn record_saved(&self, row: SharedRow, value: &[u8]) {
        match row {
            SharedRow::Requests => {
                lock(&self.requests).record_saved(&decode_row(row, value).0, true);
            }
            SharedRow::Parts => lock(&self.parts).record_saved(&decode_row(row, value).0, true),
        }
    }

    /// Takes over what the store holds of a shared row; an empty value if there is no row. `store_now`
    /// is the store's monotonic clock, by which the row has aged since it was written.
    pub fn restore(&self, row: SharedRow, value: &[u8], store_now: Timestamp, now: Timestamp) {
        match row {
            SharedRow::Requests => {
                let (report, written_at) = decode_row::<RequestReport>(row, value);
                let report = report.aged(store_now.since(written_at.unwrap_or(store_now)));
                self.update_requests(|quarantine| quarantine.restore(&report, now));
            }
            SharedRow::Parts => {
                let (report, written_at) = decode_row::<PartReport>(row, value);
                let report = report.aged(store_now.since(written_at.unwrap_or(store_now)));
                self.update_parts(|quarantine| quarantine.restore(&report, now));
            }
        }
    }

    /// The blocked requests.
    #[must_use]
    pub fn blocked_requests(&self) -> Vec<RequestHash> {
        lock(&self.requests).blocked().collect()
    }

    fn merge_requests(&self, report: &RequestReport, now: Timestamp) {
        self.update_requests(|quarantine| quarantine.merge(report, now));
    }

    /// Records that an upstream answered a request; `hash` computes its hash, if any request is
    /// suspected.
    pub fn record_request_answer(&self, hash: impl FnOnce() -> RequestHash, now: Timestamp) {
        if !lock(&self.requests).is_empty() {
            let request = hash();
            self.update_requests(|quarantine| quarantine.record_answer(request, now));
        }
    }

    /// Whether a request may be sent; a trial has then begun. `hash` computes its hash, if any request
    /// is suspected; `is_first` tells whether this host is the first live one in the order of a key.
    pub fn request_permission(
        &self,
        hash: impl FnOnce() -> RequestHash,
        is_first: impl FnOnce(u64) -> bool,
        now: Timestamp,
    ) -> RequestPermission {
        if lock(&self.requests).is_empty() {
            return RequestPermission::Open;
        }
        let request = hash();
        let mut quarantine = lock(&self.requests);
        let permission = quarantine.permission(request, is_first, now);
        if permission == RequestPermission::Trial {
            log::info!(target: "belief", request:% = request; "blocked request is tried again");
            quarantine.begin_trial(request);
            // All hosts together have two, also if their processes end.
            self.changed.notify_one();
        }
        permission
    }

    /// Records that a request with these parts was answered.
    pub fn record_part_answer(&self, parts: &[PartHash], now: Timestamp) {
        if !parts.is_empty() {
            self.update_parts(|quarantine| quarantine.record_answer(parts, now));
        }
    }

    /// Time until requests with these parts are served again; `None` if they are not blocked.
    #[must_use]
    pub fn blocked_for(&self, parts: &[PartHash], now: Timestamp) -> Option<Duration> {
        lock(&self.parts).blocked_until(parts).map(|until| until.since(now))
    }

    /// Forgets what is too old.
    pub fn expire(&self, now: Timestamp) {
        self.update_parts(|quarantine| quarantine.expire(now));
        self.update_requests(|quarantine| quarantine.expire(now));
    }

    /// What other hosts should know.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> (PartReport, RequestReport) {
        (lock(&self.parts).report(now), lock(&self.requests).report(now))
    }

    /// Takes over what another host tells.
    pub fn merge(&self, parts: &PartReport, requests: &RequestReport, now: Timestamp) {
        self.update_parts(|quarantine| quarantine.merge(parts, now));
        self.merge_requests(requests, now);
    }
}

/// The parts of a prompt that other requests may share: all but the last.
#[must_use]
pub fn shared_parts(head: &CallerHead) -> Vec<PartHash> {
    let shared = head.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| PartHash::new(&part.id)).collect()
}

/// Encodes a shared row: a report, and when it was written by the store's monotonic clock. Earlier
/// builds write the report alone, and leave what follows it unread.
fn encode_row<T: Serialize>(report: &T, store_now: Timestamp) -> Vec<u8> {
    // Plain data is always encoded.
    postcard::to_allocvec(&(report, store_now)).unwrap_or_default()
}

/// Decodes a shared row; one that cannot be decoded is written anew.
fn decode_row<T: Default + DeserializeOwned>(
    row: SharedRow,
    value: &[u8],
) -> (T, Option<Timestamp>) {
    if value.is_empty() {
        return (T::default(), None);
    }
    let decoded = postcard::take_from_bytes::<T>(value).and_then(|(report, rest)| {
        let written_at = (!rest.is_empty()).then(|| postcard::from_bytes(rest)).transpose()?;
        Ok((report, written_at))
    });
    decoded.unwrap_or_else(|error| {
        log::warn!(target: "belief", row:%, error:%; "undecodable row skipped");
        (T::default(), None)
    })
}

fn run_hash(entry: &UpstreamEntry) -> RunHash {
    RunHash::new(entry.name.as_str(), entry.started_ms)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
