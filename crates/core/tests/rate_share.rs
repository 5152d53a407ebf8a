//! Rate shares with lost, delayed and reordered messages and a change of coordinator.

use oleander_core::ids::{HostId, Incarnation, Sequence};
use oleander_core::membership::record::MemberTag;
use oleander_core::rate_share::{
    AccountShares, BASE_FRACTION, DemandReport, EntryShare, ShareGrant, ShareTerms, divide,
};
use oleander_core::units::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const GRANT_LIFETIME: Duration = Duration::from_secs(10);
const RATE: f64 = 100.0;
const GRANTABLE_RATE: f64 = RATE * (1.0 - BASE_FRACTION);
const ROUNDING: f64 = 1e-6;

fn config() -> Config {
    let fixed = RngSeed::Fixed(5);
    Config { cases: 300, rng_seed: fixed, failure_persistence: None, ..Config::default() }
}

fn entry_id(index: usize) -> HostId {
    format!("host-{index}.entry").parse().expect("an id")
}

fn tag(name: &str, incarnation: u64) -> MemberTag {
    MemberTag::new(&name.parse().expect("an id"), Incarnation::new(incarnation))
}

/// Entries, the coordinators that they may report to and the replies in flight.
struct Fleet {
    now: Timestamp,
    shares: Vec<EntryShare>,
    coordinators: Vec<(AccountShares, Timestamp)>,
    target: usize,
    replies: Vec<(usize, usize, ShareGrant, Timestamp)>,
}

impl Fleet {
    fn new(entries: usize) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let first = AccountShares::new(tag("a.steward", 1), now);
        let shares = vec![EntryShare::new(0.0, now); entries];
        Self { now, shares, coordinators: vec![(first, now)], target: 0, replies: Vec::new() }
    }

    fn report(&mut self, entry: usize, demand: f64, lost: bool) {
        let report = DemandReport { demand, held: self.shares[entry].held(self.now) };
        let (shares, settling_until) = &mut self.coordinators[self.target];
        let terms =
            ShareTerms { rate: RATE, lifetime: GRANT_LIFETIME, settling_until: *settling_until };
        let grant = shares.report(&entry_id(entry), &report, &terms, self.now);
        if !lost {
            self.replies.push((entry, self.target, grant, self.now));
        }
    }

    fn deliver(&mut self, which: usize) {
        if self.replies.is_empty() {
            return;
        }
        let which = which % self.replies.len();
        let (entry, coordinator, grant, sent_at) = self.replies.swap_remove(which);
        if coordinator == self.target {
            self.shares[entry].apply_grant(&grant, sent_at);
        }
    }

    /// Replaces the coordinator for all entries at once.
    fn replace_coordinator(&mut self) {
        let incarnation = self.coordinators.len() as u64 + 1;
        let next = AccountShares::new(tag("b.steward", incarnation), self.now);
        self.coordinators.push((next, self.now + GRANT_LIFETIME));
        self.target = self.coordinators.len() - 1;
    }

    fn held(&self) -> f64 {
        self.shares.iter().map(|share| share.held(self.now).amount).sum()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Report { entry: usize, demand: f64, lost: bool },
    Deliver(usize),
    Advance(u64),
    ReplaceCoordinator,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..6usize, 0.0..200.0f64, any::<bool>())
            .prop_map(|(entry, demand, lost)| Step::Report { entry, demand, lost }),
        8 => any::<usize>().prop_map(Step::Deliver),
        4 => (0..4_000u64).prop_map(Step::Advance),
        1 => Just(Step::ReplaceCoordinator),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_sum_of_shares_never_exceeds_the_rate(steps in prop::collection::vec(step(), 1..200)) {
        let mut fleet = Fleet::new(6);
        for step in steps {
            match step {
                Step::Report { entry, demand, lost } => fleet.report(entry, demand, lost),
                Step::Deliver(which) => fleet.deliver(which),
                Step::Advance(millis) => fleet.now = fleet.now + Duration::from_millis(millis),
                Step::ReplaceCoordinator => fleet.replace_coordinator(),
            }
            prop_assert!(
                fleet.held() <= GRANTABLE_RATE + ROUNDING,
                "entries hold {} in total, at most {GRANTABLE_RATE} expected",
                fleet.held()
            );
        }
    }

    #[test]
    fn a_division_stays_within_the_rate_and_gives_no_less_than_the_fair_share(
        rate in 0.0..1e6f64,
        demands in prop::collection::vec(0.0..1e6f64, 1..50),
    ) {
        let shares = divide(rate, &demands);
        let sum: f64 = shares.iter().sum();
        let demanded: f64 = demands.iter().sum();
        prop_assert!(sum <= rate * (1.0 + 1e-9) + ROUNDING);
        prop_assert!(sum + ROUNDING >= rate.min(demanded) * (1.0 - 1e-9));
        let fair = rate / demands.len() as f64;
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(*share + ROUNDING >= fair.min(*demand));
        }
    }
}

#[test]
fn a_large_demand_is_met_while_others_are_idle_and_shared_when_they_are_active() {
    let mut fleet = Fleet::new(3);
    let round = |fleet: &mut Fleet, demands: [f64; 3]| {
        for (entry, demand) in demands.into_iter().enumerate() {
            fleet.report(entry, demand, false);
            fleet.deliver(0);
        }
        fleet.now = fleet.now + Duration::from_secs(1);
    };
    for _ in 0..3 {
        round(&mut fleet, [70.0, 0.0, 0.0]);
    }
    assert!(fleet.shares[0].held(fleet.now).amount >= 70.0);
    for _ in 0..3 {
        round(&mut fleet, [70.0, 70.0, 10.0]);
    }
    let amounts: Vec<f64> = fleet.shares.iter().map(|s| s.held(fleet.now).amount.round()).collect();
    assert_eq!(amounts, vec![39.0, 39.0, 13.0]);
}

#[test]
fn shares_survive_a_change_of_coordinator() {
    let mut fleet = Fleet::new(2);
    for _ in 0..3 {
        for entry in 0..2 {
            fleet.report(entry, 60.0, false);
            fleet.deliver(0);
        }
    }
    let before = fleet.held();
    fleet.replace_coordinator();
    for _ in 0..3 {
        for entry in 0..2 {
            fleet.report(entry, 60.0, false);
            fleet.deliver(0);
        }
    }
    assert!(
        (fleet.held() - before).abs() < ROUNDING,
        "the shares changed from {before} to {}",
        fleet.held()
    );
}

#[test]
fn an_old_grant_does_not_replace_a_newer_one_and_every_grant_expires() {
    let now = Timestamp::from_millis(50_000);
    let grant = |amount, sequence| ShareGrant {
        amount,
        grantor: tag("a.steward", 1),
        sequence: Sequence::new(sequence),
        life_millis: 10_000,
    };
    let mut share = EntryShare::new(0.0, now);
    share.apply_grant(&grant(5.0, 2), now);
    share.apply_grant(&grant(50.0, 1), now);
    assert_eq!(share.held(now).amount, 5.0);
    assert_eq!(share.held(now + Duration::from_secs(10)).amount, 0.0);
}
