//! Local cache of the control plane's state: configuration, upstreams and rollouts.
//!
//! [`ControlCache`] applies changes from the store and produces [`ControlSnapshot`], an immutable
//! view for requests. State never moves backwards: each key keeps its latest revision, and the
//! configuration its highest version. While the store was unavailable it may have expired entries
//! of live upstreams; such entries are kept for a grace period after it returns. When the store
//! comes back from an older copy, rows of that copy do not undo what is known already.

use crate::control_port::{Topic, TopicChange, TopicRow, TopicValue};
use crate::evacuation_records::EvacuationRecords;
use crate::rollout_beliefs::RolloutBeliefs;
use crate::rollout_plan::{RolloutDecision, RolloutOrder, RolloutPhase, VersionRule, version_rule};
use crate::routes::RouteTable;
use crate::upstream_entry::UpstreamEntry;
use crate::upstream_records::UpstreamRecords;
use oleander_core::ids::{DomainName, ServiceName};
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after the store's return in which expired entries are registered again, as specified by the
/// platform.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(2_000);

/// Time within which a store answers that does not wait for a change; sixty times its usual time.
const PROMPT_ANSWER: Duration = Duration::from_millis(240);

/// Immutable view that requests use; every change produces a new one.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// Configuration in force, if known.
    pub routes: Option<Arc<RouteTable>>,
    /// Upstreams that accept new work, by service; without those of withdrawn versions and in evacuated
    /// failure domains.
    pub upstreams: BTreeMap<ServiceName, Vec<Arc<UpstreamEntry>>>,
    /// Evacuated failure domains, with the revisions of their orders.
    pub evacuated: BTreeMap<DomainName, StoreRevision>,
    /// Rollouts, by service.
    pub rollouts: BTreeMap<ServiceName, RolloutState>,
    /// Whether every topic has been read since the process started.
    pub complete: bool,
    /// Latest row revision applied, by topic.
    pub revisions: BTreeMap<Topic, StoreRevision>,
    /// Revision up to which each topic is complete; at least the value in `revisions`.
    pub cursors: BTreeMap<Topic, StoreRevision>,
    /// When a topic was first read after the store came back from an older copy.
    pub restored_at: Option<Timestamp>,
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
    /// Whether the store has the decision; it may have come back from an older copy without it.
    pub is_saved: bool,
    /// Whether the store has a decision on a later order, which this host has not read yet.
    pub is_superseded: bool,
    /// Revision of the decision's row in the store; version 0 when there is none.
    pub decision_row: StoreRevision,
    /// Earliest time at which the order may have been given, on the store's monotonic clock.
    pub ordered_at: Timestamp,
    /// Versions that earlier orders asked for and that did not come into use; latest last.
    pub withdrawn: Vec<Arc<str>>,
    /// Versions of orders that were replaced before they were over. They are used only where there
    /// is no other until the first decision on this order withdraws them.
    pub replaced: Vec<Arc<str>>,
}

impl RolloutState {
    /// Identifies the rollout; stays the same when the order is written again in a later era.
    #[must_use]
    pub fn id(&self) -> StoreRevision {
        self.decision.as_ref().map_or(self.order.revision, |decision| decision.order)
    }

    /// Whether this host knows a decision that the store has lost.
    #[must_use]
    pub const fn is_unsaved(&self) -> bool {
        self.decision.is_some() && !self.is_saved
    }
}

impl ControlSnapshot {
    /// Versions that a request of a session may use at the local time `now`. `last_version` is the
    /// version that the session used most recently, if known.
    #[must_use]
    pub fn version_rule(
        &self,
        service: &ServiceName,
        session: &str,
        last_version: Option<&str>,
        now: Timestamp,
    ) -> VersionRule {
        let Some(rollout) = self.rollouts.get(service) else { return VersionRule::Any };
        let (decision, now) = (rollout.decision.as_ref(), self.store_time(now));
        version_rule(&rollout.order, decision, session, last_version, now)
    }

