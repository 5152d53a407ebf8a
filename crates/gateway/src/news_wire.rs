//! Calls by which a host follows another one.

use crate::control_port::{RawRow, Topic};
use crate::news_log::NewsPage;
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Path of the call.
pub const NEWS_PATH: &str = "/oleander/news";
/// Version of the format; hosts answer other versions with an error.
const FORMAT: u8 = 1;
/// Maximum size of an encoded answer, in bytes: three thousand upstreams take one megabyte, a large
/// configuration less.
pub const MAX_NEWS_BYTES: usize = 8 * 1024 * 1024;
/// Maximum wait that a host grants another.
pub const MAX_NEWS_WAIT: Duration = Duration::from_secs(5);

/// Asks for changes of a topic after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsQuery {
    format: u8,
    topic: u8,
    since: Option<(u32, u64)>,
    wait_ms: u32,
}

/// Changes of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsAnswer {
    is_full: bool,
    cursor: (u32, u64),
    age_ms: u32,
    is_unavailable: bool,
    /// The store's monotonic clock now.
    store_now_ms: u64,
    rows: Vec<RawRow>,
}

/// Why a message of another host cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NewsError {
    /// The bytes are no message.
    #[error("malformed news message: {0}")]
    Malformed(#[from] postcard::Error),
    /// The message is of another release.
    #[error("expected news format {FORMAT}, found {0}")]
    Format(u8),
    /// The topic is unknown.
    #[error("expected a topic below {expected}, found {found}", expected = Topic::ALL.len())]
    Topic {
        /// The number in the message.
        found: u8,
    },
}

impl NewsQuery {
    /// Asks for changes of `topic` after `since`, waiting at most `wait` for one.
    #[must_use]
    pub fn new(topic: Topic, since: Option<StoreRevision>, wait: Duration) -> Self {
        let position = Topic::ALL.iter().position(|found| *found == topic);
        Self {
            format: FORMAT,
            topic: position.and_then(|position| u8::try_from(position).ok()).unwrap_or(u8::MAX),
            since: since.map(|since| (since.era.get(), since.version)),
            wait_ms: u32::try_from(wait.min(MAX_NEWS_WAIT).as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Encodes the query.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Plain data in memory cannot fail to encode; an empty message would be refused.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a query.
    ///
    /// # Errors
    ///
    /// [`NewsError`] when it is malformed, of another format or of an unknown topic.
    pub fn decode(bytes: &[u8]) -> Result<Self, NewsError> {
        let query: Self = postcard::from_bytes(bytes)?;
        if query.format != FORMAT {
            return Err(NewsError::Format(query.format));
        }
        query.topic()?;
        Ok(query)
    }

    /// The topic.
    ///
    /// # Errors
    ///
    /// [`NewsError::Topic`] when there is none of that number.
    pub fn topic(&self) -> Result<Topic, NewsError> {
        let found = Topic::ALL.get(usize::from(self.topic)).copied();
        found.ok_or(NewsError::Topic { found: self.topic })
    }

    /// The revision up to which the asking host knows the topic.
    #[must_use]
    pub fn since(&self) -> Option<StoreRevision> {
        self.since.map(revision)
    }

    /// How long to wait for a change.
    #[must_use]
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms.into()).min(MAX_NEWS_WAIT)
    }
}

const fn revision((era, version): (u32, u64)) -> StoreRevision {
    StoreRevision::new(StoreEra::new(era), version)
}

impl NewsAnswer {
    /// An answer with a page; `store_now` is the store's monotonic clock.
    #[must_use]
    pub fn new(page: NewsPage, store_now: Timestamp) -> Self {
        Self {
            is_full: page.is_full,
            cursor: (page.cursor.era.get(), page.cursor.version),
            age_ms: u32::try_from(page.age.as_millis()).unwrap_or(u32::MAX),
            is_unavailable: page.is_unavailable,
            store_now_ms: store_now.as_millis(),
            rows: page.rows,
        }
    }

    /// Encodes the answer.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// [`NewsError::Malformed`] when the bytes are no answer.
    pub fn decode(bytes: &[u8]) -> Result<Self, NewsError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// The page, and the store's monotonic clock when it was sent.
    #[must_use]
    pub fn into_page(self) -> (NewsPage, Timestamp) {
        let page = NewsPage {
            is_full: self.is_full,
            cursor: revision(self.cursor),
            age: Duration::from_millis(self.age_ms.into()),
            is_unavailable: self.is_unavailable,
            rows: self.rows,
        };
        (page, Timestamp::from_millis(self.store_now_ms))
    }
}
