//! Placement, load sharing and retry budgets under load, without a network.

use oleander_core::attempt_retry::FaultKind;
use oleander_core::ids::UpstreamName;
use oleander_core::stable_hash::mix;
use oleander_core::units::{Money, Timestamp};
use oleander_gateway::choice_price::{ChoicePrices, PricedRequest, prices};
use oleander_gateway::fault::AttemptFault;
use oleander_gateway::placement::{ChoiceInput, PromptInput};
use oleander_gateway::rollout_plan::VersionRule;
use oleander_gateway::settings::{GatewayBounds, GatewaySettings, SharedSettings};
use oleander_gateway::upstream_entry::{UpstreamEntry, UpstreamState};
use oleander_gateway::upstream_handle::UpstreamPermit;
use oleander_gateway::upstream_pool::UpstreamPool;
use oleander_gateway::wire_format::{AnswerLoad, TokenSize};
use oleander_ports::clock::ClockPort;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const REGIONS: [&str; 3] = ["puget", "willamette", "inland"];

fn settings(region: &str, bounds: GatewayBounds) -> SharedSettings {
    let free = ([127, 0, 0, 1], 0).into();
    let domains = REGIONS.map(|name| (format!("{name}-a").parse().unwrap(), name.parse().unwrap()));
    SharedSettings::new(arc_swap::ArcSwap::from_pointee(GatewaySettings {
        host: format!("host-{region}").parse().unwrap(),
        region: region.parse().unwrap(),
        domain: format!("{region}-a").parse().unwrap(),
        domains: domains.into(),
        callers: free,
        ready: free,
        metrics: None,
        peers: None,
        outgoing: None,
        store: free,
        memory_bytes: 100_000_000,
        max_descriptors: 1_024,
        prefix_weighing: true,
        bounds,
    }))
}

/// A clock set by hand, in milliseconds.
#[derive(Debug, Default)]
struct ManualClock(AtomicU64);

impl ClockPort for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Upstreams spread over the regions.
fn entries(count: usize) -> Vec<Arc<UpstreamEntry>> {
    let entry = |number: usize| UpstreamEntry {
        name: format!("i-{number}").parse().unwrap(),
        service: "writer".parse().unwrap(),
        address: ([10, 0, 0, number as u8], 80).into(),
        domain: format!("{}-a", REGIONS[number % REGIONS.len()]).parse().unwrap(),
        version: Arc::from("v1"),
        slots: 64,
        state: UpstreamState::Ready,
        started_ms: 1,
        cold_left: std::time::Duration::ZERO,
    };
    (0..count).map(|number| Arc::new(entry(number))).collect()
}

fn pool_in(region: &str, entries: &[Arc<UpstreamEntry>]) -> UpstreamPool {
    let pool = UpstreamPool::new(
        settings(region, GatewayBounds::default()),
        Arc::new(ManualClock::default()),
    );
    pool.set_hosts(7);
    pool.update(&BTreeMap::from([("writer".parse().unwrap(), entries.to_vec())]));
    pool
}

struct TestRequest {
    size: TokenSize,
    shared: Option<(String, u32)>,
    prefill: Duration,
}

impl TestRequest {
    fn plan(subject: usize) -> Self {
        Self {
            size: TokenSize { prompt: 12_000, answer: 384 },
            shared: Some((format!("subject-{subject}"), 5_400)),
            prefill: Duration::from_millis(130),
        }
    }

    fn tag() -> Self {
        Self {
            size: TokenSize { prompt: 1_200, answer: 24 },
            shared: None,
            prefill: Duration::from_millis(13),
        }
    }

    fn prices(&self) -> ChoicePrices {
        prices(&PricedRequest {
            size: Some(self.size),
            shared_tokens: self.shared.as_ref().map_or(0, |shared| shared.1),
            body_bytes: self.size.prompt as usize,
            priority: 1,
            latency_target: Duration::from_secs(4),
            model_cost: 0.26,
        })
    }

    fn choose(
        &self,
        pool: &UpstreamPool,
        entries: &[Arc<UpstreamEntry>],
        random: u64,
        now: u64,
    ) -> Option<UpstreamPermit> {
        self.choose_but(pool, entries, &HashSet::new(), random, now)
    }

