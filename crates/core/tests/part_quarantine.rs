//! Which parts of prompts are blocked, over random histories of hosts and upstreams without a
//! network.

use oleander_core::part_quarantine::{
    CRASH_RETENTION, MAX_CRASHES, PartHash, PartQuarantine, PartReport, RunHash,
};
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::Timestamp;
use std::time::Duration;

const STEP_MS: u64 = 10;
const GOSSIP_MS: u64 = 250;
/// Time that a host takes to find out whether an upstream has ended.
const CHECK_MS: u64 = 70;
/// Time after the fifth crash from which a part must have been blocked everywhere.
const CONTACT_MS: u64 = 4_000;

/// Why upstreams end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// A part that ends each upstream which begins to write on it, from 10 s on.
    Part,
    /// A third of the upstreams at one moment, each 8 s.
    Power,
    /// All upstreams at one moment, each 15 s.
    AllPower,
    /// Any upstream at any moment, one in a second.
    Chance,
}

struct Host {
    quarantine: PartQuarantine,
    is_isolated: bool,
}

struct Upstream {
    started_ms: u64,
    is_down_until: u64,
}

struct Request {
    host: usize,
    upstream: usize,
    run: u64,
    parts: Vec<PartHash>,
    is_guilty: bool,
    attempts: u32,
    /// When the answer begins, and when it is complete.
    begins: u64,
    ends: u64,
    is_counted: bool,
}

/// What happened in a history.
#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<u64>,
    /// Times at which requests with the guilty part reached an upstream.
    guilty: Vec<u64>,
    /// Sound requests, and those of them that were blocked, by second.
    sound: u64,
    sound_blocked: u64,
    /// The same later than twice the contact time after the fifth crash.
    late: u64,
    late_blocked: u64,
}

struct Fleet {
    random: u64,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    /// When a host finds out whether a run of an upstream has ended.
    checks: Vec<(u64, usize, usize, RunHash)>,
    outcome: Outcome,
}

fn part(kind: &str, number: u64) -> PartHash {
    PartHash::new(&format!("{kind}-{number}"))
}

impl Fleet {
    fn new(hosts: usize, upstreams: usize, seed: u64) -> Self {
        let host = |number: usize| Host {
            quarantine: PartQuarantine::new()
                .with_trial_delay(Duration::from_secs(2 * number as u64)),
            is_isolated: false,
        };
        Self {
            random: mix(seed),
            hosts: (0..hosts).map(host).collect(),
            upstreams: (0..upstreams)
                .map(|_| Upstream { started_ms: 1, is_down_until: 0 })
                .collect(),
            requests: Vec::new(),
            checks: Vec::new(),
            outcome: Outcome::default(),
        }
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
        RunHash::new(&format!("i-{upstream}"), self.upstreams[upstream].started_ms)
    }

    /// A request comes in at a host. Parts: one of three of the system, one of ten accounts, one of
    /// 60 subjects, most of which are rare.
    fn arrive(&mut self, guilty_share: f64, now: u64) {
        let host = self.below(self.hosts.len() as u64) as usize;
        let (system, account) = (self.below(3), self.below(10));
        let subject = self.below(60).min(self.below(60));
        let is_guilty = self.chance(guilty_share);
        let mut parts = vec![part("system", system), part("account", account)];
        if is_guilty {
            // The caller and the first part are shared with sound requests.
            parts = vec![part("system", 0), part("account", 3), part("guilty", 0)];
        }
        parts.push(part("subject", subject));
        let is_late = self.outcome.crashes.get(4).is_some_and(|fifth| now > fifth + 2 * CONTACT_MS);
        let is_blocked = self.hosts[host].quarantine.is_blocked(&parts);
        if !is_guilty {
            self.outcome.sound += 1;
            self.outcome.sound_blocked += u64::from(is_blocked);
            self.outcome.late += u64::from(is_late);
            self.outcome.late_blocked += u64::from(is_late && is_blocked);
        }
        self.send(host, parts, is_guilty, 0, now);
    }

    fn send(
        &mut self,
        host: usize,
        parts: Vec<PartHash>,
        is_guilty: bool,
        attempts: u32,
        now: u64,
    ) {
        if attempts >= 3 || self.hosts[host].quarantine.is_blocked(&parts) {
            return;
        }
        for _ in 0..3 {
            let upstream = self.below(self.upstreams.len() as u64) as usize;
            let at = Timestamp::from_millis(now);
            if self.upstreams[upstream].is_down_until != 0 {
                let run = self.run_hash(upstream);
                self.hosts[host].quarantine.record_end(run, at);
                continue;
            }
            if is_guilty {
                self.outcome.guilty.push(now);
            }
            let begins = now + 50 + self.below(400);
            let ends = begins + 100 + self.below(3_000);
            let run = self.upstreams[upstream].started_ms;
            let attempts = attempts + 1;
            self.requests.push(Request {
                host,
                upstream,
                run,
                parts,
                is_guilty,
                attempts,
                begins,
                ends,
                is_counted: false,
            });
            return;
        }
    }

