//! Gossiped facts that are never undone: the catalog head, and leaves and joins of upstreams.

use crate::ids::{Incarnation, Revision, UpstreamName};
use crate::membership::config::MAX_UPSTREAM_RUMORS;
use crate::membership::member::{BodyDigest, Rumor};
use crate::membership::record::{combine, fold, id_hash};
use std::collections::{BTreeMap, VecDeque};

/// Version of the last rumor about an upstream: leaving wins over joining of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpstreamVersion {
    incarnation: Incarnation,
    leaving: bool,
}

/// The newest rumor on each subject.
///
/// ```
/// use oleander_core::ids::Revision;
/// use oleander_core::membership::rumors::RumorTable;
/// use oleander_core::membership::Rumor;
///
/// let head = |number| Rumor::Head { revision: Revision::new(number), digest: "d".into() };
/// let mut table = RumorTable::default();
/// assert!(table.apply(&head(2)));
/// assert!(!table.apply(&head(1)));
/// assert!(!table.apply(&head(2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RumorTable {
    head: Option<(Revision, BodyDigest)>,
    upstreams: BTreeMap<UpstreamName, UpstreamVersion>,
    insertion_order: VecDeque<UpstreamName>,
}

impl RumorTable {
    /// Applies a rumor. Returns whether it was new.
    pub fn apply(&mut self, rumor: &Rumor) -> bool {
        match rumor {
            Rumor::Head { revision, digest } => self.apply_head(*revision, digest),
            Rumor::Leaving { upstream, incarnation } => self.apply_upstream(
                upstream,
                UpstreamVersion { incarnation: *incarnation, leaving: true },
            ),
            Rumor::Joined { upstream, incarnation } => self.apply_upstream(
                upstream,
                UpstreamVersion { incarnation: *incarnation, leaving: false },
            ),
        }
    }

    fn apply_head(&mut self, revision: Revision, digest: &BodyDigest) -> bool {
        if self.head.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return false;
        }
        self.head = Some((revision, BodyDigest::clone(digest)));
        true
    }

    fn apply_upstream(&mut self, upstream: &UpstreamName, version: UpstreamVersion) -> bool {
        match self.upstreams.get_mut(upstream) {
            Some(known) if *known >= version => return false,
            Some(known) => *known = version,
            None => {
                self.upstreams.insert(upstream.clone(), version);
                self.insertion_order.push_back(upstream.clone());
                self.evict();
            }
        }
        true
    }

    fn evict(&mut self) {
        if self.upstreams.len() <= MAX_UPSTREAM_RUMORS {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.upstreams.remove(&oldest);
        }
    }

    /// All known rumors.
    #[must_use]
    pub fn known(&self) -> Vec<Rumor> {
        let head = self.head.iter().map(|(revision, digest)| Rumor::Head {
            revision: *revision,
            digest: BodyDigest::clone(digest),
        });
        head.chain(self.upstreams.iter().map(|(name, version)| rumor_of(name, *version))).collect()
    }

    /// Digest of all known rumors.
    #[must_use]
    pub fn digest(&self) -> u32 {
        let head = self.head.as_ref().map_or(0, |(revision, _)| combine(1, revision.get()));
        let upstreams = self.upstreams.iter().fold(0u64, |sum, (name, version)| {
            let name_hash = id_hash(name.as_str());
            sum.wrapping_add(combine(
                combine(name_hash, version.incarnation.get()),
                u64::from(version.leaving),
            ))
        });
        fold(combine(head, upstreams))
    }
}

fn rumor_of(upstream: &UpstreamName, version: UpstreamVersion) -> Rumor {
    let upstream = upstream.clone();
    let incarnation = version.incarnation;
    match version.leaving {
        true => Rumor::Leaving { upstream, incarnation },
        false => Rumor::Joined { upstream, incarnation },
    }
}
