//! Follows one topic of the platform's store for as long as the process runs.

use crate::control_port::{ControlPort, Topic, TopicChange, TopicUpdate};
use crate::gossip::ReconnectSignal;
use crate::news_relay::NewsReply;
use crate::snapshot_publisher::{SnapshotPublisher, TopicChanged, TopicUnavailable};
use crate::state::GatewayState;
use kameo::actor::ActorRef;
use oleander_core::backoff::RetryBackoff;
use oleander_core::ids::HostId;
use oleander_core::news_source::NewsSource;
use oleander_core::store_era::StoreRevision;
use oleander_ports::PlatformError;
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the wait of one long-poll call, and what each host adds to it, since every call costs.
/// A silently dead connection is noticed when its call does not end in time, and the host that
/// notices it informs the others by gossip. So with more hosts each may wait longer: over all
/// hosts that follow the store, one call ends every quarter of a second. The store allows 30 s.
const MIN_WAIT: Duration = Duration::from_millis(3_000);
const MAX_WAIT: Duration = Duration::from_secs(25);
const WAIT_PER_HOST: Duration = Duration::from_millis(250);
/// Time between checks whether a rollout is open.
const OPEN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after news of another host; its calls cost nothing, but each change takes processor time.
const RELAYED_BATCH_DELAY: Duration = Duration::from_millis(50);
/// Pause after another host failed as a source; a random part of it keeps hosts apart.
const FAILED_SOURCE_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two calls to a host that cannot reach the store.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(1_000);
/// Time over which hosts spread full reads that all of them have to do, and its maximum, which is
/// well within the bounds on changes.
const FULL_READ_SPREAD_PER_HOST: Duration = Duration::from_millis(2);
const MAX_FULL_READ_SPREAD: Duration = Duration::from_millis(800);
/// Delay after a change before the next call, so that changes that come together, as when many
/// upstreams start, take one call rather than one each. Changes have to be known within 3 s. Orders
/// and decisions are rare, and rollouts are timed from them.
const UPSTREAM_BATCH_DELAY: Duration = Duration::from_millis(1_300);
const ORDER_BATCH_DELAY: Duration = Duration::from_millis(200);
/// What each host adds to the delay, since each change costs one call per host, and the maximum
/// that all hosts add. With the time of a call and of a dead connection, two thirds of the 3 s are
/// used.
const BATCH_DELAY_PER_HOST: Duration = Duration::from_millis(8);
const MAX_ADDED_BATCH_DELAY: Duration = Duration::from_millis(700);
/// Propagation time beyond the delay: links between regions take 30 ms, a slow store 240 ms.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(300);
/// Minimum propagation timeout, since each reconnect costs a call per topic.
const MIN_PROPAGATION_TIMEOUT: Duration = Duration::from_millis(1_400);
/// First delay after a failed call; doubles up to [`MAX_RETRY_DELAY`] and what each host adds.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay after failed calls: well within the 4 s after an outage from which a host counts
/// as cut off, including what 100 hosts add.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
const RETRY_DELAY_PER_HOST: Duration = Duration::from_millis(8);
const MAX_TOTAL_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Parts that a follower of a topic works with.
#[derive(Clone)]
pub struct FollowerParts {
    /// State of the host.
    pub state: Arc<GatewayState>,
    /// The store.
    pub control: Arc<dyn ControlPort>,
    /// Gets the changes.
    pub publisher: ActorRef<SnapshotPublisher>,
    /// Tells when other hosts have news that has not arrived here.
    pub reconnect: Arc<ReconnectSignal>,
}

/// Follows one topic.
struct TopicFollower {
    topic: Topic,
    parts: FollowerParts,
    cursor: Option<StoreRevision>,
    failures: u32,
    schedule: LongPollSchedule,
    /// Where the last news came from.
    source: Option<NewsSource>,
    /// The source that cannot reach the store while this host asks the store itself.
    unavailable: Option<HostId>,
}

/// Result of asking for news.
enum NewsUpdate {
    Store(Result<TopicUpdate, PlatformError>),
    Host(HostId, NewsReply),
    /// Other hosts have news that has not arrived here.
    Late,
}

/// Follows `topic`, from the store or through another host, and sends changes to the publisher; ends
/// when the publisher does.
pub async fn follow_topic(topic: Topic, parts: FollowerParts) {
    parts.state.relay.wait_for_hosts().await;
    let mut follower = TopicFollower {
        topic,
        parts,
        cursor: None,
        failures: 0,
        schedule: LongPollSchedule::default(),
        source: None,
        unavailable: None,
    };
    while follower.step().await {}
}