    fn choose_but(
        &self,
        pool: &UpstreamPool,
        entries: &[Arc<UpstreamEntry>],
        tried: &HashSet<UpstreamName>,
        random: u64,
        now: u64,
    ) -> Option<UpstreamPermit> {
        pool.choose(&ChoiceInput {
            entries,
            rule: &VersionRule::Any,
            tried,
            size: self.size,
            prefill: self.prefill,
            shared_prefix: self.shared.as_ref().map(|shared| shared.0.as_str()),
            prompt: PromptInput::default(),
            prices: self.prices(),
            priority: 1,
            random: mix(random),
            now: Timestamp::from_millis(now),
        })
    }
}

fn counts(permits: &[UpstreamPermit]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for permit in permits {
        *counts.entry(permit.upstream.entry.name.to_string()).or_default() += 1;
    }
    counts
}

/// Guards against placing several long prompts on one upstream while another is idle, which happens
/// when prompts in prefill are counted only as requests.
#[test]
fn concurrent_long_prompts_are_spread() {
    let entries = entries(9);
    let pool = pool_in("puget", &entries);
    let long = TestRequest {
        size: TokenSize { prompt: 50_000, answer: 384 },
        shared: None,
        prefill: Duration::from_millis(1_600),
    };
    let permits: Vec<_> = (0..9).filter_map(|n| long.choose(&pool, &entries, n, 1_000)).collect();
    let most = counts(&permits).into_values().max().unwrap();
    assert!(most <= 2, "{:?}", counts(&permits));
}

/// Guards against queueing short requests behind a long prompt that is still in prefill.
#[test]
fn short_requests_avoid_an_upstream_in_a_long_prefill() {
    let entries = entries(9);
    let pool = pool_in("puget", &entries);
    let long = TestRequest {
        size: TokenSize { prompt: 50_000, answer: 384 },
        shared: None,
        prefill: Duration::from_millis(1_600),
    };
    let busy = long.choose(&pool, &entries, 1, 1_000).unwrap();
    let name = busy.upstream.entry.name.to_string();
    let permits: Vec<_> =
        (0..40).filter_map(|n| TestRequest::tag().choose(&pool, &entries, n, 1_000)).collect();
    assert_eq!(counts(&permits).get(&name), None);
    drop(busy);
    let permits: Vec<_> =
        (0..400).filter_map(|n| TestRequest::tag().choose(&pool, &entries, n, 1_000)).collect();
    assert!(counts(&permits).contains_key(&name), "it is used again once the prefill is over");
}

/// Guards against herding: many hosts have the same stale report of one idle upstream.
#[test]
fn hosts_do_not_herd_to_an_upstream_with_a_stale_idle_report() {
    let entries = entries(30);
    let mut chosen = HashMap::new();
    for host in 0..40u64 {
        let pool = pool_in("puget", &entries);
        // Every host got a report half a second ago that all upstreams but the first are busy.
        let permits: Vec<_> = (0..30)
            .filter_map(|n| {
                let others: HashSet<_> = entries
                    .iter()
                    .enumerate()
                    .filter(|(index, _)| *index != n as usize)
                    .map(|(_, entry)| entry.name.clone())
                    .collect();
                TestRequest::tag().choose_but(&pool, &entries, &others, n, 1_000)
            })
            .collect();
        for permit in &permits {
            let idle = permit.upstream.entry.name.as_str() == "i-0";
            let running = if idle { 0 } else { 20 };
            permit.upstream.record_load(
                AnswerLoad { running, waiting: 0, slots: 64, pace: None },
                Duration::ZERO,
                Timestamp::from_millis(1_000),
            );
        }
        drop(permits);
        let permit = TestRequest::tag().choose(&pool, &entries, host * 77, 1_500).unwrap();
        *chosen.entry(permit.upstream.entry.name.to_string()).or_insert(0) += 1;
    }
    let herd = chosen.get("i-0").copied().unwrap_or(0);
    assert!(herd <= 13, "{herd} of 40 hosts chose the same upstream: {chosen:?}");
}