    /// Whether a version is ordered for a service and has not come into use.
    #[must_use]
    pub fn is_candidate(&self, service: &ServiceName, version: &str) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| {
            let phase = rollout.decision.as_ref().map(|decision| decision.phase);
            *rollout.order.to == *version && phase != Some(RolloutPhase::Done)
        })
    }

    /// Whether a rollout is ordered and not over.
    #[must_use]
    pub fn has_open_rollout(&self) -> bool {
        let is_over = |rollout: &RolloutState| {
            rollout.decision.as_ref().is_some_and(|decision| decision.phase.is_over())
        };
        self.rollouts.values().any(|rollout| !is_over(rollout))
    }

    /// Latest era of the store of which a topic was read.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.cursors.values().map(|cursor| cursor.era).max().unwrap_or_default()
    }

    /// Whether decisions on rollouts may change, or have not been read in the latest era.
    #[must_use]
    pub fn needs_decisions(&self) -> bool {
        let cursor = self.cursors.get(&Topic::Decisions);
        self.has_open_rollout()
            || self.rollouts.values().any(RolloutState::is_unsaved)
            || cursor.is_none_or(|cursor| cursor.era < self.era())
    }

    /// Converts a local time to the store's monotonic clock.
    #[must_use]
    pub fn store_time(&self, now: Timestamp) -> Timestamp {
        Timestamp::from_millis(now.as_millis().saturating_add_signed(self.store_offset_ms))
    }
}

/// State of a topic.
#[derive(Clone, Copy, Debug, Default)]
struct TopicStatus {
    cursor: StoreRevision,
    /// The store's monotonic clock at the last answer.
    store_now: Timestamp,
    /// When the last answer came.
    heard_at: Timestamp,
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
    /// A failure domain is evacuated.
    Evacuated(DomainName),
    /// The evacuation of a failure domain ended.
    EvacuationEnded(DomainName),
    /// An entry lists an upstream that has left and is held back.
    UpstreamHeld(Arc<str>),
    /// A topic was read after the store came back from an older copy, which began this era.
    Restored(Topic, StoreEra),
    /// A row could not be used, with the reason.
    Skipped(Arc<str>, Arc<str>),
    /// An answer was older than the known state and was ignored.
    Stale(Topic),
}

/// Applies changes of the store's topics and builds snapshots.
#[derive(Debug, Default)]
pub struct ControlCache {
    routes: Option<Arc<RouteTable>>,
    rows: BTreeMap<(Topic, Arc<str>), StoreRevision>,
    upstreams: UpstreamRecords,
    rollouts: RolloutBeliefs,
    evacuations: EvacuationRecords,
    topics: BTreeMap<Topic, TopicStatus>,
    store_offset_ms: i64,
    /// How long rows of an older copy are held back that contradict what is known.
    hold_time: Duration,
    restored_at: Option<Timestamp>,
}

/// Circumstances of a change that its rows are applied under.
#[derive(Clone, Copy, Debug)]
struct ChangeContext {
    topic: Topic,
    era: StoreEra,
    /// Earliest time at which the rows may have been written, on the store's monotonic clock.
    written_at: Timestamp,
    /// Until when rows are held back that contradict what is known, if the change is the first full
    /// read after the store came back from an older copy.
    held_until: Option<Timestamp>,
    now: Timestamp,
}

