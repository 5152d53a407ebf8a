//! Loads of upstreams that hosts tell each other.
//!
//! An upstream tells its load with each answer, and the load is that of all hosts together. A
//! host among eighty gets one answer in eighty and knows next to nothing of most upstreams; what
//! all of them hear is some answers a second from each. Each host passes on the latest loads
//! that it knows, its own and those it was told, to a few others several times a second.

use crate::wire_format::AnswerLoad;
use oleander_core::ids::UpstreamName;
use oleander_core::stable_hash::hash_parts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Oldest load that is told on: three half-lives of a report, after which it says little.
const OLDEST_NEWS: Duration = Duration::from_millis(1_500);
/// Unit of the age on the wire, in milliseconds; its largest value is 2.5 s.
const AGE_UNIT: u64 = 10;
/// Loads in one datagram. At eight bytes at most each they fit into 1,200 bytes, which every
/// link takes whole; of six hundred upstreams the latest quarter is told.
pub const MAX_LOAD_NEWS: usize = 140;

/// Names an upstream in few bytes. Two upstreams of 600 share one in one deployment of 20,000;
/// each is then thought as busy as the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamMark(u32);

impl UpstreamMark {
    /// The mark of an upstream.
    #[must_use]
    pub fn new(name: &UpstreamName) -> Self {
        Self(hash_parts(&[name.as_str()]) as u32)
    }
}

/// The load of an upstream as another host knows it.
///
/// ```
/// use oleander_core::ids::UpstreamName;
/// use oleander_gateway::load_news::{LoadNews, UpstreamMark};
/// use oleander_gateway::wire_format::AnswerLoad;
/// use std::time::Duration;
///
/// let mark = UpstreamMark::new(&UpstreamName::new("i-1").unwrap());
/// let load = AnswerLoad { running: 7, waiting: 300, slots: 24 };
/// let news = LoadNews::new(mark, load, Duration::from_millis(240)).unwrap();
/// assert_eq!(news.load(24), AnswerLoad { running: 7, waiting: 255, slots: 24 });
/// assert!(LoadNews::new(mark, load, Duration::from_secs(2)).is_none(), "too old");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The upstream.
    pub upstream: UpstreamMark,
    running: u8,
    waiting: u8,
    /// In units of ten milliseconds.
    age: u8,
}

impl LoadNews {
    /// A load that was told `age` ago; `None` when it says nothing any more.
    #[must_use]
    pub fn new(upstream: UpstreamMark, load: AnswerLoad, age: Duration) -> Option<Self> {
        let small = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
        let age = (age <= OLDEST_NEWS).then_some(age.as_millis() as u64 / AGE_UNIT)?;
        let age = u8::try_from(age).unwrap_or(u8::MAX);
        Some(Self { upstream, running: small(load.running), waiting: small(load.waiting), age })
    }

    /// The load of an upstream with so many slots.
    #[must_use]
    pub const fn load(&self, slots: u32) -> AnswerLoad {
        AnswerLoad { running: self.running as u32, waiting: self.waiting as u32, slots }
    }

    /// Its age when it was sent.
    #[must_use]
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age as u64 * AGE_UNIT)
    }
}