/// Pools of 60 hosts with reports of at most two of 90 upstreams each. Ten upstreams have eight
/// requests queued.
fn pools_with_few_reports(entries: &[Arc<UpstreamEntry>]) -> Vec<UpstreamPool> {
    let mut pools = Vec::new();
    for host in 0..60u64 {
        let pool = pool_in("puget", entries);
        for n in 0..2 {
            let permit = TestRequest::tag().choose(&pool, entries, host * 100 + n, 1_000).unwrap();
            let number: u32 = permit.upstream.entry.name.as_str()[2..].parse().unwrap();
            let waiting = if number.is_multiple_of(10) { 8 } else { 0 };
            let load = AnswerLoad { running: 6, waiting, slots: 24, pace: None };
            permit.upstream.record_load(load, Duration::ZERO, Timestamp::from_millis(1_000));
        }
        pools.push(pool);
    }
    pools
}

/// Share of short requests that the hosts send to an upstream with a queue.
fn share_sent_to_queues(pools: &[UpstreamPool], entries: &[Arc<UpstreamEntry>], now: u64) -> f64 {
    let mut queued = 0;
    for (host, pool) in pools.iter().enumerate() {
        let permit = TestRequest::tag().choose(pool, entries, host as u64 * 7 + 3, now).unwrap();
        let number: u32 = permit.upstream.entry.name.as_str()[2..].parse().unwrap();
        queued += u32::from(number.is_multiple_of(10));
    }
    f64::from(queued) / pools.len() as f64
}

/// Guards against sending requests into queues that other hosts know of. Each host sees few
/// responses itself; after a few rounds of gossip all hosts avoid the queues.
#[test]
fn hosts_that_gossip_loads_avoid_queues() {
    let entries = entries(90);
    let pools = pools_with_few_reports(&entries);
    let before = share_sent_to_queues(&pools, &entries, 1_000);
    for round in 1..=4u64 {
        let now = Timestamp::from_millis(1_000 + round * 100);
        for (host, pool) in pools.iter().enumerate() {
            let reports = pool.load_reports(now);
            for peer in 0..2 {
                let word = mix(round * 1_000 + host as u64 * 10 + peer);
                pools[(word % 60) as usize].merge_load_reports(&reports, now);
            }
        }
    }
    let after = share_sent_to_queues(&pools, &entries, 1_400);
    assert!(before > 0.05, "{before}: without gossip they do not avoid queues");
    assert!(after <= 0.02, "{after} after, {before} before");
}

/// Guards against choosing an upstream that prefills a long prompt of another host. Its late
/// response reports an empty queue, so the report has to carry the delay. It counts until it is
/// stale.
#[yare::parameterized(
    answered_late = { true },
    abandoned = { false },
)]
fn an_upstream_that_answered_another_host_late_is_avoided(answered: bool) {
    let entries = entries(9);
    let clock = Arc::new(ManualClock::default());
    clock.0.store(1_000, Ordering::Relaxed);
    let settings = settings("puget", GatewayBounds::default());
    let other = UpstreamPool::new(settings, Arc::clone(&clock) as Arc<dyn ClockPort>);
    other.update(&BTreeMap::from([("writer".parse().unwrap(), entries.clone())]));
    let idle = AnswerLoad { running: 3, waiting: 0, slots: 24, pace: None };
    let mut slow = TestRequest::tag().choose(&other, &entries, 5, 1_000).unwrap();
    let name = slow.upstream.entry.name.to_string();
    slow.upstream.record_load(idle, Duration::ZERO, Timestamp::from_millis(1_000));
    clock.0.store(2_500, Ordering::Relaxed);
    if answered {
        slow.record_head(Some(idle));
    }
    drop(slow);
    let reports = other.load_reports(Timestamp::from_millis(2_500));
    let pool = pool_in("puget", &entries);
    let used = |now: u64| {
        let permits: Vec<_> =
            (0..200).filter_map(|n| TestRequest::tag().choose(&pool, &entries, n, now)).collect();
        counts(&permits).get(&name).copied().unwrap_or(0)
    };
    assert!(used(2_500) > 0, "the upstream was in use before");
    pool.merge_load_reports(&reports, Timestamp::from_millis(2_600));
    assert_eq!(used(2_600), 0);
    assert!(used(9_000) > 0);
}

