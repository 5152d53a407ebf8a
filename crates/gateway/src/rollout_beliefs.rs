//! Rollout orders and the decisions on them, as this host believes them.
//!
//! Within an era of the store its rows are the truth. After the store came back from an older copy,
//! a row may be missing or show an earlier state. Operators write their orders again; decisions are
//! this system's own, so a host that knows a later one keeps it and writes it again.

use crate::control_cache::{ControlEvent, RolloutState};
use crate::rollout_plan::{RolloutDecision, RolloutOrder, RolloutPhase};
use oleander_core::ids::ServiceName;
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of withdrawn versions that are kept for a service. Upstreams of earlier ones have
/// long been removed.
const MAX_WITHDRAWN_VERSIONS: usize = 16;

#[derive(Clone, Debug)]
struct OrderRecord {
    order: RolloutOrder,
    /// When the order was given, on the store's monotonic clock.
    ordered_at: Timestamp,
    /// Whether the order is older than the era of its revision, so that operators may still write
    /// it again.
    carried: bool,
    /// Versions of orders that this one replaced before anything was decided on them.
    undecided: Vec<Arc<str>>,
    /// Another order that the copy has, and when it counts if nothing is written until then.
    held: Option<(RolloutOrder, Timestamp)>,
}

#[derive(Clone, Debug)]
struct DecisionRecord {
    decision: RolloutDecision,
    /// Revision of the row that the store has; version 0 when it has none.
    row: StoreRevision,
    /// Whether the store has this decision.
    is_saved: bool,
    /// The decision before, which stays in force until the order of this one is known: orders and
    /// decisions arrive separately.
    previous: Option<RolloutDecision>,
}

/// Orders and decisions by their key in the store.
#[derive(Clone, Debug, Default)]
pub struct RolloutBeliefs {
    orders: BTreeMap<Arc<str>, OrderRecord>,
    decisions: BTreeMap<Arc<str>, DecisionRecord>,
}

impl RolloutBeliefs {
    /// Applies an order. `held_until` is set for the first full read after the store came back from
    /// an older copy: an order that differs from the known one may be an earlier one.
    pub fn apply_order(
        &mut self,
        key: &Arc<str>,
        order: &RolloutOrder,
        ordered_at: Timestamp,
        held_until: Option<Timestamp>,
        events: &mut Vec<ControlEvent>,
    ) {
        if let Some(known) = self.orders.get_mut(key) {
            let is_later_era = order.revision.era > known.order.revision.era;
            if order.has_content_of(&known.order) && (is_later_era || known.carried) {
                // Within an era, the same content is written again once at most.
                known.carried = is_later_era;
                known.order.revision = order.revision;
                known.held = None;
                return;
            }
            if let Some(until) = held_until {
                known.held = Some((order.clone(), until));
                let text = format!("{} to {} held back", order.service, order.to);
                events.push(ControlEvent::Rollout(text.into()));
                return;
            }
        }
        let text = format!("{} to {} ordered", order.service, order.to);
        events.push(ControlEvent::Rollout(text.into()));
        self.insert_order(key, order, ordered_at, false);
    }

    /// Puts an order into force in place of the one before.
    fn insert_order(
        &mut self,
        key: &Arc<str>,
        order: &RolloutOrder,
        ordered_at: Timestamp,
        carried: bool,
    ) {
        let known = self.orders.get(key);
        let undecided = known.map_or_else(Vec::new, |known| {
            let found = self.decision_of(&order.service);
            let is_undecided = !found.is_some_and(|found| found.decision.is_on(&known.order));
            let replaced = is_undecided.then_some(&known.order.to);
            recent_versions(known.undecided.iter().chain(replaced), &order.to)
        });
        let order = order.clone();
        let record = OrderRecord { order, ordered_at, carried, undecided, held: None };
        self.orders.insert(Arc::clone(key), record);
    }

    /// Versions that earlier orders asked for and that did not come into use: those that are known
    /// to be withdrawn, and those of orders that were replaced before they were over. The first
    /// decision on an order lists all of them, since its writer knew the decision before.
    fn earlier_versions(&self, record: &OrderRecord) -> (Vec<Arc<str>>, Vec<Arc<str>>) {
        let order = &record.order;
        let Some(found) = self.decision_of(&order.service) else {
            return (Vec::new(), recent_versions(&record.undecided, &order.to));
        };
        let decision = &found.decision;
        let listed = decision.withdrawn.iter();
        if decision.is_on(order) || decision.order > order.revision {
            return (recent_versions(listed, &order.to), Vec::new());
        }
        let to = |phase| (decision.phase == phase).then_some(&decision.to);
        let withdrawn = recent_versions(listed.chain(to(RolloutPhase::Reverted)), &order.to);
        // Where all work moved, the version may have come into use without this host's knowledge.
        let replaced = record.undecided.iter().chain(to(RolloutPhase::Canary));
        (withdrawn, recent_versions(replaced, &order.to))
    }

    fn decision_of(&self, service: &ServiceName) -> Option<&DecisionRecord> {
        self.decisions.values().find(|found| found.decision.service == *service)
    }

