//! A model of the platform's store that comes back from older copies, and of hosts that follow it.

use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::control_cache::{ControlCache, ControlSnapshot};
use oleander_gateway::control_port::{Topic, TopicChange, TopicRow, TopicValue};
use oleander_gateway::rollout_plan::{RolloutDecision, RolloutOrder, RolloutPhase};
use oleander_gateway::routes::RouteTable;
use oleander_gateway::upstream_entry::{UpstreamEntry, UpstreamState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const UPSTREAMS: u64 = 5;
const ORDER_KEY: &str = "rollout/desk";
/// Time after the store's return until operators and upstreams have written their rows again.
const REWRITE_TIME: Duration = Duration::from_millis(1_500);
/// Time after which the platform removes the entry of a silent upstream.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);

pub fn routes_value(version: u64) -> TopicValue {
    TopicValue::Routes(Arc::new(RouteTable::new(version)))
}

pub fn upstream_value(name: &str, port: u16, started_ms: u64, is_ready: bool) -> TopicValue {
    TopicValue::Upstream(Arc::new(UpstreamEntry {
        name: name.parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: ([10, 0, 0, 1], port).into(),
        domain: "here-a".parse().unwrap(),
        // Another version than any that is ordered.
        version: Arc::from("v0"),
        slots: 6,
        state: if is_ready { UpstreamState::Ready } else { UpstreamState::Draining },
        started_ms,
        cold_left: std::time::Duration::ZERO,
    }))
}

pub fn order_value(to: &str, revision: StoreRevision) -> TopicValue {
    let service = "desk".parse().unwrap();
    let duration = Duration::from_secs(24);
    TopicValue::Rollout(RolloutOrder { service, to: to.into(), duration, revision })
}

pub fn decision_value(to: &str, order: StoreRevision, phase: RolloutPhase) -> TopicValue {
    TopicValue::Decision(decision(to, order, phase))
}

fn decision(to: &str, order: StoreRevision, phase: RolloutPhase) -> RolloutDecision {
    let began = Timestamp::from_millis(10_000);
    RolloutDecision {
        service: "desk".parse().unwrap(),
        to: to.into(),
        order,
        phase,
        began,
        moved: None,
        canary: 60,
        withdrawn: Vec::new(),
    }
}

type Rows = BTreeMap<(Topic, Arc<str>), (u64, Option<RowContent>)>;

/// A row without its version, which identifies an order.
#[derive(Clone, Debug)]
enum RowContent {
    Routes(u64),
    Order(u64),
    Upstream { started_ms: u64, is_ready: bool },
    Decision(RolloutDecision),
}

/// An upstream as it really is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ModelUpstream {
    started_ms: u64,
    /// Whether it accepts work; otherwise it is leaving or gone.
    is_ready: bool,
    is_gone: bool,
}

/// The store, its operators and its upstreams.
pub struct ModelStore {
    era: u32,
    version: u64,
    rows: Rows,
    copy: (u64, Rows),
    routes: u64,
    order: u64,
    upstreams: Vec<ModelUpstream>,
    next_start: u64,
    restored_at: Option<Timestamp>,
    /// Phases that were acknowledged, by version ordered.
    acknowledged: BTreeMap<String, BTreeSet<u8>>,
}

