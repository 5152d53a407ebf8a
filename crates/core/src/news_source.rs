//! Decides where a host gets news of the store's topics: from the store or from another host.
//!
//! Every call to the store costs, so only a few hosts of each failure domain, the readers, follow the
//! store; the others follow a reader. Hosts are ranked by a hash of their names. A host follows only
//! hosts that rank before itself, so no two can wait for each other, and it is a reader if fewer than
//! [`READERS`] of those seem alive. No host has to know what the others believe.

use crate::ids::HostId;
use crate::stable_hash::hash_parts;
use crate::units::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Readers of a failure domain. The second one serves while the first is replaced.
pub const READERS: usize = 2;
/// Time for which a host that failed as a source is not asked.
const FAILED_TIME: Duration = Duration::from_secs(15);
/// Time for which a host asks the store itself after news reached other hosts and not this one.
const DIRECT_TIME: Duration = Duration::from_secs(10);
/// Age of the store's last answer above which a source is outdated: its own wait for a change, the
/// time in which it notices a dead connection, and one step between hosts.
const MAX_AGE: Duration = Duration::from_secs(12);
/// Time between two calls to the store by a host whose source cannot reach the store.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Time over which hosts spread the first of these calls: news may be waiting already.
const FIRST_CHECK_SPREAD: Duration = Duration::from_millis(750);

/// Where a host gets its news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NewsSource {
    /// The store.
    Store,
    /// Another host.
    Host(HostId),
}

/// State of a host's view of its sources.
///
/// ```
/// use oleander_core::ids::HostId;
/// use oleander_core::news_source::{NewsSource, NewsSources};
/// use oleander_core::units::Timestamp;
///
/// let hosts: Vec<HostId> = (0..9).map(|n| HostId::new(&format!("host-{n}")).unwrap()).collect();
/// let now = Timestamp::from_millis(1_000);
/// let readers = hosts.iter().filter(|host| {
///     let mut sources = NewsSources::new((*host).clone());
///     sources.set_hosts(hosts.iter());
///     sources.source(now) == NewsSource::Store
/// });
/// assert_eq!(readers.count(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct NewsSources {
    own: HostId,
    /// Hosts of the same failure domain that rank before this one, best first.
    better: Vec<HostId>,
    failed_until: BTreeMap<HostId, Timestamp>,
    direct_until: Option<Timestamp>,
    check_at: Option<Timestamp>,
}

/// Position of a host among others; the lowest ranks first.
fn rank(host: &HostId) -> (u64, &HostId) {
    (hash_parts(&["news", host.as_str()]), host)
}

impl NewsSources {
    /// The sources of a host that knows no others.
    #[must_use]
    pub const fn new(own: HostId) -> Self {
        Self {
            own,
            better: Vec::new(),
            failed_until: BTreeMap::new(),
            direct_until: None,
            check_at: None,
        }
    }

    /// Replaces the hosts of this host's failure domain.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a HostId>) {
        let own = rank(&self.own);
        let mut better: Vec<HostId> = hosts.filter(|host| rank(host) < own).cloned().collect();
        better.sort_by(|one, other| rank(one).cmp(&rank(other)));
        better.dedup();
        let known: BTreeSet<&HostId> = better.iter().collect();
        self.failed_until.retain(|host, _| known.contains(host));
        self.better = better;
    }

    /// Where to ask now.
    #[must_use]
    pub fn source(&self, now: Timestamp) -> NewsSource {
        if self.direct_until.is_some_and(|until| now < until) {
            return NewsSource::Store;
        }
        let is_usable =
            |host: &&HostId| self.failed_until.get(*host).is_none_or(|until| now >= *until);
        let usable: Vec<&HostId> = self.better.iter().filter(is_usable).take(READERS).collect();
        if usable.len() < READERS {
            return NewsSource::Store;
        }
        let index = hash_parts(&["source", self.own.as_str()]) as usize % READERS;
        NewsSource::Host(usable[index].clone())
    }

    /// Records that a host did not answer as a source.
    pub fn mark_failed(&mut self, host: &HostId, now: Timestamp) {
        self.failed_until.insert(host.clone(), now + FAILED_TIME);
    }

    /// Records the age of the store's last answer that a source had; `false` when it is too old.
    #[must_use]
    pub fn record_age(&mut self, host: &HostId, age: Duration, now: Timestamp) -> bool {
        let is_fresh = age <= MAX_AGE;
        if is_fresh {
            self.check_at = None;
        } else {
            self.mark_failed(host, now);
        }
        is_fresh
    }

    /// Records that a source cannot reach the store. Returns whether this host should ask the store
    /// itself, as the source alone may be cut off; `spread` in 0..1 keeps hosts apart.
    #[must_use]
    pub fn record_unavailable(&mut self, now: Timestamp, spread: f64) -> bool {
        let first = now + FIRST_CHECK_SPREAD.mul_f64(spread);
        let at = *self.check_at.get_or_insert(first);
        if now < at {
            return false;
        }
        self.check_at = Some(now + CHECK_INTERVAL.mul_f64(0.5 + spread));
        true
    }

    /// Records that the store answered this host while its source could not reach the store.
    pub fn mark_cut_off(&mut self, host: &HostId, now: Timestamp) {
        self.check_at = None;
        self.mark_failed(host, now);
    }

    /// Records that other hosts have news that has not arrived here.
    pub fn mark_late(&mut self, now: Timestamp) {
        self.direct_until = Some(now + DIRECT_TIME);
    }
}