    fn crash(&mut self, upstream: usize, now: u64) {
        if self.upstreams[upstream].is_down_until != 0 {
            return;
        }
        self.outcome.crashes.push(now);
        let run = self.run_hash(upstream);
        let restart = now + 1_500 + self.below(3_000);
        self.upstreams[upstream].is_down_until = restart;
        let (lost, kept): (Vec<Request>, Vec<Request>) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|request| request.upstream == upstream);
        self.requests = kept;
        for request in lost {
            if now < request.begins + 1_000 {
                let at = Timestamp::from_millis(now);
                let quarantine = &mut self.hosts[request.host].quarantine;
                if quarantine.record_loss(run, &request.parts, at) {
                    self.checks.push((now + CHECK_MS, request.host, upstream, run));
                }
            }
            self.send(request.host, request.parts, request.is_guilty, request.attempts, now + 20);
        }
    }

    fn work(&mut self, now: u64) {
        for upstream in 0..self.upstreams.len() {
            let state = &mut self.upstreams[upstream];
            if state.is_down_until != 0 && state.is_down_until <= now {
                (state.is_down_until, state.started_ms) = (0, now);
            }
        }
        let crashing: Vec<usize> = self
            .requests
            .iter()
            .filter(|request| request.is_guilty && now >= request.begins + 80)
            .map(|request| request.upstream)
            .collect();
        crashing.into_iter().for_each(|upstream| self.crash(upstream, now));
        let at = Timestamp::from_millis(now);
        for request in &mut self.requests {
            assert_eq!(self.upstreams[request.upstream].started_ms, request.run);
            if !request.is_counted && now >= request.ends.min(request.begins + 1_000) {
                request.is_counted = true;
                self.hosts[request.host].quarantine.record_answer(&request.parts, at);
            }
        }
        self.requests.retain(|request| now < request.ends);
    }

    fn check(&mut self, now: u64) {
        let (due, kept) = std::mem::take(&mut self.checks)
            .into_iter()
            .partition(|(at, ..): &(u64, usize, usize, RunHash)| *at <= now);
        self.checks = kept;
        for (_, host, upstream, run) in due {
            if self.upstreams[upstream].is_down_until != 0 {
                self.hosts[host].quarantine.record_end(run, Timestamp::from_millis(now));
            }
        }
    }

    fn gossip(&mut self, now: u64) {
        let at = Timestamp::from_millis(now);
        for sender in 0..self.hosts.len() {
            let report = self.hosts[sender].quarantine.report(at);
            let bytes = postcard::to_allocvec(&report).unwrap();
            assert!(bytes.len() <= 280, "{} bytes", bytes.len());
            let report: PartReport = postcard::from_bytes(&bytes).unwrap();
            for _ in 0..2 {
                let target = self.below(self.hosts.len() as u64) as usize;
                let is_cut = self.hosts[sender].is_isolated || self.hosts[target].is_isolated;
                if target != sender && !is_cut && !self.chance(0.05) {
                    self.hosts[target].quarantine.merge(&report, at);
                }
            }
            self.hosts[sender].quarantine.expire(at);
        }
    }

    /// Plays `seconds` of a history with `rate` requests a second.
    fn play(&mut self, cause: Cause, rate: f64, from: u64, seconds: u64) {
        for now in (from * 1_000..(from + seconds) * 1_000).step_by(STEP_MS as usize) {
            let is_on = now >= 10_000;
            let guilty_share = if cause == Cause::Part && is_on { 0.06 } else { 0.0 };
            let mut due = rate * STEP_MS as f64 / 1_000.0;
            while due > 0.0 {
                if self.chance(due) {
                    self.arrive(guilty_share, now);
                }
                due -= 1.0;
            }
            let share = match cause {
                Cause::Power if is_on && now % 8_000 == 0 => 0.33,
                Cause::AllPower if is_on && now % 15_000 == 0 => 1.0,
                Cause::Chance if is_on && now % 1_000 == 0 => 1.0 / self.upstreams.len() as f64,
                _ => 0.0,
            };
            if share > 0.0 {
                for upstream in 0..self.upstreams.len() {
                    if self.chance(share) {
                        self.crash(upstream, now);
                    }
                }
            }
            self.work(now);
            self.check(now);
            if now % GOSSIP_MS == 0 {
                self.gossip(now);
            }
        }
    }
}

