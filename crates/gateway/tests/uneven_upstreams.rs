//! Upstreams on machines of different speed, as hosts learn of them, without a network.

use arc_swap::ArcSwap;
use oleander_core::stable_hash::mix;
use oleander_core::units::{Money, Timestamp};
use oleander_gateway::choice_price::ChoicePrices;
use oleander_gateway::gossip::GossipMessage;
use oleander_gateway::load_report::{LoadReport, MAX_LOAD_REPORTS, UpstreamHash, fit_reports};
use oleander_gateway::placement::{ChoiceInput, PromptInput};
use oleander_gateway::rollout_plan::VersionRule;
use oleander_gateway::settings::{GatewayBounds, GatewaySettings};
use oleander_gateway::upstream_entry::{UpstreamEntry, UpstreamState};
use oleander_gateway::upstream_handle::UpstreamPermit;
use oleander_gateway::upstream_pool::UpstreamPool;
use oleander_gateway::wire_format::{AnswerLoad, PromptPart, TokenSize};
use oleander_ports::clock::ClockPort;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A clock set by hand, in milliseconds.
#[derive(Debug, Default)]
struct ManualClock(AtomicU64);

impl ClockPort for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// A host with its pool of nine upstreams of 24 slots.
struct TestHost {
    pool: UpstreamPool,
    entries: Vec<Arc<UpstreamEntry>>,
    clock: Arc<ManualClock>,
    model: Arc<str>,
    memory_tokens: u32,
    transfer: Money,
}

impl TestHost {
    fn new(change: impl FnOnce(&mut GatewaySettings)) -> Self {
        Self::with_domains(change, |_| "north-a")
    }

