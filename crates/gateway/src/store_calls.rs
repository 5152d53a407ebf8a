//! The calls by which a host follows the store, and how it notices that they are lost.
//!
//! A waiting call over a connection that silently died is never answered. Other hosts tell which
//! revisions they know or have heard of. A call that should have been answered by then is lost.

use crate::control_port::Topic;
use oleander_core::store_era::StoreRevision;
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Time within which the store answers a waiting call once it has a change: a round trip between
/// regions and the time of a slow store.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum time between reconnects, so that an unavailable store is not called without end. A call
/// after a reconnect does not wait, and fails by itself within this time.
const MIN_RECONNECT_INTERVAL: Duration = Duration::from_millis(1_000);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State of the calls that follow one topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct TopicCall {
    /// When the call began that waits for a change now.
    pub waiting_since: Option<Timestamp>,
    /// Revision up to which the topic is known.
    pub cursor: StoreRevision,
    /// When the last call began that was answered.
    pub confirmed_at: Option<Timestamp>,
}

/// Tells whether the answer to a topic's call is arriving.
pub type ArrivalProbe = Box<dyn Fn(Topic) -> bool + Send + Sync>;

/// The calls of all topics, and requests to begin them again over new connections.
pub struct StoreCalls {
    topics: Mutex<BTreeMap<Topic, TopicCall>>,
    reconnects: watch::Sender<u64>,
    last_reconnect: Mutex<Option<Timestamp>>,
    is_isolated: AtomicBool,
    is_arriving: ArrivalProbe,
}

impl fmt::Debug for StoreCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreCalls").field("topics", &self.topics).finish_non_exhaustive()
    }
}

impl Default for StoreCalls {
    fn default() -> Self {
        let reconnects = watch::Sender::new(0);
        Self {
            topics: Mutex::default(),
            reconnects,
            last_reconnect: Mutex::default(),
            is_isolated: AtomicBool::new(false),
            is_arriving: Box::new(|_| false),
        }
    }
}

impl StoreCalls {
    /// Sets what tells whether the answer to a topic's call is arriving. Such a call is not lost, however long
    /// its answer takes.
    #[must_use]
    pub fn with_arrivals(mut self, is_arriving: ArrivalProbe) -> Self {
        self.is_arriving = is_arriving;
        self
    }

    /// Records that a call began which waits for a change.
    pub fn begin(&self, topic: Topic, now: Timestamp) {
        lock(&self.topics).entry(topic).or_default().waiting_since = Some(now);
    }

    /// Records that a call ended, answered or not; see [`StoreCalls::confirm`] for an answer.
    pub fn end(&self, topic: Topic) {
        lock(&self.topics).entry(topic).or_default().waiting_since = None;
    }

    /// Records that a call which began at `began` was answered and the topic is known up to
    /// `cursor`.
    pub fn confirm(&self, topic: Topic, cursor: StoreRevision, began: Timestamp) {
        let call = TopicCall { waiting_since: None, cursor, confirmed_at: Some(began) };
        lock(&self.topics).insert(topic, call);
    }

    /// State of the calls of a topic.
    #[must_use]
    pub fn topic(&self, topic: Topic) -> TopicCall {
        lock(&self.topics).get(&topic).copied().unwrap_or_default()
    }

    /// Requests a reconnect, unless one was requested recently.
    pub fn reconnect(&self, now: Timestamp) {
        let mut last = lock(&self.last_reconnect);
        if last.is_none_or(|last| now.since(last) >= MIN_RECONNECT_INTERVAL) {
            *last = Some(now);
            self.reconnects.send_modify(|count| *count += 1);
        }
    }

    /// Sets whether no other host can tell this one of changes.
    pub fn set_isolated(&self, is_isolated: bool) {
        self.is_isolated.store(is_isolated, Ordering::Relaxed);
    }

    /// Whether no other host can tell this one of changes, so that it has to notice by itself when
    /// its calls are lost.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.is_isolated.load(Ordering::Relaxed)
    }

    /// The requests to reconnect from now on, for one follower.
    #[must_use]
    pub fn reconnect_requests(self: &Arc<Self>) -> ReconnectRequests {
        ReconnectRequests { calls: Arc::clone(self), requested: self.reconnects.subscribe() }
    }
}

