//! Selection of the candidates for a request's chain from the current catalog.

use crate::catalog::Snapshot;
use crate::catalog::objects::{ClientAccount, Version};
use crate::chain::ChainCandidate;
use crate::confidence::ConfidenceTable;
use crate::ids::{CascadeName, ModelName, VersionName};
use crate::quality::QualityTable;
use crate::quality_estimate::QualityEstimator;
use crate::units::{Money, TokenCount};
use std::time::Duration;

const TOKENS_PER_PRICE_UNIT: f64 = 1_000.0;

/// Size of a request, as far as it is known before it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Expected tokens of the answer.
    pub answer: TokenCount,
}

/// Expected price of a request on a version.
#[must_use]
pub fn expected_price(version: &Version, size: RequestSize) -> Money {
    let price = |price: Money, tokens: TokenCount| {
        price.as_micros() as f64 * f64::from(tokens.get()) / TOKENS_PER_PRICE_UNIT
    };
    let micros = price(version.price_in, size.prompt) + price(version.price_out, size.answer);
    Money::from_micros(micros.round() as u64)
}

/// Expected time to the complete answer of a version on an idle upstream.
#[must_use]
pub fn idle_latency(version: &Version, answer: TokenCount) -> Duration {
    let gaps = version.token_gap.get().saturating_mul(u64::from(answer.get()));
    Duration::from_millis(version.first_token.get().saturating_add(gaps))
}

/// What the host knows about versions in addition to the catalog.
pub struct CandidateHints<'a> {
    /// Rating statistics per task class and version.
    pub ratings: &'a QualityTable,
    /// Expected wait for a slot in the version's pool.
    pub wait: &'a dyn Fn(&VersionName) -> Duration,
    /// Calibration of the version's confidence on the task class.
    pub confidence: &'a dyn Fn(&VersionName) -> ConfidenceTable,
}

/// The versions that may serve a new request of a cascade, ordered by rising cost. Versions that
/// the account does not allow, that are withdrawn or whose context is too short are left out.
/// `point` is the stable hash of the session in 0..1, which selects one of the versions of a
/// rollout.
#[must_use]
pub fn candidates(
    snapshot: &Snapshot,
    account: &ClientAccount,
    cascade: &CascadeName,
    size: RequestSize,
    point: f64,
    hints: &CandidateHints<'_>,
) -> Vec<ChainCandidate> {
    let Some(object) = snapshot.cascade(cascade) else { return Vec::new() };
    let versions = object.steps.iter().filter_map(|m| allowed_version(snapshot, account, m, point));
    let found = versions.filter_map(|name| candidate(snapshot, cascade, name, size, hints));
    let mut found: Vec<ChainCandidate> = found.collect();
    found.sort_by_key(|candidate| candidate.cost);
    found
}

/// The version of a model for a new session, or the other version of the rollout when the
/// account allows only that one.
fn allowed_version<'a>(
    snapshot: &'a Snapshot,
    account: &ClientAccount,
    model: &ModelName,
    point: f64,
) -> Option<&'a VersionName> {
    let chosen = snapshot.version_for(model, point)?;
    if snapshot.allows(account, chosen) {
        return Some(chosen);
    }
    let rollout = snapshot.rollout(model)?;
    let mut both = [&rollout.from, &rollout.to].into_iter();
    both.find(|version| snapshot.allows(account, version))
}

/// The only candidate of a session that is pinned to a version.
#[must_use]
pub fn pinned_candidate(
    snapshot: &Snapshot,
    account: &ClientAccount,
    cascade: &CascadeName,
    version: &VersionName,
    size: RequestSize,
    hints: &CandidateHints<'_>,
) -> Option<ChainCandidate> {
    let allowed = snapshot.allows(account, version);
    allowed.then(|| candidate(snapshot, cascade, version, size, hints)).flatten()
}

fn candidate(
    snapshot: &Snapshot,
    cascade: &CascadeName,
    name: &VersionName,
    size: RequestSize,
    hints: &CandidateHints<'_>,
) -> Option<ChainCandidate> {
    let version = snapshot.version(name)?;
    if size.prompt + size.answer > version.context {
        return None;
    }
    let prior = version.quality.get(cascade).copied();
    let sum = hints.ratings.get(cascade, name);
    let wait = (hints.wait)(name);
    Some(ChainCandidate {
        version: name.clone(),
        model: version.model.clone(),
        quality: QualityEstimator::default().estimate(prior, sum),
        cost: expected_price(version, size),
        latency: idle_latency(version, size.answer) + wait,
        wait,
        confidence: (hints.confidence)(name),
    })
}