    fn with_domains(
        change: impl FnOnce(&mut GatewaySettings),
        domain: impl Fn(u8) -> &'static str,
    ) -> Self {
        let free = ([127, 0, 0, 1], 0).into();
        let mut settings = GatewaySettings {
            host: "host-1".parse().unwrap(),
            region: "north".parse().unwrap(),
            domain: "north-a".parse().unwrap(),
            domains: ["north", "south"]
                .map(|name| (format!("{name}-a").parse().unwrap(), name.parse().unwrap()))
                .into(),
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
        };
        change(&mut settings);
        let entry = |number: u8| UpstreamEntry {
            name: format!("i-{number}").parse().unwrap(),
            service: "writer".parse().unwrap(),
            address: ([10, 0, 0, number], 80).into(),
            domain: domain(number).parse().unwrap(),
            version: Arc::from("v1"),
            slots: 24,
            state: UpstreamState::Ready,
            started_ms: 0,
            cold_left: Duration::ZERO,
        };
        let entries: Vec<_> = (0..9).map(|number| Arc::new(entry(number))).collect();
        let clock = Arc::new(ManualClock(AtomicU64::new(1_000)));
        let settings = Arc::new(ArcSwap::from_pointee(settings));
        let pool = UpstreamPool::new(settings, Arc::clone(&clock) as Arc<dyn ClockPort>);
        pool.update(&BTreeMap::from([("writer".parse().unwrap(), entries.clone())]));
        Self {
            pool,
            entries,
            clock,
            model: Arc::from("small"),
            memory_tokens: 600_000,
            transfer: Money::ZERO,
        }
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    fn wait(&self, millis: u64) {
        self.clock.0.fetch_add(millis, Ordering::Relaxed);
    }

    /// Chooses an upstream for a short prompt; `only` one if given.
    fn choose(&self, only: Option<usize>, random: u64) -> UpstreamPermit {
        let entries = only.map_or(&self.entries[..], |index| &self.entries[index..=index]);
        let prompt = PromptInput { model: Some(&self.model), ..PromptInput::default() };
        let input = ChoiceInput {
            entries,
            rule: &VersionRule::Any,
            tried: &HashSet::new(),
            size: TokenSize { prompt: 800, answer: 60 },
            prefill: Duration::from_millis(20),
            shared_prefix: None,
            prompt,
            priority: 0,
            prices: ChoicePrices { per_second: Money::from_micros(500), ..Default::default() },
            random: mix(random),
            now: self.now(),
        };
        self.pool.choose(&input).unwrap()
    }

    /// Chooses an upstream for a long prompt of which 5,382 tokens are shared by a subject's requests.
    fn choose_long(&self, subject: u64, random: u64) -> UpstreamPermit {
        let part = |id: String, tokens| PromptPart { id: id.into(), tokens };
        let parts = [
            part("system".into(), 512),
            part(format!("subject-{subject}"), 4_870),
            part(format!("own-{random}"), 6_610),
        ];
        let shared_prefix = format!("small/subject-{subject}");
        let input = ChoiceInput {
            entries: &self.entries,
            rule: &VersionRule::Any,
            tried: &HashSet::new(),
            size: TokenSize { prompt: 11_992, answer: 60 },
            prefill: Duration::from_millis(130),
            shared_prefix: Some(&shared_prefix),
            prompt: PromptInput {
                model: Some(&self.model),
                parts: &parts,
                memory_tokens: Some(self.memory_tokens),
            },
            priority: 0,
            prices: ChoicePrices {
                per_second: Money::from_micros(1_000_000),
                cache_miss: Money::from_micros(200_000),
                transfer: self.transfer,
            },
            random: mix(random),
            now: self.now(),
        };
        self.pool.choose(&input).unwrap()
    }

    /// Records the same load of all upstreams, and another of one.
    fn report(&self, even: AnswerLoad, other: Option<(&str, AnswerLoad)>) {
        for number in 0..9 {
            let permit = self.choose(Some(number), 1);
            let name = permit.upstream.entry.name.as_str();
            let load = other.filter(|other| other.0 == name).map_or(even, |other| other.1);
            permit.upstream.record_load(load, Duration::ZERO, self.now());
        }
    }

    /// Share of 300 requests, one at a time, that goes to every third upstream.
    fn share_of_thirds(&self) -> f64 {
        let is_third = |permit: &UpstreamPermit| {
            let number: usize = permit.upstream.entry.name.as_str()[2..].parse().unwrap();
            number.is_multiple_of(3)
        };
        (0..300).filter(|&n| is_third(&self.choose(None, n))).count() as f64 / 300.0
    }
}

fn load(pace: Option<u16>) -> AnswerLoad {
    AnswerLoad { running: 8, waiting: 0, slots: 24, pace }
}

/// Guards against datagrams that grow by paces: they have to stay below 2,048 bytes with all that else
/// they bring, which was counted in loads of nine bytes.
#[test]
fn reports_with_paces_take_no_more_bytes() {
    let report = |number: usize, pace| {
        let hash = UpstreamHash::of_parts(&[&number.to_string()]);
        LoadReport::new(hash, load(pace), Duration::from_secs(1), Duration::from_secs(1)).unwrap()
    };
    let bytes = |pace: Option<u16>| {
        let loads = (0..MAX_LOAD_REPORTS).map(|number| report(number, pace)).collect();
        let (loads, paces) = fit_reports(loads, MAX_LOAD_REPORTS);
        assert_eq!(paces.len(), pace.map_or(0, |_| loads.len()));
        let message = GossipMessage { loads, paces, ..GossipMessage::default() };
        postcard::to_allocvec(&message).unwrap().len()
    };
    assert!(bytes(Some(140)) <= bytes(None), "{} after {}", bytes(Some(140)), bytes(None));
}

/// Guards against paces that only the host knows that has the answer: one host of 75 sees an answer of
/// each upstream in 15 s. The paces pass two hosts, as earlier builds would send them and as this one
/// does.
#[test]
fn stated_paces_reach_other_hosts() {
    let hosts: Vec<TestHost> = (0..3).map(|_| TestHost::new(|_| {})).collect();
    for (index, number) in (0..9).enumerate() {
        let pace = if index % 3 == 0 { 60 } else { 140 };
        let permit = hosts[0].choose(Some(number), 1);
        permit.upstream.record_load(load(Some(pace)), Duration::ZERO, hosts[0].now());
    }
    let even = hosts[2].share_of_thirds();
    let pass_on = |from: &TestHost, to: &TestHost, with_paces: bool| {
        let loads = from.pool.load_reports(from.now());
        let paces = loads.iter().map(LoadReport::pace).take(if with_paces { 9 } else { 0 });
        let message = GossipMessage { paces: paces.collect(), loads, ..GossipMessage::default() };
        let message = GossipMessage::decode(&postcard::to_allocvec(&message).unwrap()).unwrap();
        to.pool.merge_load_reports(&message.paced_loads(), to.now());
    };
    pass_on(&hosts[0], &hosts[1], false);
    let without = hosts[1].share_of_thirds();
    hosts[0].wait(100);
    hosts.iter().for_each(|host| host.clock.0.store(1_100, Ordering::Relaxed));
    for (index, number) in (0..9).enumerate() {
        let pace = if index % 3 == 0 { 60 } else { 140 };
        let permit = hosts[0].choose(Some(number), 1);
        permit.upstream.record_load(load(Some(pace)), Duration::ZERO, hosts[0].now());
    }
    pass_on(&hosts[0], &hosts[1], true);
    pass_on(&hosts[1], &hosts[2], true);
    assert!((0.2..0.47).contains(&even) && (0.2..0.47).contains(&without), "{even} {without}");
    let known = hosts[2].share_of_thirds();
    assert!(known > 0.55, "{known} of the work at the faster third that could take 0.55 of it");
}

/// Guards against sharing work evenly among machines that state no pace: events of streams at the
/// slower ones have 2.4 times the distance.
#[test]
fn speeds_are_learned_from_streams() {
    let host = TestHost::new(|_| {});
    for round in 0..4 {
        for number in 0..9 {
            let mut permit = host.choose(Some(number), round);
            host.wait(30);
            permit.record_head(Some(load(None)));
            for _ in 0..12 {
                host.wait(if number % 3 == 0 { 28 } else { 68 });
                permit.record_events(1, host.now());
            }
            permit.record_end();
        }
    }
    host.wait(5_000);
    let learned = host.share_of_thirds();
    assert!(learned > 0.55, "{learned}");
}

/// Guards against machines that look slow by how late their answers begin, as other hosts tell, and
/// that are yet used like the others. After the last report only what was learned counts.
#[test]
fn speeds_are_learned_from_lags_that_others_report() {
    let host = TestHost::new(|_| {});
    (0..40).for_each(|n| drop(host.choose(None, n)));
    let before = host.share_of_thirds();
    for _ in 0..60 {
        host.wait(200);
        let reports = (0..9).filter_map(|number| {
            let lag = Duration::from_millis(if number % 3 == 0 { 20 } else { 240 });
            let hash = UpstreamHash::new(&host.entries[number].name);
            LoadReport::new(hash, load(None), lag, Duration::ZERO)
        });
        host.pool.merge_load_reports(&reports.collect::<Vec<_>>(), host.now());
    }
    host.wait(20_000);
    let learned = host.share_of_thirds();
    assert!(before < 0.47 && learned > 0.55, "{before} before, {learned} after");
}

fn name_of(permit: &UpstreamPermit) -> String {
    permit.upstream.entry.name.to_string()
}

/// A host that has seen each of three subjects a few times in the last seconds.
fn host_with_demand(change: impl FnOnce(&mut GatewaySettings)) -> TestHost {
    let host = TestHost::new(change);
    host.pool.set_hosts(75);
    for n in 0..18 {
        host.wait(800);
        drop(host.choose_long(n % 3, n));
    }
    host.report(load(None), None);
    host
}

/// Guards against hosts that each have their own upstream for a shared prefix: requests of 75 hosts
/// with the same prefix go to the same few, without a shared table.
#[test]
fn hosts_send_a_shared_prefix_to_the_same_upstreams() {
    let host = |random| name_of(&host_with_demand(|_| {}).choose_long(1, random));
    let names: HashSet<String> = (1_000..1_075).map(host).collect();
    assert!(names.len() <= 3, "{names:?}");
}

/// Guards against sending a hot prefix to an upstream that is full: the wait there costs more than
/// what is saved, also when all hosts expect it to be cached. It goes to the next ones in its order,
/// not to any.
#[test]
fn a_hot_prefix_leaves_a_full_upstream() {
    let host = host_with_demand(|_| {});
    let holder = name_of(&host.choose_long(1, 1));
    let full = AnswerLoad { running: 24, waiting: 20, slots: 24, pace: None };
    host.report(load(None), Some((&holder, full)));
    let names: HashSet<String> = (0..50).map(|n| name_of(&host.choose_long(1, n))).collect();
    assert!(!names.contains(&holder) && names.len() <= 2, "{names:?} instead of {holder}");
    host.wait(10_000);
    host.report(load(None), None);
    let back = (0..50).filter(|&n| name_of(&host.choose_long(1, n)) == holder).count();
    assert!(back > 25, "{back}");
}

/// Guards against a hot prefix that is read again at any upstream when the first of its order gets busy,
/// and against prompts that wait at that one: six at once go to the first three.
#[test]
fn a_hot_prefix_is_spread_over_its_holders() {
    let host = host_with_demand(|_| {});
    let permits: Vec<_> = (0..6).map(|n| host.choose_long(1, n)).collect();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    permits.iter().for_each(|permit| *counts.entry(name_of(permit)).or_default() += 1);
    assert!(counts.len() <= 3 && counts.values().all(|count| *count <= 3), "{counts:?}");
}

/// Guards against waiting for a prefix that no upstream has: one that was never seen is worth little,
/// so a slightly busier upstream is left. Without the weighing, it is expected to have half of the
/// prompt.
#[yare::parameterized(
    weighed = { true, 0 },
    switched_off = { false, 30 },
)]
fn an_unknown_prefix_is_not_waited_for(prefix_weighing: bool, expected: usize) {
    let choose = |random: u64, busy: Option<&str>| {
        let host = TestHost::new(|settings| settings.prefix_weighing = prefix_weighing);
        let busier = AnswerLoad { running: 13, ..load(None) };
        host.report(load(None), busy.map(|name| (name, busier)));
        name_of(&host.choose_long(1, random))
    };
    let holder = choose(1, None);
    assert!((2..10).all(|random| choose(random, None) == holder), "all hosts agree on {holder}");
    let stays = (0..30).filter(|&random| choose(random, Some(&holder)) == holder).count();
    assert_eq!(stays, expected);
}

