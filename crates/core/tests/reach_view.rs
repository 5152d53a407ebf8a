//! How requests fare over random histories of hosts that lose the path to a service's upstreams, without
//! a network.

use oleander_core::home_regions::HomeRegions;
use oleander_core::host_view::HostHash;
use oleander_core::ids::{ServiceName, UpstreamName};
use oleander_core::reach_view::{
    CarrierRule, ConnectionOutcome, HostPlace, ReachReport, ReachView, ServicePath,
};
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

const STEP_MS: u64 = 10;
const GOSSIP_MS: u64 = 250;
const TRIAL_MS: u64 = 300;
/// Time until a request or a trial finds that a connection hangs.
const REQUEST_HANG_MS: u64 = 500;
const TRIAL_HANG_MS: u64 = 250;
/// Time after which a connection that is still being opened makes its service a suspect.
const SUSPECT_MS: u64 = 150;
const UPSTREAMS: usize = 5;
const MAX_TRIALS: usize = 3;
const SEEK_FAN_OUT: usize = 8;
/// Time after the beginning of a cut from which first tries have to be served.
const CONTACT_MS: u64 = 4_000;
/// Time after the end of a cut within which requests are sent directly again. A relapse doubles the
/// second that trials must succeed, up to eight.
const RETURN_MS: u64 = 2_500;
const LOSS: f64 = 0.05;

/// How the path of a host is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathFault {
    Hang,
    Refuse,
}

#[derive(Clone, Copy)]
struct PendingOutcome {
    began: u64,
    known_at: u64,
    upstream: usize,
    is_open: bool,
    is_trial: bool,
}

struct Host {
    name: HostHash,
    region: usize,
    view: ReachView,
    cut: Option<(u64, PathFault)>,
    restored: u64,
    /// Connections whose outcomes become known later.
    outcomes: Vec<PendingOutcome>,
    suspected_at: Option<u64>,
    last_trial: u64,
}

/// What happened to the requests of one kind of host.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: usize,
    failed: usize,
}

struct Fleet {
    random: u64,
    hosts: Vec<Host>,
    dead: BTreeSet<usize>,
    datagrams: Vec<(u64, usize, usize, ReachReport)>,
    service: ServiceName,
    upstreams: Vec<UpstreamName>,
    tallies: BTreeMap<&'static str, Tally>,
    believe_times: Vec<u64>,
    return_times: Vec<u64>,
    max_carried: BTreeMap<usize, usize>,
}

impl Fleet {
    fn new(hosts: usize, seed: u64) -> Self {
        let upstreams = (0..UPSTREAMS).map(|number| format!("i-{number}").parse().unwrap());
        let mut fleet = Self {
            random: mix(seed),
            hosts: Vec::new(),
            dead: BTreeSet::new(),
            datagrams: Vec::new(),
            service: "desk".parse().unwrap(),
            upstreams: upstreams.collect(),
            tallies: BTreeMap::new(),
            believe_times: Vec::new(),
            return_times: Vec::new(),
            max_carried: BTreeMap::new(),
        };
        (0..hosts).for_each(|_| fleet.join());
        fleet
    }

    fn join(&mut self) {
        let number = self.hosts.len();
        let region = number % 3;
        let place = |text: String| (format!("{text}-a").parse().unwrap(), text.parse().unwrap());
        let (domain, name) = place(format!("region-{region}"));
        self.hosts.push(Host {
            name: HostHash::new(&format!("host-{number}").parse().unwrap()),
            region,
            view: ReachView::new(HostPlace::new(&domain, &name)),
            cut: None,
            restored: 0,
            outcomes: Vec::new(),
            suspected_at: None,
            last_trial: 0,
        });
    }

    fn below(&mut self, limit: usize) -> usize {
        self.random = mix(self.random);
        self.random as usize % limit.max(1)
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random = mix(self.random);
        unit_point(self.random) < share
    }

    fn reaches(&self, host: usize, upstream: usize) -> bool {
        self.hosts[host].cut.is_none() && !self.dead.contains(&upstream)
    }

    fn cut(&mut self, host: usize, fault: PathFault, now: u64) {
        self.hosts[host].cut.get_or_insert((now, fault));
    }

    fn restore(&mut self, host: usize, now: u64) {
        if self.hosts[host].cut.take().is_some() {
            self.hosts[host].restored = now;
        }
    }