/// Guards against requests with one part that end upstreams one after the other: each host saw some
/// of the crashes, and none what they had in common.
#[yare::parameterized(
    few = { 7, 9, 45.0 },
    few_and_quiet = { 7, 9, 15.0 },
    many = { 84, 90, 300.0 },
)]
fn a_part_that_crashes_upstreams_is_blocked_in_time(hosts: usize, upstreams: usize, rate: f64) {
    for seed in 0..12 {
        let mut fleet = Fleet::new(hosts, upstreams, seed);
        fleet.play(Cause::Part, rate, 0, 40);
        let outcome = &fleet.outcome;
        let fifth = outcome.crashes.get(4).copied().unwrap_or(u64::MAX - CONTACT_MS);
        let late = outcome.guilty.iter().filter(|at| **at > fifth + CONTACT_MS).count();
        assert!(late <= 3, "seed {seed}: {late} requests later than {fifth} ms; {outcome:?}");
        // Sound requests begin at least half as often as before.
        assert!(outcome.late_blocked * 20 <= outcome.late, "seed {seed}: {outcome:?}");
        assert!(outcome.sound_blocked * 50 <= outcome.sound, "seed {seed}: {outcome:?}");
    }
}

/// Guards against blocking parts that were merely in flight when upstreams ended for another cause.
#[yare::parameterized(
    power = { Cause::Power },
    all_power = { Cause::AllPower },
    chance = { Cause::Chance },
)]
fn no_part_is_blocked_for_crashes_of_another_cause(cause: Cause) {
    for seed in 0..12 {
        for (hosts, upstreams, rate) in [(7, 9, 45.0), (20, 30, 100.0)] {
            let mut fleet = Fleet::new(hosts, upstreams, seed);
            fleet.play(cause, rate, 0, 60);
            let outcome = &fleet.outcome;
            assert!(outcome.crashes.len() >= 9, "{}", outcome.crashes.len());
            let blocked = outcome.sound_blocked;
            assert!(
                blocked * 1_000 <= outcome.sound,
                "seed {seed}: {blocked} of {}",
                outcome.sound
            );
        }
    }
}

/// Guards against a host that hears no other and keeps sending the part.
#[test]
fn a_host_out_of_touch_blocks_a_part_by_itself() {
    for seed in 0..12 {
        let mut fleet = Fleet::new(7, 9, seed);
        fleet.hosts[0].is_isolated = true;
        fleet.play(Cause::Part, 45.0, 0, 120);
        let outcome = &fleet.outcome;
        assert!(fleet.hosts[0].quarantine.is_blocked(&[part("guilty", 0)]), "seed {seed}");
        assert!(outcome.late_blocked * 20 <= outcome.late, "seed {seed}: {outcome:?}");
        fleet.hosts[0].is_isolated = false;
        fleet.hosts[0].quarantine = PartQuarantine::new();
        fleet.play(Cause::Part, 0.0, 120, 3);
        let is_told = fleet.hosts[0].quarantine.is_blocked(&[part("guilty", 0)]);
        assert!(is_told, "a host that has lost its memory is told, seed {seed}");
    }
}

/// Guards against a part that is blocked for ever, and against one that all hosts try again at once.
#[test]
fn a_blocked_part_is_tried_again_by_one_host_first() {
    let mut fleet = Fleet::new(7, 9, 3);
    fleet.play(Cause::Part, 45.0, 0, 30);
    let before = fleet.outcome.guilty.len();
    fleet.play(Cause::Part, 15.0, 30, CRASH_RETENTION.as_secs() + 30);
    let tried = fleet.outcome.guilty.len() - before;
    assert!((1..=12).contains(&tried), "{tried} requests since");
    // Without the part, it is forgotten.
    fleet.play(Cause::Chance, 1.0, 360, CRASH_RETENTION.as_secs() + 30);
    assert!(fleet.hosts.iter().all(|host| host.quarantine.blocked().next().is_none()));
}

/// Guards against memory that grows with the number of parts and crashes.
#[test]
fn memory_is_bounded() {
    let mut quarantine = PartQuarantine::new();
    for number in 0..20_000 {
        let now = Timestamp::from_millis(number * 7);
        let run = RunHash::new("i-1", number);
        let parts = [part("a", number), part("b", number % 1_000), part("c", number % 7)];
        quarantine.record_loss(run, &parts, now);
        if number % 3 == 0 {
            quarantine.record_end(run, now);
        }
        quarantine.record_answer(&[part("d", number)], now);
    }
    let bytes = quarantine.retained_entries();
    assert!(bytes <= 25_000, "{bytes}");
}

