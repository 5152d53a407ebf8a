//! Facts that never go back: the catalog head, and upstreams that leave and join.

use crate::ids::{Incarnation, Revision, UpstreamName};
use crate::membership::config::MAX_UPSTREAM_RUMORS;
use crate::membership::member::{BodyDigest, Rumor};
use crate::membership::record::{combine, fold, id_hash};
use std::collections::{BTreeMap, VecDeque};

/// Age of what is known of an upstream: leaving wins over joining of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpstreamAge {
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
/// let mut board = RumorTable::default();
/// assert!(board.learn(&head(2)));
/// assert!(!board.learn(&head(1)));
/// assert!(!board.learn(&head(2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RumorTable {
    head: Option<(Revision, BodyDigest)>,
    upstreams: BTreeMap<UpstreamName, UpstreamAge>,
    order: VecDeque<UpstreamName>,
}

impl RumorTable {
    /// Takes a rumor in. Returns whether it was new.
    pub fn learn(&mut self, rumor: &Rumor) -> bool {
        match rumor {
            Rumor::Head { revision, digest } => self.learn_head(*revision, digest),
            Rumor::Leaving { upstream, incarnation } => self
                .learn_upstream(upstream, UpstreamAge { incarnation: *incarnation, leaving: true }),
            Rumor::Joined { upstream, incarnation } => self.learn_upstream(
                upstream,
                UpstreamAge { incarnation: *incarnation, leaving: false },
            ),
        }
    }

    fn learn_head(&mut self, revision: Revision, digest: &BodyDigest) -> bool {
        if self.head.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return false;
        }
        self.head = Some((revision, BodyDigest::clone(digest)));
        true
    }

    fn learn_upstream(&mut self, upstream: &UpstreamName, age: UpstreamAge) -> bool {
        match self.upstreams.get_mut(upstream) {
            Some(known) if *known >= age => return false,
            Some(known) => *known = age,
            None => {
                self.upstreams.insert(upstream.clone(), age);
                self.order.push_back(upstream.clone());
                self.evict();
            }
        }
        true
    }

    fn evict(&mut self) {
        if self.upstreams.len() <= MAX_UPSTREAM_RUMORS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.upstreams.remove(&oldest);
        }
    }

    /// Every rumor that is known.
    #[must_use]
    pub fn known(&self) -> Vec<Rumor> {
        let head = self.head.iter().map(|(revision, digest)| Rumor::Head {
            revision: *revision,
            digest: BodyDigest::clone(digest),
        });
        head.chain(self.upstreams.iter().map(|(name, age)| rumor_of(name, *age))).collect()
    }

    /// Digest of what is known.
    #[must_use]
    pub fn digest(&self) -> u32 {
        let head = self.head.as_ref().map_or(0, |(revision, _)| combine(1, revision.get()));
        let upstreams = self.upstreams.iter().fold(0u64, |sum, (name, age)| {
            let named = id_hash(name.as_str());
            sum.wrapping_add(combine(combine(named, age.incarnation.get()), u64::from(age.leaving)))
        });
        fold(combine(head, upstreams))
    }
}

fn rumor_of(upstream: &UpstreamName, age: UpstreamAge) -> Rumor {
    let upstream = upstream.clone();
    let incarnation = age.incarnation;
    match age.leaving {
        true => Rumor::Leaving { upstream, incarnation },
        false => Rumor::Joined { upstream, incarnation },
    }
}
