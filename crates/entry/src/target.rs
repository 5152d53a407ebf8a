//! Resolves the `model` of a request and finds the versions that may serve it.

use crate::account::AccountView;
use crate::refusal::Refusal;
use oleander_core::catalog::objects::Cascade;
use oleander_core::ids::{CascadeName, ModelName, TargetName, VersionName};
use oleander_core::reason::Reason;

/// What the `model` of a request names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatTarget {
    /// A cascade.
    Cascade(CascadeName),
    /// A model, served by the version that is current for the session.
    Model(ModelName),
    /// One version.
    Version(VersionName),
}

impl ChatTarget {
    /// Returns the name of the cascade, when the target is one.
    pub const fn cascade(&self) -> Option<&CascadeName> {
        match self {
            Self::Cascade(name) => Some(name),
            _ => None,
        }
    }

    /// Returns the catalog object of the cascade, when the target is one.
    pub fn cascade_object<'a>(&self, account: &'a AccountView) -> Option<&'a Cascade> {
        self.cascade().and_then(|name| account.snapshot.cascade(name))
    }
}

/// Resolves a name and checks that the account may use at least one of its versions.
///
/// # Errors
///
/// A refusal when the name is unknown, none of its versions is allowed, or the named version is
/// withdrawn.
pub fn find_target(account: &AccountView, name: &TargetName) -> Result<ChatTarget, Refusal> {
    let target = named_target(account, name)?;
    if let ChatTarget::Version(version) = &target
        && account.snapshot.is_withdrawn(version)
    {
        return Err(withdrawn_refusal(version));
    }
    let allowed = match &target {
        ChatTarget::Cascade(name) => {
            let steps = account.snapshot.cascade(name).map(|cascade| &cascade.steps);
            steps.is_some_and(|steps| steps.iter().any(|model| allows_model(account, model)))
        }
        ChatTarget::Model(model) => allows_model(account, model),
        ChatTarget::Version(version) => account.allows(version),
    };
    if allowed { Ok(target) } else { Err(not_allowed(account, name)) }
}

fn named_target(account: &AccountView, name: &TargetName) -> Result<ChatTarget, Refusal> {
    let catalog = account.snapshot.catalog();
    let text = name.as_str();
    let cascade = CascadeName::new(text).ok().filter(|name| catalog.cascades.contains_key(name));
    if let Some(cascade) = cascade {
        return Ok(ChatTarget::Cascade(cascade));
    }
    let model = ModelName::new(text).ok().filter(|name| catalog.models.contains_key(name));
    if let Some(model) = model {
        return Ok(ChatTarget::Model(model));
    }
    let version = VersionName::new(text).ok().filter(|name| catalog.versions.contains_key(name));
    version.map(ChatTarget::Version).ok_or_else(|| {
        let message = format!("no cascade, model or version is named {name}; see /v1/models");
        Refusal::new(Reason::NotFound, message).with_param("model")
    })
}

fn allows_model(account: &AccountView, model: &ModelName) -> bool {
    let versions = &account.snapshot.catalog().versions;
    let mut own = versions.iter().filter(|(_, version)| version.model == *model);
    own.any(|(name, _)| account.allows(name))
}

fn not_allowed(account: &AccountView, name: &TargetName) -> Refusal {
    let message = format!("client account {} may not use {name}; see /v1/models", account.name);
    Refusal::new(Reason::NotAllowed, message).with_param("model")
}

/// Returns the refusal of a withdrawn version.
pub fn withdrawn_refusal(version: &VersionName) -> Refusal {
    let message = format!("version {version} was withdrawn; start a new session");
    Refusal::new(Reason::VersionWithdrawn, message)
}

/// Returns the version of a model for a new session of the account: the current one or that of the
/// rollout, otherwise any other version that the account may use.
pub fn model_version(account: &AccountView, model: &ModelName, point: f64) -> Option<VersionName> {
    let snapshot = &account.snapshot;
    let chosen = snapshot.version_for(model, point);
    let rollout = snapshot.rollout(model);
    let others = rollout.into_iter().flat_map(|rollout| [&rollout.from, &rollout.to]);
    let preferred = chosen.into_iter().chain(others);
    let versions = snapshot.catalog().versions.iter().rev();
    let rest = versions.filter(|(_, version)| version.model == *model).map(|(name, _)| name);
    preferred.chain(rest).find(|name| account.allows(name)).cloned()
}
