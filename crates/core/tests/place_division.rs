//! How often brittle upstreams fall over, and how much of their room is used, over random histories of
//! hosts without a network.

use oleander_core::host_view::{Heartbeat, HostHash, HostReport, HostView};
use oleander_core::limit_division::LimitKey;
use oleander_core::place_division::{PlaceDivision, PlaceRequest, ReportedPlaces};
use oleander_core::request_rate::RequestRate;
use oleander_core::seat_order::HostSeats;
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const STEP_MS: u64 = 5;
const GOSSIP_MS: u64 = 250;
/// When upstreams begin to be brittle, and how long they are.
const BRITTLE_FROM_MS: u64 = 10_000;
const BRITTLE_MS: u64 = 30_000;
/// Time after which brittle upstreams let fewer requests wait.
const CONTACT_MS: u64 = 4_000;
const DOWN_MS: u64 = 5_000;
/// Requests that wait at an upstream at most, before and after that.
const WAITING: usize = 12;
const FEWER_WAITING: usize = 1;
const MAX_ATTEMPTS: usize = 3;

/// A deployment and its load.
#[derive(Clone, Copy, Debug)]
struct Setting {
    hosts: usize,
    upstreams: usize,
    slots: u32,
    /// Mean time that a request runs.
    work_ms: u64,
    /// Offered load in terms of all slots.
    load: f64,
    /// Rejections a second that an upstream bears.
    max_rejected: u32,
    /// Hosts are killed and start again without any memory, and lose touch with the others.
    is_disturbed: bool,
}

struct Host {
    name: HostHash,
    view: HostView,
    places: PlaceDivision,
    in_flight: BTreeMap<usize, u32>,
    loads: BTreeMap<usize, (u64, u32)>,
    silent_until: u64,
    weight: f64,
}

#[derive(Default)]
struct Upstream {
    /// Ends of the requests that run, with their hosts.
    running: Vec<(u64, usize)>,
    waiting: VecDeque<(u64, usize)>,
    rejections: VecDeque<u64>,
    down_until: u64,
    falls: usize,
    /// Sum of running requests over steps, and the number of steps.
    used: (usize, usize),
}

struct Fleet {
    setting: Setting,
    is_divided: bool,
    random: u64,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    datagrams: Vec<(u64, usize, HostHash, HostReport, Vec<ReportedPlaces>)>,
    refused: usize,
    served: usize,
}

fn key(upstream: usize) -> LimitKey {
    LimitKey::new(&format!("i-{upstream}"), 1)
}

impl Fleet {
    fn new(setting: Setting, is_divided: bool, seed: u64) -> Self {
        let mut fleet = Self {
            setting,
            is_divided,
            random: mix(seed),
            hosts: Vec::new(),
            upstreams: (0..setting.upstreams).map(|_| Upstream::default()).collect(),
            datagrams: Vec::new(),
            refused: 0,
            served: 0,
        };
        let names: Vec<HostHash> = (0..setting.hosts)
            .map(|number| HostHash::new(&format!("host-{number}").parse().unwrap()))
            .collect();
        for name in &names {
            let mut view = HostView::new(*name, Heartbeat::default());
            view.register(names.iter().copied(), Timestamp::from_millis(1_000));
            // The balancer spreads callers unevenly.
            let weight = 0.5 + fleet.unit();
            fleet.hosts.push(Host {
                name: *name,
                view,
                places: PlaceDivision::new(),
                in_flight: BTreeMap::new(),
                loads: BTreeMap::new(),
                silent_until: 0,
                weight,
            });
        }
        fleet
    }

