//! One holder at a time, whatever is late, lost or paused, and however clocks differ.

use oleander_core::ids::{FencingNumber, HostId};
use oleander_core::lease::{
    LeaseAction, LeaseGuard, LeaseManager, LeaseReading, LeaseRow, LeaseTimes,
};
use oleander_core::units::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const HOSTS: usize = 3;
/// Hosts' clocks differ by so much.
const CLOCK_OFFSETS: [u64; HOSTS] = [0, 7_000, 1_000_000];

/// The two rows, with versions, as the table holds them.
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
enum Fate {
    /// The call works.
    Works,
    /// The write applies and its reply is lost.
    ReplyLost,
    /// The write stays in the network and arrives at the host's next step.
    Late,
    /// Nothing arrives.
    Lost,
}

#[derive(Clone, Debug)]
struct Event {
    host: usize,
    wait: u64,
    fate: Fate,
}

fn event() -> impl Strategy<Value = Event> {
    let fate = prop_oneof![
        6 => Just(Fate::Works), 1 => Just(Fate::ReplyLost), 1 => Just(Fate::Late), 1 => Just(Fate::Lost)
    ];
    let wait = prop_oneof![4 => 0u64..600, 1 => 0u64..15_000];
    (0..HOSTS, wait, fate).prop_map(|(host, wait, fate)| Event { host, wait, fate })
}

struct World {
    now: u64,
    writes: u64,
    table: Table,
    keepers: Vec<LeaseManager>,
    late: Vec<Option<Write>>,
    guards: Vec<Option<LeaseGuard>>,
}

impl World {
    fn new() -> Self {
        let host = |index: usize| HostId::new(&format!("host-{index}")).unwrap();
        let keepers = (0..HOSTS).map(|i| LeaseManager::new(host(i), LeaseTimes::default()));
        Self {
            now: 1_000,
            writes: 0,
            table: Table::default(),
            keepers: keepers.collect(),
            late: vec![None; HOSTS],
            guards: vec![None; HOSTS],
        }
    }

    fn clock(&self, host: usize) -> Timestamp {
        Timestamp::from_millis(self.now + CLOCK_OFFSETS[host])
    }

    fn step(&mut self, event: &Event) {
        self.now += event.wait;
        let host = event.host;
        if let Some(late) = self.late[host].take() {
            self.table.write(&late);
        }
        let asked_at = self.clock(host);
        self.writes += 1;
        match self.keepers[host].step(asked_at, self.writes) {
            LeaseAction::Wait => {}
            LeaseAction::Read => {
                if matches!(event.fate, Fate::Works) {
                    let reading = self.table.reading();
                    self.keepers[host].on_read(reading, asked_at);
                }
            }
            LeaseAction::Write { row, row_version, fence_version, acquires } => {
                let write = Write { row, row_version, fence_version, acquires };
                match event.fate {
                    Fate::Works => {
                        if !self.table.write(&write) {
                            self.keepers[host].on_refused();
                        }
                    }
                    Fate::ReplyLost => drop(self.table.write(&write)),
                    Fate::Late => self.late[host] = Some(write),
                    Fate::Lost => {}
                }
            }
        }
        // The host keeps the guard that it saw, as a paused one would.
        if let Some(guard) = self.keepers[host].guard(self.clock(host)) {
            self.guards[host] = Some(guard);
        }
    }

    fn holders(&self) -> Vec<FencingNumber> {
        let held = |host: usize| self.keepers[host].guard(self.clock(host));
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
    fn at_most_one_host_may_act_at_any_time(events in prop::collection::vec(event(), 1..160)) {
        let mut world = World::new();
        for event in &events {
            world.step(event);
            prop_assert!(world.holders().len() <= 1, "{:?} at {}", world.holders(), world.now);
        }
    }

    /// A write under an old guard fails by its condition: the fence row has moved on.
    #[test]
    fn older_guards_never_match_the_fence(events in prop::collection::vec(event(), 1..160)) {
        let mut world = World::new();
        for event in &events {
            world.step(event);
            let Some((row, _)) = &world.table.row else { continue };
            for guard in world.guards.iter().flatten().filter(|guard| guard.fencing < row.fencing) {
                prop_assert_ne!(Some(guard.fence_version), world.table.fence);
            }
        }
    }

    #[test]
    fn fencing_numbers_only_grow(events in prop::collection::vec(event(), 1..160)) {
        let mut world = World::new();
        let mut highest = 0;
        for event in &events {
            world.step(event);
            let fencing = world.table.row.as_ref().map_or(0, |(row, _)| row.fencing.get());
            prop_assert!(fencing >= highest);
            highest = fencing;
        }
    }
}

fn calm(host: usize, wait: u64) -> Event {
    Event { host, wait, fate: Fate::Works }
}

#[test]
fn holder_is_found_and_keeps_the_lease_while_it_renews() {
    let mut world = World::new();
    (0..400).for_each(|turn| world.step(&calm(turn % HOSTS, 100)));
    assert_eq!(world.holders(), vec![FencingNumber::new(1)]);
}

#[test]
fn paused_holder_that_wakes_holds_nothing_and_another_goes_on() {
    let mut world = World::new();
    (0..3).for_each(|_| world.step(&calm(0, 100)));
    assert!(world.keepers[0].guard(world.clock(0)).is_some());
    let others = |turn: usize| calm(1 + turn % 2, 100);
    (0..200).for_each(|turn| world.step(&others(turn)));
    assert!(world.keepers[0].guard(world.clock(0)).is_none());
    assert_eq!(world.holders(), vec![FencingNumber::new(2)]);
}

#[test]
fn released_lease_is_taken_at_once() {
    let mut world = World::new();
    (0..3).for_each(|_| world.step(&calm(0, 100)));
    let now = world.clock(0);
    let (row, version) = world.keepers[0].release(now, 99).unwrap();
    let write = Write { row, row_version: Some(version), fence_version: None, acquires: false };
    assert!(world.table.write(&write));
    (0..4).for_each(|_| world.step(&calm(1, 100)));
    assert_eq!(world.holders(), vec![FencingNumber::new(2)]);
}

#[test]
fn lapse_comes_before_another_may_take_over() {
    let times = LeaseTimes::default();
    assert!(times.margin > Duration::ZERO && times.renewal < times.term - times.margin);
}
