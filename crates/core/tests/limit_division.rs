//! How much of a named limit hosts use together, over random histories of hosts and one upstream
//! without a network.

use oleander_core::host_view::{Heartbeat, HostHash, HostReport, HostView};
use oleander_core::limit_division::{
    LimitChange, LimitDivision, LimitKey, LimitWait, ReportedLimit,
};
use oleander_core::request_rate::RequestRate;
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::Timestamp;

const STEP_MS: u64 = 10;
const GOSSIP_MS: u64 = 250;
/// Time between the start of a process and its first read of the store's list.
const COUNT_MS: u64 = 3_000;
/// Time after which a limit binds, and for which a disturbance excuses a host.
const CONTACT_MS: u64 = 4_000;
const WINDOW_MS: u64 = 4_000;

/// What happens to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostFault {
    /// Its process ends and starts again without any memory.
    Restart,
    /// It does nothing for a while, and goes on with what it knew.
    Pause,
    /// Datagrams reach it no more, nor others from it; requests go on.
    LostTouch,
    /// It is gone for good.
    Leave,
    /// A host starts that no other knows.
    Join,
}

const FAULTS: [HostFault; 5] =
    [HostFault::Restart, HostFault::Pause, HostFault::LostTouch, HostFault::Leave, HostFault::Join];

struct Host {
    name: HostHash,
    view: HostView,
    division: LimitDivision,
    started_ms: u64,
    has_counted: bool,
    is_gone: bool,
    down_until: u64,
    paused_until: u64,
    silent_until: u64,
    excused_until: u64,
}

/// What a host sends another one.
#[derive(Clone)]
struct Datagram {
    at: u64,
    from: usize,
    to: usize,
    hosts: HostReport,
    limits: Vec<ReportedLimit>,
}

struct Answer {
    at: u64,
    host: usize,
    started_ms: u64,
    rate: Option<RequestRate>,
}

struct Fleet {
    random: u64,
    hosts: Vec<Host>,
    /// Which limit the upstream names from which time on.
    limits: Vec<(u64, Option<f64>)>,
    datagrams: Vec<Datagram>,
    answers: Vec<Answer>,
    /// Times at which requests of hosts reached the upstream, and whether the host is excused.
    arrivals: Vec<(u64, bool)>,
    /// Requests a second of each host that would go to the upstream.
    demand: f64,
    fault_share: f64,
}

fn key() -> LimitKey {
    LimitKey::new("i-1", 7)
}

impl Fleet {
    fn new(hosts: usize, demand: f64, seed: u64) -> Self {
        let mut fleet = Self {
            random: mix(seed),
            hosts: Vec::new(),
            limits: vec![(0, None)],
            datagrams: Vec::new(),
            answers: Vec::new(),
            arrivals: Vec::new(),
            demand,
            fault_share: 0.0,
        };
        (0..hosts).for_each(|_| fleet.join(0));
        fleet
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random = mix(self.random);
        self.random % limit.max(1)
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random = mix(self.random);
        unit_point(self.random) < share
    }

    fn join(&mut self, now: u64) {
        let name = HostHash::new(&format!("host-{}", self.hosts.len()).parse().unwrap());
        self.hosts.push(Host {
            name,
            view: new_view(name, now),
            division: LimitDivision::new(),
            started_ms: now,
            has_counted: false,
            is_gone: false,
            down_until: 0,
            paused_until: 0,
            silent_until: 0,
            excused_until: 0,
        });
    }

    fn limit(&self, now: u64) -> Option<f64> {
        self.limits.iter().rev().find(|(from, _)| *from <= now).and_then(|(_, limit)| *limit)
    }

    fn disturb(&mut self, now: u64) {
        let fault = FAULTS[self.below(FAULTS.len() as u64) as usize];
        let length = 1_000 + self.below(9_000);
        let index = self.below(self.hosts.len() as u64) as usize;
        if fault == HostFault::Join {
            if self.hosts.iter().filter(|host| !host.is_gone).count() < 100 {
                self.join(now);
            }
            return;
        }
        let left = self.hosts.iter().filter(|host| !host.is_gone).count();
        let host = &mut self.hosts[index];
        if host.is_gone || host.excused_until > now {
            return;
        }
        let until = now + length;
        match fault {
            HostFault::Leave if left > 4 => host.is_gone = true,
            HostFault::Restart => {
                let up_at = now + 300 + length / 10;
                host.down_until = up_at;
                (host.view, host.division) = (new_view(host.name, up_at), LimitDivision::new());
                (host.started_ms, host.has_counted) = (up_at, false);
                host.excused_until = up_at + CONTACT_MS;
            }
            HostFault::Pause => {
                (host.paused_until, host.excused_until) = (until, until + CONTACT_MS);
            }
            HostFault::LostTouch => {
                (host.silent_until, host.excused_until) = (until, until + CONTACT_MS);
            }
            _ => {}
        }
    }

