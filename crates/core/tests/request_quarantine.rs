//! Which requests are blocked, over random histories of hosts and upstreams without a network.

use oleander_core::host_view::{Heartbeat, HostHash, HostReport, HostView};
use oleander_core::part_quarantine::RunHash;
use oleander_core::request_hash::RequestHash;
use oleander_core::request_quarantine::{
    END_RETENTION, MAX_ENDS, RequestPermission, RequestQuarantine, RequestReport, TRIAL_DELAYS,
};
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::Timestamp;
use std::time::Duration;

const STEP_MS: u64 = 5;
const GOSSIP_MS: u64 = 250;
/// Time that a host takes to find out whether an upstream has ended.
const CHECK_MS: u64 = 25;
/// Time after the third end from which a request must have been blocked everywhere.
const CONTACT_MS: u64 = 4_000;
/// Time from the beginning of an answer after which it did not end its upstream.
const SERVED_MS: u64 = 1_000;
const ATTEMPTS: u32 = 3;

/// Why upstreams end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// A request that ends each upstream which runs it, from 10 s on, each 3 to 5 s.
    Request,
    /// The same, several copies at a time.
    ManyRequests,
    /// A third of the upstreams at one moment, each 8 s.
    Power,
    /// All upstreams at one moment, each 15 s.
    AllPower,
    /// One upstream after the other, 300 ms apart, each 12 s.
    Rolling,
    /// Any upstream at any moment, one in a second.
    Chance,
}

/// What upstreams do.
#[derive(Clone, Copy, Debug)]
struct Service {
    upstreams: usize,
    /// Longest time that a request runs.
    work_ms: u64,
}

const DESK: Service = Service { upstreams: 3, work_ms: 150 };
const ENGINES: Service = Service { upstreams: 9, work_ms: 3_000 };

struct Host {
    name: HostHash,
    view: HostView,
    quarantine: RequestQuarantine,
    is_isolated: bool,
    paused_until: u64,
}

struct Upstream {
    start: u64,
    down_until: u64,
    ends_at: Option<u64>,
}

/// A request at a host, and how often it was sent.
#[derive(Clone, Copy)]
struct Sending {
    host: usize,
    request: RequestHash,
    is_guilty: bool,
    is_trial: bool,
    attempts: u32,
}

impl Sending {
    const fn new(host: usize, request: RequestHash, is_guilty: bool) -> Self {
        Self { host, request, is_guilty, is_trial: false, attempts: 0 }
    }
}

struct Running {
    sending: Sending,
    upstream: usize,
    sent: u64,
    arrives: u64,
    done: u64,
}

/// Something that a host learns later.
enum News {
    Loss(Running, RunHash),
    End(usize, RunHash),
    Answer(usize, RequestHash),
    Report(usize, usize, RequestReport, HostReport),
}

#[derive(Debug, Default)]
struct Outcome {
    /// Ends under the guilty request.
    ends: Vec<u64>,
    /// Sends of the guilty request by hosts in touch.
    guilty: Vec<u64>,
    sound: u64,
    sound_blocked: u64,
    /// Sound requests that others repeat, and those of them that were blocked.
    repeated: u64,
    repeated_blocked: u64,
}

impl Outcome {
    fn late(&self) -> usize {
        let third = self.ends.get(MAX_ENDS - 1).copied().unwrap_or(u64::MAX - CONTACT_MS);
        self.guilty.iter().filter(|at| **at > third + CONTACT_MS).count()
    }
}

struct Fleet {
    random: u64,
    service: Service,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    running: Vec<Running>,
    news: Vec<(u64, News)>,
    number: u64,
    next_guilty: u64,
    outcome: Outcome,
}

fn guilty() -> RequestHash {
    RequestHash::new(&[b"guilty"])
}

fn new_host(number: usize, now: u64) -> Host {
    let name = HostHash::new(&format!("host-{number}").parse().unwrap());
    let view = HostView::new(name, Heartbeat::new((now / GOSSIP_MS) as u16));
    let quarantine = RequestQuarantine::new(name);
    Host { name, view, quarantine, is_isolated: false, paused_until: 0 }
}

