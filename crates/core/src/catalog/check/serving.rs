//! Checks of models, versions, cascades, rollouts and withdrawals.

use crate::catalog::check::check_share;
use crate::catalog::objects::{Cascade, Catalog, Rollout, RolloutPhase};
use crate::catalog::place::FindingCollector;
use crate::ids::{ModelName, RolloutName, VersionName};
use std::collections::{HashMap, HashSet};

/// Checks that the current version of a model belongs to the model and is not withdrawn.
pub(super) fn check_models(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    for (name, model) in &catalog.models {
        let path = format!("models/{name}/current");
        check_version_of(catalog, &model.current, name, &path, collector);
        if catalog.withdrawals.contains_key(&model.current) {
            let problem = format!("the current version {} is withdrawn", model.current);
            collector.add(&path, problem, "make another version current");
        }
    }
}

/// Reports a version that does not exist or belongs to another model.
pub(super) fn check_version_of(
    catalog: &Catalog,
    version: &VersionName,
    model: &ModelName,
    path: &str,
    collector: &mut FindingCollector<'_>,
) {
    let problem = match catalog.versions.get(version) {
        Some(object) if object.model == *model => return,
        Some(object) => format!("{version} is a version of {}", object.model),
        None => return collector.add_missing(path, "versions", "version", version),
    };
    collector.add(path, problem, format!("name a version of {model}"));
}

/// Checks that the model, the pool and the task classes of a version exist.
pub(super) fn check_versions(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    for (name, version) in &catalog.versions {
        let path = format!("versions/{name}");
        if !catalog.models.contains_key(&version.model) {
            let field = format!("{path}/model");
            collector.add_missing(&field, "models", "model", &version.model);
        }
        if !catalog.pools.contains_key(&version.pool) {
            let field = format!("{path}/pool");
            collector.add_missing(&field, "pools", "pool", &version.pool);
        }
        for cascade in version.quality.keys() {
            if !catalog.cascades.contains_key(cascade) {
                let field = format!("{path}/quality/{cascade}");
                collector.add_missing(&field, "cascades", "cascade", cascade);
            }
        }
        if version.context.get() == 0 {
            let field = format!("{path}/context");
            collector.add(&field, "no prompt fits into a context of 0 tokens", "use at least 1");
        }
    }
}

/// Checks that the steps of a cascade exist, differ, are ordered by price and have a version that
/// is not withdrawn.
pub(super) fn check_cascades(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    for (name, cascade) in &catalog.cascades {
        let path = format!("cascades/{name}");
        if cascade.steps.is_empty() {
            collector.add(&path, "the cascade has no steps", "name at least one model in steps");
        }
        if cascade.deadline.get() == 0 {
            let field = format!("{path}/deadline");
            collector.add(&field, "a deadline of 0 ms cannot be met", "use at least 1");
        }
        if cascade.answer_tokens.get() == 0 {
            let field = format!("{path}/answer_tokens");
            collector.add(&field, "an answer of 0 tokens would always be empty", "use at least 1");
        }
        check_steps(catalog, cascade, &path, collector);
    }
}

fn check_steps(
    catalog: &Catalog,
    cascade: &Cascade,
    path: &str,
    collector: &mut FindingCollector<'_>,
) {
    let mut seen = HashSet::new();
    let mut previous: Option<(&ModelName, u64)> = None;
    for (index, model) in cascade.steps.iter().enumerate() {
        let field = format!("{path}/steps/{index}");
        if !catalog.models.contains_key(model) {
            collector.add_missing(&field, "models", "model", model);
            continue;
        }
        if !seen.insert(model) {
            collector.add(
                &field,
                format!("{model} is already a step"),
                "remove one of the two steps",
            );
            continue;
        }
        check_step_serves(catalog, model, &field, collector);
        let Some(price) = price_of(catalog, model) else { continue };
        match previous {
            Some((before, price_before)) if price_before > price => {
                let problem = format!("{model} costs less than {before}, the previous step");
                collector.add(&field, problem, "order the steps by ascending price");
            }
            _ => previous = Some((model, price)),
        }
    }
}

fn check_step_serves(
    catalog: &Catalog,
    model: &ModelName,
    field: &str,
    collector: &mut FindingCollector<'_>,
) {
    let serves = |(name, object): (&VersionName, &crate::catalog::objects::Version)| {
        object.model == *model && !catalog.withdrawals.contains_key(name)
    };
    if !catalog.versions.iter().any(serves) {
        let problem = format!("every version of {model} is withdrawn");
        collector.add(field, problem, "remove the step or add a version");
    }
}