impl ControlCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long after its return from an older copy rows of the store are held back that
    /// contradict what is known: the time in which operators and upstreams write their rows again
    /// and the platform expires the entries of those that are gone.
    #[must_use]
    pub const fn with_hold_time(mut self, hold_time: Duration) -> Self {
        self.hold_time = hold_time;
        self
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
        let is_new_era = status.loaded && change.cursor.era > status.cursor.era;
        // A feed that goes on across eras may lack rows, so a topic enters an era by a full read.
        if change.cursor < status.cursor || (is_new_era && !change.is_full) {
            return vec![ControlEvent::Stale(topic)];
        }
        let context = ChangeContext {
            topic,
            era: change.cursor.era,
            written_at: written_at(status, change),
            held_until: is_new_era.then(|| now + self.hold_time),
            now,
        };
        status.cursor = change.cursor;
        status.store_now = change.store_now;
        status.heard_at = now;
        status.loaded |= change.is_full;
        if status.unavailable || is_new_era {
            status.unavailable = false;
            status.available_since = Some(now);
        }
        self.store_offset_ms = change.store_now.as_millis() as i64 - now.as_millis() as i64;
        let mut events = Vec::new();
        if is_new_era {
            self.restored_at = Some(now);
            events.push(ControlEvent::Restored(topic, change.cursor.era));
        }
        for row in &change.rows {
            self.apply_row(&context, row, &mut events);
        }
        if change.is_full {
            self.remove_missing(&context, change, &mut events);
        }
        events
    }

    fn apply_row(
        &mut self,
        context: &ChangeContext,
        row: &TopicRow,
        events: &mut Vec<ControlEvent>,
    ) {
        let revision = StoreRevision::new(context.era, row.version);
        let known = self.rows.entry((context.topic, Arc::clone(&row.key))).or_default();
        if revision <= *known {
            return;
        }
        *known = revision;
        let key = &row.key;
        match &row.value {
            TopicValue::Routes(table) => self.apply_routes(table, events),
            TopicValue::Rollout(order) => {
                let (at, held) = (context.written_at, context.held_until);
                self.rollouts.apply_order(key, order, at, held, events);
            }
            TopicValue::Evacuation(domain) => {
                self.evacuations.apply(key, domain, revision, events);
            }
            TopicValue::Upstream(entry) => match context.held_until {
                Some(held) => self.upstreams.apply_restored(key, entry, revision, held, events),
                None => self.upstreams.apply(key, entry, revision, events),
            },
            TopicValue::Decision(decision) => {
                self.rollouts.apply_decision(key, decision, revision, events);
            }
            TopicValue::Unreadable(reason) => {
                events.push(ControlEvent::Skipped(Arc::clone(key), Arc::clone(reason)));
                self.remove_row(context.topic, key, None, events);
            }
            TopicValue::Removed => {
                let grace = self.grace_end(context.topic, context.now);
                self.remove_row(context.topic, key, grace, events);
            }
        }
    }

    fn apply_routes(&mut self, table: &Arc<RouteTable>, events: &mut Vec<ControlEvent>) {
        let newer = self.routes.as_ref().is_none_or(|known| table.version() > known.version());
        if newer {
            events.push(ControlEvent::Configuration(table.version()));
            self.routes = Some(Arc::clone(table));
        }
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
            Topic::Upstreams => self.upstreams.remove(key, grace, events),
            Topic::Orders => {
                self.evacuations.remove(key, events);
                self.rollouts.remove_order(key);
            }
            Topic::Decisions => self.rollouts.remove_decision(key),
        }
    }

    /// Removes rows that are missing in a full read: they were removed while the topic was not
    /// followed. An older copy may lack rows that were not removed: operators write orders again,
    /// and hosts their decisions.
    fn remove_missing(
        &mut self,
        context: &ChangeContext,
        change: &TopicChange,
        events: &mut Vec<ControlEvent>,
    ) {
        let topic = context.topic;
        let present: HashSet<&str> = change.rows.iter().map(|row| &*row.key).collect();
        let missing = |key: &&Arc<str>| !present.contains(&***key);
        let keys: Vec<Arc<str>> = match topic {
            Topic::Upstreams => self.upstreams.keys().filter(missing).cloned().collect(),
            Topic::Orders => {
                let keys = self.rollouts.order_keys().chain(self.evacuations.keys());
                keys.filter(missing).cloned().collect()
            }
            Topic::Decisions => self.rollouts.decision_keys().filter(missing).cloned().collect(),
        };
        let grace = self.grace_end(topic, context.now);
        for key in keys {
            // A row with a version after the cursor was written after the read, so it still exists.
            let known = self.rows.get(&(topic, Arc::clone(&key))).copied().unwrap_or_default();
            if known > change.cursor {
                continue;
            }
            match (topic, context.held_until) {
                (Topic::Orders, Some(held_until)) => self.evacuations.hold(&key, held_until),
                (Topic::Decisions, Some(_)) => self.rollouts.mark_lost(&key, context.era, events),
                _ => self.remove_row(topic, &key, grace, events),
            }
        }
    }

    /// Ends grace periods and puts rows into force that were held back long enough and were still
    /// there at the last answer; returns the events to log.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ControlEvent> {
        let heard_at = |topic| self.topics.get(&topic).map(|status: &TopicStatus| status.heard_at);
        let (upstreams, orders) = (heard_at(Topic::Upstreams), heard_at(Topic::Orders));
        let mut events = self.upstreams.expire(now, upstreams.unwrap_or_default());
        let offset = self.store_offset_ms;
        let store_now = Timestamp::from_millis(now.as_millis().saturating_add_signed(offset));
        events.extend(self.evacuations.expire(now));
        events.extend(self.rollouts.release_held(orders.unwrap_or_default(), store_now));
        events
    }

    /// Builds the snapshot for requests.
    #[must_use]
    pub fn snapshot(&self) -> ControlSnapshot {
        let rollouts = self.rollouts.rollouts();
        let mut upstreams: BTreeMap<ServiceName, Vec<Arc<UpstreamEntry>>> = BTreeMap::new();
        let evacuated = self.evacuations.domains();
        let usable = self.upstreams.ready().filter(|entry| !evacuated.contains_key(&entry.domain));
        for entry in usable {
            upstreams.entry(entry.service.clone()).or_default().push(Arc::clone(entry));
        }
        for (service, rollout) in &rollouts {
            upstreams.get_mut(service).into_iter().for_each(|entries| withdraw(entries, rollout));
        }
        for decision in self.rollouts.decisions_without_order() {
            if decision.phase == RolloutPhase::Reverted {
                let entries = upstreams.get_mut(&decision.service).into_iter();
                entries.for_each(|entries| entries.retain(|entry| entry.version != decision.to));
            }
        }
        let is_loaded = |topic: &Topic| self.topics.get(topic).is_some_and(|status| status.loaded);
        ControlSnapshot {
            routes: self.routes.clone(),
            upstreams,
            evacuated,
            rollouts,
            complete: Topic::ALL.iter().all(is_loaded) && self.routes.is_some(),
            revisions: self.revisions(),
            cursors: self.topics.iter().map(|(topic, status)| (*topic, status.cursor)).collect(),
            restored_at: self.restored_at,
            store_offset_ms: self.store_offset_ms,
        }
    }

    fn revisions(&self) -> BTreeMap<Topic, StoreRevision> {
        let mut revisions = BTreeMap::new();
        for ((topic, _), revision) in &self.rows {
            let highest: &mut StoreRevision = revisions.entry(*topic).or_default();
            *highest = (*revision).max(*highest);
        }
        revisions
    }
}

/// Earliest time at which the rows of a change may have been written, on the store's monotonic
/// clock. Rows that the store had when it was asked were written at any time since its last answer,
/// when this host was pausing; others were written just now.
fn written_at(status: &TopicStatus, change: &TopicChange) -> Timestamp {
    let had_rows = change.waited < PROMPT_ANSWER;
    if status.loaded && !change.is_full && had_rows {
        status.store_now.min(change.store_now)
    } else {
        change.store_now
    }
}

/// Removes upstreams of versions that did not come into use.
fn withdraw(entries: &mut Vec<Arc<UpstreamEntry>>, rollout: &RolloutState) {
    entries.retain(|entry| !rollout.withdrawn.contains(&entry.version));
    let is_replaced = |entry: &Arc<UpstreamEntry>| rollout.replaced.contains(&entry.version);
    if entries.iter().any(|entry| !is_replaced(entry) && entry.version != rollout.order.to) {
        entries.retain(|entry| !is_replaced(entry));
    }
}