impl Fleet {
    fn new(hosts: usize, service: Service, seed: u64) -> Self {
        let mut fleet = Self {
            random: mix(seed),
            service,
            hosts: (0..hosts).map(|number| new_host(number, 0)).collect(),
            upstreams: (0..service.upstreams)
                .map(|_| Upstream { start: 1, down_until: 0, ends_at: None })
                .collect(),
            running: Vec::new(),
            news: Vec::new(),
            number: 0,
            next_guilty: 10_000,
            outcome: Outcome::default(),
        };
        let names: Vec<HostHash> = fleet.hosts.iter().map(|host| host.name).collect();
        for host in &mut fleet.hosts {
            host.view.register(names.iter().copied(), Timestamp::from_millis(0));
        }
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

    fn run_hash(&self, upstream: usize) -> RunHash {
        RunHash::new(&format!("i-{upstream}"), self.upstreams[upstream].start)
    }

    fn arrive_sound(&mut self, now: u64) {
        self.number += 1;
        let is_repeated = self.chance(0.4);
        let text = if is_repeated {
            format!("sound {}", self.below(8))
        } else {
            format!("unique {}", self.number)
        };
        let request = RequestHash::new(&[text.as_bytes()]);
        let host = self.below(self.hosts.len() as u64) as usize;
        if self.hosts[host].paused_until > now {
            return;
        }
        let is_blocked = !self.send(Sending::new(host, request, false), now);
        self.outcome.sound += 1;
        self.outcome.sound_blocked += u64::from(is_blocked);
        self.outcome.repeated += u64::from(is_repeated);
        self.outcome.repeated_blocked += u64::from(is_repeated && is_blocked);
    }

    fn arrive_guilty(&mut self, copies: u64, now: u64) {
        for _ in 0..copies {
            let host = self.below(self.hosts.len() as u64) as usize;
            if self.hosts[host].paused_until <= now {
                self.send(Sending::new(host, guilty(), true), now);
            }
        }
        self.next_guilty = now + 3_000 + self.below(2_000);
    }

    /// Sends a request to an upstream that is up; `false` when it is blocked.
    fn send(&mut self, mut sending: Sending, now: u64) -> bool {
        let Sending { host, request, is_guilty, attempts, .. } = sending;
        let at = Timestamp::from_millis(now);
        let sender = &mut self.hosts[host];
        let view = &sender.view;
        match sender.quarantine.permission(request, |key| view.is_first(key, at), at) {
            RequestPermission::Open => {}
            RequestPermission::Trial => {
                sending.is_trial = true;
                sender.quarantine.begin_trial(request);
            }
            RequestPermission::Blocked(_) => return false,
        }
        if attempts >= ATTEMPTS || (sending.is_trial && attempts > 0) {
            return true;
        }
        for _ in 0..3 {
            let upstream = self.below(self.upstreams.len() as u64) as usize;
            let run = self.run_hash(upstream);
            if self.upstreams[upstream].down_until > now {
                self.hosts[host].quarantine.record_end(run, at);
                continue;
            }
            if is_guilty && !self.hosts[host].is_isolated {
                self.outcome.guilty.push(now);
            }
            let arrives = now + 1 + self.below(32);
            // Most requests run for a short time.
            let longest = self.below(self.service.work_ms) + 20;
            let done = arrives + 10 + self.below(longest);
            sending.attempts = attempts + 1;
            if is_guilty {
                let end = arrives + 35 + self.below(60);
                let ends_at = &mut self.upstreams[upstream].ends_at;
                *ends_at = Some(ends_at.map_or(end, |known| known.min(end)));
            }
            self.running.push(Running { sending, upstream, sent: now, arrives, done });
            return true;
        }
        true
    }

    fn end(&mut self, upstream: usize, now: u64) {
        if self.upstreams[upstream].down_until > now {
            return;
        }
        let run = self.run_hash(upstream);
        let (lost, kept): (Vec<Running>, Vec<Running>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.upstream == upstream);
        self.running = kept;
        if lost.iter().any(|running| running.sending.is_guilty && running.arrives <= now) {
            self.outcome.ends.push(now);
        }
        for running in lost {
            let at = now.max(running.arrives) + 1 + self.below(32);
            self.news.push((at, News::Loss(running, run)));
        }
        let down_until = now + 1_000 + self.below(3_000);
        self.upstreams[upstream] = Upstream { start: now, down_until, ends_at: None };
    }

    fn work(&mut self, now: u64) {
        for upstream in 0..self.upstreams.len() {
            if self.upstreams[upstream].ends_at.is_some_and(|at| at <= now) {
                self.end(upstream, now);
            }
        }
        let (done, kept): (Vec<Running>, Vec<Running>) =
            std::mem::take(&mut self.running).into_iter().partition(|running| {
                let is_served = now >= running.arrives + SERVED_MS;
                !running.sending.is_guilty && (running.done <= now || is_served)
            });
        self.running = kept;
        for running in done {
            let at = now + 1 + self.below(32);
            self.news.push((at, News::Answer(running.sending.host, running.sending.request)));
        }
    }

    fn learn(&mut self, now: u64) {
        let at = Timestamp::from_millis(now);
        let (due, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.news).into_iter().partition(|(at, _)| *at <= now);
        self.news = kept;
        for (_, news) in due {
            match news {
                News::Loss(running, run) => {
                    let sent = Timestamp::from_millis(running.sent);
                    let Sending { host, request, .. } = running.sending;
                    let quarantine = &mut self.hosts[host].quarantine;
                    if quarantine.record_loss(run, request, sent, at) {
                        self.news.push((now + CHECK_MS, News::End(host, run)));
                    }
                    self.send(running.sending, now);
                }
                News::End(host, run) => self.hosts[host].quarantine.record_end(run, at),
                News::Answer(host, request) => {
                    self.hosts[host].quarantine.record_answer(request, at);
                }
                News::Report(from, to, requests, hosts) => {
                    let from = self.hosts[from].name;
                    let host = &mut self.hosts[to];
                    if host.paused_until <= now {
                        host.quarantine.merge(&requests, at);
                        host.view.merge(from, &hosts, at);
                    }
                }
            }
        }
    }

    fn gossip(&mut self, now: u64) {
        let at = Timestamp::from_millis(now);
        for from in 0..self.hosts.len() {
            let host = &mut self.hosts[from];
            if host.paused_until > now {
                continue;
            }
            let (requests, hosts) = (host.quarantine.report(at), host.view.report(at));
            let bytes = postcard::to_allocvec(&requests).unwrap();
            assert!(bytes.len() <= 520, "{} bytes", bytes.len());
            host.quarantine.expire(at);
            for _ in 0..2 {
                let to = self.below(self.hosts.len() as u64) as usize;
                let is_cut = self.hosts[from].is_isolated || self.hosts[to].is_isolated;
                if to != from && !is_cut && !self.chance(0.05) {
                    let news = News::Report(from, to, requests.clone(), hosts.clone());
                    let delay = 1 + self.below(60);
                    self.news.push((now + delay, news));
                }
            }
        }
    }

    /// Plays `seconds` of a history with `rate` sound requests a second.
    fn play(&mut self, cause: Cause, rate: f64, from: u64, seconds: u64) {
        for now in (from * 1_000..(from + seconds) * 1_000).step_by(STEP_MS as usize) {
            self.learn(now);
            if self.chance(rate * STEP_MS as f64 / 1_000.0) {
                self.arrive_sound(now);
            }
            match cause {
                Cause::Request if now >= self.next_guilty => self.arrive_guilty(1, now),
                Cause::ManyRequests if now >= self.next_guilty => {
                    let copies = 1 + self.below(3);
                    self.arrive_guilty(copies, now);
                }
                _ => {}
            }
            self.end_for_other_causes(cause, now);
            self.work(now);
            if now % GOSSIP_MS == 0 {
                self.gossip(now);
            }
        }
    }

    fn end_for_other_causes(&mut self, cause: Cause, now: u64) {
        let count = self.upstreams.len();
        let share = match cause {
            Cause::Power if now >= 10_000 && now.is_multiple_of(8_000) => 0.34,
            Cause::AllPower if now >= 10_000 && now.is_multiple_of(15_000) => 1.0,
            Cause::Chance if now >= 10_000 && now.is_multiple_of(1_000) => 1.0 / count as f64,
            _ => 0.0,
        };
        for upstream in 0..count {
            if share > 0.0 && self.chance(share) {
                self.end(upstream, now);
            }
        }
        let since = now % 12_000;
        if cause == Cause::Rolling && now >= 10_000 && since.is_multiple_of(300) {
            let upstream = (since / 300) as usize;
            if upstream < count {
                self.end(upstream, now);
            }
        }
    }
}

/// Guards against one request that ends upstreams one after the other, and against blocking sound
/// requests that are beside it.
#[yare::parameterized(
    desk = { 7, DESK, 17.0, Cause::Request },
    desk_copies = { 7, DESK, 17.0, Cause::ManyRequests },
    busy_desk = { 7, DESK, 60.0, Cause::ManyRequests },
    engines = { 7, ENGINES, 45.0, Cause::Request },
    engines_copies = { 7, ENGINES, 45.0, Cause::ManyRequests },
    many_hosts = { 84, Service { upstreams: 6, work_ms: 150 }, 100.0, Cause::ManyRequests },
    many_engines = { 84, Service { upstreams: 90, work_ms: 3_000 }, 180.0, Cause::ManyRequests },
)]
fn a_request_that_ends_upstreams_is_blocked_in_time(
    hosts: usize,
    service: Service,
    rate: f64,
    cause: Cause,
) {
    let (mut sound, mut blocked) = (0, 0);
    for seed in 0..10 {
        let mut fleet = Fleet::new(hosts, service, seed);
        fleet.play(cause, rate, 0, 90);
        let outcome = &fleet.outcome;
        assert!(outcome.ends.len() >= MAX_ENDS, "seed {seed}: {:?}", outcome.ends);
        let late = outcome.late();
        assert!(late <= 3, "seed {seed}: {late} requests; ends {:?}", outcome.ends);
        sound += outcome.sound;
        blocked += outcome.sound_blocked;
        let (repeated, refused) = (outcome.repeated, outcome.repeated_blocked);
        assert!(refused * 50 <= repeated, "seed {seed}: {refused} of {repeated}");
    }
    eprintln!("{blocked} of {sound} sound requests blocked");
    assert!(blocked * 200 <= sound, "{blocked} of {sound} sound requests");
}