impl TopicFollower {
    /// Asks for news once and handles the answer; `false` when the publisher has ended.
    async fn step(&mut self) -> bool {
        if self.topic == Topic::Decisions && self.cursor.is_some() {
            wait_for_decisions(&self.parts.state).await;
        }
        let source = match &self.unavailable {
            Some(_) => NewsSource::Store,
            None => self.parts.state.relay.source(),
        };
        self.log_source(&source);
        match self.ask(&source).await {
            NewsUpdate::Late => {
                log::info!(target: "dependency", topic:% = self.topic; "reconnecting to the store");
                self.parts.state.relay.mark_late();
                self.parts.control.reset_connections();
                true
            }
            NewsUpdate::Store(update) => self.handle_store(update).await,
            NewsUpdate::Host(host, reply) => self.handle_host(host, reply).await,
        }
    }

    fn log_source(&mut self, source: &NewsSource) {
        if self.source.as_ref() != Some(source) && self.unavailable.is_none() {
            match source {
                NewsSource::Store => {
                    log::info!(target: "dependency", topic:% = self.topic; "following the store");
                }
                NewsSource::Host(host) => {
                    log::info!(
                        target: "dependency", topic:% = self.topic, host:%;
                        "following the store through another host"
                    );
                }
            }
            self.source = Some(source.clone());
        }
    }

    async fn ask(&mut self, source: &NewsSource) -> NewsUpdate {
        let (topic, cursor) = (self.topic, self.cursor);
        let FollowerParts { state, control, reconnect, .. } = &self.parts;
        let requested = reconnect.requested();
        let answered = async {
            match source {
                NewsSource::Store => {
                    let wait = if self.unavailable.is_some() {
                        Duration::ZERO
                    } else {
                        self.schedule.next(counted_readers(state), state.random.next_unit())
                    };
                    NewsUpdate::Store(next_update(topic, &**control, cursor, wait).await)
                }
                NewsSource::Host(host) => {
                    let reply = tokio::select! {
                        reply = state.relay.ask(host, topic, cursor, &**control) => reply,
                        () = state.relay.source_changed(host) => NewsReply::Failed,
                    };
                    NewsUpdate::Host(host.clone(), reply)
                }
            }
        };
        tokio::select! {
            update = answered => update,
            () = requested => NewsUpdate::Late,
        }
    }

    async fn handle_host(&mut self, host: HostId, reply: NewsReply) -> bool {
        let state = &self.parts.state;
        match reply {
            NewsReply::Change(change, _) if self.enters_era(&change) => {
                self.cursor = None;
                true
            }
            NewsReply::Change(change, age) => {
                let has_rows = !change.rows.is_empty();
                let delivered = self.deliver(change, age).await;
                if has_rows {
                    tokio::time::sleep(RELAYED_BATCH_DELAY).await;
                }
                delivered
            }
            NewsReply::Unavailable => {
                let reason = format!("{host} cannot reach it");
                if state.relay.should_check_store(state.random.next_unit()) {
                    self.unavailable = Some(host);
                } else {
                    let pause = UNAVAILABLE_PAUSE.mul_f64(0.5 + state.random.next_unit());
                    tokio::time::sleep(pause).await;
                }
                self.report_unavailable(reason).await
            }
            NewsReply::Failed => {
                let pause = FAILED_SOURCE_PAUSE.mul_f64(state.random.next_unit());
                tokio::time::sleep(pause).await;
                true
            }
        }
    }

    async fn handle_store(&mut self, update: Result<TopicUpdate, PlatformError>) -> bool {
        let unavailable = self.unavailable.take();
        if let (Some(host), Ok(_)) = (&unavailable, &update) {
            log::info!(
                target: "dependency", topic:% = self.topic, host:%;
                "the store answers here, this host is cut off from it"
            );
            self.parts.state.relay.mark_cut_off(host);
        }
        match update {
            Ok(TopicUpdate::Change(change)) if self.enters_era(&change) => {
                log::warn!(
                    target: "dependency", topic:% = self.topic, cursor:% = change.cursor;
                    "the store came back from an older copy, reading the full topic"
                );
                self.read_again().await;
                true
            }
            Ok(TopicUpdate::Change(change)) => {
                self.failures = 0;
                let has_rows = !change.rows.is_empty();
                let delivered = self.deliver(change, Duration::ZERO).await;
                if delivered && has_rows {
                    let delay = batch_delay(self.topic, readers(&self.parts.state));
                    tokio::time::sleep(delay).await;
                }
                delivered
            }
            Ok(TopicUpdate::HistoryGone) => {
                log::warn!(
                    target: "dependency", topic:% = self.topic;
                    "store history truncated, reading the full topic"
                );
                self.read_again().await;
                true
            }
            // The source tells when it can reach the store again.
            Err(error) if unavailable.is_some() => self.report_unavailable(error.to_string()).await,
            Err(error) => self.handle_error(&error).await,
        }
    }

