//! Placement of model versions on the upstreams of a pool, and the loads to order.

use crate::ids::{UpstreamName, VersionName};
use std::collections::BTreeMap;

/// Largest share of a pool that may load a version at the same time.
pub const DEFAULT_LOADING_SHARE: f64 = 0.25;

/// State of one upstream as reported.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementUpstream {
    /// The upstream.
    pub name: UpstreamName,
    /// Versions that it has loaded.
    pub loaded: Vec<VersionName>,
    /// Version that it is loading.
    pub loading: Option<VersionName>,
    /// Whether it may receive orders: neither leaving nor ejected.
    pub available: bool,
}

/// Demand for one version, in slots. The caller smooths it.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionDemand {
    /// The version.
    pub version: VersionName,
    /// Slots that its requests use.
    pub demand: f64,
    /// Minimum number of upstreams that must have it loaded.
    pub min_upstreams: usize,
}

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOrder {
    /// Load the version.
    Load(UpstreamName, VersionName),
    /// Unload the version, to make room for another one.
    Unload(UpstreamName, VersionName),
}

/// Plans the placement of versions on the upstreams of one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPlanner {
    versions_per_upstream: usize,
    loading_share: f64,
}

impl PlacementPlanner {
    /// A planner for upstreams that can have `versions_per_upstream` versions loaded at once.
    #[must_use]
    pub const fn new(versions_per_upstream: usize) -> Self {
        Self { versions_per_upstream, loading_share: DEFAULT_LOADING_SHARE }
    }

    /// Sets the largest share of the pool that may load at the same time.
    #[must_use]
    pub const fn with_loading_share(mut self, loading_share: f64) -> Self {
        self.loading_share = loading_share;
        self
    }

    /// The number of upstreams that should have each version loaded: proportional to demand, at
    /// least [`VersionDemand::min_upstreams`] and at most all available upstreams.
    #[must_use]
    pub fn targets(
        &self,
        available: usize,
        demands: &[VersionDemand],
    ) -> BTreeMap<VersionName, usize> {
        let capacity = (available * self.versions_per_upstream) as f64;
        let total: f64 = demands.iter().map(|demand| demand.demand).sum();
        let target = |demand: &VersionDemand| {
            let share = if total > 0.0 { demand.demand / total } else { 0.0 };
            ((share * capacity).floor() as usize).max(demand.min_upstreams).min(available)
        };
        demands.iter().map(|demand| (demand.version.clone(), target(demand))).collect()
    }

    /// The orders to send now. At most `max_loads` loads are started, limited to the loading
    /// share of the pool at the same time; one upstream may always load.
    #[must_use]
    pub fn orders(
        &self,
        upstreams: &[PlacementUpstream],
        demands: &[VersionDemand],
        max_loads: usize,
    ) -> Vec<PlacementOrder> {
        let available: Vec<&PlacementUpstream> =
            upstreams.iter().filter(|upstream| upstream.available).collect();
        let targets = self.targets(available.len(), demands);
        let max_loading = ((upstreams.len() as f64 * self.loading_share) as usize).max(1);
        let loading = upstreams.iter().filter(|upstream| upstream.loading.is_some()).count();
        let mut loads_left = max_loading.saturating_sub(loading).min(max_loads);
        let mut counts = loaded_counts(&available);
        let mut orders = Vec::new();
        for upstream in available.iter().filter(|upstream| upstream.loading.is_none()) {
            if loads_left == 0 {
                break;
            }
            let Some(version) = most_missing(upstream, &targets, &counts) else { continue };
            if !self.make_room(upstream, &targets, &mut counts, &mut orders) {
                continue;
            }
            *counts.entry(version.clone()).or_default() += 1;
            orders.push(PlacementOrder::Load(upstream.name.clone(), version));
            loads_left -= 1;
        }
        orders
    }

    /// Makes room on a full upstream by unloading a version that is loaded on more upstreams than
    /// its target; `false` when there is no such version.
    fn make_room(
        &self,
        upstream: &PlacementUpstream,
        targets: &BTreeMap<VersionName, usize>,
        counts: &mut BTreeMap<VersionName, usize>,
        orders: &mut Vec<PlacementOrder>,
    ) -> bool {
        if upstream.loaded.len() < self.versions_per_upstream {
            return true;
        }
        let surplus = |version: &&VersionName| {
            let target = targets.get(*version).copied().unwrap_or(0);
            counts.get(*version).copied().unwrap_or(0) > target
        };
        let Some(version) = upstream.loaded.iter().find(surplus).cloned() else { return false };
        if let Some(count) = counts.get_mut(&version) {
            *count -= 1;
        }
        orders.push(PlacementOrder::Unload(upstream.name.clone(), version));
        true
    }
}

fn loaded_counts(upstreams: &[&PlacementUpstream]) -> BTreeMap<VersionName, usize> {
    let mut counts = BTreeMap::new();
    for upstream in upstreams {
        for version in upstream.loaded.iter().chain(&upstream.loading) {
            *counts.entry(version.clone()).or_default() += 1;
        }
    }
    counts
}

/// The version that is furthest below its target and that the upstream has not loaded.
fn most_missing(
    upstream: &PlacementUpstream,
    targets: &BTreeMap<VersionName, usize>,
    counts: &BTreeMap<VersionName, usize>,
) -> Option<VersionName> {
    let missing = |version: &VersionName, target: usize| {
        target.saturating_sub(counts.get(version).copied().unwrap_or(0))
    };
    let not_loaded = targets.iter().filter(|(version, _)| !upstream.loaded.contains(version));
    let shortages = not_loaded.map(|(version, &target)| (missing(version, target), version));
    let largest = shortages.filter(|(count, _)| *count > 0).max_by_key(|(count, _)| *count);
    largest.map(|(_, version)| version.clone())
}
