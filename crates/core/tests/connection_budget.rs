//! Which connections are closed when the budget of bytes and descriptors is used up.

use oleander_core::connection_budget::{
    BudgetLimits, CONNECTION_COST, ClientClass, CloseReason, ConnectionBudget, ConnectionId,
    ConnectionPhase,
};
use oleander_core::units::{ByteCount, Timestamp};
use proptest::prelude::*;

const LIMITS: BudgetLimits = BudgetLimits { bytes: ByteCount::new(16_000_000), connections: 320 };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn kilobytes(count: u64) -> ByteCount {
    ByteCount::new(count * 1_000)
}

/// Opens a connection in a phase that holds bytes.
fn open(
    budget: &mut ConnectionBudget,
    phase: ConnectionPhase,
    held: ByteCount,
    time: u64,
) -> ConnectionId {
    let id = budget.open(ClientClass::Caller, at(time)).unwrap();
    budget.set_phase(id, phase, at(time));
    budget.add(id, held);
    id
}

/// Guards against closing a connection that is worth more while one that is worth less is open.
#[test]
fn unfinished_headers_are_closed_before_idle_connections_and_stalled_bodies() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let held = kilobytes(3_000);
    let _served = open(&mut budget, ConnectionPhase::Served, held, 0);
    let body = open(&mut budget, ConnectionPhase::Body, held, 1);
    let idle = open(&mut budget, ConnectionPhase::Idle, kilobytes(0), 2);
    let later = open(&mut budget, ConnectionPhase::Headers, held, 4);
    let older = open(&mut budget, ConnectionPhase::Headers, held, 3);
    let asking = open(&mut budget, ConnectionPhase::Body, kilobytes(0), 900);
    let mut closed = Vec::new();
    for _ in 0..6 {
        let _ = budget.hold(asking, kilobytes(2_000), at(1_100));
        closed.extend(budget.take_closing());
    }
    let expected = [
        (older, CloseReason::UnfinishedHeaders),
        (later, CloseReason::UnfinishedHeaders),
        (idle, CloseReason::Idle),
        (body, CloseReason::StalledBody),
    ];
    assert_eq!(closed, expected);
}

/// Guards against callers whose connections are closed for a request that does not fit anyway.
#[test]
fn nothing_is_closed_for_what_does_not_fit() {
    let mut budget = ConnectionBudget::new(LIMITS);
    open(&mut budget, ConnectionPhase::Served, kilobytes(7_000), 0);
    open(&mut budget, ConnectionPhase::Idle, kilobytes(0), 0);
    let asking = open(&mut budget, ConnectionPhase::Body, kilobytes(0), 0);
    assert!(!budget.hold(asking, kilobytes(2_000), at(0)));
    assert!(budget.take_closing().is_empty());
}

/// Guards against callers whose connection, just opened, is closed for a body of a misbehaving client.
#[test]
fn a_large_request_does_not_close_what_has_just_begun() {
    let mut budget = ConnectionBudget::new(LIMITS);
    open(&mut budget, ConnectionPhase::Idle, kilobytes(0), 500);
    open(&mut budget, ConnectionPhase::Headers, kilobytes(4_000), 500);
    open(&mut budget, ConnectionPhase::Body, kilobytes(3_500), 500);
    let asking = open(&mut budget, ConnectionPhase::Body, kilobytes(0), 0);
    assert!(!budget.hold(asking, kilobytes(1_000), at(1_400)));
    assert!(budget.take_closing().is_empty());
    assert!(budget.hold(asking, kilobytes(1_000), at(1_500)));
}

/// Guards against crowds of bodies that arrive too slowly to be taken for stopped.
#[test]
fn a_body_that_trickles_is_closed_and_one_that_makes_progress_is_not() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let trickles = open(&mut budget, ConnectionPhase::Body, kilobytes(3_900), 0);
    let arrives = open(&mut budget, ConnectionPhase::Body, kilobytes(3_900), 0);
    for time in (100..=3_000).step_by(100) {
        budget.receive(trickles, ByteCount::new(1), at(time));
        budget.receive(arrives, kilobytes(10), at(time));
    }
    let asking = open(&mut budget, ConnectionPhase::Body, kilobytes(0), 3_000);
    assert!(budget.hold(asking, kilobytes(3_900), at(3_000)));
    assert_eq!(budget.take_closing(), [(trickles, CloseReason::StalledBody)]);
    assert!(!budget.hold(asking, kilobytes(3_900), at(3_000)), "nothing else may be closed");
    assert!(budget.take_closing().is_empty());
}

