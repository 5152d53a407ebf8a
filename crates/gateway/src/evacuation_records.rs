//! Evacuations of failure domains that operators ordered, as the store has them.

use crate::control_cache::ControlEvent;
use oleander_core::ids::DomainName;
use oleander_core::store_era::StoreRevision;
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Debug)]
struct EvacuationRecord {
    domain: DomainName,
    revision: StoreRevision,
    /// When it ends unless it is written again, if the store came back from an older copy without it.
    held_until: Option<Timestamp>,
}

/// The evacuations by their key in the store.
#[derive(Clone, Debug, Default)]
pub struct EvacuationRecords(BTreeMap<Arc<str>, EvacuationRecord>);

impl EvacuationRecords {
    /// Applies an order.
    pub fn apply(
        &mut self,
        key: &Arc<str>,
        domain: &DomainName,
        revision: StoreRevision,
        events: &mut Vec<ControlEvent>,
    ) {
        let record = EvacuationRecord { domain: domain.clone(), revision, held_until: None };
        if self.0.insert(Arc::clone(key), record).is_none() {
            events.push(ControlEvent::Evacuated(domain.clone()));
        }
    }

    /// Ends an evacuation whose order was removed; does nothing for keys of other orders.
    pub fn remove(&mut self, key: &Arc<str>, events: &mut Vec<ControlEvent>) {
        if let Some(record) = self.0.remove(key) {
            events.push(ControlEvent::EvacuationEnded(record.domain));
        }
    }

    /// Ends an evacuation at `until` unless it is written again: operators write again what the store
    /// has lost, but not an end that it never had.
    pub fn hold(&mut self, key: &Arc<str>, until: Timestamp) {
        if let Some(record) = self.0.get_mut(key) {
            record.held_until = Some(until);
        }
    }

    /// Ends evacuations that were held long enough; returns the events to log.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ControlEvent> {
        let is_over =
            |record: &EvacuationRecord| record.held_until.is_some_and(|until| now >= until);
        let ended = self.0.extract_if(.., |_, record| is_over(record));
        ended.map(|(_, record)| ControlEvent::EvacuationEnded(record.domain)).collect()
    }

    /// Keys of the orders.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.keys()
    }

    /// The evacuated domains, with the revisions of their orders.
    #[must_use]
    pub fn domains(&self) -> BTreeMap<DomainName, StoreRevision> {
        self.0.values().map(|record| (record.domain.clone(), record.revision)).collect()
    }
}
