//! Where hosts get their news, over random histories of a fleet: hosts die, freeze, restart or are
//! cut off from the store, while the store has news all the time.

use oleander_core::ids::HostId;
use oleander_core::news_source::{NewsSource, NewsSources, READERS};
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::Timestamp;
use std::time::Duration;

/// Step of the simulation: a call between hosts or to the store takes one.
const STEP: Duration = Duration::from_millis(100);
/// Time for which a host waits for another one that does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time after which a host that hears of later news by gossip goes to the store.
const LAG_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Longest wait of a call to the store, at least and for each reader. A call that hangs is noticed
/// after it.
const MIN_STORE_WAIT: Duration = Duration::from_millis(3_000);
const STORE_WAIT_PER_READER: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    Running,
    /// Does not run; its connections hang.
    Frozen,
    /// Runs, but its calls to the store get no answer.
    CutOff,
    /// Runs, but a call to the store hangs once.
    Silent,
}

struct SimulatedHost {
    name: HostId,
    sources: NewsSources,
    state: HostState,
    /// Version known, and when the store last confirmed it.
    version: u64,
    confirmed_at: Timestamp,
    /// Until when the host waits for an answer that does not come.
    waits_until: Timestamp,
    /// Since when it has heard of a later version.
    behind_since: Option<Timestamp>,
    calls: u64,
}

struct Fleet {
    domains: Vec<Vec<SimulatedHost>>,
    version: u64,
    published_at: Vec<Timestamp>,
    now: Timestamp,
    store_wait: Duration,
}

impl Fleet {
    fn new(domains: usize, hosts: usize) -> Self {
        let name = |domain, host| HostId::new(&format!("host-{domain}-{host}")).unwrap();
        let start = Timestamp::from_millis(1_000);
        let new_host = |domain, host| SimulatedHost {
            name: name(domain, host),
            sources: NewsSources::new(name(domain, host)),
            state: HostState::Running,
            version: 0,
            confirmed_at: start,
            waits_until: start,
            behind_since: None,
            calls: 0,
        };
        let mut domains: Vec<Vec<SimulatedHost>> = (0..domains)
            .map(|domain| (0..hosts).map(|host| new_host(domain, host)).collect())
            .collect();
        for hosts in &mut domains {
            let names: Vec<HostId> = hosts.iter().map(|host| host.name.clone()).collect();
            hosts.iter_mut().for_each(|host| host.sources.set_hosts(names.iter()));
        }
        let readers = (domains.len() * READERS) as u32;
        let store_wait = (STORE_WAIT_PER_READER * readers).max(MIN_STORE_WAIT);
        Self { domains, version: 0, published_at: vec![start], now: start, store_wait }
    }

    fn publish(&mut self) {
        self.version += 1;
        self.published_at.push(self.now);
    }

    /// Lets each host do what it does in one step.
    fn step(&mut self) {
        self.now = self.now + STEP;
        let (now, newest, store_wait) = (self.now, self.version, self.store_wait);
        let gossip = self.domains.iter().flatten().filter(|host| host.state == HostState::Running);
        let heard = gossip.map(|host| host.version).max().unwrap_or(0);
        for hosts in &mut self.domains {
            for index in 0..hosts.len() {
                if hosts[index].state == HostState::Frozen {
                    continue;
                }
                let is_late = hosts[index].hears(heard, now);
                if now < hosts[index].waits_until && !is_late {
                    continue;
                }
                match hosts[index].sources.source(now) {
                    NewsSource::Store => hosts[index].ask_store(newest, store_wait, now),
                    NewsSource::Host(name) => ask_host(hosts, index, &name, now),
                }
            }
        }
    }
}

