//! Quality estimates, polled from a random steward every few seconds.

use arc_swap::ArcSwap;
use oleander_core::quality::QualityTable;
use oleander_ports::members::{Member, MemberRole, MemberState, MembershipPort};
use oleander_ports::peers::{PeerChannel, PeerPort};
use oleander_ports::shares::QualityPort;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Interval between polls, without jitter.
pub const POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum jitter, as a fraction of the interval.
const MAX_JITTER: f64 = 0.3;

/// A call on the statistics channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatisticsCall {
    /// Requests the table, unless the caller has the latest edition.
    Quality {
        /// The edition that the caller has, or 0 if it has none.
        edition: u64,
    },
}

/// The reply to a [`StatisticsCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StatisticsReply {
    /// The caller already has the latest edition.
    Unchanged,
    /// The latest edition.
    Quality {
        /// Number of the edition, which increases with each change.
        edition: u64,
        /// The estimates.
        table: QualityTable,
    },
}

/// Keeps a copy of the quality estimates that the stewards serve.
pub struct QualityFollower {
    table: Arc<ArcSwap<QualityTable>>,
    task: Option<JoinHandle<()>>,
}

impl QualityFollower {
    /// Starts polling. Must be called within a tokio runtime. `seed` seeds the jitter and the choice
    /// of the steward.
    #[must_use]
    pub fn new(peers: Arc<dyn PeerPort>, members: Arc<dyn MembershipPort>, seed: u64) -> Self {
        let table = Arc::new(ArcSwap::from_pointee(QualityTable::default()));
        let rng = StdRng::seed_from_u64(seed);
        let poller = QualityPoller { peers, members, rng, edition: 0, table: Arc::clone(&table) };
        Self { table, task: Some(tokio::spawn(poller.run())) }
    }

    /// Creates a follower with constant estimates that does not poll.
    #[must_use]
    pub fn fixed(table: QualityTable) -> Self {
        Self { table: Arc::new(ArcSwap::from_pointee(table)), task: None }
    }
}

impl Drop for QualityFollower {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl QualityPort for QualityFollower {
    fn estimates(&self) -> Arc<QualityTable> {
        self.table.load_full()
    }
}

struct QualityPoller {
    peers: Arc<dyn PeerPort>,
    members: Arc<dyn MembershipPort>,
    rng: StdRng,
    edition: u64,
    table: Arc<ArcSwap<QualityTable>>,
}

impl QualityPoller {
    async fn run(mut self) {
        loop {
            self.poll().await;
            let jitter = 1.0 + self.rng.random_range(0.0..MAX_JITTER);
            tokio::time::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
        }
    }

    async fn poll(&mut self) {
        let members = self.members.members();
        let serves = |m: &&Member| m.role == MemberRole::Steward && m.state == MemberState::Alive;
        let stewards: Vec<SocketAddr> =
            members.iter().filter(serves).map(|member| member.address).collect();
        let Some(&steward) = stewards.choose(&mut self.rng) else { return };
        let call = StatisticsCall::Quality { edition: self.edition };
        let Ok(body) = postcard::to_stdvec(&call) else { return };
        let reply = self.peers.call(steward, PeerChannel::Statistics, body, POLL_TIMEOUT).await;
        let Ok(reply) = reply else { return };
        match postcard::from_bytes(&reply) {
            Ok(StatisticsReply::Quality { edition, table }) if edition > self.edition => {
                self.edition = edition;
                self.table.store(Arc::new(table));
            }
            Ok(_) => {}
            Err(error) => log::warn!("quality.bad_reply peer={steward} error={error}"),
        }
    }
}
