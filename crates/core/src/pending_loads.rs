//! Model versions that a pool should have loaded, and loads in progress.
//!
//! Placement is level-triggered: each reconciliation pass compares the reports of the upstreams
//! with the desired placement. A load that was ordered and does not appear in a report before its
//! timeout is ordered again; no other state is kept between passes.

use crate::catalog::objects::{Catalog, Rollout, RolloutPhase};
use crate::ids::{ModelName, PoolName, UpstreamName, VersionName};
use crate::placement::{PlacementUpstream, VersionDemand};
use crate::units::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time after which a load that no report confirms is ordered again.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Report of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionReport {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Versions that it has loaded.
    pub versions: Vec<VersionName>,
    /// Whether it may receive orders.
    pub available: bool,
}

#[derive(Clone, Debug)]
struct PendingLoad {
    version: VersionName,
    ordered_at: Timestamp,
}

/// Loads that were ordered and that no report has confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct PendingLoads {
    loads: HashMap<UpstreamName, PendingLoad>,
}

impl PendingLoads {
    /// An empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a load was ordered.
    pub fn record(&mut self, upstream: UpstreamName, version: VersionName, now: Timestamp) {
        self.loads.insert(upstream, PendingLoad { version, ordered_at: now });
    }

    /// The state of the upstreams for the planner. Drops loads that are confirmed or timed out.
    pub fn upstreams(
        &mut self,
        reports: &[VersionReport],
        now: Timestamp,
    ) -> Vec<PlacementUpstream> {
        reports.iter().map(|report| self.upstream(report, now)).collect()
    }

    fn upstream(&mut self, report: &VersionReport, now: Timestamp) -> PlacementUpstream {
        let is_done = self.loads.get(&report.upstream).is_some_and(|load| {
            report.versions.contains(&load.version) || now.since(load.ordered_at) >= LOAD_TIMEOUT
        });
        if is_done {
            self.loads.remove(&report.upstream);
        }
        let loading = self.loads.get(&report.upstream).map(|load| load.version.clone());
        let (name, loaded) = (report.upstream.clone(), report.versions.clone());
        PlacementUpstream { name, loaded, loading, available: report.available }
    }
}

/// The demand for each version that a pool should have loaded. The current version and the one
/// being rolled out have the demand of their shares. Any other version that is not withdrawn is
/// loaded for the sessions that are pinned to it.
#[must_use]
pub fn demands_of_pool(catalog: &Catalog, pool: &PoolName) -> Vec<VersionDemand> {
    let versions = catalog.versions.iter().filter(|(name, version)| {
        version.pool == *pool && !catalog.withdrawals.contains_key(*name)
    });
    let demand = |(name, version): (&VersionName, &crate::catalog::objects::Version)| {
        let demand = share_of_version(catalog, &version.model, name);
        VersionDemand { version: name.clone(), demand, min_upstreams: 1 }
    };
    versions.map(demand).collect()
}

/// Share of a model's new sessions that is sent to a version.
fn share_of_version(catalog: &Catalog, model: &ModelName, version: &VersionName) -> f64 {
    let active = |rollout: &&Rollout| {
        rollout.model == *model
            && matches!(rollout.phase, RolloutPhase::Running | RolloutPhase::Paused)
    };
    let current = catalog.models.get(model).is_some_and(|object| object.current == *version);
    let Some(rollout) = catalog.rollouts.values().find(active) else {
        return f64::from(u8::from(current));
    };
    let share = rollout.steps.get(rollout.step as usize).map_or(0.0, |step| step.share);
    if rollout.to == *version {
        share
    } else if current {
        1.0 - share
    } else {
        0.0
    }
}