fn key(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn upstream_key(number: usize) -> Arc<str> {
    format!("i-{number}").into()
}

const fn rank(phase: RolloutPhase) -> u8 {
    match phase {
        RolloutPhase::Canary => 0,
        RolloutPhase::Moving => 1,
        RolloutPhase::Done => 2,
        RolloutPhase::Reverted => 3,
    }
}

impl ModelStore {
    pub fn new() -> Self {
        let upstream =
            |number| ModelUpstream { started_ms: 1 + number, is_ready: true, is_gone: false };
        let mut store = Self {
            era: 1,
            version: 0,
            rows: Rows::new(),
            copy: (0, Rows::new()),
            routes: 1,
            order: 0,
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
            next_start: 100,
            restored_at: None,
            acknowledged: BTreeMap::new(),
        };
        store.write_again();
        store.copy = (store.version, store.rows.clone());
        store
    }

    fn put(&mut self, topic: Topic, key: Arc<str>, content: Option<RowContent>) {
        self.version += 1;
        self.rows.insert((topic, key), (self.version, content));
    }

    /// Operators and upstreams write what the store does not show as it is.
    fn write_again(&mut self) {
        let routes = self.rows.get(&(Topic::Orders, key("config")));
        if !matches!(routes, Some((_, Some(RowContent::Routes(found)))) if *found == self.routes) {
            self.put(Topic::Orders, key("config"), Some(RowContent::Routes(self.routes)));
        }
        let order = self.rows.get(&(Topic::Orders, key(ORDER_KEY)));
        let has_order =
            matches!(order, Some((_, Some(RowContent::Order(found)))) if *found == self.order);
        if self.order > 0 && !has_order {
            self.put(Topic::Orders, key(ORDER_KEY), Some(RowContent::Order(self.order)));
        }
        for number in 0..self.upstreams.len() {
            let upstream = self.upstreams[number];
            let row = self.rows.get(&(Topic::Upstreams, upstream_key(number)));
            let (started_ms, is_ready) = (upstream.started_ms, upstream.is_ready);
            let is_same = matches!(row, Some((_, Some(RowContent::Upstream { started_ms: found, is_ready: ready })))
                if (*found, *ready) == (started_ms, is_ready));
            if !upstream.is_gone && !is_same {
                let content = RowContent::Upstream { started_ms, is_ready };
                self.put(Topic::Upstreams, upstream_key(number), Some(content));
            }
        }
    }

    /// The platform removes entries of upstreams that are gone.
    fn remove_gone(&mut self) {
        for number in 0..self.upstreams.len() {
            let row = self.rows.get(&(Topic::Upstreams, upstream_key(number)));
            if self.upstreams[number].is_gone && matches!(row, Some((_, Some(_)))) {
                self.put(Topic::Upstreams, upstream_key(number), None);
            }
        }
    }

    /// One random event.
    pub fn step(&mut self, word: u64, now: Timestamp) {
        if let Some(at) = self.restored_at {
            if now.since(at) >= REWRITE_TIME {
                self.write_again();
            }
            if now.since(at) >= EXPIRY_TIME {
                self.remove_gone();
                self.restored_at = None;
            }
            return;
        }
        let number = (word >> 8) as usize % self.upstreams.len();
        match word % 24 {
            0 => {
                self.routes += 1 + (word >> 16) % 3;
                self.write_again();
            }
            1 => {
                self.order += 1;
                self.write_again();
            }
            2 | 3 => {
                let upstream = &mut self.upstreams[number];
                if upstream.is_gone {
                    (upstream.is_ready, upstream.is_gone) = (true, false);
                    upstream.started_ms = self.next_start;
                    self.next_start += 1;
                } else if upstream.is_ready {
                    upstream.is_ready = false;
                } else {
                    upstream.is_gone = true;
                }
                self.write_again();
                self.remove_gone();
            }
            4 | 5 => self.copy = (self.version, self.rows.clone()),
            6 => {
                (self.version, self.rows) = self.copy.clone();
                self.era += 1;
                self.restored_at = Some(now);
            }
            _ => {}
        }
    }

    /// Lets operators, upstreams and the platform finish.
    pub fn settle(&mut self, now: Timestamp) {
        if self.restored_at.is_some() {
            self.step(23, now);
        }
    }

    fn value(&self, key: &str, version: u64, content: Option<&RowContent>) -> TopicValue {
        match content {
            None => TopicValue::Removed,
            Some(RowContent::Routes(routes)) => routes_value(*routes),
            Some(RowContent::Order(number)) => order_value(
                &format!("v{number}"),
                StoreRevision::new(StoreEra::new(self.era), version),
            ),
            Some(RowContent::Upstream { started_ms, is_ready }) => upstream_value(
                key,
                1 + key.len() as u16 * 100 + u16::from(key.as_bytes()[2]),
                *started_ms,
                *is_ready,
            ),
            Some(RowContent::Decision(decision)) => TopicValue::Decision(decision.clone()),
        }
    }

    fn change(&self, topic: Topic, after: Option<u64>, now: Timestamp) -> TopicChange {
        let mut rows: Vec<TopicRow> = Vec::new();
        for ((found, key), (version, content)) in &self.rows {
            let is_wanted = after.map_or(content.is_some(), |after| *version > after);
            if *found == topic && is_wanted {
                let value = self.value(key, *version, content.as_ref());
                rows.push(TopicRow { key: Arc::clone(key), version: *version, value });
            }
        }
        rows.sort_by_key(|row| row.version);
        let cursor = StoreRevision::new(StoreEra::new(self.era), self.version);
        let waited = Duration::from_secs(1);
        TopicChange { is_full: after.is_none(), cursor, waited, store_now: now, rows }
    }

    fn write_decision(&mut self, decision: RolloutDecision, expected: StoreRevision) {
        let found = self.rows.get(&(Topic::Decisions, key(ORDER_KEY)));
        let found =
            found.filter(|(_, content)| content.is_some()).map_or(0, |(version, _)| *version);
        if expected == StoreRevision::new(StoreEra::new(self.era), found) {
            let phases = self.acknowledged.entry(decision.to.to_string()).or_default();
            phases.insert(rank(decision.phase));
            self.put(Topic::Decisions, key(ORDER_KEY), Some(RowContent::Decision(decision)));
        }
    }
}

/// A host that follows the model of the store.
pub struct ModelHost {
    cache: ControlCache,
    cursors: BTreeMap<Topic, StoreRevision>,
    hold_time: Duration,
    /// Highest configuration in force.
    routes: u64,
    /// Furthest phase seen of each version.
    phases: BTreeMap<Arc<str>, RolloutPhase>,
    /// Incarnations that this host knows to be leaving or gone.
    left: BTreeSet<(String, u64)>,
}

impl ModelHost {
    pub fn new(hold_time: Duration) -> Self {
        Self {
            cache: ControlCache::new().with_hold_time(hold_time),
            cursors: BTreeMap::new(),
            hold_time,
            routes: 0,
            phases: BTreeMap::new(),
            left: BTreeSet::new(),
        }
    }

    fn read(&mut self, store: &ModelStore, topic: Topic, now: Timestamp) {
        let cursor = self.cursors.get(&topic).copied();
        let is_same_era = cursor.is_some_and(|cursor| cursor.era == StoreEra::new(store.era));
        let after = cursor.filter(|_| is_same_era).map(|cursor| cursor.version);
        let change = store.change(topic, after, now);
        self.cursors.insert(topic, change.cursor);
        self.cache.apply(topic, &change, now);
    }

    /// Reads some topics, and decides or writes a decision again.
    pub fn step(&mut self, store: &mut ModelStore, word: u64, now: Timestamp) {
        for (index, topic) in Topic::ALL.into_iter().enumerate() {
            if (word >> (index * 4)).is_multiple_of(3) {
                self.read(store, topic, now);
            }
        }
        self.cache.expire(now);
        self.decide(store, word, now);
    }

    fn decide(&self, store: &mut ModelStore, word: u64, now: Timestamp) {
        let snapshot = self.cache.snapshot();
        let mut rollouts = snapshot.rollouts.values();
        let Some(rollout) = rollouts.find(|rollout| !rollout.is_superseded) else { return };
        let is_settling = snapshot.restored_at.is_some_and(|at| now.since(at) < self.hold_time);
        let next = match &rollout.decision {
            Some(known) if rollout.is_unsaved() => Some(known.phase),
            None if is_settling => None,
            None => Some(RolloutPhase::Canary),
            Some(known) => match known.phase {
                RolloutPhase::Canary if !is_settling => Some(RolloutPhase::Moving),
                RolloutPhase::Canary => Some(RolloutPhase::Reverted),
                RolloutPhase::Moving if word & 64 == 0 => Some(RolloutPhase::Done),
                RolloutPhase::Moving => Some(RolloutPhase::Reverted),
                RolloutPhase::Done | RolloutPhase::Reverted => None,
            },
        };
        if let Some(phase) = next.filter(|_| (word >> 20).is_multiple_of(4)) {
            let decision = decision(&rollout.order.to, rollout.id(), phase);
            store.write_decision(decision, rollout.decision_row);
        }
    }

    /// Reads everything and writes a decision again that the store has lost.
    pub fn read_all(&mut self, store: &mut ModelStore, now: Timestamp) {
        for topic in Topic::ALL {
            self.read(store, topic, now);
        }
        self.cache.expire(now);
        let snapshot = self.cache.snapshot();
        for rollout in snapshot.rollouts.values().filter(|rollout| rollout.is_unsaved()) {
            let decision = rollout.decision.clone().unwrap();
            store.write_decision(decision, rollout.decision_row);
        }
    }

    /// Checks that no belief has gone back.
    pub fn check(&mut self, store: &ModelStore) -> Result<(), String> {
        let snapshot = self.cache.snapshot();
        let routes = snapshot.routes.as_ref().map_or(0, |table| table.version());
        if routes < self.routes {
            return Err(format!("configuration {routes} after {}", self.routes));
        }
        self.routes = routes;
        self.check_phases(&snapshot)?;
        self.check_upstreams(&snapshot, store)
    }

    fn check_phases(&mut self, snapshot: &ControlSnapshot) -> Result<(), String> {
        for rollout in snapshot.rollouts.values() {
            let Some(decision) = &rollout.decision else {
                if let Some(known) = self.phases.get(&rollout.order.to) {
                    return Err(format!("{} has no phase after {known}", rollout.order.to));
                }
                continue;
            };
            let known = self.phases.entry(Arc::clone(&decision.to)).or_insert(decision.phase);
            // Two hosts may have written different ends in two eras; all follow the later one.
            if rank(decision.phase) < rank(*known) && !known.is_over() {
                return Err(format!("{} {} after {known}", decision.to, decision.phase));
            }
            if known.is_over() && !decision.phase.is_over() {
                return Err(format!("{} {} after {known}", decision.to, decision.phase));
            }
            *known = decision.phase;
        }
        Ok(())
    }

    /// An incarnation that this host knows to have left is used again only if it is not gone, or if
    /// the platform lists it for longer than it takes to expire.
    fn check_upstreams(
        &mut self,
        snapshot: &ControlSnapshot,
        store: &ModelStore,
    ) -> Result<(), String> {
        let ready: BTreeSet<(String, u64)> = snapshot
            .upstreams
            .values()
            .flatten()
            .map(|entry| (entry.name.to_string(), entry.started_ms))
            .collect();
        if let Some((name, started)) = ready.intersection(&self.left).next() {
            return Err(format!("{name} started at {started} is used after it left"));
        }
        let is_known = self.cursors.get(&Topic::Upstreams)
            == Some(&StoreRevision::new(StoreEra::new(store.era), store.version));
        if is_known && store.restored_at.is_none() {
            for (number, upstream) in store.upstreams.iter().enumerate() {
                let name = upstream_key(number).to_string();
                if !upstream.is_ready && !ready.contains(&(name.clone(), upstream.started_ms)) {
                    self.left.insert((name, upstream.started_ms));
                }
            }
        }
        Ok(())
    }

    /// Checks that the host believes what the store, its operators and upstreams say.
    pub fn check_agrees(&self, store: &ModelStore) -> Result<(), String> {
        let snapshot = self.cache.snapshot();
        let routes = snapshot.routes.as_ref().map_or(0, |table| table.version());
        if routes != store.routes {
            return Err(format!("configuration {routes}, expected {}", store.routes));
        }
        let ready: BTreeSet<String> =
            snapshot.upstreams.values().flatten().map(|entry| entry.name.to_string()).collect();
        let all = store.upstreams.iter().enumerate();
        let expected: BTreeSet<String> = all
            .filter(|(_, upstream)| upstream.is_ready)
            .map(|(number, _)| upstream_key(number).to_string())
            .collect();
        if ready != expected {
            return Err(format!("upstreams {ready:?}, expected {expected:?}"));
        }
        let Some(rollout) = snapshot.rollouts.values().next() else { return Ok(()) };
        if *rollout.order.to != *format!("v{}", store.order) {
            return Err(format!("order {}, expected v{}", rollout.order.to, store.order));
        }
        if rollout.is_unsaved() {
            return Err("the store lacks the decision".to_owned());
        }
        let row = store.rows.get(&(Topic::Decisions, key(ORDER_KEY)));
        let stored = row.and_then(|(_, content)| content.as_ref());
        let Some(decision) = &rollout.decision else { return Ok(()) };
        match stored {
            Some(RowContent::Decision(found)) if found.phase == decision.phase => Ok(()),
            found => Err(format!("phase {}, the store has {found:?}", decision.phase)),
        }
    }
}
