//! The engine's bounded cache of prompt prefixes and its event log, which has gaps.

use oleander_ports::upstream::{CacheEvent, CacheEventPage};
use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// Every event whose number is a multiple of this is lost.
const LOST_EVENT_INTERVAL: u64 = 7;
/// Number of events that are retained for readers.
const MAX_EVENTS: usize = 1_024;

/// Digests of cached prefixes, least recently used first.
pub(super) struct PrefixCache {
    limit: usize,
    order: VecDeque<Arc<str>>,
    cached: HashSet<Arc<str>>,
    events: VecDeque<CacheEvent>,
    last_event: u64,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            cached: HashSet::new(),
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    pub(super) fn contains(&self, prefix: &str) -> bool {
        self.cached.contains(prefix)
    }

    /// Marks a prefix as used and returns whether it was cached. A new prefix is cached; if the
    /// cache is full, the least recently used one is evicted.
    pub(super) fn touch(&mut self, prefix: &Arc<str>) -> bool {
        let hit = !self.cached.insert(Arc::clone(prefix));
        if hit {
            self.order.retain(|cached| cached != prefix);
        } else {
            self.publish(Arc::clone(prefix), true);
        }
        self.order.push_back(Arc::clone(prefix));
        if self.order.len() > self.limit
            && let Some(evicted) = self.order.pop_front()
        {
            self.cached.remove(&evicted);
            self.publish(evicted, false);
        }
        hit
    }

    /// Events with a number of at least `since`.
    pub(super) fn events(&self, since: u64) -> CacheEventPage {
        let events = self.events.iter().filter(|event| event.number >= since);
        CacheEventPage { events: events.cloned().collect(), next: self.last_event + 1 }
    }

    fn publish(&mut self, prefix: Arc<str>, cached: bool) {
        self.last_event += 1;
        if self.last_event.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        self.events.push_back(CacheEvent { number: self.last_event, prefix, cached });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
