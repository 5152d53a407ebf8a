//! Local cache of the control plane's state: configuration, upstreams and rollouts.
//!
//! [`ControlCache`] applies changes from the store and produces [`ControlSnapshot`], an immutable
//! view for requests. State never moves backwards: each key keeps its highest row version, and the
//! configuration its highest version. While the store was unavailable it may have expired entries
//! of live upstreams; such entries are kept for a grace period after it returns.

use crate::control_port::{Topic, TopicChange, TopicRow, TopicValue};
use crate::rollout_plan::{RolloutDecision, RolloutOrder, VersionRule, version_rule};
use crate::routes::RouteTable;
use crate::upstream_entry::{UpstreamEntry, UpstreamState};
use oleander_core::ids::ServiceName;
use oleander_core::units::Timestamp;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after the store's return in which expired entries are registered again, as specified by the
/// platform.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(2_000);

/// Immutable view that requests use; every change produces a new one.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// Configuration in force, if known.
    pub routes: Option<Arc<RouteTable>>,
    /// Upstreams that accept new work, by service.
    pub upstreams: BTreeMap<ServiceName, Vec<Arc<UpstreamEntry>>>,
    /// Rollouts, by service.
    pub rollouts: BTreeMap<ServiceName, RolloutState>,
    /// Whether every topic has been read since the process started.
    pub complete: bool,
    /// Highest row version applied, by topic.
    pub versions: BTreeMap<Topic, u64>,
    /// Version up to which each topic is complete; at least the value in `versions`.
    pub cursors: BTreeMap<Topic, u64>,
    /// Offset of the store's monotonic clock from this process's clock, in milliseconds.
    pub store_offset_ms: i64,
}

/// The newest rollout of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutState {
    /// The order.
    pub order: RolloutOrder,
    /// The decision on it, if any.
    pub decision: Option<RolloutDecision>,
    /// Row version of the decision; 0 when there is none.
    pub decision_version: u64,
    /// When this process first saw the order, on the store's monotonic clock.
    pub ordered_at: Timestamp,
}

impl ControlSnapshot {
    /// Versions that a request of a session may use. `last_version` is the version that the session
    /// used most recently, if known.
    #[must_use]
    pub fn version_rule(
        &self,
        service: &ServiceName,
        session: &str,
        last_version: Option<&str>,
    ) -> VersionRule {
        let Some(rollout) = self.rollouts.get(service) else { return VersionRule::Any };
        version_rule(&rollout.order, rollout.decision.as_ref(), session, last_version)
    }

    /// Whether a rollout is ordered and not over.
    #[must_use]
    pub fn has_open_rollout(&self) -> bool {
        let is_over = |rollout: &RolloutState| {
            rollout.decision.as_ref().is_some_and(|decision| decision.phase.is_over())
        };
        self.rollouts.values().any(|rollout| !is_over(rollout))
    }

    /// Converts a local time to the store's monotonic clock.
    #[must_use]
    pub fn store_time(&self, now: Timestamp) -> Timestamp {
        Timestamp::from_millis(now.as_millis().saturating_add_signed(self.store_offset_ms))
    }
}

#[derive(Clone, Debug)]
struct UpstreamRecord {
    entry: Arc<UpstreamEntry>,
    version: u64,
    /// End of the grace period of an entry that expired while the store was unavailable.
    expires_at: Option<Timestamp>,
}

/// State of a topic.
#[derive(Clone, Copy, Debug, Default)]
struct TopicStatus {
    cursor: u64,
    loaded: bool,
    unavailable: bool,
    available_since: Option<Timestamp>,
}

/// A change that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// A configuration came into force.
    Configuration(u64),
    /// An upstream accepts new work.
    UpstreamAdded(Arc<str>),
    /// An upstream accepts no new work, with the reason.
    UpstreamRemoved(Arc<str>, &'static str),
    /// A rollout was ordered or decided on.
    Rollout(Arc<str>),
    /// A row could not be used, with the reason.
    Skipped(Arc<str>, Arc<str>),
    /// An answer was older than the known state and was ignored.
    Stale(Topic),
}

/// Applies changes of the store's topics and builds snapshots.
#[derive(Debug, Default)]
pub struct ControlCache {
    routes: Option<Arc<RouteTable>>,
    rows: BTreeMap<(Topic, Arc<str>), u64>,
    upstreams: BTreeMap<Arc<str>, UpstreamRecord>,
    orders: BTreeMap<Arc<str>, (RolloutOrder, Timestamp)>,
    decisions: BTreeMap<Arc<str>, (u64, RolloutDecision)>,
    topics: BTreeMap<Topic, TopicStatus>,
    store_offset_ms: i64,
}

