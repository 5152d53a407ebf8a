//! Which upstreams of a pool should hold which versions, and which loads to order now.

use crate::ids::{UpstreamName, VersionName};
use std::collections::BTreeMap;

/// Largest share of a pool that loads at once.
pub const DEFAULT_LOADING_SHARE: f64 = 0.25;

/// One upstream, as reported.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementUpstream {
    /// The upstream.
    pub name: UpstreamName,
    /// Versions that it has loaded.
    pub loaded: Vec<VersionName>,
    /// Version that it is loading.
    pub loading: Option<VersionName>,
    /// Whether it may be given orders: not leaving, not ejected.
    pub available: bool,
}

/// Demand for one version, in slots, smoothed by whoever measures it.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionDemand {
    /// The version.
    pub version: VersionName,
    /// Slots that its requests fill.
    pub demand: f64,
    /// Least number of upstreams that must hold it.
    pub min_upstreams: usize,
}

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOrder {
    /// Load a version.
    Load(UpstreamName, VersionName),
    /// Unload a version that is wanted nowhere else than in its place.
    Unload(UpstreamName, VersionName),
}

/// Plans the placement of versions on the upstreams of one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPlanner {
    versions_per_upstream: usize,
    loading_share: f64,
}

impl PlacementPlanner {
    /// For upstreams that hold so many versions at once.
    #[must_use]
    pub const fn new(versions_per_upstream: usize) -> Self {
        Self { versions_per_upstream, loading_share: DEFAULT_LOADING_SHARE }
    }

    /// Sets the largest share of the pool that loads at once.
    #[must_use]
    pub const fn with_loading_share(mut self, loading_share: f64) -> Self {
        self.loading_share = loading_share;
        self
    }

    /// How many upstreams should hold each version: in proportion to demand, at least
    /// `least`, at most all.
    #[must_use]
    pub fn targets(&self, open: usize, demands: &[VersionDemand]) -> BTreeMap<VersionName, usize> {
        let places = (open * self.versions_per_upstream) as f64;
        let total: f64 = demands.iter().map(|demand| demand.demand).sum();
        let wanted = |demand: &VersionDemand| {
            let share = if total > 0.0 { demand.demand / total } else { 0.0 };
            ((share * places).floor() as usize).max(demand.min_upstreams).min(open)
        };
        demands.iter().map(|demand| (demand.version.clone(), wanted(demand))).collect()
    }

    /// The orders to give now. At most `loads` are started, and never so many that more than
    /// the loading share of the pool loads at once; one upstream may always load.
    #[must_use]
    pub fn orders(
        &self,
        hosts: &[PlacementUpstream],
        demands: &[VersionDemand],
        loads: usize,
    ) -> Vec<PlacementOrder> {
        let open: Vec<&PlacementUpstream> = hosts.iter().filter(|host| host.available).collect();
        let targets = self.targets(open.len(), demands);
        let most = ((hosts.len() as f64 * self.loading_share) as usize).max(1);
        let loading = hosts.iter().filter(|host| host.loading.is_some()).count();
        let mut room = most.saturating_sub(loading).min(loads);
        let mut held = held_counts(&open);
        let mut orders = Vec::new();
        for host in open.iter().filter(|host| host.loading.is_none()) {
            if room == 0 {
                break;
            }
            let Some(version) = most_missing(host, &targets, &held) else { continue };
            if !self.make_place(host, &targets, &mut held, &mut orders) {
                continue;
            }
            *held.entry(version.clone()).or_default() += 1;
            orders.push(PlacementOrder::Load(host.name.clone(), version));
            room -= 1;
        }
        orders
    }

    /// Makes a place on an upstream that is full, by unloading a version that enough others
    /// hold; `false` when there is none.
    fn make_place(
        &self,
        host: &PlacementUpstream,
        targets: &BTreeMap<VersionName, usize>,
        held: &mut BTreeMap<VersionName, usize>,
        orders: &mut Vec<PlacementOrder>,
    ) -> bool {
        if host.loaded.len() < self.versions_per_upstream {
            return true;
        }
        let surplus = |version: &&VersionName| {
            let wanted = targets.get(*version).copied().unwrap_or(0);
            held.get(*version).copied().unwrap_or(0) > wanted
        };
        let Some(version) = host.loaded.iter().find(surplus).cloned() else { return false };
        if let Some(count) = held.get_mut(&version) {
            *count -= 1;
        }
        orders.push(PlacementOrder::Unload(host.name.clone(), version));
        true
    }
}

fn held_counts(open: &[&PlacementUpstream]) -> BTreeMap<VersionName, usize> {
    let mut held = BTreeMap::new();
    for host in open {
        for version in host.loaded.iter().chain(&host.loading) {
            *held.entry(version.clone()).or_default() += 1;
        }
    }
    held
}

/// The version that lacks most places and that the upstream does not hold.
fn most_missing(
    host: &PlacementUpstream,
    targets: &BTreeMap<VersionName, usize>,
    held: &BTreeMap<VersionName, usize>,
) -> Option<VersionName> {
    let missing = |version: &VersionName, wanted: usize| {
        wanted.saturating_sub(held.get(version).copied().unwrap_or(0))
    };
    let absent = targets.iter().filter(|(version, _)| !host.loaded.contains(version));
    let lacking = absent.map(|(version, &wanted)| (missing(version, wanted), version));
    let most = lacking.filter(|(count, _)| *count > 0).max_by_key(|(count, _)| *count);
    most.map(|(_, version)| version.clone())
}