/// Requests to reconnect that one follower has not acted on yet. A request that comes while the
/// follower is between two calls is kept.
#[derive(Debug)]
pub struct ReconnectRequests {
    /// Keeps the sender alive.
    calls: Arc<StoreCalls>,
    requested: watch::Receiver<u64>,
}

impl ReconnectRequests {
    /// Whether a reconnect was requested since the last call of this function or of `next`.
    pub fn take(&mut self) -> bool {
        let is_requested = self.requested.has_changed().unwrap_or(false);
        self.requested.mark_unchanged();
        is_requested
    }

    /// Resolves when a reconnect is requested.
    pub async fn next(&mut self) {
        if self.requested.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// The calls that these requests are about.
    #[must_use]
    pub fn calls(&self) -> &StoreCalls {
        &self.calls
    }
}

/// A revision that other hosts know and this one lacks.
#[derive(Clone, Copy, Debug)]
struct HeardRevision {
    revision: StoreRevision,
    /// When this host first heard of any revision that it lacks.
    first_at: Timestamp,
    /// When it heard of `revision`.
    at: Timestamp,
}

/// Detects that this host lags behind revisions that other hosts know.
///
/// ```
/// use oleander_core::store_era::{StoreEra, StoreRevision};
/// use oleander_core::units::Timestamp;
/// use oleander_gateway::control_port::Topic;
/// use oleander_gateway::store_calls::{ANSWER_TIMEOUT, LagDetector, StoreCalls};
///
/// let (calls, at) = (StoreCalls::default(), Timestamp::from_millis);
/// let revision = |version| StoreRevision::new(StoreEra::default(), version);
/// calls.confirm(Topic::Orders, revision(10), at(1_000));
/// calls.begin(Topic::Orders, at(1_100));
/// let mut lag = LagDetector::default();
/// lag.record_peer_revision(Topic::Orders, revision(12), &calls, at(9_000));
/// assert_eq!(lag.lagging_for(&calls, at(9_100)), None);
/// assert_eq!(lag.lagging_for(&calls, at(9_000) + ANSWER_TIMEOUT), Some(ANSWER_TIMEOUT));
/// ```
#[derive(Debug, Default)]
pub struct LagDetector {
    heard: BTreeMap<Topic, HeardRevision>,
    /// Revisions that the store did not confirm, such as those of a forged datagram.
    refuted: BTreeMap<Topic, StoreRevision>,
}

impl LagDetector {
    /// Records the revision that another host knows or has heard of.
    pub fn record_peer_revision(
        &mut self,
        topic: Topic,
        revision: StoreRevision,
        calls: &StoreCalls,
        now: Timestamp,
    ) {
        let is_refuted = self.refuted.get(&topic) == Some(&revision);
        if is_refuted || revision <= calls.topic(topic).cursor {
            return;
        }
        let heard =
            self.heard.entry(topic).or_insert(HeardRevision { revision, first_at: now, at: now });
        if revision > heard.revision {
            (heard.revision, heard.at) = (revision, now);
        }
    }

    /// For how long this host has heard of a revision that a call should have brought by now;
    /// `None` when no call is overdue. Drops revisions that have arrived or that the store refutes.
    pub fn lagging_for(&mut self, calls: &StoreCalls, now: Timestamp) -> Option<Duration> {
        let refuted = &mut self.refuted;
        self.heard.retain(|topic, heard| {
            let call = calls.topic(*topic);
            let has_arrived = heard.revision <= call.cursor;
            let is_refuted = !has_arrived && call.confirmed_at.is_some_and(|at| at > heard.at);
            if is_refuted {
                refuted.insert(*topic, heard.revision);
            }
            !has_arrived && !is_refuted
        });
        let overdue = self.heard.iter().filter(|(topic, heard)| {
            // Between two calls there is nothing to wait for: the next one brings the change.
            let waiting_since = calls.topic(**topic).waiting_since;
            let is_late = |since: Timestamp| now.since(since.max(heard.first_at)) >= ANSWER_TIMEOUT;
            waiting_since.is_some_and(is_late) && !(calls.is_arriving)(**topic)
        });
        overdue.map(|(_, heard)| now.since(heard.first_at)).max()
    }

    /// Latest revision of a topic that this host has heard of and lacks.
    #[must_use]
    pub fn heard(&self, topic: Topic) -> StoreRevision {
        self.heard.get(&topic).map_or_else(StoreRevision::default, |heard| heard.revision)
    }
}