    fn works(&self, index: usize, now: u64) -> bool {
        let host = &self.hosts[index];
        !host.is_gone && host.down_until <= now && host.paused_until <= now
    }

    fn send_requests(&mut self, now: u64) {
        let at = Timestamp::from_millis(now);
        for index in 0..self.hosts.len() {
            let is_due = self.chance(self.demand * STEP_MS as f64 / 1_000.0);
            if !self.works(index, now) || !is_due {
                continue;
            }
            let host = &mut self.hosts[index];
            if !host.division.try_take(key(), at) {
                continue;
            }
            let (is_excused, started_ms) = (host.excused_until > now, host.started_ms);
            let arrives = now + 1 + self.below(35);
            self.arrivals.push((arrives, is_excused));
            let rate = self.limit(arrives).map(RequestRate::new);
            let answered = arrives + 5 + self.below(60);
            self.answers.push(Answer { at: answered, host: index, started_ms, rate });
        }
    }

    fn receive(&mut self, now: u64) {
        let at = Timestamp::from_millis(now);
        let (due, later): (Vec<Answer>, Vec<Answer>) =
            std::mem::take(&mut self.answers).into_iter().partition(|answer| answer.at <= now);
        self.answers = later;
        for answer in due {
            if !self.works(answer.host, now) {
                continue;
            }
            let host = &mut self.hosts[answer.host];
            if host.started_ms == answer.started_ms
                && host.division.record_answer(key(), answer.rate, at) == LimitChange::Named
            {
                host.division.divide(&host.view, at);
            }
        }
        let (due, later): (Vec<Datagram>, Vec<Datagram>) =
            std::mem::take(&mut self.datagrams).into_iter().partition(|sent| sent.at <= now);
        self.datagrams = later;
        for sent in due {
            let is_silent = |host: &Host| host.silent_until > now;
            let is_lost = is_silent(&self.hosts[sent.from]) || is_silent(&self.hosts[sent.to]);
            if !is_lost && self.works(sent.to, now) {
                let from = self.hosts[sent.from].name;
                let host = &mut self.hosts[sent.to];
                host.view.merge(from, &sent.hosts, at);
                host.division.merge(&sent.limits, at);
                host.division.divide(&host.view, at);
            }
        }
    }

    fn gossip(&mut self, round: u64, now: u64) {
        let at = Timestamp::from_millis(now);
        let names: Vec<HostHash> = self.hosts.iter().map(|host| host.name).collect();
        for index in 0..self.hosts.len() {
            if !self.works(index, now) {
                continue;
            }
            let host = &mut self.hosts[index];
            if !host.has_counted && now >= host.started_ms + COUNT_MS {
                host.has_counted = true;
                host.view.register(names.iter().copied(), at);
            }
            host.division.divide(&host.view, at);
            if !host.has_counted {
                continue;
            }
            let (hosts, limits) = (host.view.report(at), host.division.report(at));
            for _ in 0..2 + round % 2 {
                let to = self.below(self.hosts.len() as u64) as usize;
                if to != index && !self.chance(0.05) {
                    let (hosts, limits) = (hosts.clone(), limits.clone());
                    let at = now + 1 + self.below(60);
                    self.datagrams.push(Datagram { at, from: index, to, hosts, limits });
                }
            }
        }
    }

    fn play(&mut self, from_s: u64, until_s: u64) {
        for now in (from_s * 1_000..until_s * 1_000).step_by(STEP_MS as usize) {
            if now >= 8_000 && self.chance(self.fault_share * STEP_MS as f64 / 1_000.0) {
                self.disturb(now);
            }
            self.receive(now);
            self.send_requests(now);
            if now % GOSSIP_MS == 0 {
                self.gossip(now / GOSSIP_MS, now);
            }
        }
    }

