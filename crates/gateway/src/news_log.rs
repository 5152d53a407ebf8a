//! The rows of the store's topics as this host last read them, for other hosts that follow it.

use crate::control_port::{RawRow, Topic, TopicChange};
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of removed rows that are remembered, by topic. Hosts that are further behind get
/// the full topic.
const MAX_REMOVED: usize = 2_048;

/// Rows of one topic.
#[derive(Clone, Debug, Default)]
struct TopicLog {
    cursor: StoreRevision,
    is_loaded: bool,
    rows: BTreeMap<Arc<str>, RawRow>,
    /// Removed rows with a lower version are forgotten.
    complete_from: u64,
    /// When the store last answered, by this host's clock.
    confirmed_at: Timestamp,
    /// Since when the store could not be reached for this topic.
    unavailable_since: Option<Timestamp>,
}

/// What a host that follows this one gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewsPage {
    /// Whether `rows` is the complete topic.
    pub is_full: bool,
    /// Revision up to which the rows are complete.
    pub cursor: StoreRevision,
    /// Time since the store last answered this host, or the host that it follows.
    pub age: Duration,
    /// Whether this host cannot reach the store now.
    pub is_unavailable: bool,
    /// Rows in order of change.
    pub rows: Vec<RawRow>,
}

impl NewsPage {
    /// Whether the page says nothing that the asking host does not know.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty() && !self.is_full && !self.is_unavailable
    }
}

/// Rows of all topics.
#[derive(Clone, Debug, Default)]
pub struct NewsLog {
    topics: BTreeMap<Topic, TopicLog>,
}

impl NewsLog {
    /// An empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a change that this host read; `age` is how old it was already. Returns whether other
    /// hosts have to be told.
    pub fn record(
        &mut self,
        topic: Topic,
        change: &TopicChange,
        age: Duration,
        now: Timestamp,
    ) -> bool {
        let log = self.topics.entry(topic).or_default();
        let enters_era = change.cursor.era > log.cursor.era && log.is_loaded;
        if change.cursor < log.cursor || (enters_era && !change.is_full) {
            return false;
        }
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let confirmed_at = Timestamp::from_millis(now.as_millis().saturating_sub(age));
        log.confirmed_at = log.confirmed_at.max(confirmed_at);
        let was_unavailable = log.unavailable_since.take().is_some();
        if change.is_full {
            log.rows.clear();
            log.complete_from = change.cursor.version;
            log.is_loaded = true;
        }
        log.cursor = change.cursor;
        for row in &change.rows {
            log.rows.insert(Arc::clone(&row.raw.key), row.raw.clone());
        }
        log.forget_removed();
        !change.rows.is_empty() || change.is_full || was_unavailable
    }

    /// Records that the store cannot be reached. Returns whether this was not known.
    pub fn mark_unavailable(&mut self, topic: Topic, now: Timestamp) -> bool {
        let log = self.topics.entry(topic).or_default();
        let is_new = log.unavailable_since.is_none();
        log.unavailable_since.get_or_insert(now);
        is_new
    }

    /// What a host gets that knows a topic up to `since`; `None` until the topic was read.
    #[must_use]
    pub fn page(
        &self,
        topic: Topic,
        since: Option<StoreRevision>,
        now: Timestamp,
    ) -> Option<NewsPage> {
        let log = self.topics.get(&topic).filter(|log| log.is_loaded)?;
        let knows_topic = since.is_some();
        let since = since.unwrap_or_default();
        let is_same_era = since.era == log.cursor.era;
        let has_changes = knows_topic && is_same_era && since.version >= log.complete_from;
        let is_ahead = since > log.cursor;
        // A topic that is not followed now, as decisions are without a rollout, is as fresh as the
        // others, since its host is not cut off.
        let confirmed_at = self.topics.values().map(|log| log.confirmed_at).max();
        let confirmed_at = confirmed_at.unwrap_or_default();
        // What one topic's call shows holds for the others, whose calls may hang still.
        let failed_at = self.topics.values().filter_map(|log| log.unavailable_since).max();
        let is_full = !has_changes && !is_ahead;
        let is_wanted = |row: &&RawRow| {
            if is_full { row.value.is_some() } else { !is_ahead && row.version > since.version }
        };
        let mut rows: Vec<RawRow> = log.rows.values().filter(is_wanted).cloned().collect();
        rows.sort_by_key(|row| row.version);
        Some(NewsPage {
            is_full,
            cursor: log.cursor.max(since),
            age: now.since(confirmed_at),
            is_unavailable: failed_at.is_some_and(|failed_at| confirmed_at <= failed_at),
            rows,
        })
    }

    /// Latest era of which a topic was read.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.topics.values().map(|log| log.cursor.era).max().unwrap_or_default()
    }
}

impl TopicLog {
    fn forget_removed(&mut self) {
        let removed = |row: &&RawRow| row.value.is_none();
        let mut versions: Vec<u64> =
            self.rows.values().filter(removed).map(|row| row.version).collect();
        if versions.len() <= MAX_REMOVED {
            return;
        }
        versions.sort_unstable();
        let keep_from = versions[versions.len() - MAX_REMOVED / 2];
        self.complete_from = self.complete_from.max(keep_from);
        self.rows.retain(|_, row| row.value.is_some() || row.version > keep_from);
    }
}