    /// A request of a caller at a host. Whether it is served counts if the host has been cut for long,
    /// or is not.
    fn request(&mut self, host: usize, now: u64) {
        let at = Timestamp::from_millis(now);
        let upstream = self.below(UPSTREAMS);
        let kind = match self.hosts[host].cut {
            Some((since, _)) if now >= since + CONTACT_MS => Some("cut"),
            Some(_) => None,
            None if now < self.hosts[host].restored + CONTACT_MS => None,
            None => Some("others"),
        };
        let is_served = match self.hosts[host].view.path(&self.service, at) {
            ServicePath::Direct => {
                self.connect(host, upstream, false, now);
                // A dead upstream is only one of several, and the next attempt finds another.
                self.hosts[host].cut.is_none() && self.dead.len() < UPSTREAMS
            }
            ServicePath::Carried => self.carry(host, at),
            ServicePath::Lost => {
                self.connect(host, upstream, false, now);
                self.reaches(host, upstream)
            }
        };
        if let Some(kind) = kind {
            let tally = self.tallies.entry(kind).or_default();
            tally.sent += 1;
            tally.failed += usize::from(!is_served);
        }
    }

    fn carry(&mut self, host: usize, now: Timestamp) -> bool {
        let mut excluded = BTreeSet::new();
        for _ in 0..3 {
            self.random = mix(self.random);
            let point = unit_point(self.random);
            let view = &self.hosts[host].view;
            let rule = CarrierRule { excluded: &excluded, home_regions: &HomeRegions::any() };
            let Some(carrier) = view.choose_carrier(&self.service, &rule, point, now) else {
                return false;
            };
            let index = self.hosts.iter().position(|other| other.name == carrier.host).unwrap();
            assert_ne!(index, host, "a host carries its own request");
            // A host that has lost its own path refuses, so a request makes one hop at most.
            let other = &self.hosts[index];
            let is_open = other.view.lost_for(&self.service, now).is_none();
            if is_open && other.cut.is_none() && self.dead.len() < UPSTREAMS {
                *self.max_carried.entry(index).or_default() += 1;
                return true;
            }
            self.hosts[host].view.avoid_carrier(carrier.host, now);
            excluded.insert(carrier.host);
        }
        false
    }

    /// Opens a connection, whose outcome is known later.
    fn connect(&mut self, host: usize, upstream: usize, is_trial: bool, now: u64) {
        let is_open = self.reaches(host, upstream);
        let fault = self.hosts[host].cut.map_or(PathFault::Hang, |(_, fault)| fault);
        let delay = match (is_open, fault) {
            (true, _) | (false, PathFault::Refuse) => 10 + self.below(60) as u64,
            (false, PathFault::Hang) if is_trial => TRIAL_HANG_MS,
            (false, PathFault::Hang) => REQUEST_HANG_MS,
        };
        let host = &mut self.hosts[host];
        if delay > SUSPECT_MS && !is_trial {
            host.suspected_at.get_or_insert(now + SUSPECT_MS);
        }
        let known_at = now + delay;
        host.outcomes.push(PendingOutcome { began: now, known_at, upstream, is_open, is_trial });
    }

