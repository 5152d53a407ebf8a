//! Temporary ejection of upstreams that fail more than others, but never of a whole pool.

use crate::ids::UpstreamName;
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Consecutive failures after which an upstream is ejected.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Duration of a first ejection. Each further one in a row is longer by the same amount.
pub const BASE_EJECTION: Duration = Duration::from_secs(10);
/// Time without a failure after which the failure rate counts half.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of the latest attempt in the failure rate.
const FAILURE_RATE_GAIN: f64 = 0.2;
const MAX_EJECTION: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug, Default)]
struct OutlierRecord {
    consecutive_failures: u32,
    failure_rate: f64,
    failed_at: Timestamp,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

impl OutlierRecord {
    fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}

/// Outlier ejection for the upstreams of one pool.
#[derive(Clone, Debug)]
pub struct OutlierEjection {
    max_share: f64,
    base_duration: Duration,
    records: BTreeMap<UpstreamName, OutlierRecord>,
}

impl OutlierEjection {
    /// Ejects at most `max_share` of the pool at once, and always leaves one upstream.
    #[must_use]
    pub const fn new(max_share: f64) -> Self {
        Self { max_share, base_duration: BASE_EJECTION, records: BTreeMap::new() }
    }

    /// Sets the duration of a first ejection.
    #[must_use]
    pub const fn with_base(mut self, base_duration: Duration) -> Self {
        self.base_duration = base_duration;
        self
    }

    /// Updates the largest share of the pool that may be ejected, e.g. after a catalog change.
    pub const fn set_share(&mut self, max_share: f64) {
        self.max_share = max_share;
    }

    /// Replaces the pool: drops the records of other upstreams and adds missing ones.
    pub fn set_pool<'a>(&mut self, names: impl Iterator<Item = &'a UpstreamName>) {
        let mut old = std::mem::take(&mut self.records);
        let kept = names.map(|name| (name.clone(), old.remove(name).unwrap_or_default()));
        self.records = kept.collect();
    }

    /// Records that an upstream answered.
    pub fn record_success(&mut self, upstream: &UpstreamName) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.consecutive_failures = 0;
            record.failure_rate -= record.failure_rate * FAILURE_RATE_GAIN;
            record.ejections =
                record.ejections.saturating_sub(u32::from(record.ejected_until.is_some()));
            record.ejected_until = None;
        }
    }

    /// Records a failure of an upstream; `true` when that ejects it.
    pub fn record_failure(&mut self, upstream: &UpstreamName, now: Timestamp) -> bool {
        self.record_failures(upstream, 1, now)
    }

    /// Records a failure that counts as `weight` failures, e.g. a connection that could not be
    /// established; `true` when that ejects the upstream.
    pub fn record_failures(
        &mut self,
        upstream: &UpstreamName,
        weight: u32,
        now: Timestamp,
    ) -> bool {
        let may_eject = self.ejected(now) < self.max_ejected();
        let Some(record) = self.records.get_mut(upstream) else { return false };
        record.consecutive_failures = record.consecutive_failures.saturating_add(weight);
        record.failure_rate += (1.0 - record.failure_rate) * FAILURE_RATE_GAIN;
        record.failed_at = now;
        if record.is_ejected(now)
            || record.consecutive_failures < MAX_CONSECUTIVE_FAILURES
            || !may_eject
        {
            return false;
        }
        record.ejections += 1;
        let duration = self.base_duration.saturating_mul(record.ejections).min(MAX_EJECTION);
        record.ejected_until = Some(now + duration);
        // A single failure after the ejection ends is enough to eject the upstream again.
        record.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
        true
    }

    /// Whether an upstream is currently ejected.
    #[must_use]
    pub fn is_ejected(&self, upstream: &UpstreamName, now: Timestamp) -> bool {
        self.records.get(upstream).is_some_and(|record| record.is_ejected(now))
    }

    /// Whether the ejection of an upstream has ended and it has not answered since. It gets one
    /// request at a time until it answers.
    #[must_use]
    pub fn is_half_open(&self, upstream: &UpstreamName, now: Timestamp) -> bool {
        self.records
            .get(upstream)
            .is_some_and(|record| record.ejected_until.is_some() && !record.is_ejected(now))
    }

    /// Share of an upstream's latest attempts that failed, from 0 to 1. It decays with the
    /// time since the last failure, so that an upstream that has recovered is tried again.
    #[must_use]
    pub fn failure_rate(&self, upstream: &UpstreamName, now: Timestamp) -> f64 {
        let Some(record) = self.records.get(upstream) else { return 0.0 };
        let half_lives =
            now.since(record.failed_at).as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        record.failure_rate * 0.5f64.powf(half_lives)
    }

    /// Number of upstreams that are currently ejected.
    #[must_use]
    pub fn ejected(&self, now: Timestamp) -> usize {
        self.records.values().filter(|record| record.is_ejected(now)).count()
    }

    fn max_ejected(&self) -> usize {
        let size = self.records.len();
        let count = (size as f64 * self.max_share) as usize;
        count.min(size.saturating_sub(1))
    }
}
