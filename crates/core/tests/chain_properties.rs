//! Properties of chains, their candidates and rollout steps.

use oleander_core::catalog::objects::{
    AllowRule, Cascade, Catalog, ClientAccount, Model, Policy, Priority, Rollout, RolloutPhase,
    RolloutStep, Version, Withdrawal,
};
use oleander_core::catalog::snapshot::Snapshot;
use oleander_core::chain::{ChainGoal, ChainPlanner, ChainRule};
use oleander_core::chain_input::{CandidateHints, RequestSize, candidates};
use oleander_core::confidence::ConfidenceTable;
use oleander_core::ids::{CascadeName, ModelName, PoolName, Revision, VersionName};
use oleander_core::quality::QualityTable;
use oleander_core::rollout::{RolloutDecision, RolloutEvidence, decide_step, exposure_share};
use oleander_core::units::{Millis, Money, Quality, Timestamp, TokenCount};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SEED: u64 = 12;
const MODELS: usize = 3;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    }
}

fn model(number: usize) -> ModelName {
    ModelName::new(&format!("model-{number}")).unwrap()
}

fn version(number: usize, suffix: &str) -> VersionName {
    VersionName::new(&format!("model-{number}-{suffix}")).unwrap()
}

fn task() -> CascadeName {
    CascadeName::new("task").unwrap()
}

fn version_object(number: usize, quality: f64) -> Version {
    Version {
        model: model(number),
        pool: PoolName::new("pool").unwrap(),
        price_in: Money::from_micros(100 * 5u64.pow(number as u32)),
        price_out: Money::from_micros(400 * 5u64.pow(number as u32)),
        quality: BTreeMap::from([(task(), Quality::new(quality).unwrap())]),
        first_token: Millis::new(100),
        token_gap: Millis::new(10),
        context: TokenCount::new(10_000),
        weight_megabytes: 0,
    }
}

fn catalog(qualities: [f64; MODELS], withdrawn: &[bool], target: f64) -> Catalog {
    let mut catalog = Catalog::default();
    for (number, &quality) in qualities.iter().enumerate() {
        catalog.models.insert(model(number), Model { current: version(number, "old") });
        for (index, suffix) in ["old", "new"].into_iter().enumerate() {
            let name = version(number, suffix);
            catalog.versions.insert(name.clone(), version_object(number, quality));
            if withdrawn[number * 2 + index] {
                let reason = Arc::from("bad");
                catalog
                    .withdrawals
                    .insert(name, Withdrawal { reason, stranded_accounts: Vec::new() });
            }
        }
        let name = format!("rollout-{number}").parse().unwrap();
        catalog.rollouts.insert(name, rollout(number));
    }
    let cascade = Cascade {
        steps: (0..MODELS).map(model).collect(),
        quality_target: Quality::new(target).unwrap(),
        deadline: Millis::new(30_000),
        answer_tokens: TokenCount::new(100),
    };
    catalog.cascades.insert(task(), cascade);
    catalog
}

fn rollout(number: usize) -> Rollout {
    let step = |share, ratings| RolloutStep { share, ratings, hold: Millis::new(0) };
    Rollout {
        model: model(number),
        from: version(number, "old"),
        to: version(number, "new"),
        steps: vec![step(0.05, 10), step(0.5, 40), step(1.0, 100)],
        step: 1,
        phase: RolloutPhase::Running,
    }
}

fn account(allowed: &[bool]) -> ClientAccount {
    let rule = |number: usize| {
        let suffixes = [("old", allowed[number * 2]), ("new", allowed[number * 2 + 1])];
        let versions = suffixes.iter().filter(|(_, yes)| *yes);
        let versions = versions.map(|(suffix, _)| version(number, suffix)).collect();
        AllowRule { model: model(number), versions: Some(versions) }
    };
    ClientAccount {
        key_digests: Vec::new(),
        allow: (0..MODELS).map(rule).collect(),
        services: Vec::new(),
        requests_per_second: 1.0,
        burst: 1,
        weight: 1,
        priority: Priority::Normal,
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_chain_has_only_allowed_versions_that_are_not_withdrawn(
        qualities in prop::array::uniform3(0.0f64..=1.0),
        withdrawn in prop::collection::vec(any::<bool>(), MODELS * 2),
        allowed in prop::collection::vec(any::<bool>(), MODELS * 2),
        (point, target, random) in (0.0f64..1.0, 0.0f64..=1.0, any::<u64>()),
        (left, wait) in (0u64..20_000, 0u64..3_000),
    ) {
        let snapshot = Snapshot::new(Revision::new(1), catalog(qualities, &withdrawn, target));
        let account = account(&allowed);
        let hints = CandidateHints {
            ratings: &QualityTable::default(),
            wait: &|_| Duration::from_millis(wait),
            confidence: &|_| ConfidenceTable::default(),
        };
        let size = RequestSize { prompt: TokenCount::new(300), answer: TokenCount::new(100) };
        let found = candidates(&snapshot, &account, &task(), size, point, &hints);
        let left = Duration::from_millis(left);
        let goal = ChainGoal { quality: Quality::new(target).unwrap(), left };
        for rule in [
            ChainRule::ModelAware,
            ChainRule::AlwaysCostly,
            ChainRule::CheapThenEscalate { threshold: 0.5 },
        ] {
            let planner = ChainPlanner::new(rule).with_exploration(0.5);
            let Ok(plan) = planner.plan(&found, &goal, random) else { continue };
            prop_assert!(!plan.steps.is_empty());
            prop_assert!(plan.latency <= left, "{plan:?} exceeds {left:?}");
            for step in &plan.steps {
                prop_assert!(snapshot.allows(&account, &step.version), "{plan:?}");
                prop_assert!(!snapshot.is_withdrawn(&step.version), "{plan:?}");
            }
            prop_assert_eq!(plan.steps.last().map(|step| step.min_confidence), Some(0.0));
        }
    }

    #[test]
    fn no_step_above_the_cap_without_ratings(
        shares in prop::collection::vec(0.0f64..=1.0, 1..6),
        step in 0u32..6,
        required in 0u32..3,
    ) {
        let policy = Policy::default();
        let mut object = rollout(0);
        let to_step = |&share| RolloutStep { share, ratings: required, hold: Millis::new(0) };
        object.steps = shares.iter().map(to_step).collect();
        object.step = step;
        let at = Timestamp::from_millis(0);
        let none = RolloutEvidence::default();
        match decide_step(&object, &none, at, at, &policy) {
            RolloutDecision::Advance(next) => {
                prop_assert!(object.steps[next as usize].share <= policy.unrated_share);
            }
            RolloutDecision::Complete => prop_assert!(false, "completed without a rating"),
            _ => {}
        }
        let capped = |&share: &f64| exposure_share(share, 0, &policy) <= policy.unrated_share;
        prop_assert!(shares.iter().all(capped));
    }
}

#[test]
fn an_alarm_rolls_back_a_paused_rollout() {
    let mut object = rollout(0);
    object.phase = RolloutPhase::Paused;
    let evidence = RolloutEvidence { ratings: 1_000, alarmed: true, withdrawn: false };
    let at = Timestamp::from_millis(0);
    let decision = decide_step(&object, &evidence, at, at, &Policy::default());
    assert!(matches!(decision, RolloutDecision::RollBack(_)), "{decision:?}");
}