/// Guards against blocking requests that were merely in flight when upstreams ended for another cause.
#[yare::parameterized(
    power = { Cause::Power },
    all_power = { Cause::AllPower },
    rolling = { Cause::Rolling },
    chance = { Cause::Chance },
)]
fn few_requests_are_blocked_for_ends_of_another_cause(cause: Cause) {
    let (mut sound, mut blocked) = (0, 0);
    for seed in 0..8 {
        for (hosts, service, rate) in [(7, DESK, 60.0), (7, ENGINES, 60.0)] {
            let mut fleet = Fleet::new(hosts, service, seed);
            fleet.play(cause, rate, 0, 90);
            sound += fleet.outcome.sound;
            blocked += fleet.outcome.sound_blocked;
        }
    }
    eprintln!("{cause:?}: {blocked} of {sound} requests blocked");
    assert!(blocked * 500 <= sound, "{blocked} of {sound} requests");
}

/// Guards against hosts that pause, restart or lose touch and know nothing of the request then.
#[test]
fn hosts_that_were_away_are_told() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(7, DESK, seed);
        fleet.hosts[1].is_isolated = true;
        fleet.hosts[2].paused_until = 30_000;
        fleet.play(Cause::Request, 17.0, 0, 30);
        fleet.hosts[1].is_isolated = false;
        fleet.hosts[3] = new_host(3, 30_000);
        let names: Vec<HostHash> = fleet.hosts.iter().map(|host| host.name).collect();
        fleet.hosts[3].view.register(names, Timestamp::from_millis(30_000));
        // The guilty request does not come until they are in touch.
        fleet.next_guilty = 34_000;
        fleet.play(Cause::Request, 17.0, 30, 60);
        assert!(fleet.outcome.late() <= 3, "seed {seed}: {:?}", fleet.outcome);
        let is_blocked = |host: &Host| host.quarantine.blocked().any(|found| found == guilty());
        assert!(fleet.hosts.iter().all(is_blocked), "seed {seed}");
    }
}