/// Price of a thousand prompt tokens plus a thousand generated tokens, in millionths.
fn price_of(catalog: &Catalog, model: &ModelName) -> Option<u64> {
    let version = catalog.versions.get(&catalog.models.get(model)?.current)?;
    Some((version.price_in + version.price_out).as_micros())
}

/// Whether a rollout still determines the version of new sessions.
fn is_active(rollout: &Rollout) -> bool {
    matches!(rollout.phase, RolloutPhase::Running | RolloutPhase::Paused)
}

/// Checks that rollouts are between two versions of one model, with at most one active per model.
pub(super) fn check_rollouts(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    let mut active: HashMap<&ModelName, &RolloutName> = HashMap::new();
    for (name, rollout) in &catalog.rollouts {
        let path = format!("rollouts/{name}");
        check_rollout_versions(catalog, rollout, &path, collector);
        check_rollout_steps(rollout, &path, collector);
        if !is_active(rollout) {
            continue;
        }
        if let Some(other) = active.insert(&rollout.model, name) {
            let problem = format!("the roll-out {other} of {} is still active", rollout.model);
            collector.add(&path, problem, "complete or abort one of them first");
        }
        check_active_rollout(catalog, rollout, &path, collector);
    }
}

fn check_rollout_versions(
    catalog: &Catalog,
    rollout: &Rollout,
    path: &str,
    collector: &mut FindingCollector<'_>,
) {
    if !catalog.models.contains_key(&rollout.model) {
        let field = format!("{path}/model");
        return collector.add_missing(&field, "models", "model", &rollout.model);
    }
    let from = format!("{path}/from");
    check_version_of(catalog, &rollout.from, &rollout.model, &from, collector);
    let to = format!("{path}/to");
    check_version_of(catalog, &rollout.to, &rollout.model, &to, collector);
    if rollout.from == rollout.to {
        collector.add(&to, "from and to are the same version", "name another version");
    }
}

fn check_rollout_steps(rollout: &Rollout, path: &str, collector: &mut FindingCollector<'_>) {
    if rollout.steps.is_empty() {
        collector.add(path, "the roll-out has no steps", "add one to steps");
    } else if rollout.step as usize >= rollout.steps.len() {
        let problem = format!("step {} does not exist", rollout.step);
        let advice = format!("use a step from 0 to {}", rollout.steps.len() - 1);
        collector.add(&format!("{path}/step"), problem, advice);
    }
    let mut before = 0.0;
    for (index, step) in rollout.steps.iter().enumerate() {
        let field = format!("{path}/steps/{index}/share");
        check_share(collector, &field, step.share);
        if step.share < before {
            let problem =
                format!("the share {} is below the share of the previous step", step.share);
            collector.add(&field, problem, "use shares that do not decrease from step to step");
        }
        before = step.share;
    }
}

fn check_active_rollout(
    catalog: &Catalog,
    rollout: &Rollout,
    path: &str,
    collector: &mut FindingCollector<'_>,
) {
    for (field, version) in [("from", &rollout.from), ("to", &rollout.to)] {
        if catalog.withdrawals.contains_key(version) {
            let problem = format!("{version} is withdrawn while the roll-out is active");
            collector.add(&format!("{path}/{field}"), problem, "abort the roll-out");
        }
    }
    let current = catalog.models.get(&rollout.model).map(|model| &model.current);
    if current.is_some_and(|current| *current != rollout.from) {
        let problem = format!("{} is not the current version of {}", rollout.from, rollout.model);
        collector.add(&format!("{path}/from"), problem, "start from the current version");
    }
}

/// Checks that the versions and client accounts that withdrawals name exist.
pub(super) fn check_withdrawals(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    for (version, withdrawal) in &catalog.withdrawals {
        let path = format!("withdrawals/{version}");
        if !catalog.versions.contains_key(version) {
            collector.add_missing(&path, "versions", "version", version);
        }
        for (index, account) in withdrawal.stranded_accounts.iter().enumerate() {
            if !catalog.client_accounts.contains_key(account) {
                let field = format!("{path}/stranded_accounts/{index}");
                collector.add_missing(&field, "client_accounts", "client account", account);
            }
        }
    }
}