impl SimulatedHost {
    /// Whether news that others have is late here.
    fn hears(&mut self, heard: u64, now: Timestamp) -> bool {
        if heard <= self.version {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_late = now.since(since) >= LAG_TIMEOUT;
        if is_late {
            self.behind_since = None;
            self.sources.mark_late(now);
            // New connections replace the one that hangs.
            if self.state == HostState::Silent {
                self.state = HostState::Running;
            }
        }
        is_late
    }

    fn ask_store(&mut self, newest: u64, store_wait: Duration, now: Timestamp) {
        match self.state {
            HostState::Running => {
                self.calls += u64::from(newest > self.version);
                self.version = newest;
                self.confirmed_at = now;
            }
            HostState::CutOff => self.waits_until = now + Duration::from_millis(700),
            HostState::Silent => {
                self.waits_until = now + store_wait;
                self.state = HostState::Running;
            }
            HostState::Frozen => {}
        }
    }
}

fn ask_host(hosts: &mut [SimulatedHost], index: usize, name: &HostId, now: Timestamp) {
    let source = hosts.iter().position(|host| host.name == *name).unwrap();
    let (state, version, confirmed_at) =
        (hosts[source].state, hosts[source].version, hosts[source].confirmed_at);
    let host = &mut hosts[index];
    match state {
        HostState::Frozen => {
            host.sources.mark_failed(name, now);
            host.waits_until = now + CALL_TIMEOUT;
        }
        HostState::CutOff => {
            let spread = unit_point(mix(now.as_millis() ^ index as u64));
            if host.sources.record_unavailable(now, spread) {
                host.sources.mark_cut_off(name, now);
            }
        }
        HostState::Running | HostState::Silent => {
            if host.sources.record_age(name, now.since(confirmed_at), now) {
                host.version = host.version.max(version);
                host.confirmed_at = host.confirmed_at.max(confirmed_at);
            }
        }
    }
}

/// Readers freeze, are cut off or hang, alone and together. Every host that runs and reaches the
/// store has each version within the bound of the smallest deployments.
#[yare::parameterized(
    small = { 3, 2, 40 },
    medium = { 6, 12, 40 },
    large = { 6, 49, 12 },
    target = { 7, 53, 8 },
)]
fn hosts_that_reach_the_store_have_the_news_in_time(domains: usize, hosts: usize, seeds: u64) {
    let bound = Duration::from_millis(4_000);
    for seed in 0..seeds {
        let mut fleet = Fleet::new(domains, hosts);
        // When each host was last disturbed; it has the bound's time to catch up.
        let mut disturbed = vec![vec![Timestamp::default(); hosts]; domains];
        for step in 0..400u64 {
            let word = mix(seed * 100_000 + step);
            if word.is_multiple_of(12) {
                fleet.publish();
            }
            let domain = (word >> 8) as usize % domains;
            // Low numbers are no better ranked than others, but a few hosts are hit again and again.
            let host = (word >> 16) as usize % hosts.min(6);
            let ranked = rank_order(&fleet.domains[domain]);
            let host = if (word >> 40).is_multiple_of(2) { ranked[host] } else { host };
            let state = match (word >> 24) % 40 {
                0 => Some(HostState::Frozen),
                1 => Some(HostState::CutOff),
                2 => Some(HostState::Silent),
                3..=6 => Some(HostState::Running),
                _ => None,
            };
            if let Some(state) = state {
                fleet.domains[domain][host].state = state;
                disturbed[domain][host] = fleet.now;
            }
            fleet.step();
            check_in_time(&fleet, &disturbed, bound)
                .unwrap_or_else(|text| panic!("seed {seed} step {step}: {text}"));
        }
    }
}

/// Positions of hosts in the order in which they are asked.
fn rank_order(hosts: &[SimulatedHost]) -> Vec<usize> {
    let is_reader = |host: &SimulatedHost| host.sources.source(Timestamp::default());
    let mut order: Vec<usize> = (0..hosts.len()).collect();
    order.sort_by_key(|index| u8::from(is_reader(&hosts[*index]) != NewsSource::Store));
    order
}

fn check_in_time(
    fleet: &Fleet,
    disturbed: &[Vec<Timestamp>],
    bound: Duration,
) -> Result<(), String> {
    for (domain, hosts) in fleet.domains.iter().enumerate() {
        for (index, host) in hosts.iter().enumerate() {
            let is_calm = fleet.now.since(disturbed[domain][index]) >= bound;
            if host.state != HostState::Running || !is_calm || host.version == fleet.version {
                continue;
            }
            let published = fleet.published_at[host.version as usize + 1];
            let late = fleet.now.since(published);
            if late > bound {
                return Err(format!(
                    "{} lacks version {} after {late:?}",
                    host.name,
                    host.version + 1
                ));
            }
        }
    }
    Ok(())
}

