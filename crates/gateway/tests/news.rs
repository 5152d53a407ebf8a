//! News of the store between hosts: pages of rows, and the messages that carry them.

use bytes::Bytes;
use oleander_core::stable_hash::mix;
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::control_port::{RawRow, Topic, TopicChange, TopicRow, TopicValue};
use oleander_gateway::news_log::{NewsLog, NewsPage};
use oleander_gateway::news_wire::{NewsAnswer, NewsError, NewsQuery};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const START: Timestamp = Timestamp::from_millis(50_000);

type Rows = BTreeMap<Arc<str>, (u64, Bytes)>;

/// A store of one topic, whose era changes when it loses its latest rows.
#[derive(Clone, Default)]
struct ModelTopic {
    era: u32,
    version: u64,
    rows: Rows,
    removed: BTreeMap<Arc<str>, u64>,
}

impl ModelTopic {
    fn put(&mut self, key: u64, value: u64) {
        self.version += 1;
        let key: Arc<str> = format!("key-{key}").into();
        self.removed.remove(&key);
        self.rows.insert(key, (self.version, Bytes::from(value.to_string())));
    }

    fn remove(&mut self, key: u64) {
        let key: Arc<str> = format!("key-{key}").into();
        if self.rows.remove(&key).is_some() {
            self.version += 1;
            self.removed.insert(key, self.version);
        }
    }

    fn change(&self, since: Option<StoreRevision>) -> TopicChange {
        let since = since.filter(|since| since.era == StoreEra::new(self.era));
        let after = since.map_or(0, |since| since.version);
        let present = self.rows.iter().filter(|(_, (version, _))| *version > after);
        let mut rows: Vec<TopicRow> = present
            .map(|(key, (version, value))| row(key, *version, Some(value.clone())))
            .collect();
        if since.is_some() {
            let removed = self.removed.iter().filter(|(_, version)| **version > after);
            rows.extend(removed.map(|(key, version)| row(key, *version, None)));
        }
        rows.sort_by_key(|row| row.raw.version);
        let cursor = StoreRevision::new(StoreEra::new(self.era), self.version);
        let (waited, store_now) = (Duration::from_secs(1), START);
        TopicChange { is_full: since.is_none(), cursor, waited, store_now, rows }
    }
}

fn row(key: &Arc<str>, version: u64, value: Option<Bytes>) -> TopicRow {
    let raw = RawRow { key: Arc::clone(key), version, value, written_at: None };
    TopicRow { raw, value: TopicValue::Removed }
}

/// What a host knows that follows another one.
#[derive(Default)]
struct Follower {
    cursor: Option<StoreRevision>,
    rows: Rows,
}

impl Follower {
    fn apply(&mut self, page: NewsPage) {
        if page.is_full {
            self.rows.clear();
        }
        for row in page.rows {
            match row.value {
                Some(value) => self.rows.insert(row.key, (row.version, value)),
                None => self.rows.remove(&row.key),
            };
        }
        self.cursor = Some(page.cursor);
    }
}

/// However a host follows another one, and whatever era the store is in, it knows the same rows.
#[test]
fn a_follower_knows_the_rows_of_its_source() {
    for seed in 0..200u64 {
        let (mut store, mut copy) = (ModelTopic::default(), ModelTopic::default());
        let (mut log, mut cursor) = (NewsLog::new(), None);
        let mut followers: Vec<Follower> = (0..3).map(|_| Follower::default()).collect();
        for step in 0..300u64 {
            let word = mix(seed * 1_000 + step);
            match word % 12 {
                0..=4 => store.put((word >> 8) % 8, word >> 16),
                5 | 6 => store.remove((word >> 8) % 8),
                7 => copy = store.clone(),
                8 if (word >> 8).is_multiple_of(4) => {
                    let era = store.era + 1;
                    store = ModelTopic { era, ..copy.clone() };
                }
                _ => {}
            }
            if (word >> 24).is_multiple_of(2) {
                let change = store.change(cursor);
                cursor = Some(change.cursor);
                log.record(Topic::Orders, &change, Duration::ZERO, START);
            }
            for (number, follower) in followers.iter_mut().enumerate() {
                if (word >> (32 + number * 4)).is_multiple_of(3 + number as u64)
                    && let Some(page) = log.page(Topic::Orders, follower.cursor, START)
                {
                    let bytes = NewsAnswer::new(page, START).encode();
                    follower.apply(NewsAnswer::decode(&bytes).unwrap().into_page().0);
                }
            }
        }
        let change = store.change(cursor);
        log.record(Topic::Orders, &change, Duration::ZERO, START);
        for follower in &mut followers {
            follower.apply(log.page(Topic::Orders, follower.cursor, START).unwrap());
            assert_eq!(follower.rows, store.rows, "seed {seed}");
        }
    }
}

