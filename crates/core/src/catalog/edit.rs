//! Changes that are asked for by name. Each gives the whole next catalog and changes nothing
//! when it was made already, so that a repeat is harmless.

use crate::catalog::check::accounts_stranded_by;
use crate::catalog::objects::{Catalog, Drain, Rollout, RolloutPhase, Withdrawal};
use crate::ids::{RolloutName, UpstreamName, VersionName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// One change by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "edit", rename_all = "snake_case", deny_unknown_fields)]
pub enum CatalogEdit {
    /// Withdraws a version, ending roll-outs to it.
    Withdraw {
        /// The version.
        version: VersionName,
        /// Why.
        reason: Arc<str>,
        /// The version that becomes current when the withdrawn one is.
        #[serde(default)]
        replacement: Option<VersionName>,
    },
    /// Drains an upstream.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
        /// Why.
        reason: Arc<str>,
    },
    /// Lets an upstream take work again.
    Undrain {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Adds a roll-out.
    StartRollout {
        /// Its name.
        name: RolloutName,
        /// The roll-out.
        rollout: Rollout,
    },
    /// Holds a roll-out at its step.
    PauseRollout {
        /// Its name.
        name: RolloutName,
    },
    /// Lets a held roll-out go on.
    ResumeRollout {
        /// Its name.
        name: RolloutName,
    },
    /// Ends a roll-out; new sessions get the old version.
    AbortRollout {
        /// Its name.
        name: RolloutName,
    },
    /// Moves a roll-out to a later step.
    AdvanceRollout {
        /// Its name.
        name: RolloutName,
        /// Index of the step.
        step: u32,
    },
    /// Makes the new version current and ends the roll-out.
    CompleteRollout {
        /// Its name.
        name: RolloutName,
    },
}

impl fmt::Display for CatalogEdit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Withdraw { version, reason, .. } => write!(f, "withdraw {version}: {reason}"),
            Self::Drain { upstream, reason } => write!(f, "drain {upstream}: {reason}"),
            Self::Undrain { upstream } => write!(f, "end the drain of {upstream}"),
            Self::StartRollout { name, .. } => write!(f, "start roll-out {name}"),
            Self::PauseRollout { name } => write!(f, "pause roll-out {name}"),
            Self::ResumeRollout { name } => write!(f, "resume roll-out {name}"),
            Self::AbortRollout { name } => write!(f, "abort roll-out {name}"),
            Self::AdvanceRollout { name, step } => write!(f, "roll-out {name} to step {step}"),
            Self::CompleteRollout { name } => write!(f, "complete roll-out {name}"),
        }
    }
}

/// Why a change cannot be made to the catalog in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// No object has the name.
    #[error("there is no {object} in the catalog in force; correct the name")]
    NotFound {
        /// Path of the object.
        object: Arc<str>,
    },
    /// The version is current and no replacement was named.
    #[error("{version} is the current version of {model}; name a replacement")]
    NeedsReplacement {
        /// The version.
        version: VersionName,
        /// Its model.
        model: Arc<str>,
    },
    /// The roll-out has ended.
    #[error("the roll-out {name} has ended; start another one")]
    Ended {
        /// Its name.
        name: RolloutName,
    },
    /// Another roll-out has the name.
    #[error("a roll-out is named {name} already; choose another name")]
    NameTaken {
        /// The name.
        name: RolloutName,
    },
}

/// Applies a change. The result still has to be checked as a whole.
///
/// # Errors
///
/// [`EditError`] when the change makes no sense for this catalog.
pub fn apply_edit(catalog: &Catalog, edit: &CatalogEdit) -> Result<Catalog, EditError> {
    let mut next = catalog.clone();
    match edit {
        CatalogEdit::Withdraw { version, reason, replacement } => {
            withdraw(&mut next, version, reason, replacement.as_ref())?;
        }
        CatalogEdit::Drain { upstream, reason } => {
            require_upstream(catalog, upstream)?;
            next.drains.insert(upstream.clone(), Drain { reason: Arc::clone(reason) });
        }
        CatalogEdit::Undrain { upstream } => {
            require_upstream(catalog, upstream)?;
            next.drains.remove(upstream);
        }
        CatalogEdit::StartRollout { name, rollout } => start(&mut next, name, rollout)?,
        CatalogEdit::PauseRollout { name } => active(&mut next, name)?.phase = RolloutPhase::Paused,
        CatalogEdit::ResumeRollout { name } => {
            active(&mut next, name)?.phase = RolloutPhase::Running;
        }
        CatalogEdit::AbortRollout { name } => abort(&mut next, name)?,
        CatalogEdit::AdvanceRollout { name, step } => {
            let rollout = active(&mut next, name)?;
            rollout.step = rollout.step.max(*step);
        }
        CatalogEdit::CompleteRollout { name } => complete(&mut next, name)?,
    }
    Ok(next)
}

