//! Stable subset of a pool that one host watches and sends requests to.
//!
//! The subset uses rendezvous hashing: every host ranks the upstreams by a hash of both names.
//! When an upstream joins or leaves, only the hosts that rank it high change their subset, each
//! by one member.

use crate::ids::{HostId, RegionName, UpstreamName};
use crate::stable_hash::hash_parts;

/// Default number of upstreams of a pool that one host watches.
pub const DEFAULT_SUBSET_SIZE: usize = 30;
/// Default share of the subset that is reserved for upstreams of other regions.
pub const DEFAULT_REMOTE_SHARE: f64 = 0.2;

/// Chooses the subset of a pool for one host.
///
/// ```
/// use oleander_core::ids::{HostId, RegionName, UpstreamName};
/// use oleander_core::subset::SubsetChooser;
///
/// let host = HostId::new("host-1").unwrap();
/// let region = RegionName::new("puget").unwrap();
/// let names: Vec<_> =
///     (0..9).map(|n| UpstreamName::new(&format!("runner-{n}")).unwrap()).collect();
/// let pool = names.iter().map(|name| (name, &region));
/// assert_eq!(SubsetChooser::new(4).choose(&host, &region, pool).len(), 4);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetChooser {
    size: usize,
    remote_share: f64,
}

impl Default for SubsetChooser {
    fn default() -> Self {
        Self::new(DEFAULT_SUBSET_SIZE)
    }
}

impl SubsetChooser {
    /// Subsets of at most `size` upstreams.
    #[must_use]
    pub const fn new(size: usize) -> Self {
        Self { size, remote_share: DEFAULT_REMOTE_SHARE }
    }

    /// Sets the share of the subset that is reserved for other regions, from 0 to 1.
    #[must_use]
    pub const fn with_remote_share(mut self, remote_share: f64) -> Self {
        self.remote_share = remote_share;
        self
    }

    /// The subset for `host` in `region`, sorted by name. Capacity that local upstreams cannot
    /// fill goes to remote ones and vice versa.
    #[must_use]
    pub fn choose<'a>(
        &self,
        host: &HostId,
        region: &RegionName,
        pool: impl Iterator<Item = (&'a UpstreamName, &'a RegionName)>,
    ) -> Vec<UpstreamName> {
        let (local, remote): (Vec<_>, Vec<_>) =
            pool.partition(|(_, upstream_region)| *upstream_region == region);
        let local = ranked(host, local);
        let remote = ranked(host, remote);
        let reserved = (self.size as f64 * self.remote_share).round() as usize;
        let mut remote_count = reserved.min(remote.len()).min(self.size);
        let local_count = (self.size - remote_count).min(local.len());
        remote_count = (self.size - local_count).min(remote.len());
        let mut chosen: Vec<_> = local.into_iter().take(local_count).collect();
        chosen.extend(remote.into_iter().take(remote_count));
        chosen.sort_unstable();
        chosen
    }
}

fn ranked(host: &HostId, pool: Vec<(&UpstreamName, &RegionName)>) -> Vec<UpstreamName> {
    let score = |name: &UpstreamName| hash_parts(&[host.as_str(), name.as_str()]);
    let mut ranked: Vec<_> = pool.into_iter().map(|(name, _)| (score(name), name)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}
