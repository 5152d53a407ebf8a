//! The actor that owns the beliefs and publishes a picture of them for requests.

use crate::beliefs::{BeliefBook, BeliefNote, Beliefs};
use crate::control_port::{Topic, TopicChange};
use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::message::{Context, Message};
use oleander_ports::clock::ClockPort;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The picture that requests read.
pub type SharedBeliefs = Arc<ArcSwap<Beliefs>>;

/// A topic changed.
pub struct TopicChanged(pub Topic, pub TopicChange);
/// A topic cannot be followed now, for the stated reason.
pub struct TopicLost(pub Topic, pub String);
/// Looks at what is due.
pub struct ExpiryDue;

/// Owns the beliefs.
#[derive(Actor)]
pub struct BeliefKeeper {
    book: BeliefBook,
    shared: SharedBeliefs,
    clock: Arc<dyn ClockPort>,
    lost: BTreeMap<Topic, bool>,
    on_change: ChangeHook,
}

/// Called with each new picture, before requests see it.
pub type ChangeHook = Box<dyn Fn(&Beliefs) + Send>;

impl BeliefKeeper {
    /// A keeper that knows nothing and publishes to `shared`.
    #[must_use]
    pub fn new(shared: SharedBeliefs, clock: Arc<dyn ClockPort>) -> Self {
        let on_change: ChangeHook = Box::new(|_| {});
        Self { book: BeliefBook::new(), shared, clock, lost: BTreeMap::new(), on_change }
    }

    /// Sets what is called with each new picture.
    #[must_use]
    pub fn with_change_hook(mut self, on_change: ChangeHook) -> Self {
        self.on_change = on_change;
        self
    }

    fn publish(&self, notes: &[BeliefNote], reason: &str) {
        for note in notes {
            log_note(note, reason);
        }
        let beliefs = self.book.beliefs();
        (self.on_change)(&beliefs);
        self.shared.store(Arc::new(beliefs));
    }
}

impl Message<TopicChanged> for BeliefKeeper {
    type Reply = ();

    async fn handle(
        &mut self,
        TopicChanged(topic, change): TopicChanged,
        _: &mut Context<Self, ()>,
    ) {
        if self.lost.insert(topic, false) == Some(true) {
            log::info!(target: "dependency", topic:% = topic, cursor = change.cursor; "store regained");
        }
        let notes = self.book.take(topic, &change, self.clock.now());
        if !notes.is_empty() || change.whole || !change.rows.is_empty() {
            self.publish(&notes, &format!("{topic} at {}", change.cursor));
        }
    }
}

impl Message<TopicLost> for BeliefKeeper {
    type Reply = ();

    async fn handle(&mut self, TopicLost(topic, reason): TopicLost, _: &mut Context<Self, ()>) {
        self.book.note_lost(topic);
        if self.lost.insert(topic, true) != Some(true) {
            log::warn!(target: "dependency", topic:% = topic, reason:% = reason; "store lost");
        }
    }
}

impl Message<ExpiryDue> for BeliefKeeper {
    type Reply = ();

    async fn handle(&mut self, _: ExpiryDue, _: &mut Context<Self, ()>) {
        let notes = self.book.expire(self.clock.now());
        if !notes.is_empty() {
            self.publish(&notes, "grace after the store's return is over");
        }
    }
}

fn log_note(note: &BeliefNote, source: &str) {
    match note {
        BeliefNote::Configuration(version) => {
            log::info!(target: "belief", version, source; "configuration in force");
        }
        BeliefNote::UpstreamAdded(name) => {
            log::info!(target: "belief", upstream:% = name, source; "upstream takes work");
        }
        BeliefNote::UpstreamLeft(name, reason) => {
            log::info!(target: "belief", upstream:% = name, reason, source; "upstream takes none");
        }
        BeliefNote::Rollout(text) => {
            log::info!(target: "belief", rollout:% = text, source; "roll-out changed");
        }
        BeliefNote::Skipped(key, reason) => {
            log::warn!(target: "belief", key:% = key, reason:% = reason, source; "row skipped");
        }
        BeliefNote::Stale(topic) => {
            log::warn!(target: "belief", topic:% = topic, source; "stale answer left out");
        }
    }
}