    fn unit(&mut self) -> f64 {
        self.random = mix(self.random);
        unit_point(self.random)
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.unit() * limit as f64) as usize
    }

    fn is_brittle(now: u64) -> bool {
        (BRITTLE_FROM_MS..BRITTLE_FROM_MS + BRITTLE_MS).contains(&now)
    }

    /// Whether they let fewer requests wait, and fall over.
    fn is_tight(now: u64) -> bool {
        Self::is_brittle(now) && now >= BRITTLE_FROM_MS + CONTACT_MS
    }

    fn request(&mut self, host: usize, now: u64) {
        let mut tried = BTreeSet::new();
        while tried.len() < MAX_ATTEMPTS {
            let Some(upstream) = self.choose(host, &tried, now) else { break };
            tried.insert(upstream);
            if self.send(host, upstream, now) {
                self.served += 1;
                return;
            }
        }
        self.refused += 1;
    }

    /// The upstream with the fewest requests, as far as the host knows.
    fn choose(&mut self, host: usize, tried: &BTreeSet<usize>, now: u64) -> Option<usize> {
        let at = Timestamp::from_millis(now);
        let found = &self.hosts[host];
        let seats = HostSeats::new(&found.view, at);
        let may_send = |upstream: &usize| {
            let in_flight = found.in_flight.get(upstream).copied().unwrap_or(0);
            let upstreams = self.setting.upstreams;
            let request = PlaceRequest { slots: self.setting.slots, in_flight, upstreams };
            found.places.may_send(key(*upstream), &request, &seats, at)
        };
        let untried = (0..self.upstreams.len()).filter(|upstream| !tried.contains(upstream));
        let open: Vec<usize> =
            untried.filter(|upstream| !self.is_divided || may_send(upstream)).collect();
        if open.is_empty() {
            return None;
        }
        let load = |upstream: &usize| {
            let own = found.in_flight.get(upstream).copied().unwrap_or(0);
            found.loads.get(upstream).map_or(own, |(_, requests)| own + requests)
        };
        let least = open.iter().map(load).min()?;
        let best: Vec<usize> = open.iter().copied().filter(|found| load(found) == least).collect();
        Some(best[self.below(best.len())])
    }

    /// Whether the upstream takes the request.
    fn send(&mut self, host: usize, upstream: usize, now: u64) -> bool {
        let work = (self.setting.work_ms as f64 * -(1.0 - self.unit()).ln()) as u64 + 1;
        let slots = self.setting.slots as usize;
        let max_waiting = if Self::is_tight(now) { FEWER_WAITING } else { WAITING };
        let found = &mut self.upstreams[upstream];
        if found.down_until > now {
            return false;
        }
        let at = Timestamp::from_millis(now);
        let is_taken = if found.running.len() < slots {
            found.running.push((now + work, host));
            true
        } else if found.waiting.len() < max_waiting {
            found.waiting.push_back((work, host));
            true
        } else {
            found.rejections.push_back(now);
            false
        };
        let requests = (found.running.len() + found.waiting.len()) as u32;
        let rate =
            Self::is_brittle(now).then(|| RequestRate::new(f64::from(self.setting.max_rejected)));
        let sender = &mut self.hosts[host];
        // Answers say it, of rejections at once and of the others when they begin.
        sender.places.record_answer(key(upstream), rate, at);
        sender.loads.insert(upstream, (now, requests));
        if is_taken {
            *sender.in_flight.entry(upstream).or_default() += 1;
        } else {
            sender.places.record_rejection(key(upstream), at);
        }
        is_taken
    }

    fn run_upstreams(&mut self, now: u64) {
        let slots = self.setting.slots as usize;
        for index in 0..self.upstreams.len() {
            let mut ended = Vec::new();
            let upstream = &mut self.upstreams[index];
            upstream.running.retain(|(end, host)| {
                let is_over = *end <= now;
                ended.extend(is_over.then_some(*host));
                !is_over
            });
            while upstream.running.len() < slots {
                let Some((work, host)) = upstream.waiting.pop_front() else { break };
                upstream.running.push((now + work, host));
            }
            while upstream.rejections.front().is_some_and(|at| at + 1_000 <= now) {
                upstream.rejections.pop_front();
            }
            let is_brittle = Self::is_tight(now);
            if is_brittle && upstream.rejections.len() > self.setting.max_rejected as usize {
                upstream.falls += 1;
                upstream.down_until = now + DOWN_MS;
                upstream.rejections.clear();
                ended.extend(upstream.running.drain(..).map(|(_, host)| host));
                ended.extend(upstream.waiting.drain(..).map(|(_, host)| host));
            }
            if is_brittle && upstream.down_until <= now {
                upstream.used.0 += upstream.running.len();
                upstream.used.1 += 1;
            }
            for host in ended {
                let in_flight = self.hosts[host].in_flight.entry(index).or_default();
                *in_flight = in_flight.saturating_sub(1);
            }
        }
    }

    fn gossip(&mut self, host: usize, now: u64) {
        let at = Timestamp::from_millis(now);
        let sender = &mut self.hosts[host];
        let (report, places) = (sender.view.report(at), sender.places.report(at));
        let (name, loads) = (sender.name, sender.loads.clone());
        if sender.silent_until > now {
            return;
        }
        for _ in 0..3 {
            let receiver = self.below(self.hosts.len());
            let delay = 1 + self.below(40) as u64;
            if receiver != host && self.hosts[receiver].silent_until <= now {
                self.datagrams.push((now + delay, receiver, name, report.clone(), places.clone()));
                for (upstream, (seen, requests)) in &loads {
                    let known = self.hosts[receiver].loads.entry(*upstream).or_default();
                    *known = (*known).max((*seen, *requests));
                }
            }
        }
    }

    fn receive(&mut self, now: u64) {
        let at = Timestamp::from_millis(now);
        let all = std::mem::take(&mut self.datagrams);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|found| found.0 <= now);
        self.datagrams = later;
        for (_, receiver, sender, report, places) in due {
            self.hosts[receiver].view.merge(sender, &report, at);
            self.hosts[receiver].places.merge(&places, at);
        }
    }

    fn disturb(&mut self, now: u64) {
        let host = self.below(self.hosts.len());
        if self.unit() < 0.5 {
            self.hosts[host].silent_until = now + 2_000;
        } else {
            // Upstreams drop requests whose connection closes.
            for upstream in &mut self.upstreams {
                upstream.running.retain(|(_, sender)| *sender != host);
                upstream.waiting.retain(|(_, sender)| *sender != host);
            }
            let host = &mut self.hosts[host];
            host.places = PlaceDivision::new();
            host.loads.clear();
            host.in_flight.clear();
        }
    }

    fn play(&mut self) {
        let Setting { hosts, upstreams, slots, work_ms, load, is_disturbed, .. } = self.setting;
        let rate = load * upstreams as f64 * f64::from(slots) / work_ms as f64;
        for now in (1_000..BRITTLE_FROM_MS + BRITTLE_MS).step_by(STEP_MS as usize) {
            self.run_upstreams(now);
            self.receive(now);
            // Load comes in waves, and more in some seconds.
            let wave = if (now / 1_000).is_multiple_of(4) { 1.6 } else { 0.8 };
            for host in 0..hosts {
                let share = rate * wave * STEP_MS as f64 / hosts as f64 * self.hosts[host].weight;
                let count = share as usize + usize::from(self.unit() < share.fract());
                (0..count).for_each(|_| self.request(host, now));
                if (now + host as u64 * STEP_MS).is_multiple_of(GOSSIP_MS) {
                    self.gossip(host, now);
                }
            }
            if is_disturbed && now.is_multiple_of(1_500) {
                self.disturb(now);
            }
        }
    }

    fn falls(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.falls).sum()
    }

    /// Share of the slots of upstreams that were up in which requests ran.
    fn used_share(&self) -> f64 {
        let (used, steps) = self.upstreams.iter().fold((0, 0), |(used, steps), upstream| {
            (used + upstream.used.0, steps + upstream.used.1)
        });
        used as f64 / steps.max(1) as f64 / f64::from(self.setting.slots)
    }
}

