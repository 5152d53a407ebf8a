//! At most one holder at a time under delays, losses, pauses and clock differences.

use oleander_core::ids::{FencingNumber, HostId};
use oleander_core::lease::{
    LeaseAction, LeaseGuard, LeaseManager, LeaseReading, LeaseRow, LeaseTimes,
};
use oleander_core::units::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const HOSTS: usize = 3;
/// Clock offset of each host, in milliseconds.
const CLOCK_OFFSETS: [u64; HOSTS] = [0, 7_000, 1_000_000];

/// The table with the two lease rows and their versions.
#[derive(Default)]
struct Table {
    row: Option<(LeaseRow, u64)>,
    fence: Option<u64>,
    last_version: u64,
}

impl Table {
    fn write(&mut self, write: &Write) -> bool {
        let row_version = self.row.as_ref().map(|(_, version)| *version);
        if row_version != write.row_version || (write.acquires && self.fence != write.fence_version)
        {
            return false;
        }
        self.last_version += 1;
        self.row = Some((write.row.clone(), self.last_version));
        if write.acquires {
            self.last_version += 1;
            self.fence = Some(self.last_version);
        }
        true
    }

    fn reading(&self) -> LeaseReading {
        LeaseReading { row: self.row.clone(), fence_version: self.fence }
    }
}

#[derive(Clone)]
struct Write {
    row: LeaseRow,
    row_version: Option<u64>,
    fence_version: Option<u64>,
    acquires: bool,
}

#[derive(Clone, Copy, Debug)]
enum CallResult {
    /// The call succeeds.
    Succeeds,
    /// The write is applied and its reply is lost.
    ReplyLost,
    /// The write is delayed until the next step of the host.
    Delayed,
    /// The call is lost.
    Lost,
}

#[derive(Clone, Debug)]
struct Event {
    host: usize,
    wait: u64,
    result: CallResult,
}

fn event() -> impl Strategy<Value = Event> {
    let result = prop_oneof![
        6 => Just(CallResult::Succeeds), 1 => Just(CallResult::ReplyLost), 1 => Just(CallResult::Delayed), 1 => Just(CallResult::Lost)
    ];
    let wait = prop_oneof![4 => 0u64..600, 1 => 0u64..15_000];
    (0..HOSTS, wait, result).prop_map(|(host, wait, result)| Event { host, wait, result })
}

struct Simulation {
    now: u64,
    writes: u64,
    table: Table,
    managers: Vec<LeaseManager>,
    delayed: Vec<Option<Write>>,
    guards: Vec<Option<LeaseGuard>>,
}

impl Simulation {
    fn new() -> Self {
        let host = |index: usize| HostId::new(&format!("host-{index}")).unwrap();
        let managers = (0..HOSTS).map(|i| LeaseManager::new(host(i), LeaseTimes::default()));
        Self {
            now: 1_000,
            writes: 0,
            table: Table::default(),
            managers: managers.collect(),
            delayed: vec![None; HOSTS],
            guards: vec![None; HOSTS],
        }
    }

    fn clock(&self, host: usize) -> Timestamp {
        Timestamp::from_millis(self.now + CLOCK_OFFSETS[host])
    }

    fn step(&mut self, event: &Event) {
        self.now += event.wait;
        let host = event.host;
        if let Some(delayed) = self.delayed[host].take() {
            self.table.write(&delayed);
        }
        let requested_at = self.clock(host);
        self.writes += 1;
        match self.managers[host].step(requested_at, self.writes) {
            LeaseAction::Wait => {}
            LeaseAction::Read => {
                if matches!(event.result, CallResult::Succeeds) {
                    let reading = self.table.reading();
                    self.managers[host].on_read(reading, requested_at);
                }
            }
            LeaseAction::Write { row, row_version, fence_version, acquires } => {
                let write = Write { row, row_version, fence_version, acquires };
                match event.result {
                    CallResult::Succeeds => {
                        if !self.table.write(&write) {
                            self.managers[host].on_refused();
                        }
                    }
                    CallResult::ReplyLost => drop(self.table.write(&write)),
                    CallResult::Delayed => self.delayed[host] = Some(write),
                    CallResult::Lost => {}
                }
            }
        }
        // Keep the last guard of the host, as a paused host would.
        if let Some(guard) = self.managers[host].guard(self.clock(host)) {
            self.guards[host] = Some(guard);
        }
    }

    fn holders(&self) -> Vec<FencingNumber> {
        let held = |host: usize| self.managers[host].guard(self.clock(host));
        (0..HOSTS).filter_map(held).map(|guard| guard.fencing).collect()
    }
}

fn config(seed: u64) -> Config {
    Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(11))]

    #[test]
    fn at_most_one_host_holds_the_lease_at_any_time(events in prop::collection::vec(event(), 1..160)) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.step(event);
            prop_assert!(simulation.holders().len() <= 1, "{:?} at {}", simulation.holders(), simulation.now);
        }
    }

    /// A write with an old guard fails its condition, because the fence row has a newer version.
    #[test]
    fn older_guards_never_match_the_fence_row(events in prop::collection::vec(event(), 1..160)) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.step(event);
            let Some((row, _)) = &simulation.table.row else { continue };
            for guard in simulation.guards.iter().flatten().filter(|guard| guard.fencing < row.fencing) {
                prop_assert_ne!(Some(guard.fence_version), simulation.table.fence);
            }
        }
    }

    #[test]
    fn fencing_numbers_only_increase(events in prop::collection::vec(event(), 1..160)) {
        let mut simulation = Simulation::new();
        let mut highest = 0;
        for event in &events {
            simulation.step(event);
            let fencing = simulation.table.row.as_ref().map_or(0, |(row, _)| row.fencing.get());
            prop_assert!(fencing >= highest);
            highest = fencing;
        }
    }
}

fn undisturbed(host: usize, wait: u64) -> Event {
    Event { host, wait, result: CallResult::Succeeds }
}

#[test]
fn lease_is_acquired_and_kept_by_renewals() {
    let mut simulation = Simulation::new();
    (0..400).for_each(|turn| simulation.step(&undisturbed(turn % HOSTS, 100)));
    assert_eq!(simulation.holders(), vec![FencingNumber::new(1)]);
}

#[test]
fn paused_holder_loses_the_lease_to_another_host() {
    let mut simulation = Simulation::new();
    (0..3).for_each(|_| simulation.step(&undisturbed(0, 100)));
    assert!(simulation.managers[0].guard(simulation.clock(0)).is_some());
    let others = |turn: usize| undisturbed(1 + turn % 2, 100);
    (0..200).for_each(|turn| simulation.step(&others(turn)));
    assert!(simulation.managers[0].guard(simulation.clock(0)).is_none());
    assert_eq!(simulation.holders(), vec![FencingNumber::new(2)]);
}

#[test]
fn released_lease_is_acquired_at_once() {
    let mut simulation = Simulation::new();
    (0..3).for_each(|_| simulation.step(&undisturbed(0, 100)));
    let now = simulation.clock(0);
    let (row, version) = simulation.managers[0].release(now, 99).unwrap();
    let write = Write { row, row_version: Some(version), fence_version: None, acquires: false };
    assert!(simulation.table.write(&write));
    (0..4).for_each(|_| simulation.step(&undisturbed(1, 100)));
    assert_eq!(simulation.holders(), vec![FencingNumber::new(2)]);
}

#[test]
fn holder_stops_acting_before_another_may_acquire() {
    let times = LeaseTimes::default();
    assert!(times.margin > Duration::ZERO && times.renewal < times.term - times.margin);
}