/// Guards against replacing a load by an older one when reports of the same upstream arrive by
/// several paths. Reports that are too old are not passed on.
#[test]
fn newer_loads_are_not_replaced_by_older_ones() {
    let entries = entries(1);
    let (pool, other) = (pool_in("puget", &entries), pool_in("puget", &entries));
    let at = Timestamp::from_millis;
    for (host, waiting, reported_at) in [(&pool, 9, 1_000), (&other, 1, 1_500)] {
        let permit = TestRequest::tag().choose(host, &entries, 1, reported_at).unwrap();
        let load = AnswerLoad { running: 5, waiting, slots: 24, pace: None };
        permit.upstream.record_load(load, Duration::ZERO, at(reported_at));
    }
    let old = pool.load_reports(at(1_600));
    other.merge_load_reports(&old, at(1_600));
    let reports = other.load_reports(at(1_600));
    assert_eq!(reports[0].load(24).waiting, 1);
    pool.merge_load_reports(&reports, at(1_600));
    assert_eq!(pool.load_reports(at(1_600))[0].load(24).waiting, 1);
    assert!(pool.load_reports(at(9_000)).is_empty());
}

/// Guards against losing prefix-cache hits: requests with a long shared prefix go to the same
/// upstream from every region while it is not loaded much above the others.
#[test]
fn requests_with_a_long_shared_prompt_stay_together() {
    let entries = entries(9);
    for subject in 0..20 {
        let mut holders = HashSet::new();
        for region in REGIONS {
            let pool = pool_in(region, &entries);
            for n in 0..5 {
                let permit = TestRequest::plan(subject).choose(&pool, &entries, n, 1_000).unwrap();
                holders.insert(permit.upstream.entry.name.to_string());
            }
        }
        assert_eq!(holders.len(), 1, "subject {subject}: {holders:?}");
    }
}

/// Guards against overloading the cache holder when one prefix gets most of the traffic.
#[test]
fn a_hot_prefix_spills_over() {
    let entries = entries(9);
    let pool = pool_in("puget", &entries);
    let permits: Vec<_> =
        (0..45).filter_map(|n| TestRequest::plan(1).choose(&pool, &entries, n, 1_000)).collect();
    let counts = counts(&permits);
    let most = counts.values().max().unwrap();
    assert!(*most <= 15 && counts.len() >= 5, "{counts:?}");
}

/// Guards against paying for traffic between regions when there is no shared prefix to gain from.
#[test]
fn work_stays_in_its_region_while_there_is_room() {
    let entries = entries(9);
    let pool = pool_in("willamette", &entries);
    let mut permits = Vec::new();
    for n in 0..30 {
        let permit = TestRequest::tag().choose(&pool, &entries, n, 1_000).unwrap();
        assert_eq!(permit.upstream.entry.domain.as_str(), "willamette-a");
        permits.push(permit);
    }
}

/// Guards against failing requests when a region has no upstreams left.
#[test]
fn work_goes_to_other_regions_when_its_own_has_no_upstream() {
    let entries = entries(9);
    let others: Vec<_> =
        entries.iter().filter(|entry| entry.domain.as_str() != "puget-a").cloned().collect();
    let pool = pool_in("puget", &others);
    assert!(TestRequest::tag().choose(&pool, &others, 1, 1_000).is_some());
}

/// Guards against flooding an unreachable upstream: it is ejected at the second fault and gets one
/// request at a time when it returns.
#[test]
fn an_unreachable_upstream_is_ejected_and_returns_gradually() {
    let entries = entries(3);
    let pool = pool_in("puget", &entries);
    let entry = &entries[0];
    let fault = AttemptFault::new(FaultKind::Connect, "no connection");
    let chosen_at = |now: u64| -> Vec<UpstreamPermit> {
        (0..60).filter_map(|n| TestRequest::tag().choose(&pool, &entries, n, now)).collect()
    };
    assert!(!pool.record_fault(entry, &fault, Timestamp::from_millis(1_000)));
    assert!(pool.record_fault(entry, &fault, Timestamp::from_millis(1_010)));
    assert!(!counts(&chosen_at(1_500)).contains_key("i-0"));
    let back = counts(&chosen_at(9_000)).get("i-0").copied().unwrap_or(0);
    assert!(back <= 1, "{back} requests at once after its ejection");
    pool.record_success(entry);
    assert!(counts(&chosen_at(20_000)).get("i-0").copied().unwrap_or(0) > 1);
}

