//! Calls to the store that follow a topic, after calls that got no answer.

use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::control_port::{
    ControlPort, HostAgreement, HostRecord, SharedRow, SharedWrite, Topic, TopicChange,
    TopicUpdate, WriteOutcome,
};
use oleander_gateway::gateway_process::GatewayProcess;
use oleander_gateway::gossip_seal::GossipKey;
use oleander_gateway::rollout_plan::RolloutDecision;
use oleander_gateway::rollout_sums::HostSums;
use oleander_gateway::settings::{GatewayBounds, GatewaySettings};
use oleander_gateway::wire_format::{AnswerHead, CallerHead, WireFormat};
use oleander_ports::{PlatformError, PortFuture};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MANY_HOSTS: usize = 84;

/// A store that answers reads and loses the feed calls of one topic.
#[derive(Default)]
struct LossyStore {
    /// Waits asked for by the lost calls.
    waits: Mutex<Vec<Duration>>,
}

fn no_change(is_full: bool, waited: Duration) -> TopicChange {
    let cursor = StoreRevision::new(StoreEra::default(), 1);
    TopicChange { is_full, cursor, waited, store_now: Timestamp::from_millis(1), rows: Vec::new() }
}

impl ControlPort for LossyStore {
    fn read(&self, _: Topic) -> PortFuture<'_, Result<TopicChange, PlatformError>> {
        Box::pin(async { Ok(no_change(true, Duration::ZERO)) })
    }

    fn follow(
        &self,
        topic: Topic,
        _: StoreRevision,
        wait: Duration,
    ) -> PortFuture<'_, Result<TopicUpdate, PlatformError>> {
        Box::pin(async move {
            if topic != Topic::Orders {
                tokio::time::sleep(wait).await;
                return Ok(TopicUpdate::Change(no_change(false, wait)));
            }
            self.waits.lock().unwrap().push(wait);
            tokio::time::sleep(wait + Duration::from_secs(1)).await;
            Err(PlatformError::Unknown("no answer".to_owned()))
        })
    }

    fn write_decision(
        &self,
        _: RolloutDecision,
        _: StoreRevision,
    ) -> PortFuture<'_, Result<WriteOutcome, PlatformError>> {
        Box::pin(async { Ok(WriteOutcome::Applied) })
    }

    fn write_sums(&self, _: HostSums) -> PortFuture<'_, Result<(), PlatformError>> {
        Box::pin(async { Ok(()) })
    }

    fn read_sums(
        &self,
        _: oleander_core::ids::ServiceName,
    ) -> PortFuture<'_, Result<Vec<HostSums>, PlatformError>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn register_host(&self, _: HostRecord) -> PortFuture<'_, Result<(), PlatformError>> {
        Box::pin(async { Ok(()) })
    }

    fn hosts(&self) -> PortFuture<'_, Result<Vec<HostRecord>, PlatformError>> {
        Box::pin(async {
            let record = |host| HostRecord {
                host: format!("host-{host}").parse().unwrap(),
                region: "here".parse().unwrap(),
                peers: None,
            };
            Ok((0..MANY_HOSTS).map(record).collect())
        })
    }

    fn agree(&self, key: GossipKey) -> PortFuture<'_, Result<HostAgreement, PlatformError>> {
        Box::pin(async move { Ok(HostAgreement { key, rows: BTreeMap::new() }) })
    }

    fn write_shared(
        &self,
        _: SharedRow,
        _: Vec<u8>,
        _: Option<StoreRevision>,
    ) -> PortFuture<'_, Result<SharedWrite, PlatformError>> {
        Box::pin(async { Ok(SharedWrite::Applied) })
    }

    fn reset_connections(&self) {}
}

/// Guards against a host that noticed a silent store and asked it again with a wait of many seconds:
/// that call was lost as well, and the host learned of changes long after the store was back.
#[tokio::test(start_paused = true)]
async fn calls_after_a_lost_one_do_not_wait() {
    let store = Arc::new(LossyStore::default());
    let control: Arc<dyn ControlPort> = Arc::<LossyStore>::clone(&store);
    let process = GatewayProcess::start(settings(), plain_format(), control).await.unwrap();
    let serving = tokio::spawn(process.serve(std::future::pending()));
    tokio::time::sleep(Duration::from_secs(60)).await;
    serving.abort();
    let waits = store.waits.lock().unwrap();
    assert!(waits.len() >= 3, "{waits:?}");
    assert!(waits[1..].iter().all(|wait| *wait <= Duration::from_millis(200)), "{waits:?}");
}

fn settings() -> GatewaySettings {
    let free: SocketAddr = ([127, 0, 0, 1], 0).into();
    GatewaySettings {
        host: "host-1".parse().unwrap(),
        region: "here".parse().unwrap(),
        domain: "here-a".parse().unwrap(),
        domains: [("here-a".parse().unwrap(), "here".parse().unwrap())].into(),
        callers: free,
        ready: free,
        metrics: None,
        peers: None,
        outgoing: None,
        store: free,
        memory_bytes: 50_000_000,
        max_descriptors: 1_024,
        prefix_weighing: true,
        bounds: GatewayBounds::default(),
    }
}

/// A codec without headers beyond plain HTTP.
fn plain_format() -> WireFormat {
    WireFormat {
        read_caller: |_| CallerHead::default(),
        clean_caller: |_| {},
        write_upstream: |_, _| {},
        read_answer: |_| AnswerHead::default(),
    }
}
