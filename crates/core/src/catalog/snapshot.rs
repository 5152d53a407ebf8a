//! Immutable catalog revision with indexes for the data path.

use crate::catalog::objects::{Cascade, Catalog, ClientAccount, Pool, Rollout, RolloutPhase};
use crate::catalog::objects::{Service, Upstream, Version};
use crate::ids::{
    AccountName, CascadeName, ModelName, PoolName, Revision, ServiceName, UpstreamName, VersionName,
};
use std::collections::HashMap;
use std::sync::Arc;

/// One catalog revision in force. Immutable.
#[derive(Debug, Default)]
pub struct Snapshot {
    revision: Revision,
    catalog: Catalog,
    accounts_by_digest: HashMap<Arc<str>, AccountName>,
    rollout_by_model: HashMap<ModelName, Rollout>,
}

impl Snapshot {
    /// Indexes a validated catalog.
    #[must_use]
    pub fn new(revision: Revision, catalog: Catalog) -> Self {
        let accounts_by_digest = digest_index(&catalog);
        let rollout_by_model = rollout_index(&catalog);
        Self { revision, catalog, accounts_by_digest, rollout_by_model }
    }

    /// The revision.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The objects.
    #[must_use]
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The client account whose bearer key has this SHA-256 digest in hex.
    #[must_use]
    pub fn account_by_digest(&self, digest: &str) -> Option<(&AccountName, &ClientAccount)> {
        let name = self.accounts_by_digest.get(digest)?;
        self.catalog.client_accounts.get_key_value(name)
    }

    /// A cascade by name.
    #[must_use]
    pub fn cascade(&self, name: &CascadeName) -> Option<&Cascade> {
        self.catalog.cascades.get(name)
    }

    /// A version by name.
    #[must_use]
    pub fn version(&self, name: &VersionName) -> Option<&Version> {
        self.catalog.versions.get(name)
    }

    /// A pool by name.
    #[must_use]
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.catalog.pools.get(name)
    }

    /// A plain service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.catalog.services.get(name)
    }

    /// The upstreams of a pool that are not drained.
    pub fn upstreams<'a>(
        &'a self,
        pool: &PoolName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a Upstream)> {
        let upstreams = self.pool(pool).into_iter().flat_map(|pool| &pool.upstreams);
        upstreams.filter(|(name, _)| !self.catalog.drains.contains_key(*name))
    }

    /// Whether a version was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, version: &VersionName) -> bool {
        self.catalog.withdrawals.contains_key(version)
    }

    /// Whether a client account may use a version. Nobody may use a withdrawn version.
    #[must_use]
    pub fn allows(&self, account: &ClientAccount, version: &VersionName) -> bool {
        let Some(object) = self.version(version) else { return false };
        let names = |versions: &Vec<VersionName>| versions.contains(version);
        let mut rules = account.allow.iter().filter(|rule| rule.model == object.model);
        let allowed = rules.any(|rule| rule.versions.as_ref().is_none_or(names));
        allowed && !self.is_withdrawn(version)
    }

    /// The active rollout of a model, if any.
    #[must_use]
    pub fn rollout(&self, model: &ModelName) -> Option<&Rollout> {
        self.rollout_by_model.get(model)
    }

    /// The version of a model for a new session. `point` is the stable hash of the session as a
    /// number in `0..1`; the session gets the new version if it is below the share of the current
    /// rollout step.
    ///
    /// The caller has to check [`Snapshot::allows`] as well.
    #[must_use]
    pub fn version_for(&self, model: &ModelName, point: f64) -> Option<&VersionName> {
        let current = &self.catalog.models.get(model)?.current;
        let Some(rollout) = self.rollout(model) else { return Some(current) };
        let share = rollout.steps.get(rollout.step as usize).map_or(0.0, |step| step.share);
        let new = point < share && !self.is_withdrawn(&rollout.to);
        Some(if new { &rollout.to } else { &rollout.from })
    }
}

fn digest_index(catalog: &Catalog) -> HashMap<Arc<str>, AccountName> {
    let accounts = catalog.client_accounts.iter();
    accounts
        .flat_map(|(name, account)| {
            account.key_digests.iter().map(move |digest| (Arc::clone(digest), name.clone()))
        })
        .collect()
}

fn rollout_index(catalog: &Catalog) -> HashMap<ModelName, Rollout> {
    let active = |phase| matches!(phase, RolloutPhase::Running | RolloutPhase::Paused);
    let rollouts = catalog.rollouts.values().filter(|rollout| active(rollout.phase));
    rollouts.map(|rollout| (rollout.model.clone(), rollout.clone())).collect()
}
