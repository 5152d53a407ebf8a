//! Follows one topic of the platform's store for as long as the process runs.

use crate::control_port::{ControlPort, Topic, TopicUpdate};
use crate::gossip::ReconnectSignal;
use crate::snapshot_publisher::{SnapshotPublisher, TopicChanged, TopicUnavailable};
use crate::state::GatewayState;
use kameo::actor::ActorRef;
use oleander_core::backoff::RetryBackoff;
use oleander_ports::PlatformError;
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the wait for a change in one call, and what each host adds to it. Each call costs.
/// A connection that went silent shows when its call does not end in time; a host that hears of
/// it tells the others, so the more hosts there are, the longer each may wait: one call in half
/// a second ends somewhere. The store allows 30 s.
const MIN_WAIT: Duration = Duration::from_millis(3_000);
const MAX_WAIT: Duration = Duration::from_secs(25);
const WAIT_PER_HOST: Duration = Duration::from_millis(500);
/// Time between looks whether a roll-out is open.
const OPEN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a change before the next call, so that changes which come together, as when many
/// upstreams start, take one call and not one each. Changes have to be known within 3 s; orders
/// and decisions are few, and roll-outs are timed from them.
const UPSTREAM_BATCH_DELAY: Duration = Duration::from_millis(1_300);
const ORDER_BATCH_DELAY: Duration = Duration::from_millis(200);
/// What each host adds to a pause, since each change costs as many calls as there are hosts, and
/// the most that all add: two thirds of the 3 s, with what a call and a lost connection take.
const BATCH_DELAY_PER_HOST: Duration = Duration::from_millis(8);
const MAX_ADDED_BATCH_DELAY: Duration = Duration::from_millis(700);
/// What news of the store take beside the pause: links between regions take 30 ms, a slow store
/// 240 ms.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(300);
/// Least time before connections are doubted, since each doubt costs a call for each topic.
const MIN_PROPAGATION_TIMEOUT: Duration = Duration::from_millis(1_400);
/// First wait after a failed call; doubles up to [`MAX_RETRY_DELAY`] and what each host adds.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest wait after failed calls: well within the 4 s after an outage in which a host counts
/// as cut off, also with what 100 hosts add.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
const RETRY_DELAY_PER_HOST: Duration = Duration::from_millis(8);
const MAX_TOTAL_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Follows `topic` and tells `keeper` what changes; ends when the keeper does.
pub async fn follow_topic(
    topic: Topic,
    state: Arc<GatewayState>,
    port: Arc<dyn ControlPort>,
    publisher: ActorRef<SnapshotPublisher>,
    reconnect: Arc<ReconnectSignal>,
) {
    let mut cursor = None;
    let mut failures = 0u32;
    let mut waits = LongPollSchedule::default();
    loop {
        if topic == Topic::Decisions && cursor.is_some() {
            wait_for_open_rollout(&state).await;
        }
        let wait = waits.next(state.pool.counted_hosts(), state.random.next_unit());
        let requested = reconnect.requested();
        let update = tokio::select! {
            update = next_update(topic, &*port, cursor, wait) => update,
            () = requested => {
                log::info!(target: "dependency", topic:% = topic; "connections doubted, opening new ones");
                port.reset_connections();
                continue;
            }
        };
        let delivered = match update {
            Ok(TopicUpdate::Change(change)) => {
                failures = 0;
                cursor = Some(cursor.unwrap_or(0).max(change.cursor));
                let has_rows = !change.rows.is_empty();
                let delivered = publisher.tell(TopicChanged(topic, change)).await.is_ok();
                if delivered && has_rows {
                    tokio::time::sleep(batch_delay(topic, state.pool.hosts())).await;
                }
                delivered
            }
            Ok(TopicUpdate::HistoryGone) => {
                log::warn!(target: "dependency", topic:% = topic; "history gone, reading all again");
                cursor = None;
                true
            }
            Err(error) => {
                let delivered =
                    publisher.tell(TopicUnavailable(topic, error.to_string())).await.is_ok();
                if matches!(error, PlatformError::Unknown(_)) {
                    reconnect.request(state.clock.now());
                }
                let hosts = u32::try_from(state.pool.hosts()).unwrap_or(u32::MAX);
                let longest = (MAX_RETRY_DELAY + RETRY_DELAY_PER_HOST.saturating_mul(hosts))
                    .min(MAX_TOTAL_RETRY_DELAY);
                let wait = RetryBackoff::new(FIRST_RETRY_DELAY, longest)
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

/// Pause after news of a topic on a host among `hosts`.
#[must_use]
pub fn batch_delay(topic: Topic, hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let added = BATCH_DELAY_PER_HOST.saturating_mul(hosts).min(MAX_ADDED_BATCH_DELAY);
    match topic {
        Topic::Upstreams => UPSTREAM_BATCH_DELAY + added,
        Topic::Orders => ORDER_BATCH_DELAY + added,
        // Decisions come one by one, and a bad version is out as soon as they are known.
        Topic::Decisions => ORDER_BATCH_DELAY,
    }
}

/// Time in which news of a topic should be there after another of `hosts` has it.
#[must_use]
pub fn propagation_timeout(topic: Topic, hosts: usize) -> Duration {
    (batch_delay(topic, hosts) + PROPAGATION_MARGIN).max(MIN_PROPAGATION_TIMEOUT)
}

/// Waits until a roll-out is open: nobody decides anything before one is ordered.
async fn wait_for_open_rollout(state: &GatewayState) {
    while !state.snapshot.load().has_open_rollout() {
        tokio::time::sleep(OPEN_POLL_INTERVAL).await;
    }
}

async fn next_update(
    topic: Topic,
    port: &dyn ControlPort,
    cursor: Option<u64>,
    wait: Duration,
) -> Result<TopicUpdate, PlatformError> {
    match cursor {
        None => port.read(topic).await.map(TopicUpdate::Change),
        Some(cursor) => port.follow(topic, cursor, wait).await,
    }
}

/// Length of the waits of one topic's calls.
///
/// All calls that wait may be lost together, as when the store takes them and answers none. It
/// shows when the first of them ends, so calls of many hosts must not end together: until the
/// hosts are counted waits are short, and the first long one is of any length.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongPollSchedule {
    spread: bool,
}

impl LongPollSchedule {
    /// The wait of the next call of a host among `hosts`, if they were counted, at a point in 0..1
    /// that keeps hosts apart.
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
