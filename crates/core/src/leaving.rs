//! Upstreams that are leaving. Once an incarnation is reported as leaving, later reports that it is
//! present are ignored; only a newer incarnation counts as present again.

use crate::ids::{Incarnation, UpstreamName};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, Default)]
struct KnownIncarnation {
    newest: Incarnation,
    newest_leaving: Option<Incarnation>,
}

/// The newest known incarnation of each upstream, and which upstreams are leaving.
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
    /// An empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks an incarnation as leaving. Returns whether this was not known before.
    pub fn mark_leaving(&mut self, upstream: &UpstreamName, incarnation: Incarnation) -> bool {
        let known = self.known.entry(upstream.clone()).or_default();
        let is_new = known.newest_leaving.is_none_or(|left| left < incarnation);
        if is_new {
            known.newest_leaving = Some(incarnation);
        }
        known.newest = known.newest.max(incarnation);
        is_new
    }

    /// Records that an incarnation is present and does not report that it is leaving.
    pub fn mark_present(&mut self, upstream: &UpstreamName, incarnation: Incarnation) {
        let known = self.known.entry(upstream.clone()).or_default();
        known.newest = known.newest.max(incarnation);
    }

    /// Whether the newest incarnation of an upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        let known = self.known.get(upstream);
        known.is_some_and(|known| known.newest_leaving.is_some_and(|left| left >= known.newest))
    }

    /// Removes every upstream for which `keep` is false, such as those removed from the catalog.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamName) -> bool) {
        self.known.retain(|name, _| keep(name));
    }
}