/// Guards against upstreams that crash since the requests they hold exceed their memory: by what other
/// hosts have there, a long prompt does not fit, though slots are free and the machine is the fastest. If
/// no upstream has room it is sent, since what is known of others is an estimate.
#[test]
fn a_request_that_does_not_fit_is_sent_elsewhere() {
    let mut host = host_with_demand(|_| {});
    host.memory_tokens = 200_000;
    // One of the running requests is this host's, which has ended when a request is chosen.
    let slow = AnswerLoad { running: 16, ..load(Some(300)) };
    let stays = |others: u32| {
        let fast = AnswerLoad { running: others + 1, ..load(Some(100)) };
        host.report(slow, Some(("i-4", fast)));
        (0..50).filter(|&n| name_of(&host.choose_long(1, n)) == "i-4").count()
    };
    let fits = stays(15);
    assert!(fits > 20, "{fits}: 16 long requests fit");
    assert_eq!(stays(16), 0);
    host.report(AnswerLoad { running: 17, ..slow }, None);
    let _ = host.choose_long(1, 1);
}

/// Guards against counting only what upstreams report: this host's own requests, of which no report
/// tells yet, take memory too.
#[test]
fn own_requests_in_flight_take_memory() {
    let mut host = host_with_demand(|_| {});
    host.memory_tokens = 100_000;
    host.report(AnswerLoad { running: 0, ..load(None) }, None);
    let permits: Vec<_> = (0..72).map(|n| host.choose_long(1, n)).collect();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    permits.iter().for_each(|permit| *counts.entry(name_of(permit)).or_default() += 1);
    assert!(counts.values().all(|count| *count <= 8), "{counts:?}");
}

/// Guards against traffic between regions that nobody pays for, and against waiting where demand has
/// moved to: upstreams of the own region are used, also for a prefix that another region's are expected
/// to have, until the wait there costs more than the transfer.
#[test]
fn demand_leaves_its_region_only_when_the_wait_outweighs_the_transfer() {
    let is_near = |number: u8| number < 3;
    let mut host = TestHost::with_domains(
        |_| {},
        |number| if is_near(number) { "north-a" } else { "south-a" },
    );
    host.pool.set_hosts(75);
    host.transfer = Money::from_micros(400_000);
    let near = |host: &TestHost| {
        let near = (0..60).filter(|&n| {
            let name = name_of(&host.choose_long(n % 6, n));
            is_near(name[2..].parse().unwrap())
        });
        near.count()
    };
    host.report(load(None), None);
    assert_eq!(near(&host), 60);
    for number in 0..3 {
        let permit = host.choose(Some(number), 1);
        let full = AnswerLoad { running: 24, waiting: 40, slots: 24, pace: None };
        permit.upstream.record_load(full, Duration::ZERO, host.now());
    }
    assert_eq!(near(&host), 0);
}