/// Guards against large requests, idle callers and requests in progress that leave no room for small requests
/// and probes.
#[test]
fn small_requests_and_probes_fit_beside_large_requests() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let large = open(&mut budget, ConnectionPhase::Body, kilobytes(0), 0);
    while budget.hold(large, kilobytes(100), at(0)) {}
    let mut small = 0;
    while let Some(id) = budget.open(ClientClass::Caller, at(0)) {
        budget.set_phase(id, ConnectionPhase::Served, at(0));
        if !budget.hold(id, kilobytes(60), at(0)) {
            break;
        }
        small += 1;
    }
    assert!(small > 90, "{small} small requests");
    assert!(budget.open(ClientClass::Probe, at(0)).is_some());
}

/// Guards against a crowd of callers that takes the descriptors of probes, and against callers that are refused
/// while idle ones are open.
#[test]
fn the_connection_that_is_idle_for_longest_makes_room() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let first = open(&mut budget, ConnectionPhase::Idle, kilobytes(0), 0);
    let served: Vec<_> = (1..300)
        .map(|time| open(&mut budget, ConnectionPhase::Served, kilobytes(0), time))
        .collect();
    let next = budget.open(ClientClass::Caller, at(400)).unwrap();
    assert_eq!(budget.take_closing(), [(first, CloseReason::Idle)]);
    budget.set_phase(next, ConnectionPhase::Served, at(401));
    assert_eq!(budget.open(ClientClass::Caller, at(402)), None, "all are served");
    assert!(budget.open(ClientClass::Probe, at(403)).is_some());
    served.into_iter().chain([next]).for_each(|id| budget.close(id));
    assert_eq!((budget.connections(), budget.used()), (1, CONNECTION_COST));
}

#[derive(Clone, Debug)]
enum Step {
    Open(bool),
    Phase(usize, u8),
    Hold(usize, u64),
    Receive(usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Open),
        (any::<usize>(), 0..4u8).prop_map(|(index, phase)| Step::Phase(index, phase)),
        (any::<usize>(), 0..5_000_000u64).prop_map(|(index, bytes)| Step::Hold(index, bytes)),
        any::<usize>().prop_map(Step::Receive),
        any::<usize>().prop_map(Step::Close),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default() })]

    /// Guards against a sequence of events after which more is held than the budget allows, or a request that
    /// is being served is closed.
    #[test]
    fn the_budget_is_kept_and_served_requests_stay_open(
        steps in proptest::collection::vec(step(), 1..300),
    ) {
        let limits = BudgetLimits { connections: 20, ..LIMITS };
        let mut budget = ConnectionBudget::new(limits);
        let mut open: Vec<(ConnectionId, ConnectionPhase)> = Vec::new();
        for (time, step) in steps.into_iter().enumerate() {
            let now = at(time as u64 * 40);
            let pick = |index: usize| (!open.is_empty()).then(|| index % open.len());
            match step {
                Step::Open(is_probe) => {
                    let class = if is_probe { ClientClass::Probe } else { ClientClass::Caller };
                    open.extend(budget.open(class, now).map(|id| (id, ConnectionPhase::Idle)));
                }
                Step::Phase(index, phase) => if let Some(index) = pick(index) {
                    let phase = [ConnectionPhase::Idle, ConnectionPhase::Headers,
                        ConnectionPhase::Body, ConnectionPhase::Served][usize::from(phase)];
                    open[index].1 = phase;
                    budget.set_phase(open[index].0, phase, now);
                },
                Step::Hold(index, bytes) => if let Some(index) = pick(index) {
                    let _ = budget.hold(open[index].0, ByteCount::new(bytes), now);
                },
                Step::Receive(index) => if let Some(index) = pick(index) {
                    budget.receive(open[index].0, kilobytes(20), now);
                },
                Step::Close(index) => if let Some(index) = pick(index) {
                    budget.close(open.swap_remove(index).0);
                },
            }
            for (id, _) in budget.take_closing() {
                let index = open.iter().position(|(other, _)| *other == id).unwrap();
                prop_assert!(open.swap_remove(index).1 != ConnectionPhase::Served);
            }
            prop_assert!(budget.used() <= limits.bytes);
            prop_assert!(budget.connections() <= 20);
            prop_assert_eq!(budget.connections(), open.len());
        }
    }
}
