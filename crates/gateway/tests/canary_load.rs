//! Load of a new version's upstreams in its canary, without a network.

use arc_swap::ArcSwap;
use oleander_core::ids::UpstreamName;
use oleander_core::stable_hash::mix;
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::choice_price::{PricedRequest, prices};
use oleander_gateway::control_cache::{ControlCache, ControlSnapshot};
use oleander_gateway::control_port::{Topic, TopicChange, TopicRow, TopicValue};
use oleander_gateway::placement::{ChoiceInput, PromptInput};
use oleander_gateway::rollout_plan::{RolloutDecision, RolloutOrder, RolloutPhase};
use oleander_gateway::settings::{GatewayBounds, GatewaySettings};
use oleander_gateway::upstream_entry::{UpstreamEntry, UpstreamState};
use oleander_gateway::upstream_handle::UpstreamPermit;
use oleander_gateway::upstream_pool::UpstreamPool;
use oleander_gateway::wire_format::TokenSize;
use oleander_ports::clock::{ClockPort, RuntimeClock};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

const SLOTS: u32 = 32;
const CANARY_SHARE: u16 = 50;
const START: Timestamp = Timestamp::from_millis(10_000);

fn revision(version: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::default(), version)
}

fn upstream(version: &str, number: u16) -> TopicRow {
    let name = format!("i-{version}-{number}");
    let entry = UpstreamEntry {
        name: name.parse().unwrap(),
        service: "writer".parse().unwrap(),
        address: ([10, 0, 0, 1], number).into(),
        domain: "north-a".parse().unwrap(),
        version: version.into(),
        slots: SLOTS,
        state: UpstreamState::Ready,
        started_ms: 1,
        cold_left: std::time::Duration::ZERO,
    };
    let value = TopicValue::Upstream(entry.into());
    TopicRow { key: name.into(), version: u64::from(number), value }
}

/// A snapshot of twenty upstreams of each of two versions, with a canary of the second one for the
/// share of sessions that one upstream serves.
fn canary_snapshot() -> ControlSnapshot {
    let service = || "writer".parse().unwrap();
    let order = RolloutOrder {
        service: service(),
        to: "v2".into(),
        duration: Duration::from_secs(24),
        revision: revision(60),
    };
    let decision = RolloutDecision {
        service: service(),
        to: "v2".into(),
        order: revision(60),
        phase: RolloutPhase::Canary,
        began: START,
        moved: None,
        canary: CANARY_SHARE,
        withdrawn: Vec::new(),
    };
    let row = |version, value| TopicRow { key: "rollout/writer".into(), version, value };
    let mut cache = ControlCache::new();
    let upstreams = (1..=20).map(|number| upstream("v1", number));
    let rows: [(Topic, Vec<TopicRow>); 3] = [
        (
            Topic::Upstreams,
            upstreams.chain((21..=40).map(|number| upstream("v2", number))).collect(),
        ),
        (Topic::Orders, vec![row(60, TopicValue::Rollout(order))]),
        (Topic::Decisions, vec![row(61, TopicValue::Decision(decision))]),
    ];
    for (topic, rows) in rows {
        let change = TopicChange {
            is_full: true,
            cursor: revision(61),
            waited: Duration::ZERO,
            store_now: START,
            rows,
        };
        cache.apply(topic, &change, START);
    }
    cache.snapshot()
}

struct CanaryTest {
    snapshot: ControlSnapshot,
    pool: UpstreamPool,
    permits: Vec<UpstreamPermit>,
}

impl CanaryTest {
    fn new() -> Self {
        let snapshot = canary_snapshot();
        let free = ([127, 0, 0, 1], 0).into();
        let settings = Arc::new(ArcSwap::from_pointee(GatewaySettings {
            host: "host-1".parse().unwrap(),
            region: "north".parse().unwrap(),
            domain: "north-a".parse().unwrap(),
            domains: [("north-a".parse().unwrap(), "north".parse().unwrap())].into(),
            callers: free,
            ready: free,
            metrics: None,
            peers: None,
            outgoing: None,
            store: free,
            memory_bytes: 100_000_000,
            max_descriptors: 1_024,
            prefix_weighing: true,
            bounds: GatewayBounds::default(),
        }));
        let clock: Arc<dyn ClockPort> = Arc::new(RuntimeClock::new(START));
        let pool = UpstreamPool::new(settings, clock);
        pool.set_hosts(1);
        pool.update(&snapshot.upstreams);
        Self { snapshot, pool, permits: Vec::new() }
    }

    /// Begins requests that stay in flight.
    fn begin(&mut self, count: usize, now: Timestamp) {
        let service = "writer".parse().unwrap();
        let entries = &self.snapshot.upstreams[&service];
        for _ in 0..count {
            let number = self.permits.len();
            let session = format!("session-{number}");
            let rule = self.snapshot.version_rule(&service, &session, Some("v2"), now);
            let prices = prices(&PricedRequest {
                size: None,
                shared_tokens: 0,
                body_bytes: 0,
                priority: 1,
                latency_target: Duration::from_secs(4),
                model_cost: 0.26,
            });
            let permit = self.pool.choose(&ChoiceInput {
                entries,
                rule: &rule,
                tried: &HashSet::new(),
                size: TokenSize { prompt: 1_200, answer: 24 },
                prefill: Duration::from_millis(13),
                shared_prefix: None,
                prompt: PromptInput::default(),
                prices,
                priority: 1,
                random: mix(number as u64),
                now,
            });
            self.permits.push(permit.unwrap());
        }
    }

    /// Requests in flight by upstream.
    fn loads(&self) -> BTreeMap<UpstreamName, usize> {
        let mut loads = BTreeMap::new();
        for permit in &self.permits {
            *loads.entry(permit.upstream.entry.name.clone()).or_default() += 1;
        }
        loads
    }
}

/// Guards against a version that fails only on loaded upstreams and that is completed because its
/// canary was spread over all of them, none of which had more than a few requests.
#[test]
fn a_canary_loads_an_upstream_as_normal_work_may() {
    let mut test = CanaryTest::new();
    test.begin(SLOTS as usize * 3 / 4, START);
    let loads = test.loads();
    assert!(loads.keys().all(|name| name.as_str().starts_with("i-v2")), "{loads:?}");
    let most = loads.values().copied().max().unwrap();
    assert!(most >= SLOTS as usize * 3 / 5, "{loads:?}");
}

/// Guards against queueing the canary's requests at one upstream while others are idle.
#[test]
fn a_canary_uses_a_further_upstream_when_one_is_full() {
    let mut test = CanaryTest::new();
    test.begin(SLOTS as usize * 2, START);
    let loads = test.loads();
    assert!(loads.values().all(|load| *load <= SLOTS as usize), "{loads:?}");
}

/// Guards against a faulty upstream that alone decides on a version.
#[test]
fn a_canary_changes_its_upstreams() {
    let mut first: HashSet<UpstreamName> = HashSet::new();
    for seconds in [0, 8, 16, 24, 32] {
        let mut test = CanaryTest::new();
        test.begin(SLOTS as usize / 2, START + Duration::from_secs(seconds));
        assert_eq!(test.loads().len(), 1, "{:?}", test.loads());
        first.extend(test.loads().into_keys());
    }
    assert!(first.len() >= 3, "{first:?}");
}