/// Guards against trials by each host, and against a request that is blocked for ever by mistake.
#[test]
fn a_blocked_request_is_tried_a_few_times_in_all() {
    let mut fleet = Fleet::new(7, DESK, 3);
    fleet.play(Cause::Request, 17.0, 0, 1_800);
    let late = fleet.outcome.late();
    assert!((1..=3).contains(&late), "{late} requests");
    // Once it is sound, the next trial of another history frees it.
    let mut fleet = Fleet::new(7, DESK, 4);
    fleet.play(Cause::Request, 17.0, 0, 30);
    for second in 30..600 {
        let (now, host) = (second * 1_000, fleet.below(7) as usize);
        fleet.send(Sending::new(host, guilty(), false), now);
        fleet.play(Cause::Chance, 0.0, second, 0);
        fleet.play(Cause::Power, 17.0, second, 1);
    }
    let is_blocked = |host: &Host| host.quarantine.blocked().any(|found| found == guilty());
    assert!(!fleet.hosts.iter().any(is_blocked));
}

/// Guards against memory that grows with the number of requests, upstreams and answers.
#[test]
fn memory_is_bounded() {
    let me = HostHash::new(&"host-1".parse().unwrap());
    let mut quarantine = RequestQuarantine::new(me);
    for number in 0..20_000u64 {
        let now = Timestamp::from_millis(number * 7);
        let run = RunHash::new("i-1", number);
        for copy in 0..3u64 {
            let request = RequestHash::new(&[&(number / 2 * 3 + copy).to_le_bytes()]);
            quarantine.record_loss(run, request, now, now);
            if number % 5 == 0 {
                quarantine.record_answer(request, now);
            }
        }
        if number % 3 == 0 {
            quarantine.record_end(run, now);
        }
    }
    let entries = quarantine.retained_entries();
    assert!(entries <= 8_000, "{entries}");
    quarantine.expire(Timestamp::from_millis(140_000) + END_RETENTION);
    assert_eq!(quarantine.retained_entries(), 0);
}

