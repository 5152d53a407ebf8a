//! Who is served where the upstreams of a service report no room, without a network.

use oleander_core::account_share::{AccountHash, ReportedDemand, ShareExcess};
use oleander_core::host_view::HostHash;
use oleander_core::room_admission::{RequestKind, RoomRequest};
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::{Money, Timestamp};
use oleander_gateway::choice_price::ChoicePrices;
use oleander_gateway::load_report::{LoadReport, UpstreamHash};
use oleander_gateway::placement::{ChoiceInput, PromptInput};
use oleander_gateway::rollout_plan::VersionRule;
use oleander_gateway::settings::{GatewayBounds, GatewaySettings};
use oleander_gateway::upstream_entry::{UpstreamEntry, UpstreamState};
use oleander_gateway::upstream_handle::UpstreamPermit;
use oleander_gateway::upstream_pool::UpstreamPool;
use oleander_gateway::wire_format::{AnswerLoad, TokenSize};
use oleander_ports::clock::ClockPort;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const UPSTREAMS: usize = 12;
const SLOTS: u32 = 24;

#[derive(Debug, Default)]
struct ManualClock(AtomicU64);

impl ClockPort for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// One host with its pool.
struct Host {
    pool: UpstreamPool,
    clock: Arc<ManualClock>,
    entries: Vec<Arc<UpstreamEntry>>,
}