impl ControlCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a topic cannot be followed.
    pub fn mark_unavailable(&mut self, topic: Topic) {
        self.topics.entry(topic).or_default().unavailable = true;
    }

    /// Applies a change of a topic; returns the events to log.
    pub fn apply(
        &mut self,
        topic: Topic,
        change: &TopicChange,
        now: Timestamp,
    ) -> Vec<ControlEvent> {
        let status = self.topics.entry(topic).or_default();
        if change.cursor < status.cursor {
            return vec![ControlEvent::Stale(topic)];
        }
        status.cursor = change.cursor;
        status.loaded |= change.is_full;
        if status.unavailable {
            status.unavailable = false;
            status.available_since = Some(now);
        }
        self.store_offset_ms = change.store_now.as_millis() as i64 - now.as_millis() as i64;
        let mut events = Vec::new();
        for row in &change.rows {
            self.apply_row(topic, row, now, &mut events);
        }
        if change.is_full {
            self.remove_missing(topic, change, now, &mut events);
        }
        events
    }

    fn apply_row(
        &mut self,
        topic: Topic,
        row: &TopicRow,
        now: Timestamp,
        events: &mut Vec<ControlEvent>,
    ) {
        let known = self.rows.entry((topic, Arc::clone(&row.key))).or_default();
        if row.version <= *known {
            return;
        }
        *known = row.version;
        match &row.value {
            TopicValue::Routes(table) => self.apply_routes(table, events),
            TopicValue::Rollout(order) => {
                let seen = self.store_time(now);
                self.orders.insert(Arc::clone(&row.key), (order.clone(), seen));
                events.push(ControlEvent::Rollout(
                    format!("{} to {} ordered", order.service, order.to).into(),
                ));
            }
            TopicValue::Upstream(entry) => self.apply_upstream(row, entry, events),
            TopicValue::Decision(decision) => {
                let text = format!("{} to {} {}", decision.service, decision.to, decision.phase);
                events.push(ControlEvent::Rollout(text.into()));
                self.decisions.insert(Arc::clone(&row.key), (row.version, decision.clone()));
            }
            TopicValue::Unreadable(reason) => {
                events.push(ControlEvent::Skipped(Arc::clone(&row.key), Arc::clone(reason)));
                self.remove_row(topic, &row.key, None, events);
            }
            TopicValue::Removed => {
                let grace = self.grace_end(topic, now);
                self.remove_row(topic, &row.key, grace, events);
            }
        }
    }

    fn store_time(&self, now: Timestamp) -> Timestamp {
        Timestamp::from_millis(now.as_millis().saturating_add_signed(self.store_offset_ms))
    }

    fn apply_routes(&mut self, table: &Arc<RouteTable>, events: &mut Vec<ControlEvent>) {
        let newer = self.routes.as_ref().is_none_or(|known| table.version() > known.version());
        if newer {
            events.push(ControlEvent::Configuration(table.version()));
            self.routes = Some(Arc::clone(table));
        }
    }

    fn apply_upstream(
        &mut self,
        row: &TopicRow,
        entry: &Arc<UpstreamEntry>,
        events: &mut Vec<ControlEvent>,
    ) {
        let previous_state = self.upstreams.get(&row.key).map(|record| record.entry.state);
        match (previous_state, entry.state) {
            (Some(UpstreamState::Ready), UpstreamState::Draining) => {
                events.push(ControlEvent::UpstreamRemoved(Arc::clone(&row.key), "draining"));
            }
            (None | Some(UpstreamState::Draining), UpstreamState::Ready) => {
                events.push(ControlEvent::UpstreamAdded(Arc::clone(&row.key)));
            }
            _ => {}
        }
        let record =
            UpstreamRecord { entry: Arc::clone(entry), version: row.version, expires_at: None };
        self.upstreams.insert(Arc::clone(&row.key), record);
    }

    /// End of the grace period for an entry that is removed now, if it may have expired while the
    /// store was unavailable.
    fn grace_end(&self, topic: Topic, now: Timestamp) -> Option<Timestamp> {
        let status = self.topics.get(&topic)?;
        let end = status.available_since? + EXPIRY_GRACE;
        (now < end).then_some(end)
    }

    fn remove_row(
        &mut self,
        topic: Topic,
        key: &Arc<str>,
        grace: Option<Timestamp>,
        events: &mut Vec<ControlEvent>,
    ) {
        match topic {
            Topic::Upstreams => {
                let Some(record) = self.upstreams.get_mut(key) else { return };
                if grace.is_some() && record.entry.state == UpstreamState::Ready {
                    record.expires_at = grace;
                    return;
                }
                self.upstreams.remove(key);
                events.push(ControlEvent::UpstreamRemoved(Arc::clone(key), "removed"));
            }
            Topic::Orders => {
                self.orders.remove(key);
            }
            Topic::Decisions => {
                self.decisions.remove(key);
            }
        }
    }

    /// Removes rows that are missing in a full read: they were removed while the topic was not
    /// followed.
    fn remove_missing(
        &mut self,
        topic: Topic,
        change: &TopicChange,
        now: Timestamp,
        events: &mut Vec<ControlEvent>,
    ) {
        let present: HashSet<&str> = change.rows.iter().map(|row| &*row.key).collect();
        let missing = |key: &Arc<str>| !present.contains(&**key);
        let keys: Vec<Arc<str>> = match topic {
            Topic::Upstreams => self.upstreams.keys().filter(|key| missing(key)).cloned().collect(),
            Topic::Orders => self.orders.keys().filter(|key| missing(key)).cloned().collect(),
            Topic::Decisions => self.decisions.keys().filter(|key| missing(key)).cloned().collect(),
        };
        let grace = self.grace_end(topic, now);
        for key in keys {
            // A row with a version after the cursor was written after the read, so it still exists.
            let known = self.rows.get(&(topic, Arc::clone(&key))).copied().unwrap_or(0);
            if known <= change.cursor {
                self.remove_row(topic, &key, grace, events);
            }
        }
    }

    /// Drops entries whose grace period is over; returns the events to log.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ControlEvent> {
        let is_expired = |record: &UpstreamRecord| record.expires_at.is_some_and(|end| now >= end);
        let expired: Vec<Arc<str>> = self
            .upstreams
            .iter()
            .filter(|(_, record)| is_expired(record))
            .map(|(key, _)| Arc::clone(key))
            .collect();
        for key in &expired {
            self.upstreams.remove(key);
        }
        expired.into_iter().map(|key| ControlEvent::UpstreamRemoved(key, "lapsed")).collect()
    }

    /// When [`ControlCache::expire`] next has an entry to drop.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.upstreams.values().filter_map(|record| record.expires_at).min()
    }

    /// Builds the snapshot for requests.
    #[must_use]
    pub fn snapshot(&self) -> ControlSnapshot {
        let mut upstreams: BTreeMap<ServiceName, Vec<Arc<UpstreamEntry>>> = BTreeMap::new();
        for record in newest_by_address(&self.upstreams) {
            let entry = &record.entry;
            if entry.state == UpstreamState::Ready {
                upstreams.entry(entry.service.clone()).or_default().push(Arc::clone(entry));
            }
        }
        let is_loaded = |topic: &Topic| self.topics.get(topic).is_some_and(|status| status.loaded);
        ControlSnapshot {
            routes: self.routes.clone(),
            upstreams,
            rollouts: self.rollouts(),
            complete: Topic::ALL.iter().all(is_loaded) && self.routes.is_some(),
            versions: self.versions(),
            cursors: self.topics.iter().map(|(topic, status)| (*topic, status.cursor)).collect(),
            store_offset_ms: self.store_offset_ms,
        }
    }

    fn versions(&self) -> BTreeMap<Topic, u64> {
        let mut versions = BTreeMap::new();
        for ((topic, _), version) in &self.rows {
            let highest = versions.entry(*topic).or_default();
            *highest = (*version).max(*highest);
        }
        versions
    }

    fn rollouts(&self) -> BTreeMap<ServiceName, RolloutState> {
        let rollout = |order: &RolloutOrder, ordered_at: Timestamp| {
            let found = self.decisions.values().find(|(_, found)| found.service == order.service);
            RolloutState {
                order: order.clone(),
                decision: found
                    .map(|(_, decision)| decision.clone())
                    .filter(|decision| decision.order == order.row_version),
                decision_version: found.map_or(0, |(version, _)| *version),
                ordered_at,
            }
        };
        let orders = self.orders.values();
        orders.map(|(order, seen)| (order.service.clone(), rollout(order, *seen))).collect()
    }
}

/// Records without those whose address was later reassigned to another upstream.
fn newest_by_address(records: &BTreeMap<Arc<str>, UpstreamRecord>) -> Vec<&UpstreamRecord> {
    let mut newest = BTreeMap::new();
    for record in records.values() {
        let slot = newest.entry(record.entry.address).or_insert(record);
        if record.version > slot.version {
            *slot = record;
        }
    }
    newest.into_values().collect()
}