fn change(version: u64, keys: &[&str]) -> TopicChange {
    let rows = keys.iter().map(|key| row(&Arc::from(*key), version, Some(Bytes::new()))).collect();
    let cursor = StoreRevision::new(StoreEra::new(1), version);
    TopicChange { is_full: true, cursor, waited: Duration::ZERO, store_now: START, rows }
}

#[test]
fn a_topic_that_was_not_read_has_no_page() {
    let mut log = NewsLog::new();
    assert_eq!(log.page(Topic::Orders, None, START), None);
    log.record(Topic::Upstreams, &change(3, &["i-1"]), Duration::ZERO, START);
    assert_eq!(log.page(Topic::Orders, None, START), None);
    assert!(log.page(Topic::Upstreams, None, START).unwrap().is_full);
}

#[test]
fn a_host_that_is_ahead_of_its_source_gets_nothing_older() {
    let mut log = NewsLog::new();
    log.record(Topic::Orders, &change(3, &["config"]), Duration::ZERO, START);
    let ahead = StoreRevision::new(StoreEra::new(1), 9);
    let page = log.page(Topic::Orders, Some(ahead), START).unwrap();
    assert!(page.is_empty());
    assert_eq!(page.cursor, ahead);
}

/// The age counts from the store's last answer, through any number of hosts.
#[test]
fn the_age_of_news_adds_up() {
    let (mut first, mut second) = (NewsLog::new(), NewsLog::new());
    first.record(Topic::Orders, &change(3, &["config"]), Duration::ZERO, START);
    let later = START + Duration::from_secs(4);
    let page = first.page(Topic::Orders, None, later).unwrap();
    assert_eq!(page.age, Duration::from_secs(4));
    second.record(Topic::Orders, &change(3, &["config"]), page.age, later);
    let end = later + Duration::from_secs(2);
    assert_eq!(second.page(Topic::Orders, None, end).unwrap().age, Duration::from_secs(6));
}

#[test]
fn a_source_that_cannot_reach_the_store_says_so_until_it_can() {
    let mut log = NewsLog::new();
    log.record(Topic::Orders, &change(3, &["config"]), Duration::ZERO, START);
    let since = Some(StoreRevision::new(StoreEra::new(1), 3));
    let away = START + Duration::from_secs(1);
    assert!(log.mark_unavailable(Topic::Orders, away));
    assert!(!log.mark_unavailable(Topic::Orders, away));
    assert!(log.page(Topic::Orders, since, away).unwrap().is_unavailable);
    log.record(Topic::Decisions, &change(3, &[]), Duration::ZERO, START);
    let other = log.page(Topic::Decisions, since, away).unwrap();
    assert!(other.is_unavailable, "its own call may hang still");
    let back = away + Duration::from_secs(5);
    log.record(Topic::Upstreams, &change(4, &["i-1"]), Duration::ZERO, back);
    assert!(!log.page(Topic::Orders, since, back).unwrap().is_unavailable);
}

#[test]
fn queries_of_other_formats_and_topics_are_refused() {
    let query = NewsQuery::new(Topic::Decisions, None, Duration::from_secs(99));
    let bytes = query.encode();
    let decoded = NewsQuery::decode(&bytes).unwrap();
    assert_eq!(decoded.topic(), Ok(Topic::Decisions));
    assert_eq!(decoded.wait(), Duration::from_secs(5), "bounded");
    let (mut format, mut topic) = (bytes.clone(), bytes);
    format[0] = 9;
    assert_eq!(NewsQuery::decode(&format), Err(NewsError::Format(9)));
    topic[1] = 7;
    let error = NewsQuery::decode(&topic).unwrap_err();
    assert_eq!(error.to_string(), "expected a topic below 3, found 7");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = NewsQuery::decode(&bytes);
        let _ = NewsAnswer::decode(&bytes);
    }
}