/// Guards against counting the crashes of one moment as several.
#[test]
fn crashes_at_one_moment_count_once() {
    let mut quarantine = PartQuarantine::new();
    let at = Timestamp::from_millis;
    for run in 0..MAX_CRASHES as u64 * 4 {
        let run = RunHash::new("i", run);
        quarantine.record_loss(run, &[part("rare", 0)], at(1_000));
        quarantine.record_end(run, at(1_010));
    }
    quarantine.record_answer(&[part("other", 0)], at(1_500));
    assert!(!quarantine.is_blocked(&[part("rare", 0)]));
}

/// Guards against condemning the parts that sound requests share with those that crash upstreams:
/// both are in flight at each crash.
#[test]
fn an_answer_clears_a_part_of_earlier_crashes_only() {
    let mut quarantine = PartQuarantine::new();
    let at = Timestamp::from_millis;
    let (shared, guilty) = (part("shared", 0), part("guilty", 0));
    for crash in 0..5 {
        let run = RunHash::new("i", crash);
        let now = at(1_000 + crash * 1_000);
        quarantine.record_loss(run, &[shared, guilty], now);
        quarantine.record_end(run, now);
        quarantine.record_answer(&[shared], now + Duration::from_millis(300));
    }
    assert!(quarantine.is_blocked(&[guilty]));
    assert!(!quarantine.is_blocked(&[shared]));
    let report = quarantine.report(at(6_000));
    let mut other = PartQuarantine::new();
    other.merge(&report, at(6_050));
    assert!(other.is_blocked(&[guilty]), "a host that saw nothing is told");
    assert!(!other.is_blocked(&[shared]));
}

/// A quarantine in which the guilty part crashed upstreams at these times, and another part was answered
/// half a second after each.
fn implicated(crashes: impl IntoIterator<Item = u64>) -> PartQuarantine {
    let mut quarantine = PartQuarantine::new();
    for at in crashes {
        let (run, now) = (RunHash::new("i-1", at), Timestamp::from_millis(at));
        quarantine.record_loss(run, &[part("guilty", 0)], now);
        quarantine.record_end(run, now);
        quarantine.record_answer(&[part("other", 0)], Timestamp::from_millis(at + 500));
    }
    quarantine
}

/// Guards against a host that has just started and lets a part through until it has answered another
/// request itself.
#[test]
fn a_host_that_has_answered_nothing_believes_that_others_are_answered() {
    let now = Timestamp::from_millis(60_000);
    let mut old = implicated([50_000, 51_000, 52_000, 53_000]);
    for report in [old.report(now), old.kept_report(now)] {
        let mut young = PartQuarantine::new();
        young.merge(&report, now);
        assert!(young.is_blocked(&[part("guilty", 0)]));
    }
}

/// Guards against taking a part that was answered before for one that never was, and blocking sound
/// requests for 300 s where 20 s are meant.
#[test]
fn a_host_that_has_just_started_knows_that_a_part_was_answered() {
    let now = Timestamp::from_millis(60_000);
    let mut old = PartQuarantine::new();
    old.record_answer(&[part("guilty", 0)], Timestamp::from_millis(40_000));
    old.merge(&implicated([50_000, 51_000, 52_000, 53_000]).report(now), now);
    let until = Some(Timestamp::from_millis(50_000 + 20_000));
    assert_eq!(old.blocked_until(&[part("guilty", 0)]), until);
    for report in [old.report(now), old.kept_report(now)] {
        let mut young = PartQuarantine::new();
        young.merge(&report, now);
        assert_eq!(young.blocked_until(&[part("guilty", 0)]), until);
    }
}

/// Guards against crashes that stay in the store although the part was answered after them, beside later
/// ones: a host that starts would count both.
#[test]
fn crashes_before_an_answer_leave_the_store() {
    let at = Timestamp::from_millis;
    let mut first = implicated([50_000, 51_000, 52_000, 53_000]);
    first.expire(at(54_000));
    let written = first.unsaved_report(|_| false, at(54_000)).expect("a part to write");
    first.record_saved(&written, true);
    first.record_answer(&[part("guilty", 0)], at(55_000));
    // Another host tells of a later crash.
    first.merge(&implicated([56_000]).report(at(57_000)), at(57_000));
    let written = first.unsaved_report(|_| false, at(57_000)).expect("a part to clear");
    first.record_saved(&written, true);
    assert_eq!(first.unsaved_report(|_| false, at(57_500)), None);
    let mut next = PartQuarantine::new();
    next.restore(&written, at(57_000));
    next.merge(&implicated([57_000, 57_500, 58_000]).report(at(58_000)), at(58_000));
    next.record_answer(&[part("other", 0)], at(58_500));
    next.expire(at(59_000));
    // The first of four crashes, and the 20 s of a part that was answered.
    let until = next.blocked_until(&[part("guilty", 0)]);
    assert_eq!(until, Some(at(56_000 + 20_000)));
}