impl Host {
    fn new() -> Self {
        let free = ([127, 0, 0, 1], 0).into();
        let settings = Arc::new(arc_swap::ArcSwap::from_pointee(GatewaySettings {
            host: "host-1".parse().unwrap(),
            region: "puget".parse().unwrap(),
            domain: "puget-a".parse().unwrap(),
            domains: [("puget-a".parse().unwrap(), "puget".parse().unwrap())].into(),
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
        let entry = |number: usize| UpstreamEntry {
            name: format!("i-{number}").parse().unwrap(),
            service: "writer".parse().unwrap(),
            address: ([10, 0, 0, number as u8], 80).into(),
            domain: "puget-a".parse().unwrap(),
            version: Arc::from("v1"),
            slots: SLOTS,
            state: UpstreamState::Ready,
            started_ms: 1,
            cold_left: Duration::ZERO,
        };
        let entries: Vec<_> = (0..UPSTREAMS).map(|number| Arc::new(entry(number))).collect();
        let clock = Arc::new(ManualClock(AtomicU64::new(1_000)));
        let pool = UpstreamPool::new(settings, Arc::clone(&clock) as Arc<dyn ClockPort>);
        pool.set_hosts(75);
        pool.update(&BTreeMap::from([("writer".parse().unwrap(), entries.clone())]));
        Self { pool, clock, entries }
    }

    fn choose(&self, random: u64) -> UpstreamPermit {
        let input = ChoiceInput {
            entries: &self.entries,
            rule: &VersionRule::Any,
            tried: &HashSet::new(),
            size: TokenSize::default(),
            prefill: Duration::ZERO,
            shared_prefix: None,
            prompt: PromptInput::default(),
            priority: 0,
            prices: ChoicePrices { per_second: Money::from_micros(1), ..ChoicePrices::default() },
            random: mix(random),
            now: self.clock.now(),
        };
        self.pool.choose(&input).unwrap()
    }

    /// All upstreams answer requests after six seconds, most of them in the queue, with this load.
    fn hear(&self, running: u32, waiting: u32) {
        let load = AnswerLoad { running, waiting, slots: SLOTS, pace: None };
        let mut permits: Vec<_> = (0..4 * UPSTREAMS as u64).map(|n| self.choose(n)).collect();
        self.clock.0.fetch_add(6_000, Ordering::Relaxed);
        for permit in &mut permits {
            permit.record_head(Some(load));
            permit.record_run(load);
        }
    }

    /// Plays requests with 4 s left; the shares that are refused of the first account and of the others.
    fn play(&self, accounts: &[(AccountHash, u64)], step_ms: u64) -> (f64, f64) {
        let total: u64 = accounts.iter().map(|account| account.1).sum();
        let mut counts = [(0u32, 0u32); 2];
        for number in 0..600u64 {
            let mut point = (unit_point(mix(number)) * total as f64) as u64;
            let index = accounts.iter().position(|account| {
                let is_drawn = point < account.1;
                point = point.saturating_sub(account.1);
                is_drawn
            });
            let index = index.unwrap();
            let request = RoomRequest {
                kind: RequestKind::new("tag".into(), 2),
                value: 1.0,
                time_left: Duration::from_secs(4),
                above: ShareExcess::default(),
                random: unit_point(mix(number ^ 1 << 40)),
            };
            let account = Some(accounts[index].0);
            let service = "writer".parse().unwrap();
            self.clock.0.fetch_add(step_ms, Ordering::Relaxed);
            let now = self.clock.now();
            let refused = self.pool.refused_for(&service, request, account, &self.entries, now);
            let count = &mut counts[usize::from(index > 0)];
            *count = (count.0 + 1, count.1 + u32::from(refused.is_some()));
        }
        let share = |count: (u32, u32)| f64::from(count.1) / f64::from(count.0.max(1));
        (share(counts[0]), share(counts[1]))
    }
}

fn account(number: usize) -> AccountHash {
    AccountHash::new(&format!("account-{number}"))
}

/// Guards against others that are refused for one account at 7.5 times its usual rate, of which this host
/// itself sees no more than of others: other hosts tell of it.
#[test]
fn an_account_that_other_hosts_tell_of_is_refused_before_others() {
    let host = Host::new();
    host.hear(SLOTS, 140);
    let rate = |number| if number == 0 { 150 } else { 20 };
    let report: Vec<ReportedDemand> = (0..8)
        .map(|number| ReportedDemand { account: account(number), rate: rate(number) })
        .collect();
    for number in 0..30 {
        let other = HostHash::new(&format!("host-{number}").parse().unwrap());
        host.pool.merge_demand(other, &report, host.clock.now());
    }
    let rate = |number| if number == 0 { 15 } else { 2 };
    let accounts: Vec<_> = (0..8).map(|number| (account(number), rate(number))).collect();
    let (first, others) = host.play(&accounts, 1);
    assert!((0.2..0.9).contains(&first), "{first}");
    assert!(others < 0.05, "{others}");
}

/// Guards against refusals by a service with room, by reports that are too old or may be forged, and by
/// a host that has just started.
#[test]
fn without_recent_reports_of_a_full_service_everything_is_admitted() {
    let accounts = [(account(0), 15), (account(1), 2)];
    assert_eq!(Host::new().play(&accounts, 1), (0.0, 0.0), "nothing is known");
    let host = Host::new();
    host.hear(SLOTS / 2, 0);
    assert_eq!(host.play(&accounts, 1), (0.0, 0.0), "half of the slots are free");
    let load = AnswerLoad { running: SLOTS, waiting: 200, slots: SLOTS, pace: None };
    let (lag, age) = (Duration::from_secs(6), Duration::from_millis(10));
    let reports: Vec<LoadReport> = host
        .entries
        .iter()
        .filter_map(|entry| LoadReport::new(UpstreamHash::new(&entry.name), load, lag, age))
        .collect();
    host.pool.merge_load_reports(&reports, host.clock.now() + Duration::from_secs(1));
    assert_eq!(host.play(&accounts, 1), (0.0, 0.0), "the datagrams are not authentic");
    host.clock.0.fetch_add(1_000, Ordering::Relaxed);
    host.pool.merge_authentic_load_reports(&reports, host.clock.now());
    assert!(host.play(&accounts, 1).0 > 0.0);
    host.clock.0.fetch_add(1_000, Ordering::Relaxed);
    assert_eq!(host.play(&accounts, 1), (0.0, 0.0), "the reports are outdated");
}
