//! Blocks requests with a part in their prompts that crashes upstreams, as all hosts report it.

use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::CallerHead;
use oleander_core::part_quarantine::{PartHash, PartQuarantine, PartReport, RunHash};
use oleander_core::stable_hash::unit_point;
use oleander_core::units::Timestamp;
use oleander_ports::clock::ClockPort;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// Time over which hosts spread the first trial of a part that was blocked.
const TRIAL_SPREAD: Duration = Duration::from_secs(30);
/// Delays after the loss of a request at which its upstream is checked: a process that ends may
/// accept connections for a moment more.
const CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(250)];
/// Timeout of the connection by which an upstream is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The quarantine of prompt parts, shared by all requests.
#[derive(Debug, Default)]
pub struct PartGuard(Mutex<PartQuarantine>);

impl PartGuard {
    /// Creates a guard; `seed` differs from host to host.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let delay = TRIAL_SPREAD.mul_f64(unit_point(seed));
        Self(Mutex::new(PartQuarantine::new().with_trial_delay(delay)))
    }

    /// Performs `work` and logs which parts it blocked or unblocked.
    fn update<T>(&self, work: impl FnOnce(&mut PartQuarantine) -> T) -> T {
        let mut quarantine = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let before: BTreeSet<PartHash> = quarantine.blocked().collect();
        let result = work(&mut quarantine);
        let after: BTreeSet<PartHash> = quarantine.blocked().collect();
        for part in after.difference(&before) {
            log::warn!(
                target: "belief", part:% = part;
                "prompt part blocked, since requests with it crash upstreams"
            );
        }
        for part in before.difference(&after) {
            log::info!(target: "belief", part:% = part; "prompt part no longer blocked");
        }
        result
    }

    /// Records that a request with these parts was lost on an upstream before its answer had begun
    /// for long, and finds out whether the upstream has ended.
    pub fn record_loss(
        self: &Arc<Self>,
        entry: &UpstreamEntry,
        parts: &[PartHash],
        clock: &Arc<dyn ClockPort>,
    ) {
        let (run, now) = (run_hash(entry), clock.now());
        if self.update(|quarantine| quarantine.record_loss(run, parts, now)) {
            let (guard, clock, address) = (Arc::clone(self), Arc::clone(clock), entry.address);
            tokio::spawn(async move {
                for delay in CHECK_DELAYS {
                    tokio::time::sleep(delay).await;
                    let connect = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address));
                    let refused =
                        |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
                    if connect.await.is_ok_and(|connected| connected.as_ref().is_err_and(refused)) {
                        let now = clock.now();
                        guard.update(|quarantine| quarantine.record_end(run, now));
                        return;
                    }
                }
            });
        }
    }

    /// Records that an upstream refused a connection.
    pub fn record_end(&self, entry: &UpstreamEntry, now: Timestamp) {
        self.update(|quarantine| quarantine.record_end(run_hash(entry), now));
    }

    /// Records that a request with these parts was answered.
    pub fn record_answer(&self, parts: &[PartHash], now: Timestamp) {
        if !parts.is_empty() {
            self.update(|quarantine| quarantine.record_answer(parts, now));
        }
    }

    /// Time until requests with these parts are served again; `None` if they are not blocked.
    #[must_use]
    pub fn blocked_for(&self, parts: &[PartHash], now: Timestamp) -> Option<Duration> {
        let quarantine = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        quarantine.blocked_until(parts).map(|until| until.since(now))
    }

    /// Forgets what is too old.
    pub fn expire(&self, now: Timestamp) {
        self.update(|quarantine| quarantine.expire(now));
    }

    /// What other hosts should know.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> PartReport {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).report(now)
    }

    /// Takes over what another host tells.
    pub fn merge(&self, report: &PartReport, now: Timestamp) {
        self.update(|quarantine| quarantine.merge(report, now));
    }
}

/// The parts of a prompt that other requests may share: all but the last.
#[must_use]
pub fn shared_parts(head: &CallerHead) -> Vec<PartHash> {
    let shared = head.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| PartHash::new(&part.id)).collect()
}

fn run_hash(entry: &UpstreamEntry) -> RunHash {
    RunHash::new(entry.name.as_str(), entry.started_ms)
}