    /// Applies a decision. A decision that this host knows to be outdated is not believed.
    pub fn apply_decision(
        &mut self,
        key: &Arc<str>,
        decision: &RolloutDecision,
        row: StoreRevision,
        events: &mut Vec<ControlEvent>,
    ) {
        let mut previous = None;
        if let Some(known) = self.decisions.get_mut(key) {
            if known.decision.supersedes(decision) {
                known.row = row;
                known.is_saved = false;
                let (kept, found) = (&known.decision, decision.phase);
                let text = format!(
                    "{} to {} stays {}, the store came back with {found}",
                    kept.service, kept.to, kept.phase
                );
                events.push(ControlEvent::Rollout(text.into()));
                return;
            }
            let mut orders = self.orders.values().map(|record| &record.order);
            let order = orders.find(|order| order.service == decision.service);
            let is_in_force = order.is_some_and(|order| known.decision.is_on(order));
            previous =
                if is_in_force { Some(known.decision.clone()) } else { known.previous.take() };
        }
        let text = format!("{} to {} {}", decision.service, decision.to, decision.phase);
        events.push(ControlEvent::Rollout(text.into()));
        let record = DecisionRecord { decision: decision.clone(), row, is_saved: true, previous };
        self.decisions.insert(Arc::clone(key), record);
    }

    /// Removes an order.
    pub fn remove_order(&mut self, key: &Arc<str>) {
        self.orders.remove(key);
    }

    /// Removes a decision.
    pub fn remove_decision(&mut self, key: &Arc<str>) {
        self.decisions.remove(key);
    }

    /// Records that the store came back without a decision, which stays in force.
    pub fn mark_lost(&mut self, key: &Arc<str>, era: StoreEra, events: &mut Vec<ControlEvent>) {
        if let Some(known) = self.decisions.get_mut(key) {
            known.row = StoreRevision::new(era, 0);
            known.is_saved = false;
            let kept = &known.decision;
            let text = format!(
                "{} to {} stays {}, the store came back without it",
                kept.service, kept.to, kept.phase
            );
            events.push(ControlEvent::Rollout(text.into()));
        }
    }

    /// Puts orders into force that the store still had, at `heard_at`, after they were held back.
    pub fn release_held(&mut self, heard_at: Timestamp, store_now: Timestamp) -> Vec<ControlEvent> {
        let mut events = Vec::new();
        let mut due = Vec::new();
        for (key, record) in &mut self.orders {
            let held = record.held.take_if(|(_, until)| heard_at >= *until);
            due.extend(held.map(|(order, _)| (Arc::clone(key), order)));
        }
        for (key, order) in due {
            let text = format!("{} to {} ordered", order.service, order.to);
            events.push(ControlEvent::Rollout(text.into()));
            self.insert_order(&key, &order, store_now, true);
        }
        events
    }

    /// Keys of the orders.
    pub fn order_keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.orders.keys()
    }

    /// Keys of the decisions.
    pub fn decision_keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.decisions.keys()
    }

    /// Decisions on services that have no order any more.
    pub fn decisions_without_order(&self) -> impl Iterator<Item = &RolloutDecision> {
        let has_order = |service: &ServiceName| {
            self.orders.values().any(|record| record.order.service == *service)
        };
        let decisions = self.decisions.values().map(|record| &record.decision);
        decisions.filter(move |decision| !has_order(&decision.service))
    }

    /// The newest rollout of each service.
    #[must_use]
    pub fn rollouts(&self) -> BTreeMap<ServiceName, RolloutState> {
        let state = |record: &OrderRecord| {
            let order = &record.order;
            let service = &order.service;
            let found = self.decision_of(service);
            let current = found.filter(|found| found.decision.is_on(order));
            let previous = found.and_then(|found| found.previous.as_ref());
            let previous = previous.filter(|decision| decision.is_on(order));
            let decision = current.map(|found| &found.decision).or(previous);
            let is_superseded = current.is_none()
                && found.is_some_and(|found| found.decision.order > order.revision);
            let (withdrawn, replaced) = self.earlier_versions(record);
            RolloutState {
                order: order.clone(),
                decision: decision.cloned(),
                is_saved: current.is_none_or(|found| found.is_saved),
                is_superseded,
                decision_row: found
                    .map_or(StoreRevision::new(order.revision.era, 0), |found| found.row),
                ordered_at: record.ordered_at,
                withdrawn,
                replaced,
            }
        };
        let orders = self.orders.values();
        orders.map(|record| (record.order.service.clone(), state(record))).collect()
    }
}

/// These versions, each once and the latest last, without the one that is ordered now.
fn recent_versions<'a>(
    versions: impl IntoIterator<Item = &'a Arc<str>>,
    ordered: &Arc<str>,
) -> Vec<Arc<str>> {
    let mut recent: Vec<Arc<str>> = Vec::new();
    for version in versions.into_iter().filter(|version| *version != ordered) {
        recent.retain(|known| known != version);
        recent.push(Arc::clone(version));
    }
    let excess = recent.len().saturating_sub(MAX_WITHDRAWN_VERSIONS);
    recent.split_off(excess)
}
