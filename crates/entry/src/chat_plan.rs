//! Plans which versions a chat request is tried on.

use crate::chat_context::ChatContext;
use crate::refusal::Refusal;
use crate::target::{ChatTarget, model_version, withdrawn_refusal};
use oleander_core::chain::ChainGoal;
use oleander_core::chain::{
    ChainCandidate, ChainError, ChainPlan, ChainPlanner, ChainRule, ChainStep,
};
use oleander_core::chain_input::{CandidateHints, RequestSize, candidates};
use oleander_core::ids::VersionName;
use oleander_core::reason::Reason;
use oleander_core::stable_hash::{hash_parts, unit_point};
use oleander_core::units::{Money, TokenCount};
use std::time::Duration;

/// `Retry-After` when no version can answer within the deadline.
const PLAN_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Plans a request that is not bound to a version by its session.
///
/// # Errors
///
/// A refusal when no version can serve it.
pub fn plan_chat(ctx: &ChatContext, target: &ChatTarget) -> Result<ChainPlan, Refusal> {
    let point = unit_point(hash_parts(&[ctx.session.as_str()]));
    match target {
        ChatTarget::Cascade(_) => plan_cascade(ctx, point),
        ChatTarget::Model(model) => {
            let version = model_version(&ctx.account, model, point);
            version.map(|version| single_plan(ctx, &version)).unwrap_or_else(|| {
                let message = format!("no version of model {model} is open to you");
                Err(Refusal::new(Reason::NotAllowed, message).with_param("model"))
            })
        }
        ChatTarget::Version(version) => single_plan(ctx, version),
    }
}

/// Plans a single step on one version.
///
/// # Errors
///
/// A refusal when the version is withdrawn or not allowed.
pub fn single_plan(ctx: &ChatContext, version: &VersionName) -> Result<ChainPlan, Refusal> {
    if ctx.account.snapshot.is_withdrawn(version) {
        return Err(withdrawn_refusal(version));
    }
    let object = ctx.account.snapshot.version(version);
    let object = object.filter(|_| ctx.account.allows(version)).ok_or_else(|| {
        let message = format!("client account {} may not use {version}", ctx.account.name);
        Refusal::new(Reason::NotAllowed, message).with_param("model")
    })?;
    let step =
        ChainStep { version: version.clone(), model: object.model.clone(), min_confidence: 0.0 };
    Ok(ChainPlan {
        steps: vec![step],
        cost: Money::ZERO,
        quality: 0.0,
        latency: Duration::ZERO,
        explored: false,
    })
}

fn plan_cascade(ctx: &ChatContext, point: f64) -> Result<ChainPlan, Refusal> {
    let (state, snapshot) = (&ctx.state, &ctx.account.snapshot);
    let Some(found) = candidates_for(ctx, ctx.size(), point) else {
        return Err(Refusal::new(Reason::NotFound, "the cascade is gone").with_param("model"));
    };
    let policy = &snapshot.catalog().policy;
    let planner = ChainPlanner::new(ChainRule::from(state.parts.mode))
        .with_exploration(policy.exploration)
        .with_latency_price(policy.price_per_second);
    let goal = ChainGoal { quality: ctx.quality, left: ctx.deadline.left(ctx.now()) };
    let planned = planner.plan(&found, &goal, state.rng.next());
    planned.map_err(|error| plan_refusal(ctx, &error, point))
}

/// Returns the versions that may serve a request of this size; `None` when the catalog no longer
/// has the cascade.
fn candidates_for(ctx: &ChatContext, size: RequestSize, point: f64) -> Option<Vec<ChainCandidate>> {
    let (state, snapshot) = (&ctx.state, &ctx.account.snapshot);
    let (cascade, account) = (ctx.cascade.as_ref()?, ctx.account.object()?);
    let ratings = state.parts.quality.estimates();
    let wait = |version: &VersionName| state.expected_wait(snapshot, version);
    let confidence = |version: &VersionName| state.confidence_table(cascade, version);
    let hints = CandidateHints { ratings: &ratings, wait: &wait, confidence: &confidence };
    Some(candidates(snapshot, account, cascade, size, point, &hints))
}

/// Returns the longest context of the available versions if the request exceeds it.
fn exceeded_context(ctx: &ChatContext, point: f64) -> Option<TokenCount> {
    let any_size = candidates_for(ctx, RequestSize::default(), point)?;
    let version = |found: &ChainCandidate| ctx.account.snapshot.version(&found.version);
    let longest = any_size.iter().filter_map(version).map(|version| version.context).max()?;
    (ctx.prompt_tokens + ctx.answer_tokens > longest).then_some(longest)
}

fn plan_refusal(ctx: &ChatContext, error: &ChainError, point: f64) -> Refusal {
    match error {
        ChainError::NoVersion => {
            if let Some(longest) = exceeded_context(ctx, point) {
                let (prompt, answer) = (ctx.prompt_tokens, ctx.answer_tokens);
                let message = format!(
                    "about {prompt} tokens of prompt and {answer} of answer are more than {longest}"
                );
                return Refusal::new(Reason::TooLarge, message).with_param("messages");
            }
            let message = format!("no version of {} is open to this request", ctx.body.target);
            Refusal::new(Reason::NotAllowed, message).with_param("model")
        }
        ChainError::DeadlineTooShort { .. } => {
            Refusal::new(Reason::DeadlineTooShort, error.to_string())
                .with_retry_after(PLAN_RETRY_AFTER)
        }
    }
}