fn withdraw(
    catalog: &mut Catalog,
    version: &VersionName,
    reason: &Arc<str>,
    replacement: Option<&VersionName>,
) -> Result<(), EditError> {
    let missing = || EditError::NotFound { object: format!("versions/{version}").into() };
    let model = catalog.versions.get(version).ok_or_else(missing)?.model.clone();
    for rollout in catalog.rollouts.values_mut().filter(|rollout| is_active(rollout)) {
        if rollout.to == *version || (rollout.from == *version && replacement != Some(&rollout.to))
        {
            rollout.phase = RolloutPhase::RolledBack;
        } else if rollout.from == *version {
            rollout.phase = RolloutPhase::Completed;
        }
    }
    if let Some(object) = catalog.models.get_mut(&model)
        && object.current == *version
    {
        let needs = || EditError::NeedsReplacement {
            version: version.clone(),
            model: Arc::from(model.as_str()),
        };
        object.current = replacement.ok_or_else(needs)?.clone();
    }
    if !catalog.withdrawals.contains_key(version) {
        let stranded_accounts = accounts_stranded_by(catalog, version);
        let withdrawal = Withdrawal { reason: Arc::clone(reason), stranded_accounts };
        catalog.withdrawals.insert(version.clone(), withdrawal);
    }
    Ok(())
}

fn require_upstream(catalog: &Catalog, name: &UpstreamName) -> Result<(), EditError> {
    if catalog.pools.values().any(|pool| pool.upstreams.contains_key(name)) {
        return Ok(());
    }
    Err(EditError::NotFound { object: format!("upstream {name}").into() })
}

const fn is_active(rollout: &Rollout) -> bool {
    matches!(rollout.phase, RolloutPhase::Running | RolloutPhase::Paused)
}

fn rollout_mut<'c>(
    catalog: &'c mut Catalog,
    name: &RolloutName,
) -> Result<&'c mut Rollout, EditError> {
    let missing = || EditError::NotFound { object: format!("rollouts/{name}").into() };
    catalog.rollouts.get_mut(name).ok_or_else(missing)
}

fn active<'c>(catalog: &'c mut Catalog, name: &RolloutName) -> Result<&'c mut Rollout, EditError> {
    let rollout = rollout_mut(catalog, name)?;
    if is_active(rollout) { Ok(rollout) } else { Err(EditError::Ended { name: name.clone() }) }
}

fn start(catalog: &mut Catalog, name: &RolloutName, rollout: &Rollout) -> Result<(), EditError> {
    match catalog.rollouts.get(name) {
        Some(known) if known != rollout => Err(EditError::NameTaken { name: name.clone() }),
        _ => {
            catalog.rollouts.insert(name.clone(), rollout.clone());
            Ok(())
        }
    }
}

fn abort(catalog: &mut Catalog, name: &RolloutName) -> Result<(), EditError> {
    let rollout = rollout_mut(catalog, name)?;
    match rollout.phase {
        RolloutPhase::Completed => Err(EditError::Ended { name: name.clone() }),
        _ => {
            rollout.phase = RolloutPhase::RolledBack;
            Ok(())
        }
    }
}

fn complete(catalog: &mut Catalog, name: &RolloutName) -> Result<(), EditError> {
    let rollout = rollout_mut(catalog, name)?;
    if rollout.phase == RolloutPhase::RolledBack {
        return Err(EditError::Ended { name: name.clone() });
    }
    rollout.phase = RolloutPhase::Completed;
    let (model, to) = (rollout.model.clone(), rollout.to.clone());
    if let Some(object) = catalog.models.get_mut(&model) {
        object.current = to;
    }
    Ok(())
}