    fn learn_outcomes(&mut self, host: usize, now: u64) {
        let at = Timestamp::from_millis(now);
        let all = std::mem::take(&mut self.hosts[host].outcomes);
        let (due, later): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|outcome| outcome.known_at <= now);
        let host = &mut self.hosts[host];
        host.outcomes = later;
        let mut round = None;
        for PendingOutcome { began, upstream, is_open, is_trial, .. } in due {
            let began = Timestamp::from_millis(began);
            let outcome = ConnectionOutcome { upstream: &self.upstreams[upstream], is_open, began };
            host.view.record_connection(&self.service, UPSTREAMS, &outcome, at);
            if is_trial {
                round = Some(round.unwrap_or(false) || is_open);
            } else if !is_open {
                host.suspected_at.get_or_insert(now);
            }
        }
        if let Some(is_any_open) = round {
            host.view.record_trials(&self.service, is_any_open, at);
        }
    }

    fn run_trials(&mut self, host: usize, now: u64) {
        let is_lost = self.hosts[host].view.lost_services().next().is_some();
        let is_suspect = self.hosts[host].suspected_at.is_some_and(|at| at <= now);
        if (is_lost || is_suspect) && now >= self.hosts[host].last_trial + TRIAL_MS {
            (self.hosts[host].suspected_at, self.hosts[host].last_trial) = (None, now);
            let start = self.below(UPSTREAMS);
            for offset in 0..MAX_TRIALS {
                self.connect(host, (start + offset) % UPSTREAMS, true, now);
            }
        }
    }

    fn gossip(&mut self, host: usize, now: u64) {
        let at = Timestamp::from_millis(now);
        let address = Some(([10, 0, 0, 1], 7_000 + host as u16).into());
        let report = self.hosts[host].view.report(address, 0, at);
        let region = self.hosts[host].region;
        let near: Vec<usize> =
            (0..self.hosts.len()).filter(|other| self.hosts[*other].region == region).collect();
        let mut receivers = vec![near[self.below(near.len())], near[self.below(near.len())]];
        let far = if report.seeks { SEEK_FAN_OUT } else { usize::from(self.chance(0.5)) };
        receivers.extend((0..far).map(|_| self.below(self.hosts.len())));
        for receiver in receivers {
            if receiver != host {
                self.send(host, receiver, report.clone(), now);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, report: ReachReport, now: u64) {
        if !self.chance(LOSS) {
            let delay = 1 + self.below(40) as u64;
            self.datagrams.push((now + delay, from, to, report));
        }
    }

    fn receive(&mut self, now: u64) {
        let at = Timestamp::from_millis(now);
        let all = std::mem::take(&mut self.datagrams);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|found| found.0 <= now);
        self.datagrams = later;
        for (_, from, to, report) in due {
            let name = self.hosts[from].name;
            self.hosts[to].view.merge(name, &report, at);
            if report.seeks {
                let address = Some(([10, 0, 0, 1], 7_000 + to as u16).into());
                let mut answer = self.hosts[to].view.report(address, 0, at);
                answer.seeks = false;
                self.send(to, from, answer, now);
            }
        }
    }

    fn measure(&mut self, host: usize, was_lost: bool, now: u64) {
        let found = &self.hosts[host];
        let is_lost = found.view.lost_services().next().is_some();
        match (was_lost, is_lost, found.cut) {
            (false, true, Some((since, _))) => self.believe_times.push(now - since),
            (true, false, None) => self.return_times.push(now - found.restored.max(1)),
            _ => {}
        }
    }

    fn step(&mut self, now: u64, request_share: f64) {
        self.receive(now);
        for host in 0..self.hosts.len() {
            let was_lost = self.hosts[host].view.lost_services().next().is_some();
            if self.chance(request_share) {
                self.request(host, now);
            }
            self.learn_outcomes(host, now);
            self.run_trials(host, now);
            if (now + host as u64 * STEP_MS).is_multiple_of(GOSSIP_MS) {
                self.gossip(host, now);
            }
            self.measure(host, was_lost, now);
        }
    }
}

fn assert_served(fleet: &Fleet, seed: u64) {
    for (kind, tally) in &fleet.tallies {
        let allowed = tally.sent / 50;
        assert!(
            tally.failed <= allowed,
            "seed {seed}: {kind}: {} of {} requests failed",
            tally.failed,
            tally.sent
        );
    }
}

/// Guards against hosts that are cut off and do not know it, or know no host that carries their
/// requests: hosts lose the path alone, with most of a region or of all hosts, overlapping, again and
/// again, with connections that hang or are refused, while others join.
#[yare::parameterized(
    seven_hosts = { 7, 0.1 },
    eighty_four_hosts = { 84, 0.03 },
    eighty_four_quiet_hosts = { 84, 0.01 },
)]
fn cut_off_hosts_are_served_over_random_histories(hosts: usize, request_share: f64) {
    for seed in 0..8 {
        let mut fleet = Fleet::new(hosts, seed);
        let mut ends: Vec<(u64, usize)> = Vec::new();
        let mut next_cut = 5_000;
        for now in (0..90_000).step_by(STEP_MS as usize) {
            if now == next_cut {
                next_cut += 2_000 + fleet.below(9_000) as u64 / STEP_MS * STEP_MS;
                let fault = if fleet.chance(0.5) { PathFault::Hang } else { PathFault::Refuse };
                let region = fleet.below(3);
                let share = [0.0, 0.5, 0.9][fleet.below(3)];
                let length = 2_000 + fleet.below(13_000) as u64;
                let first = fleet.below(hosts);
                for host in 0..fleet.hosts.len() {
                    let is_near = fleet.hosts[host].region == region;
                    let uncut = fleet.hosts.iter().filter(|host| host.cut.is_none()).count();
                    if uncut > 2 && (host == first || (is_near && fleet.chance(share))) {
                        fleet.cut(host, fault, now);
                        ends.push((now + length, host));
                    }
                }
                if fleet.chance(0.2) {
                    fleet.join();
                }
            }
            let (over, open) = ends.into_iter().partition(|(end, _)| *end <= now);
            ends = open;
            let over: Vec<(u64, usize)> = over;
            for (_, host) in over {
                fleet.restore(host, now);
            }
            fleet.step(now, request_share);
        }
        assert_served(&fleet, seed);
        assert!(fleet.tallies["cut"].sent > 50, "seed {seed}: {:?}", fleet.tallies);
        fleet.believe_times.sort_unstable();
        let typical = fleet.believe_times[fleet.believe_times.len() / 2];
        assert!(typical < CONTACT_MS / 2, "seed {seed}: {typical} ms until hosts believe it");
        let first_returns = fleet.return_times.iter().filter(|time| **time <= RETURN_MS).count();
        assert!(
            first_returns * 2 > fleet.return_times.len(),
            "seed {seed}: {:?}",
            fleet.return_times
        );
    }
}

