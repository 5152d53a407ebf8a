//! Load reports of upstreams that hosts exchange.
//!
//! Each response carries the upstream's load, summed over all hosts. One host of eighty sees one
//! response in eighty and knows little about most upstreams, while all hosts together see several
//! responses per second from each. Every host therefore passes its latest reports, own and
//! received, to a few others several times a second.

use crate::wire_format::AnswerLoad;
use oleander_core::ids::UpstreamName;
use oleander_core::stable_hash::hash_parts;
use oleander_core::upstream_pace::ReportedPace;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum age of a report that is passed on: three half-lives, after which it says little.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Units of age and lag on the wire, in milliseconds; the maximum values are 2.5 s and 5 s.
const AGE_UNIT_MS: u64 = 10;
const LAG_UNIT_MS: u64 = 20;
/// Maximum reports per datagram. At nine bytes each they fit into 1,200 bytes, which every link
/// carries unfragmented; with six hundred upstreams this is the newest quarter.
pub const MAX_LOAD_REPORTS: usize = 125;

/// Takes the newest reports that fit into a datagram beside their paces, and the paces. Nothing is sent of
/// upstreams that state no pace. A pace takes a ninth of a report, so there are fewer reports with paces.
#[must_use]
pub fn fit_reports(
    mut loads: Vec<LoadReport>,
    max_loads: usize,
) -> (Vec<LoadReport>, Vec<ReportedPace>) {
    let has_paces = loads.iter().any(|load| load.pace.percent().is_some());
    loads.truncate(if has_paces { max_loads * 9 / 10 } else { max_loads });
    let paces = if has_paces { loads.iter().map(LoadReport::pace).collect() } else { Vec::new() };
    (loads, paces)
}

/// Compact id of an upstream. Of 20,000 deployments with 600 upstreams, one has a collision; the
/// two upstreams then appear equally loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamHash(u32);

impl UpstreamHash {
    /// Hashes an upstream's name.
    #[must_use]
    pub fn new(name: &UpstreamName) -> Self {
        Self::of_parts(&[name.as_str()])
    }

    /// Hashes texts that together identify an upstream.
    #[must_use]
    pub fn of_parts(parts: &[&str]) -> Self {
        Self(hash_parts(parts) as u32)
    }
}

/// Load of an upstream as known to another host.
///
/// ```
/// use oleander_core::ids::UpstreamName;
/// use oleander_gateway::load_report::{LoadReport, UpstreamHash};
/// use oleander_gateway::wire_format::AnswerLoad;
/// use std::time::Duration;
///
/// let hash = UpstreamHash::new(&UpstreamName::new("i-1").unwrap());
/// let load = AnswerLoad { running: 7, waiting: 300, slots: 24, pace: None };
/// let (lag, age) = (Duration::from_millis(90), Duration::from_millis(240));
/// let report = LoadReport::new(hash, load, lag, age).unwrap();
/// assert_eq!(report.load(24), AnswerLoad { running: 7, waiting: 255, slots: 24, pace: None });
/// assert_eq!((report.lag().as_millis(), report.age()), (80, age));
/// assert!(LoadReport::new(hash, load, lag, Duration::from_secs(2)).is_none(), "too old");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The upstream.
    pub upstream: UpstreamHash,
    running: u8,
    waiting: u8,
    /// Delay of the reporting response beyond its expected time to headers, in units of 20 ms.
    lag: u8,
    /// Age in units of 10 ms.
    age: u8,
    /// Pace that the upstream stated. Follows in a field of its own, which earlier builds do not read.
    #[serde(skip)]
    pace: ReportedPace,
}

impl LoadReport {
    /// A report that was made `age` ago; `None` when it is too old to be useful.
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
            lag: units(lag, LAG_UNIT_MS),
            age: units(age, AGE_UNIT_MS),
            pace: ReportedPace::new(load.pace),
        })
    }

    /// The reported load of an upstream that has `slots` slots.
    #[must_use]
    pub const fn load(&self, slots: u32) -> AnswerLoad {
        let (running, waiting) = (self.running as u32, self.waiting as u32);
        AnswerLoad { running, waiting, slots, pace: self.pace.percent() }
    }

    /// The pace that the upstream stated, in the unit on the wire.
    #[must_use]
    pub const fn pace(&self) -> ReportedPace {
        self.pace
    }

    /// The report with a pace that came beside it.
    #[must_use]
    pub const fn with_pace(self, pace: ReportedPace) -> Self {
        Self { pace, ..self }
    }

    /// Delay of the reporting response beyond its expected time to headers.
    #[must_use]
    pub const fn lag(&self) -> Duration {
        Duration::from_millis(self.lag as u64 * LAG_UNIT_MS)
    }

    /// Age when the report was sent.
    #[must_use]
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age as u64 * AGE_UNIT_MS)
    }
}
