//! Which versions a pool should hold, and which loads are under way, from reports alone.
//!
//! The book is level-triggered: each look compares what upstreams report with what is wanted.
//! A load that was ordered and never shows is ordered again; nothing is remembered for longer.

use crate::catalog::objects::{Catalog, Rollout, RolloutPhase};
use crate::ids::{ModelName, PoolName, UpstreamName, VersionName};
use crate::placement::{PlacementUpstream, VersionDemand};
use crate::units::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time after which a load that does not show is ordered again.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// What one upstream reported.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionReport {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Versions that it has loaded.
    pub versions: Vec<VersionName>,
    /// Whether it may be given orders.
    pub available: bool,
}

#[derive(Clone, Debug)]
struct PendingLoad {
    version: VersionName,
    ordered_at: Timestamp,
}

/// Remembers the loads that were ordered and do not show yet.
#[derive(Clone, Debug, Default)]
pub struct PendingLoads {
    loads: HashMap<UpstreamName, PendingLoad>,
}

impl PendingLoads {
    /// Nothing was ordered.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a load was ordered.
    pub fn record(&mut self, upstream: UpstreamName, version: VersionName, now: Timestamp) {
        self.loads.insert(upstream, PendingLoad { version, ordered_at: now });
    }

    /// The upstreams as the planner needs them. Loads that show, or are too old, are forgotten.
    pub fn upstreams(
        &mut self,
        reports: &[VersionReport],
        now: Timestamp,
    ) -> Vec<PlacementUpstream> {
        reports.iter().map(|report| self.host(report, now)).collect()
    }

    fn host(&mut self, report: &VersionReport, now: Timestamp) -> PlacementUpstream {
        let over = self.loads.get(&report.upstream).is_some_and(|load| {
            report.versions.contains(&load.version) || now.since(load.ordered_at) >= LOAD_TIMEOUT
        });
        if over {
            self.loads.remove(&report.upstream);
        }
        let loading = self.loads.get(&report.upstream).map(|load| load.version.clone());
        let (name, loaded) = (report.upstream.clone(), report.versions.clone());
        PlacementUpstream { name, loaded, loading, available: report.available }
    }
}

/// The demand for each version that a pool should hold: the current version and one that is
/// rolled out, by their shares; any other that is not withdrawn, for the sessions that keep it.
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

/// Share of a model's new sessions that a version gets.
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
