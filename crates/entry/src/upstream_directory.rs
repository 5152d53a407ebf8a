//! Registry of the pools of the catalog in force, and of the upstreams that are leaving.

use crate::upstream_handle::UpstreamHandle;
use crate::upstream_pool::{PoolMember, UpstreamPool};
use arc_swap::ArcSwap;
use oleander_core::catalog::Snapshot;
use oleander_core::catalog::objects::Upstream;
use oleander_core::ids::{HostId, Incarnation, PoolName, RegionName, Revision, UpstreamName};
use oleander_core::leaving::LeavingSet;
use oleander_core::subset::SubsetChooser;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

#[derive(Default)]
struct PoolTable {
    revision: Revision,
    pools: HashMap<PoolName, Arc<UpstreamPool>>,
}

/// Pools by name. Reads do not block; the pools are rebuilt when the catalog changes.
pub struct UpstreamDirectory {
    host: HostId,
    region: RegionName,
    table: ArcSwap<PoolTable>,
    // Held while the pools are rebuilt.
    updating: Mutex<()>,
    leaving: RwLock<LeavingSet>,
}

impl UpstreamDirectory {
    /// Creates a registry without pools, for a host in a region.
    pub fn new(host: HostId, region: RegionName) -> Self {
        Self {
            host,
            region,
            table: ArcSwap::default(),
            updating: Mutex::new(()),
            leaving: RwLock::default(),
        }
    }

    /// Returns a pool as of the revision of `snapshot` or a newer one.
    pub fn pool(&self, snapshot: &Snapshot, name: &PoolName) -> Option<Arc<UpstreamPool>> {
        self.update_to(snapshot);
        self.table.load().pools.get(name).cloned()
    }

    /// Returns every pool as of the revision of `snapshot` or a newer one.
    pub fn pools(&self, snapshot: &Snapshot) -> Vec<Arc<UpstreamPool>> {
        self.update_to(snapshot);
        self.table.load().pools.values().cloned().collect()
    }

    fn update_to(&self, snapshot: &Snapshot) {
        if self.table.load().revision >= snapshot.revision() {
            return;
        }
        let _updating = self.updating.lock().unwrap_or_else(PoisonError::into_inner);
        let old = self.table.load_full();
        if old.revision >= snapshot.revision() {
            return;
        }
        let names = snapshot.catalog().pools.keys();
        let pools = names.filter_map(|name| {
            let pool = self.build_pool(snapshot, name, old.pools.get(name).map(Arc::as_ref))?;
            Some((name.clone(), Arc::new(pool)))
        });
        let pools = pools.collect();
        self.table.store(Arc::new(PoolTable { revision: snapshot.revision(), pools }));
    }

    fn build_pool(
        &self,
        snapshot: &Snapshot,
        name: &PoolName,
        old: Option<&UpstreamPool>,
    ) -> Option<UpstreamPool> {
        let catalog = snapshot.catalog();
        let object = snapshot.pool(name)?;
        let available: HashMap<&UpstreamName, &Upstream> = snapshot.upstreams(name).collect();
        let regions = available.iter().map(|(name, upstream)| (*name, &upstream.region));
        let subset = SubsetChooser::default().choose(&self.host, &self.region, regions);
        let members = subset.iter().filter_map(|name| {
            let upstream = available.get(name)?;
            let handle = reusable_handle(old, name, upstream).unwrap_or_else(|| {
                Arc::new(UpstreamHandle::new(name.clone(), upstream.address, upstream.slots))
            });
            Some(PoolMember::new(handle, upstream, &self.region, &catalog.regions))
        });
        let members = members.collect();
        let share = catalog.policy.ejection_share;
        let pool = UpstreamPool::new(name.clone(), object, members, share, old);
        pool.update_slots(1, |name| self.is_leaving(name));
        Some(pool)
    }

    /// Whether an upstream is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        self.leaving.read().unwrap_or_else(PoisonError::into_inner).is_leaving(upstream)
    }

    /// Marks an upstream as leaving; returns whether it was not marked before.
    pub fn mark_leaving(&self, upstream: &UpstreamName, incarnation: Incarnation) -> bool {
        let mut leaving = self.leaving.write().unwrap_or_else(PoisonError::into_inner);
        leaving.mark_leaving(upstream, incarnation)
    }

    /// Marks an incarnation of an upstream as present.
    pub fn mark_present(&self, upstream: &UpstreamName, incarnation: Incarnation) {
        let mut leaving = self.leaving.write().unwrap_or_else(PoisonError::into_inner);
        leaving.mark_present(upstream, incarnation);
    }
}

fn reusable_handle(
    old: Option<&UpstreamPool>,
    name: &UpstreamName,
    upstream: &Upstream,
) -> Option<Arc<UpstreamHandle>> {
    let mut handles = old?.members.iter().map(|member| &member.handle);
    let same = |handle: &&Arc<UpstreamHandle>| {
        handle.name == *name
            && handle.address == upstream.address
            && handle.slots() == upstream.slots
    };
    handles.find(same).cloned()
}