    /// The most arrivals of hosts that nothing excuses in a window, in excess of what its limit
    /// allows.
    fn worst_excess(&self) -> f64 {
        let mut counted: Vec<u64> =
            self.arrivals.iter().filter(|(_, is_excused)| !is_excused).map(|(at, _)| *at).collect();
        counted.sort_unstable();
        let mut worst = f64::NEG_INFINITY;
        for (index, start) in counted.iter().enumerate() {
            // The highest limit that hosts may know of, if the upstream named one all the while.
            let since = start.saturating_sub(CONTACT_MS);
            let named = self.limits.iter().enumerate().filter(|(place, (from, _))| {
                let until = self.limits.get(place + 1).map_or(u64::MAX, |(until, _)| *until);
                *from < start + WINDOW_MS && until > since
            });
            let limits: Option<Vec<f64>> = named.map(|(_, (_, limit))| *limit).collect();
            let Some(limits) = limits else { continue };
            let highest = limits.into_iter().fold(0.0, f64::max);
            let end = counted.partition_point(|at| *at < start + WINDOW_MS);
            worst = worst.max((end - index) as f64 - (6.0 * highest + 5.0));
        }
        worst
    }

    /// Arrivals a second in a span.
    fn rate(&self, from_s: u64, until_s: u64) -> f64 {
        let span = from_s * 1_000..until_s * 1_000;
        let count = self.arrivals.iter().filter(|(at, _)| span.contains(at)).count();
        count as f64 / (until_s - from_s) as f64
    }
}

fn new_view(name: HostHash, now: u64) -> HostView {
    HostView::new(name, Heartbeat::new((now / GOSSIP_MS) as u16))
}

/// Guards against limits that each host keeps for itself, and against hosts that hardly send.
#[yare::parameterized(
    few_hosts = { 7, 2.6, 5.0 },
    few_hosts_low = { 7, 0.5, 5.0 },
    few_hosts_high = { 7, 14.0, 8.0 },
    many_hosts = { 84, 2.6, 5.0 },
    many_hosts_low = { 84, 0.3, 5.0 },
    many_hosts_high = { 84, 40.0, 5.0 },
    hundreds_of_hosts = { 295, 2.6, 5.0 },
)]
fn hosts_keep_and_use_a_limit_together(hosts: usize, limit: f64, demand: f64) {
    for seed in 0..4 {
        let mut fleet = Fleet::new(hosts, demand, seed);
        fleet.limits.push((10_000, Some(limit)));
        fleet.play(0, 50);
        let (excess, used) = (fleet.worst_excess(), fleet.rate(20, 50) / limit);
        assert!(excess <= 0.0, "seed {seed}: {excess} requests too many");
        eprintln!("{hosts} hosts, limit {limit}: used {used:.2}, excess {excess:.1}");
        assert!(used >= 0.85, "seed {seed}: used {used:.2} of the limit");
        assert!(used <= 1.1, "seed {seed}: used {used:.2} of the limit");
    }
}

/// Guards against excess while hosts join, leave, pause, restart and lose touch.
#[yare::parameterized(
    few_hosts = { 7, 2.6, 0.3 },
    few_hosts_low = { 7, 1.0, 0.5 },
    few_hosts_high = { 7, 20.0, 0.5 },
    many_hosts = { 84, 2.6, 2.0 },
    many_hosts_high = { 84, 12.0, 3.0 },
)]
fn a_limit_holds_while_hosts_change(hosts: usize, limit: f64, faults: f64) {
    let mut used = 0.0;
    let seeds = 12;
    for seed in 0..seeds {
        let mut fleet = Fleet::new(hosts, 5.0, seed);
        fleet.limits.push((10_000, Some(limit)));
        fleet.fault_share = faults;
        fleet.play(0, 70);
        let excess = fleet.worst_excess();
        assert!(excess <= 0.0, "seed {seed}: {excess} requests too many");
        used += fleet.rate(20, 70) / limit / seeds as f64;
    }
    eprintln!("{hosts} hosts, limit {limit}, {faults} faults a second: used {used:.2}");
    assert!(used >= 0.5, "used {used:.2} of the limit");
}

