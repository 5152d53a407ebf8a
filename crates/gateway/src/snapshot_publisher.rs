//! Actor that owns the control cache and publishes its snapshots to requests.

use crate::control_cache::{ControlCache, ControlEvent, ControlSnapshot};
use crate::control_port::{Topic, TopicChange};
use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::message::{Context, Message};
use oleander_ports::clock::ClockPort;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of different reasons that are logged in one outage of a topic.
const MAX_REASONS: usize = 6;

/// The snapshot that requests read.
pub type SharedSnapshot = Arc<ArcSwap<ControlSnapshot>>;

/// A topic changed.
pub struct TopicChanged(pub Topic, pub TopicChange);
/// A topic cannot be followed, with the reason.
pub struct TopicUnavailable(pub Topic, pub String);
/// Triggers the removal of expired entries.
pub struct ExpiryDue;

/// Failures to follow a topic since it was last followed.
#[derive(Debug, Default)]
struct TopicOutage {
    failures: u32,
    /// The reasons that were logged.
    reasons: BTreeSet<String>,
}

/// Owns the control cache.
#[derive(Actor)]
pub struct SnapshotPublisher {
    cache: ControlCache,
    shared: SharedSnapshot,
    clock: Arc<dyn ClockPort>,
    outages: BTreeMap<Topic, TopicOutage>,
    on_change: ChangeHook,
}

/// Called with each new snapshot before requests see it.
pub type ChangeHook = Box<dyn Fn(&ControlSnapshot) + Send>;

impl SnapshotPublisher {
    /// Creates a publisher with an empty cache that publishes to `shared`.
    #[must_use]
    pub fn new(shared: SharedSnapshot, clock: Arc<dyn ClockPort>) -> Self {
        let on_change: ChangeHook = Box::new(|_| {});
        Self { cache: ControlCache::new(), shared, clock, outages: BTreeMap::new(), on_change }
    }

    /// Sets how long rows of an older copy of the store are held back that contradict what is known.
    #[must_use]
    pub fn with_hold_time(mut self, hold_time: Duration) -> Self {
        self.cache = self.cache.with_hold_time(hold_time);
        self
    }

    /// Sets the hook that is called with each new snapshot.
    #[must_use]
    pub fn with_change_hook(mut self, on_change: ChangeHook) -> Self {
        self.on_change = on_change;
        self
    }

    fn publish(&self, events: &[ControlEvent], reason: &str) {
        for event in events {
            log_event(event, reason);
        }
        let snapshot = self.cache.snapshot();
        (self.on_change)(&snapshot);
        self.shared.store(Arc::new(snapshot));
    }
}

impl Message<TopicChanged> for SnapshotPublisher {
    type Reply = ();

    async fn handle(
        &mut self,
        TopicChanged(topic, change): TopicChanged,
        _: &mut Context<Self, ()>,
    ) {
        if let Some(outage) = self.outages.remove(&topic) {
            log::info!(
                target: "dependency", topic:% = topic, cursor:% = change.cursor,
                failures = outage.failures;
                "store available again"
            );
        }
        let events = self.cache.apply(topic, &change, self.clock.now());
        if !events.is_empty() || change.is_full || !change.rows.is_empty() {
            self.publish(&events, &format!("{topic} at {}", change.cursor));
        }
    }
}

impl Message<TopicUnavailable> for SnapshotPublisher {
    type Reply = ();

    async fn handle(
        &mut self,
        TopicUnavailable(topic, reason): TopicUnavailable,
        _: &mut Context<Self, ()>,
    ) {
        self.cache.mark_unavailable(topic);
        let outage = self.outages.entry(topic).or_default();
        outage.failures += 1;
        let is_first = outage.failures == 1;
        if outage.reasons.len() >= MAX_REASONS || !outage.reasons.insert(reason.clone()) {
            return;
        }
        let text = if is_first { "store unavailable" } else { "store still unavailable" };
        log::warn!(
            target: "dependency", topic:% = topic, reason:% = reason, failures = outage.failures;
            "{text}"
        );
    }
}

impl Message<ExpiryDue> for SnapshotPublisher {
    type Reply = ();

    async fn handle(&mut self, _: ExpiryDue, _: &mut Context<Self, ()>) {
        let events = self.cache.expire(self.clock.now());
        if !events.is_empty() {
            self.publish(&events, "grace period of expired entries ended");
        }
    }
}

fn log_event(event: &ControlEvent, source: &str) {
    match event {
        ControlEvent::Configuration(version) => {
            log::info!(target: "belief", version, source; "configuration in force");
        }
        ControlEvent::UpstreamAdded(name) => {
            log::info!(target: "belief", upstream:% = name, source; "upstream accepts work");
        }
        ControlEvent::UpstreamRemoved(name, reason) => {
            log::info!(
                target: "belief", upstream:% = name, reason, source;
                "upstream accepts no new work"
            );
        }
        ControlEvent::UpstreamHeld(name) => {
            log::info!(
                target: "belief", upstream:% = name, source;
                "upstream left before and is held back"
            );
        }
        ControlEvent::Evacuated(domain) => {
            log::info!(target: "belief", domain:% = domain, source; "failure domain is evacuated");
        }
        ControlEvent::EvacuationEnded(domain) => {
            log::info!(target: "belief", domain:% = domain, source; "evacuation ended");
        }
        ControlEvent::Restored(topic, era) => {
            log::warn!(
                target: "belief", topic:% = topic, era:%, source;
                "topic read again after the store came back from an older copy"
            );
        }
        ControlEvent::Rollout(text) => {
            log::info!(target: "belief", rollout:% = text, source; "rollout changed");
        }
        ControlEvent::Skipped(key, reason) => {
            log::warn!(
                target: "belief", key:% = key, reason:% = reason, source;
                "unusable row skipped"
            );
        }
        ControlEvent::Stale(topic) => {
            log::warn!(target: "belief", topic:% = topic, source; "stale answer ignored");
        }
    }
}
