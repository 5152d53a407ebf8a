//! Evacuated failure domains that a host hears of before it has read of them.
//!
//! Operators order an evacuation in the store. A host whose calls to the store fail would go on sending requests to the
//! upstreams of the domain. So hosts tell each other which domains are evacuated, each with the revision of its
//! order, and pass on what they hear. Hearing only adds: a host that has read the store up to that revision goes by
//! what it has read, so only the store ends an evacuation.

use crate::ids::DomainName;
use crate::stable_hash::hash_parts;
use crate::store_era::StoreRevision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of domains that are remembered and reported; above what deployments evacuate at once.
const MAX_DOMAINS: usize = 8;

/// Compact id of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DomainHash(u32);

impl DomainHash {
    /// Hashes a domain's name.
    #[must_use]
    pub fn new(domain: &DomainName) -> Self {
        Self(hash_parts(&["domain", domain.as_str()]) as u32)
    }
}

/// An evacuated domain, as told to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEvacuation {
    /// The domain.
    pub domain: DomainHash,
    /// Revision of the order.
    pub revision: StoreRevision,
}

/// The evacuations that one host has heard of and not read of.
///
/// ```
/// use oleander_core::evacuation_view::{DomainHash, EvacuationView, ReportedEvacuation};
/// use oleander_core::store_era::{StoreEra, StoreRevision};
///
/// let revision = |version| StoreRevision::new(StoreEra::default(), version);
/// let domain = DomainHash::new(&"puget-a".parse().unwrap());
/// let mut view = EvacuationView::new();
/// view.merge(&[ReportedEvacuation { domain, revision: revision(7) }], revision(5));
/// assert!(view.is_evacuated(domain, revision(5)));
/// assert!(!view.is_evacuated(domain, revision(7)), "the host has read the order, or its end");
/// ```
#[derive(Clone, Debug, Default)]
pub struct EvacuationView(BTreeMap<DomainHash, StoreRevision>);

impl EvacuationView {
    /// Creates the view of a host that has heard of no evacuation.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether there is no evacuation that this host has not read of.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes over what another host tells; `read` is the revision up to which this host has read the
    /// orders. Returns the domains that are new.
    pub fn merge(
        &mut self,
        reports: &[ReportedEvacuation],
        read: StoreRevision,
    ) -> Vec<ReportedEvacuation> {
        self.0.retain(|_, revision| *revision > read);
        let mut added = Vec::new();
        for report in reports.iter().filter(|report| report.revision > read) {
            let known = self.0.get(&report.domain).copied();
            if known.is_none() && self.0.len() < MAX_DOMAINS {
                added.push(*report);
            }
            if known.is_some() || self.0.len() < MAX_DOMAINS {
                self.0.insert(report.domain, report.revision.max(known.unwrap_or_default()));
            }
        }
        added
    }

    /// Whether a domain is evacuated by an order that this host, which has read the orders up to `read`,
    /// has only heard of.
    #[must_use]
    pub fn is_evacuated(&self, domain: DomainHash, read: StoreRevision) -> bool {
        self.0.get(&domain).is_some_and(|revision| *revision > read)
    }

    /// What other hosts should know, beside the evacuations in `own` that this host has read of.
    #[must_use]
    pub fn report(
        &self,
        own: impl IntoIterator<Item = ReportedEvacuation>,
        read: StoreRevision,
    ) -> Vec<ReportedEvacuation> {
        let heard = self.0.iter().filter(|(_, revision)| **revision > read);
        let heard = heard
            .map(|(domain, revision)| ReportedEvacuation { domain: *domain, revision: *revision });
        own.into_iter().chain(heard).take(MAX_DOMAINS).collect()
    }
}
