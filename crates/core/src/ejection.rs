//! Upstreams that fail more than others are left out for a while, never a whole pool.

use crate::ids::UpstreamName;
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Failures in a row after which an upstream is ejected.
pub const FAILURES_IN_ROW: u32 = 5;
/// Time of a first ejection; every further one in a row takes as much longer.
pub const BASE_EJECTION: Duration = Duration::from_secs(10);
/// Time without a failure after which the share of failures counts half.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of the latest attempt in the share of failures.
const FAILING_GAIN: f64 = 0.2;
const LONGEST_EJECTION: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug, Default)]
struct OutlierRecord {
    failures: u32,
    failing: f64,
    failed_at: Timestamp,
    ejections: u32,
    until: Option<Timestamp>,
}

impl OutlierRecord {
    fn is_out(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Ejects outliers of one pool.
#[derive(Clone, Debug)]
pub struct OutlierEjection {
    share: f64,
    base: Duration,
    records: BTreeMap<UpstreamName, OutlierRecord>,
}

impl OutlierEjection {
    /// Ejects at most `share` of the pool at once, and always leaves one upstream.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, base: BASE_EJECTION, records: BTreeMap::new() }
    }

    /// Sets the time of a first ejection.
    #[must_use]
    pub const fn with_base(mut self, base: Duration) -> Self {
        self.base = base;
        self
    }

    /// Changes the share, as when the catalog changes.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Keeps records of these upstreams only and makes missing ones.
    pub fn set_pool<'a>(&mut self, names: impl Iterator<Item = &'a UpstreamName>) {
        let mut old = std::mem::take(&mut self.records);
        let kept = names.map(|name| (name.clone(), old.remove(name).unwrap_or_default()));
        self.records = kept.collect();
    }

    /// Notes that an upstream answered.
    pub fn record_success(&mut self, upstream: &UpstreamName) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.failures = 0;
            record.failing -= record.failing * FAILING_GAIN;
            record.ejections = record.ejections.saturating_sub(u32::from(record.until.is_some()));
            record.until = None;
        }
    }

    /// Notes that an upstream failed; `true` when it is ejected for that.
    pub fn record_failure(&mut self, upstream: &UpstreamName, now: Timestamp) -> bool {
        self.record_failures(upstream, 1, now)
    }

    /// Notes a failure that says as much as `weight` of them, as a connection that is never
    /// opened does; `true` when the upstream is ejected for that.
    pub fn record_failures(
        &mut self,
        upstream: &UpstreamName,
        weight: u32,
        now: Timestamp,
    ) -> bool {
        let room = self.ejected(now) < self.most();
        let Some(record) = self.records.get_mut(upstream) else { return false };
        record.failures = record.failures.saturating_add(weight);
        record.failing += (1.0 - record.failing) * FAILING_GAIN;
        record.failed_at = now;
        if record.is_out(now) || record.failures < FAILURES_IN_ROW || !room {
            return false;
        }
        record.ejections += 1;
        let span = self.base.saturating_mul(record.ejections).min(LONGEST_EJECTION);
        record.until = Some(now + span);
        // One failure after coming back is enough to eject again.
        record.failures = FAILURES_IN_ROW - 1;
        true
    }

    /// Whether an upstream is ejected now.
    #[must_use]
    pub fn is_ejected(&self, upstream: &UpstreamName, now: Timestamp) -> bool {
        self.records.get(upstream).is_some_and(|record| record.is_out(now))
    }

    /// Whether an upstream is back from an ejection and has not answered since: it gets one
    /// request at a time until it does.
    #[must_use]
    pub fn is_half_open(&self, upstream: &UpstreamName, now: Timestamp) -> bool {
        self.records
            .get(upstream)
            .is_some_and(|record| record.until.is_some() && !record.is_out(now))
    }

    /// Share of an upstream's latest attempts that failed, from 0 to 1; it fades while none is
    /// made, so that an upstream that came back is tried again.
    #[must_use]
    pub fn failure_rate(&self, upstream: &UpstreamName, now: Timestamp) -> f64 {
        let Some(record) = self.records.get(upstream) else { return 0.0 };
        let halves = now.since(record.failed_at).as_secs_f64() / FAILING_HALF_LIFE.as_secs_f64();
        record.failing * 0.5f64.powf(halves)
    }

    /// Number of upstreams that are ejected now.
    #[must_use]
    pub fn ejected(&self, now: Timestamp) -> usize {
        self.records.values().filter(|record| record.is_out(now)).count()
    }

    fn most(&self) -> usize {
        let size = self.records.len();
        let share = (size as f64 * self.share) as usize;
        share.min(size.saturating_sub(1))
    }
}