/// Guards against requests that are handed round when no host reaches the upstreams: hosts must find
/// out within the time for which an answer shows reach.
#[yare::parameterized(
    all_hosts_cut = { false },
    all_upstreams_dead = { true },
)]
fn nobody_carries_when_nobody_reaches(are_dead: bool) {
    for (hosts, seed) in [(7, 1), (7, 2), (84, 3)] {
        let mut fleet = Fleet::new(hosts, seed);
        for now in (0..30_000).step_by(STEP_MS as usize) {
            if now == 10_000 {
                if are_dead {
                    fleet.dead = (0..UPSTREAMS).collect();
                } else {
                    (0..hosts).for_each(|host| fleet.cut(host, PathFault::Hang, now));
                }
            }
            if now == 16_500 {
                fleet.max_carried.clear();
            }
            fleet.step(now, 0.1);
        }
        assert_eq!(fleet.max_carried, BTreeMap::new(), "{hosts} hosts");
        let at = Timestamp::from_millis(30_000);
        for host in &fleet.hosts {
            assert_eq!(host.view.path(&fleet.service, at), ServicePath::Lost);
        }
        // All of them are back soon after the end, without another way to wait for.
        fleet.dead.clear();
        (0..hosts).for_each(|host| fleet.restore(host, 30_000));
        for now in (30_000..32_500).step_by(STEP_MS as usize) {
            fleet.step(now, 0.1);
        }
        for host in &fleet.hosts {
            let at = Timestamp::from_millis(32_500);
            assert_eq!(host.view.path(&fleet.service, at), ServicePath::Direct);
        }
    }
}

/// Guards against a belief in a cut where only some upstreams are dead, or a single connection failed.
#[test]
fn dead_upstreams_are_no_cut() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(7, seed);
        for now in (0..40_000).step_by(STEP_MS as usize) {
            if now % 5_000 == 0 {
                let dead = [fleet.below(UPSTREAMS), fleet.below(UPSTREAMS)];
                fleet.dead = dead.into_iter().collect();
            }
            fleet.step(now, 0.1);
        }
        assert_eq!(fleet.believe_times, Vec::<u64>::new());
        assert_eq!(fleet.max_carried, BTreeMap::new(), "seed {seed}");
    }
}

/// Guards against five hosts that bury the one next to them: what they hand over is spread, nearer
/// hosts first.
#[test]
fn carriers_share_the_load() {
    let place = |domain: &str, region: &str| {
        HostPlace::new(&domain.parse().unwrap(), &region.parse().unwrap())
    };
    let service = "desk".parse().unwrap();
    let now = Timestamp::from_millis(1_000);
    let mut view = ReachView::new(place("a", "here"));
    let places = [("a", "here"), ("a", "here"), ("b", "here"), ("c", "there"), ("c", "there")];
    let mut names = Vec::new();
    for (number, (domain, region)) in places.into_iter().enumerate() {
        let mut other = ReachView::new(place(domain, region));
        other.record_answer(&service, now);
        let report = other.report(Some(([10, 0, 0, 1], 7_000 + number as u16).into()), 0, now);
        let name = HostHash::new(&format!("host-{number}").parse().unwrap());
        view.merge(name, &report, now);
        names.push(name);
    }
    let mut counts = BTreeMap::new();
    for point in 0..200 {
        let point = unit_point(mix(point));
        let rule = CarrierRule { excluded: &BTreeSet::new(), home_regions: &HomeRegions::any() };
        let chosen = view.choose_carrier(&service, &rule, point, now).unwrap();
        view.begin_carried(chosen.host);
        *counts.entry(chosen.host).or_insert(0) += 1;
    }
    let counts: Vec<i32> = names.iter().map(|name| counts[name]).collect();
    assert!(counts.iter().all(|count| (15..=70).contains(count)), "{counts:?}");
    assert!(counts[0] > counts[3] && counts[1] > counts[4], "{counts:?}");
}
