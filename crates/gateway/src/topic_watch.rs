//! Follows one topic of the platform's store for as long as the process runs.

use crate::belief_keeper::{BeliefKeeper, TopicChanged, TopicLost};
use crate::control_port::{ControlPort, Topic, TopicNews};
use kameo::actor::ActorRef;
use oleander_core::backoff::RetryBackoff;
use oleander_ports::PlatformError;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a change in one call. Each call costs, and a connection that went silent is
/// found by probes within about two seconds, however long the wait.
const FOLLOW_WAIT: Duration = Duration::from_secs(15);
/// First wait after a failed call; doubles up to [`LONGEST_RETRY`].
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest wait after failed calls: well within the 4 s after an outage in which a host counts
/// as cut off.
const LONGEST_RETRY: Duration = Duration::from_millis(800);

/// Follows `topic` and tells `keeper` what changes; ends when the keeper does.
pub async fn follow_topic(
    topic: Topic,
    port: Arc<dyn ControlPort>,
    keeper: ActorRef<BeliefKeeper>,
    seed: u64,
) {
    let backoff = RetryBackoff::new(FIRST_RETRY, LONGEST_RETRY);
    let mut cursor = None;
    let mut failures = 0u32;
    loop {
        let told = match next_news(topic, &*port, cursor).await {
            Ok(TopicNews::Change(change)) => {
                failures = 0;
                cursor = Some(cursor.unwrap_or(0).max(change.cursor));
                keeper.tell(TopicChanged(topic, change)).await.is_ok()
            }
            Ok(TopicNews::HistoryGone) => {
                log::warn!(target: "dependency", topic:% = topic; "history gone, reading all again");
                cursor = None;
                true
            }
            Err(error) => {
                let told = keeper.tell(TopicLost(topic, error.to_string())).await.is_ok();
                let word = seed.wrapping_add(u64::from(failures));
                tokio::time::sleep(backoff.wait(failures, word)).await;
                failures = failures.saturating_add(1);
                told
            }
        };
        if !told {
            return;
        }
    }
}

async fn next_news(
    topic: Topic,
    port: &dyn ControlPort,
    cursor: Option<u64>,
) -> Result<TopicNews, PlatformError> {
    match cursor {
        None => port.read(topic).await.map(TopicNews::Change),
        Some(cursor) => port.follow(topic, cursor, FOLLOW_WAIT).await,
    }
}
