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
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Units of the age and the lag on the wire, in milliseconds; their largest values are 2.5 s and 5 s.
const AGE_UNIT: u64 = 10;
const LAG_UNIT: u64 = 20;
/// Loads in one datagram. At nine bytes at most each they fit into 1,200 bytes, which every
/// link takes whole; of six hundred upstreams the latest quarter is told.
pub const MAX_LOAD_REPORTS: usize = 125;

/// Names an upstream in few bytes. Two upstreams of 600 share one in one deployment of 20,000;
/// each is then thought as busy as the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamHash(u32);

impl UpstreamHash {
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
/// use oleander_gateway::load_report::{LoadReport, UpstreamHash};
/// use oleander_gateway::wire_format::AnswerLoad;
/// use std::time::Duration;
///
/// let hash = UpstreamHash::new(&UpstreamName::new("i-1").unwrap());
/// let load = AnswerLoad { running: 7, waiting: 300, slots: 24 };
/// let (lag, age) = (Duration::from_millis(90), Duration::from_millis(240));
/// let report = LoadReport::new(hash, load, lag, age).unwrap();
/// assert_eq!(report.load(24), AnswerLoad { running: 7, waiting: 255, slots: 24 });
/// assert_eq!((report.lag().as_millis(), report.age()), (80, age));
/// assert!(LoadReport::new(hash, load, lag, Duration::from_secs(2)).is_none(), "too old");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The upstream.
    pub upstream: UpstreamHash,
    running: u8,
    waiting: u8,
    /// How much longer than expected an answer took to begin, in units of twenty milliseconds.
    lag: u8,
    /// In units of ten milliseconds.
    age: u8,
}

impl LoadReport {
    /// A load that was told `age` ago; `None` when it says nothing any more.
    #[must_use]
    pub fn new(
        upstream: UpstreamHash,
        load: AnswerLoad,
        lag: Duration,
        age: Duration,
    ) -> Option<Self> {
        let small = |count: u64| u8::try_from(count).unwrap_or(u8::MAX);
        let units = |span: Duration, unit: u64| small(span.as_millis() as u64 / unit);
        (age <= MAX_REPORT_AGE).then(|| Self {
            upstream,
            running: small(load.running.into()),
            waiting: small(load.waiting.into()),
            lag: units(lag, LAG_UNIT),
            age: units(age, AGE_UNIT),
        })
    }

    /// The load of an upstream with so many slots.
    #[must_use]
    pub const fn load(&self, slots: u32) -> AnswerLoad {
        AnswerLoad { running: self.running as u32, waiting: self.waiting as u32, slots }
    }

    /// How much longer than expected an answer took to begin.
    #[must_use]
    pub const fn lag(&self) -> Duration {
        Duration::from_millis(self.lag as u64 * LAG_UNIT)
    }

    /// Its age when it was sent.
    #[must_use]
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age as u64 * AGE_UNIT)
    }
}