    async fn handle_error(&mut self, error: &PlatformError) -> bool {
        let delivered = self.report_unavailable(error.to_string()).await;
        let state = &self.parts.state;
        if matches!(error, PlatformError::Unknown(_)) {
            self.parts.control.reset_connections();
        }
        let hosts = u32::try_from(state.pool.hosts()).unwrap_or(u32::MAX);
        let max_delay = (MAX_RETRY_DELAY + RETRY_DELAY_PER_HOST.saturating_mul(hosts))
            .min(MAX_TOTAL_RETRY_DELAY);
        let wait = RetryBackoff::new(FIRST_RETRY_DELAY, max_delay)
            .wait(self.failures, state.random.next());
        tokio::time::sleep(FIRST_RETRY_DELAY / 2 + wait).await;
        self.failures = self.failures.saturating_add(1);
        delivered
    }

    /// Whether a change is of a later era and not a full read, so that it may lack rows.
    fn enters_era(&self, change: &TopicChange) -> bool {
        !change.is_full && self.cursor.is_some_and(|cursor| cursor.era < change.cursor.era)
    }

    /// Has the full topic read next. All hosts have to do so, and must not do it at once.
    async fn read_again(&mut self) {
        self.cursor = None;
        wait_for_full_read(&self.parts.state).await;
    }

    async fn deliver(&mut self, change: TopicChange, age: Duration) -> bool {
        self.cursor = Some(self.cursor.unwrap_or_default().max(change.cursor));
        self.parts.publisher.tell(TopicChanged(self.topic, change, age)).await.is_ok()
    }

    async fn report_unavailable(&self, reason: String) -> bool {
        self.parts.publisher.tell(TopicUnavailable(self.topic, reason)).await.is_ok()
    }
}

/// Number of hosts that share the calls to the store, once counted.
fn counted_readers(state: &GatewayState) -> Option<usize> {
    state.relay.readers(state.pool.counted_hosts())
}

/// Number of hosts that share the calls to the store, or an assumption until they are counted.
#[must_use]
pub fn readers(state: &GatewayState) -> usize {
    counted_readers(state).unwrap_or_else(|| state.pool.hosts())
}

/// Delay after a change of a topic on a host among `hosts`.
#[must_use]
pub fn batch_delay(topic: Topic, hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let added = BATCH_DELAY_PER_HOST.saturating_mul(hosts).min(MAX_ADDED_BATCH_DELAY);
    match topic {
        Topic::Upstreams => UPSTREAM_BATCH_DELAY + added,
        Topic::Orders => ORDER_BATCH_DELAY + added,
        // Decisions come one at a time, and a bad version must stop getting requests as soon as
        // they are known.
        Topic::Decisions => ORDER_BATCH_DELAY,
    }
}

/// Time within which a change of a topic should arrive after another of `hosts` has it.
#[must_use]
pub fn propagation_timeout(topic: Topic, hosts: usize) -> Duration {
    (batch_delay(topic, hosts) + PROPAGATION_MARGIN).max(MIN_PROPAGATION_TIMEOUT)
}

/// Waits until a rollout is open or the store has begun a new era: there are no decisions before a
/// rollout is ordered, and later ones may be lost.
async fn wait_for_decisions(state: &GatewayState) {
    while !state.snapshot.load().needs_decisions() {
        tokio::time::sleep(OPEN_POLL_INTERVAL).await;
    }
}

/// Waits for a random time before a full read, since all hosts have to read the topic again.
async fn wait_for_full_read(state: &GatewayState) {
    let hosts = u32::try_from(state.pool.hosts()).unwrap_or(u32::MAX);
    let spread = FULL_READ_SPREAD_PER_HOST.saturating_mul(hosts).min(MAX_FULL_READ_SPREAD);
    tokio::time::sleep(spread.mul_f64(state.random.next_unit())).await;
}

async fn next_update(
    topic: Topic,
    control: &dyn ControlPort,
    cursor: Option<StoreRevision>,
    wait: Duration,
) -> Result<TopicUpdate, PlatformError> {
    match cursor {
        None => control.read(topic).await.map(TopicUpdate::Change),
        Some(cursor) => control.follow(topic, cursor, wait).await,
    }
}

/// Durations of the long-poll calls of one topic.
///
/// All waiting calls may be lost together, as when the store accepts them and answers none. This is
/// noticed when the first of them times out, so the calls of many hosts must not end together.
/// Until the hosts are counted, waits are short; the first long wait has a random duration.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongPollSchedule {
    spread: bool,
}

impl LongPollSchedule {
    /// The wait of the next call of a host among `hosts`, if counted; `point` in 0..1 spreads the
    /// hosts.
    pub fn next(&mut self, hosts: Option<usize>, point: f64) -> Duration {
        let Some(hosts) = hosts else {
            return MIN_WAIT.mul_f64((1.0 + point) / 2.0);
        };
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let wait = WAIT_PER_HOST.saturating_mul(hosts).clamp(MIN_WAIT, MAX_WAIT);
        if !std::mem::replace(&mut self.spread, true) {
            return wait.mul_f64(point);
        }
        wait.mul_f64(0.75 + point / 4.0)
    }
}
