//! Catalog changes by operator command. Each edit returns the complete next catalog and is
//! idempotent: an edit that was applied before changes nothing.

use crate::catalog::check::accounts_stranded_by;
use crate::catalog::objects::{Catalog, Drain, Rollout, RolloutPhase, Withdrawal};
use crate::ids::{RolloutName, UpstreamName, VersionName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// One edit of the catalog.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "edit", rename_all = "snake_case", deny_unknown_fields)]
pub enum CatalogEdit {
    /// Withdraws a version and ends rollouts to it.
    Withdraw {
        /// The version.
        version: VersionName,
        /// The reason.
        reason: Arc<str>,
        /// The version that becomes current if the withdrawn one is current.
        #[serde(default)]
        replacement: Option<VersionName>,
    },
    /// Drains an upstream.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
        /// The reason.
        reason: Arc<str>,
    },
    /// Ends the drain of an upstream.
    Undrain {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Adds a rollout.
    StartRollout {
        /// Name of the rollout.
        name: RolloutName,
        /// The rollout.
        rollout: Rollout,
    },
    /// Pauses a rollout at its step.
    PauseRollout {
        /// Name of the rollout.
        name: RolloutName,
    },
    /// Resumes a paused rollout.
    ResumeRollout {
        /// Name of the rollout.
        name: RolloutName,
    },
    /// Rolls back a rollout; new sessions get the old version.
    AbortRollout {
        /// Name of the rollout.
        name: RolloutName,
    },
    /// Moves a rollout to a later step.
    AdvanceRollout {
        /// Name of the rollout.
        name: RolloutName,
        /// Index of the step.
        step: u32,
    },
    /// Makes the new version current and ends the rollout.
    CompleteRollout {
        /// Name of the rollout.
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

/// Why an edit cannot be applied to the catalog in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// No object has this name.
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
    /// The rollout has ended.
    #[error("the roll-out {name} has ended; start another one")]
    Ended {
        /// Name of the rollout.
        name: RolloutName,
    },
    /// Another rollout has this name.
    #[error("a roll-out is named {name} already; choose another name")]
    NameTaken {
        /// The name.
        name: RolloutName,
    },
}

/// Applies an edit. The caller has to validate the resulting catalog.
///
/// # Errors
///
/// [`EditError`] when the edit cannot be applied to this catalog.
pub fn apply_edit(catalog: &Catalog, edit: &CatalogEdit) -> Result<Catalog, EditError> {
    let mut next = catalog.clone();
    match edit {
        CatalogEdit::Withdraw { version, reason, replacement } => {
            withdraw_version(&mut next, version, reason, replacement.as_ref())?;
        }
        CatalogEdit::Drain { upstream, reason } => {
            require_upstream(catalog, upstream)?;
            next.drains.insert(upstream.clone(), Drain { reason: Arc::clone(reason) });
        }
        CatalogEdit::Undrain { upstream } => {
            require_upstream(catalog, upstream)?;
            next.drains.remove(upstream);
        }
        CatalogEdit::StartRollout { name, rollout } => start_rollout(&mut next, name, rollout)?,
        CatalogEdit::PauseRollout { name } => active(&mut next, name)?.phase = RolloutPhase::Paused,
        CatalogEdit::ResumeRollout { name } => {
            active(&mut next, name)?.phase = RolloutPhase::Running;
        }
        CatalogEdit::AbortRollout { name } => abort_rollout(&mut next, name)?,
        CatalogEdit::AdvanceRollout { name, step } => {
            let rollout = active(&mut next, name)?;
            rollout.step = rollout.step.max(*step);
        }
        CatalogEdit::CompleteRollout { name } => complete_rollout(&mut next, name)?,
    }
    Ok(next)
}

fn withdraw_version(
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

fn start_rollout(
    catalog: &mut Catalog,
    name: &RolloutName,
    rollout: &Rollout,
) -> Result<(), EditError> {
    match catalog.rollouts.get(name) {
        Some(known) if known != rollout => Err(EditError::NameTaken { name: name.clone() }),
        _ => {
            catalog.rollouts.insert(name.clone(), rollout.clone());
            Ok(())
        }
    }
}

fn abort_rollout(catalog: &mut Catalog, name: &RolloutName) -> Result<(), EditError> {
    let rollout = rollout_mut(catalog, name)?;
    match rollout.phase {
        RolloutPhase::Completed => Err(EditError::Ended { name: name.clone() }),
        _ => {
            rollout.phase = RolloutPhase::RolledBack;
            Ok(())
        }
    }
}

fn complete_rollout(catalog: &mut Catalog, name: &RolloutName) -> Result<(), EditError> {
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