const SMALL: Setting = Setting {
    hosts: 7,
    upstreams: 3,
    slots: 6,
    work_ms: 60,
    load: 1.5,
    max_rejected: 8,
    is_disturbed: false,
};
const ENGINES: Setting =
    Setting { hosts: 7, upstreams: 9, slots: 64, work_ms: 2_500, load: 1.3, ..SMALL };
const MANY_HOSTS: Setting =
    Setting { hosts: 84, upstreams: 20, slots: 8, work_ms: 300, load: 1.4, ..SMALL };
const FEW_SLOTS: Setting = Setting { hosts: 84, upstreams: 6, slots: 6, work_ms: 60, ..SMALL };

/// Guards against upstreams that fall over one after the other, since hosts together turn up with more
/// than there is room for.
#[yare::parameterized(
    small = { SMALL },
    small_disturbed = { Setting { is_disturbed: true, ..SMALL } },
    engines = { ENGINES },
    engines_disturbed = { Setting { is_disturbed: true, ..ENGINES } },
    many_hosts = { MANY_HOSTS },
    many_hosts_disturbed = { Setting { is_disturbed: true, ..MANY_HOSTS } },
    few_slots = { FEW_SLOTS },
)]
fn brittle_upstreams_seldom_fall(setting: Setting) {
    let mut used = Vec::new();
    for seed in 0..6 {
        let mut fleet = Fleet::new(setting, true, seed);
        fleet.play();
        assert!(
            fleet.falls() <= 2 + setting.upstreams / 10,
            "seed {seed}: {} falls, {} served, {} refused",
            fleet.falls(),
            fleet.served,
            fleet.refused
        );
        used.push(fleet.used_share());
    }
    let mean = used.iter().sum::<f64>() / used.len() as f64;
    assert!(mean > 0.25, "{used:?}");
    let mut undivided = Fleet::new(setting, false, 0);
    undivided.play();
    assert!(undivided.falls() > 2 + setting.upstreams / 10, "{} falls", undivided.falls());
}