/// Calls to the store follow the number of failure domains and changes, not that of hosts.
#[test]
fn calls_to_the_store_do_not_grow_with_hosts() {
    let calls = |hosts| {
        let mut fleet = Fleet::new(6, hosts);
        for step in 0..400u64 {
            if step.is_multiple_of(10) {
                fleet.publish();
            }
            fleet.step();
        }
        fleet.domains.iter().flatten().map(|host| host.calls).sum::<u64>()
    };
    let (few, many) = (calls(5), calls(50));
    assert_eq!(few, many);
    assert!(many <= 40 * 6 * READERS as u64, "{many} calls for 40 changes");
}

/// When the store is away, hosts that follow another one ask it rarely, and not together.
#[test]
fn hosts_do_not_rush_a_store_that_is_away() {
    let host = |number: u64| HostId::new(&format!("host-{number}")).unwrap();
    let mut sources: Vec<NewsSources> = (0..300).map(|n| NewsSources::new(host(n))).collect();
    let mut per_step = vec![0u32; 300];
    for step in 0..300u64 {
        let now = Timestamp::from_millis(1_000 + step * 100);
        for (number, sources) in sources.iter_mut().enumerate() {
            let spread = unit_point(mix(step * 1_000 + number as u64));
            per_step[step as usize] += u32::from(sources.record_unavailable(now, spread));
        }
    }
    let total: u32 = per_step.iter().sum();
    assert!(total <= 300 * 12, "{total} calls of 300 hosts in 30 s");
    let most = per_step.iter().max().unwrap();
    assert!(*most <= 60, "{most} calls within 0.1 s");
}

#[test]
fn a_host_never_follows_one_that_may_follow_it() {
    for seed in 0..200u64 {
        let hosts: Vec<HostId> =
            (0..20).map(|n| HostId::new(&format!("host-{seed}-{n}")).unwrap()).collect();
        let now = Timestamp::from_millis(1_000);
        let mut all: Vec<NewsSources> = hosts.iter().cloned().map(NewsSources::new).collect();
        for (number, sources) in all.iter_mut().enumerate() {
            sources.set_hosts(hosts.iter());
            // Each believes something else of the others.
            for (other, host) in hosts.iter().enumerate() {
                if mix(seed ^ (number as u64) << 20 ^ other as u64).is_multiple_of(3) {
                    sources.mark_failed(host, now);
                }
            }
        }
        for start in 0..hosts.len() {
            let (mut at, mut hops) = (start, 0);
            while let NewsSource::Host(next) = all[at].source(now) {
                at = hosts.iter().position(|host| *host == next).unwrap();
                hops += 1;
                assert!(hops < hosts.len(), "seed {seed}: a circle");
            }
        }
    }
}

/// Both readers of a domain may lose the store while news is waiting there.
#[test]
fn a_host_asks_the_store_soon_after_its_source_lost_it() {
    let mut sources = NewsSources::new(HostId::new("host-1").unwrap());
    let start = Timestamp::from_millis(1_000);
    let asks = (0..20u64).position(|step| {
        sources.record_unavailable(start + Duration::from_millis(step * 50), 0.99)
    });
    assert!(asks.is_some_and(|step| step <= 15), "{asks:?}");
}

/// Both sources lose the store while it answers this host, which then follows it itself.
#[test]
fn sources_that_are_cut_off_are_left() {
    let hosts: Vec<HostId> = (0..9).map(|n| HostId::new(&format!("host-{n}")).unwrap()).collect();
    let now = Timestamp::from_millis(1_000);
    for own in &hosts {
        let mut sources = NewsSources::new(own.clone());
        sources.set_hosts(hosts.iter());
        let mut left = 0;
        while let NewsSource::Host(source) = sources.source(now) {
            sources.mark_cut_off(&source, now);
            left += 1;
            assert!(left <= hosts.len(), "{source} is followed still");
        }
    }
}
