//! What upstreams told this host about whether they want its requests, shared by all requests.

use crate::load_report::UpstreamHash;
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::AnswerHead;
use http::StatusCode;
use oleander_core::ids::{Incarnation, UpstreamName};
use oleander_core::retry_after::RetryAfter;
use oleander_core::units::Timestamp;
use oleander_core::upstream_standing::{AnswerOrigin, SendPermission, StandingTable};
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which other hosts are told that an upstream is leaving: several rounds of gossip.
const TELL_TIME: Duration = Duration::from_secs(3);
/// Maximum leaving upstreams told in one datagram.
const MAX_TOLD: usize = 16;

/// Maximum difference between this host's clock and an upstream's, and the time for which a
/// connection may be established on this side only.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);

/// The standings of all upstreams.
#[derive(Debug, Default)]
pub struct SharedStandings(Mutex<StandingTable>);

const fn incarnation(entry: &UpstreamEntry) -> Incarnation {
    Incarnation::new(entry.started_ms)
}

/// Identifies one incarnation of an upstream in gossip.
#[must_use]
pub fn incarnation_hash(name: &UpstreamName, incarnation: Incarnation) -> UpstreamHash {
    UpstreamHash::of_parts(&[name.as_str(), &incarnation.to_string()])
}

impl SharedStandings {
    fn lock(&self) -> MutexGuard<'_, StandingTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what an upstream's answer says about further requests. The answer arrived on a
    /// connection opened at `opened_at`, in time since the Unix epoch.
    pub fn record_answer(
        &self,
        entry: &UpstreamEntry,
        status: StatusCode,
        head: &AnswerHead,
        opened_at: Timestamp,
        now: Timestamp,
    ) {
        let upstream = entry.name.as_str();
        // Incarnations are numbered by the time of their start.
        let latest = Incarnation::new((opened_at + CLOCK_TOLERANCE).as_millis());
        let origin = AnswerOrigin { known: incarnation(entry), latest };
        if head.leaving && self.lock().mark_leaving(&entry.name, origin, now) {
            log::info!(
                target: "belief", upstream, reason = "it says that it is leaving",
                started_ms = entry.started_ms;
                "upstream accepts no new work"
            );
        }
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let Some((pause, errors)) = RetryAfter::longest(&head.retry_after) else { return };
        for error in errors {
            log::warn!(target: "belief", upstream, error:%; "unusable retry-after of an upstream");
        }
        log::info!(
            target: "belief", upstream, pause_s:% = pause;
            "upstream asked for a pause"
        );
        self.lock().pause(&entry.name, origin, pause, now);
    }

    /// Whether this host may send a request to an upstream.
    #[must_use]
    pub fn permission(&self, entry: &UpstreamEntry, now: Timestamp) -> SendPermission {
        self.lock().permission(&entry.name, incarnation(entry), now)
    }

    /// The upstreams to which this host may send requests.
    #[must_use]
    pub fn open_only<'a>(
        &self,
        mut entries: Vec<&'a Arc<UpstreamEntry>>,
        now: Timestamp,
    ) -> Vec<&'a Arc<UpstreamEntry>> {
        let table = self.lock();
        if !table.is_empty() {
            entries.retain(|entry| {
                let permission = table.permission(&entry.name, incarnation(entry), now);
                matches!(permission, SendPermission::Open | SendPermission::Reported)
            });
        }
        entries
    }

    /// Indices of the upstreams that another host heard are leaving.
    #[must_use]
    pub fn reported(&self, entries: &[&Arc<UpstreamEntry>], now: Timestamp) -> Vec<usize> {
        let table = self.lock();
        if table.is_empty() {
            return Vec::new();
        }
        let is_reported = |entry: &UpstreamEntry| {
            table.permission(&entry.name, incarnation(entry), now) == SendPermission::Reported
        };
        (0..entries.len()).filter(|index| is_reported(entries[*index])).collect()
    }

    /// Hashes of upstreams that recently said that they are leaving, for other hosts.
    #[must_use]
    pub fn leaving_hashes(&self, now: Timestamp) -> Vec<UpstreamHash> {
        let table = self.lock();
        let recent = table.recently_leaving(TELL_TIME, now);
        recent
            .map(|(name, incarnation)| incarnation_hash(name, incarnation))
            .take(MAX_TOLD)
            .collect()
    }

    /// Records upstreams that another host heard are leaving.
    pub fn merge_leaving<'a>(
        &self,
        hashes: &[UpstreamHash],
        entries: impl Iterator<Item = &'a UpstreamEntry>,
        now: Timestamp,
    ) {
        if hashes.is_empty() {
            return;
        }
        let told: HashSet<UpstreamHash> = hashes.iter().copied().collect();
        let mut table = self.lock();
        for entry in entries {
            if told.contains(&incarnation_hash(&entry.name, incarnation(entry))) {
                table.report_leaving(&entry.name, incarnation(entry), now);
            }
        }
    }

    /// Forgets upstreams of unknown incarnation that are no longer listed.
    pub fn retain_listed(&self, listed: &HashSet<&UpstreamName>) {
        self.lock().retain_listed(|name| listed.contains(name));
    }
}
