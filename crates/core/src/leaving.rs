//! Which upstreams are leaving: first sight wins, only a newer incarnation brings one back.

use crate::ids::{Incarnation, UpstreamName};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, Default)]
struct KnownIncarnation {
    newest: Incarnation,
    left: Option<Incarnation>,
}

/// Upstreams with their newest incarnation, and those that leave.
///
/// ```
/// use oleander_core::ids::{Incarnation, UpstreamName};
/// use oleander_core::leaving::LeavingSet;
///
/// let runner = UpstreamName::new("runner-1").unwrap();
/// let mut leaving = LeavingSet::new();
/// assert!(leaving.mark_leaving(&runner, Incarnation::new(4)));
/// leaving.mark_present(&runner, Incarnation::new(4));
/// assert!(leaving.is_leaving(&runner));
/// leaving.mark_present(&runner, Incarnation::new(5));
/// assert!(!leaving.is_leaving(&runner));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LeavingSet {
    known: HashMap<UpstreamName, KnownIncarnation>,
}

impl LeavingSet {
    /// Nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an incarnation leaves. Tells whether that is news.
    pub fn mark_leaving(&mut self, upstream: &UpstreamName, incarnation: Incarnation) -> bool {
        let known = self.known.entry(upstream.clone()).or_default();
        let news = known.left.is_none_or(|left| left < incarnation);
        if news {
            known.left = Some(incarnation);
        }
        known.newest = known.newest.max(incarnation);
        news
    }

    /// Notes that an incarnation is there and does not say that it leaves.
    pub fn mark_present(&mut self, upstream: &UpstreamName, incarnation: Incarnation) {
        let known = self.known.entry(upstream.clone()).or_default();
        known.newest = known.newest.max(incarnation);
    }

    /// Whether an upstream's newest incarnation leaves.
    #[must_use]
    pub fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        let known = self.known.get(upstream);
        known.is_some_and(|known| known.left.is_some_and(|left| left >= known.newest))
    }

    /// Forgets every upstream for which `keep` is false, as when the catalog drops them.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamName) -> bool) {
        self.known.retain(|name, _| keep(name));
    }
}
