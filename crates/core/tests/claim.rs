//! Under any interleaving, a key is dispatched at most once and never after its claim was released.

use oleander_core::claim::{
    ClaimOutcome, ClaimRequest, ClaimRow, ClaimStep, SettleStep, decide_claim, decide_done,
    decide_release, decide_unknown,
};
use oleander_core::ids::RequestId;
use oleander_core::units::Timestamp;
use oleander_core::usage::StoredOutcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;
use std::time::Duration;

const CALLERS: usize = 3;
const AGENTS: usize = 2;

/// One step of the simulation: an agent (a ledger that serves a caller) reads or writes, or the
/// caller proceeds.
#[derive(Clone, Debug)]
enum Step {
    AgentReads { caller: usize, agent: usize },
    AgentWrites { caller: usize, agent: usize, reply_lost: bool },
    CallerReleases { caller: usize },
    CallerDispatches { caller: usize },
    CallerEnds { caller: usize, answered: bool },
    Wait { seconds: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let (caller, agent) = (0..CALLERS, 0..AGENTS);
    prop_oneof![
        5 => (caller.clone(), agent.clone())
            .prop_map(|(caller, agent)| Step::AgentReads { caller, agent }),
        5 => (caller.clone(), agent, any::<bool>())
            .prop_map(|(caller, agent, reply_lost)| Step::AgentWrites { caller, agent, reply_lost }),
        1 => caller.clone().prop_map(|caller| Step::CallerReleases { caller }),
        3 => caller.clone().prop_map(|caller| Step::CallerDispatches { caller }),
        2 => (caller, any::<bool>())
            .prop_map(|(caller, answered)| Step::CallerEnds { caller, answered }),
        1 => (1_u64..2_000).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

#[derive(Default)]
struct Caller {
    granted: bool,
    released: bool,
    dispatched: bool,
    /// The pending write of each agent, with the version of the row that it read.
    plans: [Option<(u64, ClaimRow)>; AGENTS],
}

#[derive(Default)]
struct Simulation {
    row: Option<ClaimRow>,
    version: u64,
    callers: [Caller; CALLERS],
    now: u64,
    dispatches: usize,
}

fn request(caller: usize) -> ClaimRequest {
    ClaimRequest {
        account: "north-van".parse().unwrap(),
        key: "order-7".parse().unwrap(),
        body_digest: [1; 32],
        request: RequestId::new(Timestamp::from_millis(1), caller as u128),
    }
}

impl Simulation {
    fn now(&self) -> Timestamp {
        Timestamp::from_millis(0) + Duration::from_secs(self.now)
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::AgentReads { caller, agent } => self.read(caller, agent),
            Step::AgentWrites { caller, agent, reply_lost } => {
                self.write(caller, agent, reply_lost)
            }
            Step::CallerReleases { caller } => self.release(caller),
            Step::CallerDispatches { caller } => self.dispatch(caller),
            Step::CallerEnds { caller, answered } => self.end(caller, answered),
            Step::Wait { seconds } => self.now += seconds,
        }
    }

    fn read(&mut self, caller: usize, agent: usize) {
        match decide_claim(self.row.as_ref(), &request(caller), self.now()) {
            ClaimStep::Answer(ClaimOutcome::Granted) => self.callers[caller].granted = true,
            ClaimStep::Answer(_) | ClaimStep::AlreadyReleased => {}
            ClaimStep::Write(row) => {
                self.callers[caller].plans[agent] = Some((self.version, row));
            }
        }
    }

    fn write(&mut self, caller: usize, agent: usize, reply_lost: bool) {
        let Some((version, row)) = self.callers[caller].plans[agent].take() else { return };
        if version == self.version {
            self.put(row);
            self.callers[caller].granted |= !reply_lost;
        }
    }

    fn put(&mut self, row: ClaimRow) {
        self.row = Some(row);
        self.version += 1;
    }

    /// The caller refuses its request as not run and releases the claim.
    fn release(&mut self, caller: usize) {
        if self.callers[caller].dispatched {
            return;
        }
        self.callers[caller].released = true;
        let step = decide_release(self.row.as_ref(), &request(caller), self.now());
        self.settle(step);
    }

    fn dispatch(&mut self, caller: usize) {
        let state = &mut self.callers[caller];
        if state.granted && !state.released && !state.dispatched {
            state.dispatched = true;
            self.dispatches += 1;
        }
    }

    fn end(&mut self, caller: usize, answered: bool) {
        if !self.callers[caller].dispatched {
            return;
        }
        let step = if answered {
            decide_done(self.row.as_ref(), request(caller).request, &outcome())
        } else {
            decide_unknown(self.row.as_ref(), &request(caller), self.now())
        };
        self.settle(step);
    }

    fn settle(&mut self, step: SettleStep) {
        if let SettleStep::Write(row) = step {
            self.put(row);
        }
    }
}

fn outcome() -> StoredOutcome {
    StoredOutcome {
        key: "order-7".parse().unwrap(),
        status: 201,
        content_type: Arc::from("application/json"),
        body: vec![7],
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn key_is_dispatched_at_most_once(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::default();
        for step in &steps {
            simulation.apply(step);
            prop_assert!(simulation.dispatches <= 1, "dispatched twice");
        }
    }

    #[test]
    fn dispatched_claim_keeps_its_request(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::default();
        for step in &steps {
            simulation.apply(step);
            let holder = simulation.callers.iter().position(|caller| caller.dispatched);
            if let Some(holder) = holder {
                let row = simulation.row.as_ref().map(|row| row.request);
                prop_assert_eq!(row, Some(request(holder).request));
            }
        }
    }

    #[test]
    fn stored_rows_round_trip(
        digest in any::<[u8; 32]>(),
        bytes in prop::collection::vec(any::<u8>(), 0..80),
    ) {
        let _ = ClaimRow::from_bytes(&bytes);
        let claim = ClaimRequest { body_digest: digest, ..request(1) };
        let ClaimStep::Write(row) = decide_claim(None, &claim, Timestamp::from_millis(5)) else {
            return Err(TestCaseError::fail("a free key must be granted"));
        };
        prop_assert_eq!(ClaimRow::from_bytes(&row.to_bytes()).unwrap(), row);
    }
}