/// Guards against counting the losses of one moment as several, and those of one request that was
/// sent from upstream to upstream as one.
#[test]
fn ends_of_one_cause_count_once() {
    let at = Timestamp::from_millis;
    let me = HostHash::new(&"host-1".parse().unwrap());
    let other = HostHash::new(&"host-2".parse().unwrap());
    let mut together = RequestQuarantine::new(me);
    let mut in_turn = RequestQuarantine::new(me);
    for number in 0..4 {
        let run = RunHash::new("i", number);
        together.record_loss(run, guilty(), at(950), at(1_000 + number * 20));
        together.record_end(run, at(1_100));
        let sent = 1_000 + number * 60;
        in_turn.record_loss(run, guilty(), at(sent), at(sent + 60));
        in_turn.record_end(run, at(sent + 60));
    }
    let permission =
        |quarantine: &RequestQuarantine| quarantine.permission(guilty(), |_| true, at(1_500));
    assert_eq!(permission(&together), RequestPermission::Open);
    let until = at(1_180) + TRIAL_DELAYS[0];
    assert_eq!(permission(&in_turn), RequestPermission::Blocked(until));
    let mut told = RequestQuarantine::new(other);
    told.merge(&together.report(at(1_207)), at(1_260));
    assert_eq!(permission(&told), RequestPermission::Open);
    let mut told = RequestQuarantine::new(other);
    told.merge(&in_turn.report(at(1_307)), at(1_360));
    assert!(matches!(permission(&told), RequestPermission::Blocked(_)));
}

/// Guards against trials that are forgotten when all processes end: the request would be tried twice more.
#[test]
fn a_trial_outlives_all_hosts() {
    let at = Timestamp::from_millis;
    let host = |name: &str| RequestQuarantine::new(HostHash::new(&name.parse().unwrap()));
    let (mut first, request) = (host("host-1"), RequestHash::new(&[b"guilty"]));
    for number in 1..=3 {
        let (run, now) = (RunHash::new("i-1", number), at(number * 1_000));
        first.record_loss(run, request, now, now);
        first.record_end(run, now);
    }
    let written = first.unsaved_report(|_| false, at(4_000)).expect("a request to write");
    first.record_saved(&written, true);
    assert_eq!(first.unsaved_report(|_| false, at(5_000)), None);
    let tried_at = at(3_000) + TRIAL_DELAYS[0];
    assert_eq!(first.permission(request, |_| true, tried_at), RequestPermission::Trial);
    first.begin_trial(request);
    let written = first.unsaved_report(|_| false, tried_at).expect("a trial to write");
    let mut next = host("host-2");
    next.restore(&written, tried_at);
    let permission = next.permission(request, |_| true, tried_at + Duration::from_secs(10));
    let second_trial = at(3_000) + TRIAL_DELAYS[1];
    assert_eq!(permission, RequestPermission::Blocked(second_trial));
}
