//! Follows one topic of the platform's store for as long as the process runs.

use crate::control_port::{ControlPort, Topic, TopicUpdate};
use crate::snapshot_publisher::{SnapshotPublisher, TopicChanged, TopicUnavailable};
use crate::state::GatewayState;
use crate::store_calls::ReconnectRequests;
use kameo::actor::ActorRef;
use oleander_core::backoff::RetryBackoff;
use oleander_core::store_era::StoreRevision;
use oleander_ports::PlatformError;
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the wait of one long-poll call, and what each host adds to it, since every call costs.
/// A silently dead connection is noticed when its call does not end in time, and the host that
/// notices it informs the others by gossip. So with more hosts each may wait longer: over all
/// hosts, one call of each topic ends every half second. The store allows a wait of 30 s.
const MIN_WAIT: Duration = Duration::from_millis(3_000);
const MAX_WAIT: Duration = Duration::from_secs(25);
const WAIT_PER_HOST: Duration = Duration::from_millis(500);
/// Maximum wait of a host that hears nothing from others: with a lost call and the next one, changes
/// are known within 3 s.
const ISOLATED_WAIT: Duration = Duration::from_millis(1_000);
/// Time between checks whether a rollout is open.
const OPEN_POLL_INTERVAL: Duration = Duration::from_millis(200);
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
/// First delay after a failed call; doubles up to [`MAX_RETRY_DELAY`] and what each host adds.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay after failed calls: well within the 4 s after an outage from which a host counts
/// as cut off, including what 100 hosts add.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
const RETRY_DELAY_PER_HOST: Duration = Duration::from_millis(8);
const MAX_TOTAL_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Follows `topic` and sends changes to `publisher`; ends when the publisher does.
pub async fn follow_topic(
    topic: Topic,
    state: Arc<GatewayState>,
    control: Arc<dyn ControlPort>,
    publisher: ActorRef<SnapshotPublisher>,
    mut reconnects: ReconnectRequests,
) {
    let mut cursor = None;
    let mut failures = 0u32;
    let mut is_confirmed = false;
    loop {
        if topic == Topic::Decisions && cursor.is_some() {
            wait_for_decisions(&state).await;
        }
        if reconnects.take() {
            control.reset_connections();
            is_confirmed = false;
        }
        // A store that has just not answered may not answer the next call either, which would be
        // noticed only after its wait.
        let wait = if cursor.is_some() && is_confirmed {
            let wait = LongPollSchedule.next(state.pool.counted_hosts(), state.random.next_unit());
            if reconnects.calls().is_isolated() { wait.min(ISOLATED_WAIT) } else { wait }
        } else {
            Duration::ZERO
        };
        let began = state.clock.now();
        if !wait.is_zero() {
            reconnects.calls().begin(topic, began);
        }
        let Some(update) = call_or_reconnect(topic, &*control, cursor, wait, &mut reconnects).await
        else {
            log::info!(target: "dependency", topic:% = topic; "reconnecting to the store");
            control.reset_connections();
            reconnects.calls().end(topic);
            is_confirmed = false;
            continue;
        };
        reconnects.calls().end(topic);
        is_confirmed = update.is_ok();
        let delivered = match update {
            Ok(TopicUpdate::Change(change))
                if cursor.is_some_and(|cursor| cursor.era < change.cursor.era) =>
            {
                log::warn!(
                    target: "dependency", topic:% = topic, cursor:% = change.cursor;
                    "the store came back from an older copy, reading the full topic"
                );
                cursor = None;
                wait_for_full_read(&state).await;
                true
            }
            Ok(TopicUpdate::Change(change)) => {
                failures = 0;
                let known = cursor.unwrap_or_default().max(change.cursor);
                cursor = Some(known);
                reconnects.calls().confirm(topic, known, began);
                let has_rows = !change.rows.is_empty();
                let delivered = publisher.tell(TopicChanged(topic, change)).await.is_ok();
                if delivered && has_rows {
                    tokio::time::sleep(batch_delay(topic, state.pool.hosts())).await;
                }
                delivered
            }
            Ok(TopicUpdate::HistoryGone) => {
                log::warn!(
                    target: "dependency", topic:% = topic;
                    "store history truncated, reading the full topic"
                );
                cursor = None;
                wait_for_full_read(&state).await;
                true
            }
            Err(error) => {
                let delivered =
                    publisher.tell(TopicUnavailable(topic, error.to_string())).await.is_ok();
                if matches!(error, PlatformError::Unknown(_)) {
                    reconnects.calls().reconnect(state.clock.now());
                }
                let hosts = u32::try_from(state.pool.hosts()).unwrap_or(u32::MAX);
                let max_delay = (MAX_RETRY_DELAY + RETRY_DELAY_PER_HOST.saturating_mul(hosts))
                    .min(MAX_TOTAL_RETRY_DELAY);
                let wait = RetryBackoff::new(FIRST_RETRY_DELAY, max_delay)
                    .wait(failures, state.random.next());
                tokio::time::sleep(FIRST_RETRY_DELAY / 2 + wait).await;
                failures = failures.saturating_add(1);
                delivered
            }
        };
        if !delivered {
            return;
        }
    }
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

/// The next update; `None` when a reconnect is requested first. An answer that is arriving is read to its end, since
/// asking for it again over a slow link would take as long.
async fn call_or_reconnect(
    topic: Topic,
    control: &dyn ControlPort,
    cursor: Option<StoreRevision>,
    wait: Duration,
    reconnects: &mut ReconnectRequests,
) -> Option<Result<TopicUpdate, PlatformError>> {
    let call = next_update(topic, control, cursor, wait);
    tokio::pin!(call);
    loop {
        tokio::select! {
            update = call.as_mut() => return Some(update),
            () = reconnects.next() => {
                if !control.is_receiving(topic) {
                    return None;
                }
            }
        }
    }
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
/// noticed when the first of them times out. Every change ends the calls of all hosts at once, so
/// that the next ones begin together; the waits are exponentially distributed up to their maximum,
/// since then some call ends soon whenever they began.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongPollSchedule;

impl LongPollSchedule {
    /// The wait of the next call of a host among `hosts`, if counted; `point` in 0..1 spreads the
    /// hosts.
    ///
    /// ```
    /// use oleander_gateway::topic_watch::LongPollSchedule;
    /// use std::time::Duration;
    ///
    /// let wait = |point| LongPollSchedule.next(Some(84), point);
    /// assert!(wait(0.01) < Duration::from_millis(500));
    /// assert!(wait(0.5) > Duration::from_secs(18));
    /// ```
    #[must_use]
    pub fn next(self, hosts: Option<usize>, point: f64) -> Duration {
        let Some(hosts) = hosts else {
            return MIN_WAIT.mul_f64((1.0 + point) / 2.0);
        };
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let mean = WAIT_PER_HOST.saturating_mul(hosts).max(MIN_WAIT);
        let max = mean.min(MAX_WAIT);
        let wait = mean.mul_f64(-(1.0 - point).ln());
        // The longest waits are spread as well, or those that reach the maximum would end together.
        wait.min(max.mul_f64(0.75 + point / 4.0))
    }
}