/// Guards against limits that hosts learn late, or that stay after their end.
#[yare::parameterized(few_hosts = { 7 }, many_hosts = { 84 })]
fn changing_limits_are_followed(hosts: usize) {
    for seed in 0..12 {
        let mut fleet = Fleet::new(hosts, 2.0, seed);
        let (mut at, mut spans) = (10_000, Vec::new());
        while at < 120_000 {
            let limit = [None, Some(0.0), Some(1.5), Some(6.0), Some(0.2)][fleet.below(5) as usize];
            fleet.limits.push((at, limit));
            let length = 14_000 + fleet.below(4_000);
            spans.push((at, at + length, limit));
            at += length;
        }
        fleet.play(0, at / 1_000);
        let excess = fleet.worst_excess();
        assert!(excess <= 0.0, "seed {seed}: {excess} requests too many");
        for (from, until, limit) in spans {
            if limit.is_none() && until < at {
                // Where almost nothing was sent, the end shows with the next request.
                let used = fleet.rate(from.div_ceil(1_000) + 11, until / 1_000);
                let demand = hosts as f64 * fleet.demand;
                assert!(used >= demand * 0.7, "seed {seed}: {used} a second, {from} to {until}");
            }
        }
    }
}

/// Guards against a host that takes all of a limit for itself when it hears from no other.
#[test]
fn a_host_out_of_touch_keeps_its_part() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(7, 20.0, seed);
        fleet.limits.push((10_000, Some(7.0)));
        fleet.play(0, 25);
        fleet.hosts.iter_mut().for_each(|host| host.silent_until = 90_000);
        fleet.play(25, 80);
        assert!(fleet.worst_excess() <= 0.0, "seed {seed}");
        let used = fleet.rate(40, 80);
        assert!(used >= 5.0, "seed {seed}: {used} a second");
    }
}

/// Guards against memory that grows with the number of upstreams.
#[test]
fn memory_is_bounded() {
    let mut division = LimitDivision::new();
    let at = Timestamp::from_millis;
    for number in 0..20_000 {
        let key = LimitKey::new("i", number);
        division.record_answer(key, Some(RequestRate::new(2.0)), at(number));
        assert!(division.report(at(number)).len() <= 16);
    }
    assert!(division.len() <= 2_048, "{}", division.len());
    let me = HostHash::new(&"host-1".parse().unwrap());
    let mut view = HostView::new(me, Heartbeat::default());
    for number in 0..20_000 {
        view.register([HostHash::new(&format!("host-{number}").parse().unwrap())], at(number));
        assert!(postcard::to_allocvec(&view.report(at(number))).unwrap().len() <= 210);
    }
    assert!(view.live(at(20_000)).len() <= 1_025);
}

/// Guards against an answer that was overtaken by a later one.
#[test]
fn the_lower_limit_counts_while_the_order_is_not_certain() {
    let (mut division, at) = (LimitDivision::new(), Timestamp::from_millis);
    let rate = |number| Some(RequestRate::new(number));
    assert_eq!(division.record_answer(key(), None, at(900)), LimitChange::Same);
    assert_eq!(division.record_answer(key(), rate(3.0), at(1_000)), LimitChange::Named);
    assert_eq!(division.record_answer(key(), None, at(1_050)), LimitChange::Same);
    assert_eq!(division.record_answer(key(), rate(2.0), at(1_060)), LimitChange::Changed);
    assert_eq!(division.record_answer(key(), rate(5.0), at(1_090)), LimitChange::Same);
    let report = division.report(at(1_090));
    assert_eq!(division.record_answer(key(), None, at(1_200)), LimitChange::Ended);
    assert_eq!(division.wait(key(), at(1_200)), LimitWait::Unlimited);
    // A report that is older than the end, and one of which this is not certain.
    division.merge(&report, at(1_100));
    assert_eq!(division.limit(key()), None);
    division.merge(&report, at(1_170));
    assert_eq!(division.limit(key()), rate(2.0));
    assert_eq!(division.record_answer(key(), None, at(1_400)), LimitChange::Ended);
}

/// Guards against a host that finds a request allowed which it then may not take, over and over: a
/// part of a token was missing, and the time until it is there was rounded to none.
#[test]
fn what_is_ready_can_be_taken() {
    let hosts = ["host-1", "host-2", "host-3"].map(|host| HostHash::new(&host.parse().unwrap()));
    let at = Timestamp::from_millis;
    let mut view = HostView::new(hosts[0], Heartbeat::default());
    view.register(hosts, at(0));
    let (mut division, mut random) = (LimitDivision::new(), 1);
    division.record_answer(key(), Some(RequestRate::new(2.5)), at(5_000));
    let mut taken = 0;
    for now in 5_000..400_000 {
        random = mix(random);
        if random % 7 == 0 {
            division.divide(&view, at(now));
        }
        if division.wait(key(), at(now)) == LimitWait::Ready {
            assert!(division.try_take(key(), at(now)), "at {now} ms");
            taken += 1;
        }
    }
    assert!(taken > 100, "{taken}");
}