/// Guards against refusing all requests when every upstream is ejected.
#[test]
fn a_service_is_never_left_without_upstreams() {
    let entries = entries(2);
    let pool = pool_in("puget", &entries);
    let fault = AttemptFault::new(FaultKind::Connect, "no connection");
    for entry in &entries {
        for at in 0..6 {
            pool.record_fault(entry, &fault, Timestamp::from_millis(1_000 + at));
        }
    }
    assert!(TestRequest::tag().choose(&pool, &entries, 1, 1_100).is_some());
}

/// Guards against abandoning a queue for the end of another: a pending attempt switches only to an
/// upstream that is expected to be faster.
#[test]
fn a_queue_is_left_only_for_a_faster_upstream() {
    let entries = entries(3);
    let pool = pool_in("puget", &entries);
    let request = TestRequest::tag();
    let tried = HashSet::from([entries[0].name.clone()]);
    let has_faster = |pool: &UpstreamPool| {
        let input = ChoiceInput {
            entries: &entries,
            rule: &VersionRule::Any,
            tried: &tried,
            size: request.size,
            prefill: request.prefill,
            shared_prefix: None,
            prompt: PromptInput::default(),
            prices: request.prices(),
            priority: 1,
            random: 1,
            now: Timestamp::from_millis(1_000),
        };
        pool.has_faster(&input, Duration::from_millis(500))
    };
    assert!(has_faster(&pool));
    let long = TestRequest { prefill: Duration::from_millis(2_000), ..TestRequest::tag() };
    let queued: Vec<_> = (0..12).filter_map(|n| long.choose(&pool, &entries, n, 1_000)).collect();
    assert!(!has_faster(&pool), "{:?}", counts(&queued));
}

/// Guards against exceeding the deployment's retry allowance when every request fails on every
/// host, in any window.
#[yare::parameterized(
    few_hosts = { 7, 8.0 },
    many_hosts = { 84, 5.0 },
    uneven = { 20, 30.0 },
)]
fn retries_of_all_hosts_stay_within_the_bounds(hosts: usize, rate: f64) {
    let extra = if hosts > 50 { 204.0 } else { 54.0 };
    let bounds = GatewayBounds { retry_extra: extra, ..GatewayBounds::default() };
    let service = "writer".parse().unwrap();
    let list = entries(3);
    let mut retried = Vec::new();
    let mut requested = Vec::new();
    for host in 0..hosts {
        let pool = UpstreamPool::new(settings("puget", bounds), Arc::new(ManualClock::default()));
        pool.set_hosts(hosts);
        pool.update(&BTreeMap::from([("writer".parse().unwrap(), list.clone())]));
        // Half of the hosts get three times as many requests as the others.
        let own = if host % 2 == 0 { rate * 1.5 } else { rate * 0.5 };
        let mut at = 1_000.0 + host as f64;
        while at < 61_000.0 {
            pool.record_request(&service, Timestamp::from_millis(at as u64));
            requested.push(at);
            // Nothing fails in the first half minute, so that all hosts fill their reserves.
            for _ in 0..3 {
                if at > 30_000.0 && pool.try_retry(&service) {
                    retried.push(at);
                }
            }
            at += 1_000.0 / own;
        }
    }
    let within = |times: &[f64], from: f64| {
        times.iter().filter(|&&at| at >= from && at < from + 10_000.0).count() as f64
    };
    for from in (0..50).map(|step| 1_000.0 * f64::from(step)) {
        let allowed = bounds.retry_share * within(&requested, from) + extra;
        let made = within(&retried, from);
        assert!(made <= allowed, "{made} of {allowed} from {from}");
    }
    assert!(!retried.is_empty());
}

/// Guards against escalations using up the retries reserved for faults.
#[test]
fn weak_answers_leave_retries_for_faults() {
    let entries = entries(3);
    let pool = pool_in("puget", &entries);
    let service = "writer".parse().unwrap();
    while pool.try_escalate(&service) {}
    assert!(pool.has_retry(&service));
    assert!(pool.try_retry(&service));
}

#[test]
fn prices_match_the_price_report() {
    let found = TestRequest::plan(1).prices();
    assert!(
        found.cache_miss > found.transfer,
        "a cache hit on a long prefix outweighs the transfer"
    );
    assert!(TestRequest::tag().prices().transfer > Money::ZERO);
}
