//! Versions that were taken back, or whose order was replaced, while their upstreams are listed.

use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::control_cache::ControlCache;
use oleander_gateway::control_port::{Topic, TopicChange, TopicRow, TopicValue};
use oleander_gateway::rollout_plan::{RolloutDecision, RolloutOrder, RolloutPhase};
use oleander_gateway::upstream_entry::{UpstreamEntry, UpstreamState};
use std::sync::Arc;
use std::time::Duration;

const START: Timestamp = Timestamp::from_millis(10_000);

fn revision(version: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(0), version)
}

fn upstream(version: &str, row_version: u64) -> TopicRow {
    let name = format!("i-{version}");
    let entry = UpstreamEntry {
        name: name.parse().unwrap(),
        service: "writer".parse().unwrap(),
        address: ([10, 0, 0, 1], row_version as u16).into(),
        domain: "north-a".parse().unwrap(),
        version: version.into(),
        slots: 6,
        state: UpstreamState::Ready,
        started_ms: 1,
        cold_left: std::time::Duration::ZERO,
    };
    TopicRow { key: name.into(), version: row_version, value: TopicValue::Upstream(entry.into()) }
}

fn order(to: &str, version: u64) -> TopicRow {
    let order = RolloutOrder {
        service: "writer".parse().unwrap(),
        to: to.into(),
        duration: Duration::from_secs(24),
        revision: revision(version),
    };
    TopicRow { key: "rollout/writer".into(), version, value: TopicValue::Rollout(order) }
}

fn decision(to: &str, of: u64, phase: RolloutPhase, withdrawn: &[&str], version: u64) -> TopicRow {
    let decision = RolloutDecision {
        service: "writer".parse().unwrap(),
        to: to.into(),
        order: revision(of),
        phase,
        began: START,
        moved: None,
        canary: 60,
        withdrawn: withdrawn.iter().map(|version| Arc::from(*version)).collect(),
    };
    TopicRow { key: "rollout/writer".into(), version, value: TopicValue::Decision(decision) }
}

/// A host before upstreams of three versions.
struct Host(ControlCache);

impl Host {
    fn new(versions: &[&str]) -> Self {
        let mut host = Self(ControlCache::new());
        let rows = versions.iter().zip(1..).map(|(version, row)| upstream(version, row)).collect();
        host.apply(Topic::Upstreams, rows, true);
        host
    }

    fn apply(&mut self, topic: Topic, rows: Vec<TopicRow>, is_full: bool) {
        let cursor = rows.iter().map(|row| row.version).max().unwrap_or_default().max(3);
        let change = TopicChange {
            is_full,
            cursor: revision(cursor),
            waited: Duration::ZERO,
            store_now: START,
            rows,
        };
        self.0.apply(topic, &change, START);
    }

    fn order(&mut self, to: &str, version: u64) {
        self.apply(Topic::Orders, vec![order(to, version)], false);
    }

    fn decide(&mut self, row: TopicRow) {
        self.apply(Topic::Decisions, vec![row], false);
    }

    /// Versions that a request may get, and those that a session outside the canary may get.
    fn usable(&self) -> (Vec<String>, Vec<String>) {
        let snapshot = self.0.snapshot();
        let service = "writer".parse().unwrap();
        let rule = snapshot.version_rule(&service, "session", Some("v1"), START);
        let entries = snapshot.upstreams.get(&service).into_iter().flatten();
        let listed: Vec<String> = entries.map(|entry| entry.version.to_string()).collect();
        let permitted = listed.iter().filter(|version| rule.permits(version)).cloned().collect();
        (listed, permitted)
    }
}

fn texts(versions: &[&str]) -> Vec<String> {
    versions.iter().map(|version| (*version).to_owned()).collect()
}

/// Guards against a bad version that gets requests again when the next version is ordered, since
/// the rules of the new order only name the new version.
#[test]
fn a_version_taken_back_stays_out_when_another_is_ordered() {
    let mut host = Host::new(&["v1", "v2", "v3"]);
    host.order("v2", 10);
    host.decide(decision("v2", 10, RolloutPhase::Canary, &[], 11));
    host.decide(decision("v2", 10, RolloutPhase::Reverted, &[], 12));
    host.order("v3", 20);
    assert_eq!(host.usable(), (texts(&["v1", "v3"]), texts(&["v1"])));
    assert_eq!(host.0.snapshot().rollouts.values().next().unwrap().withdrawn, ["v2".into()]);
    host.decide(decision("v3", 20, RolloutPhase::Canary, &["v2"], 21));
    assert_eq!(host.usable(), (texts(&["v1", "v3"]), texts(&["v1"])));
    host.decide(decision("v3", 20, RolloutPhase::Done, &["v2"], 22));
    assert_eq!(host.usable().0, texts(&["v1", "v3"]));
}

/// Guards against a host that starts after the next version was ordered and uses the bad one.
#[test]
fn a_host_that_starts_later_knows_versions_taken_back() {
    for (row, name) in [
        (decision("v2", 10, RolloutPhase::Reverted, &[], 12), "not decided yet"),
        (decision("v3", 20, RolloutPhase::Canary, &["v2"], 21), "canary of the next one"),
    ] {
        let mut host = Host::new(&["v1", "v2", "v3"]);
        host.apply(Topic::Orders, vec![order("v3", 20)], true);
        host.apply(Topic::Decisions, vec![row], true);
        assert_eq!(host.usable(), (texts(&["v1", "v3"]), texts(&["v1"])), "{name}");
    }
}

/// Guards against a version that was never judged and gets all work when its order is replaced.
#[yare::parameterized(
    in_its_canary = { true },
    before_its_canary = { false },
)]
fn a_version_whose_order_was_replaced_gets_no_requests(has_canary: bool) {
    let mut host = Host::new(&["v1", "v2", "v3"]);
    host.order("v2", 10);
    if has_canary {
        host.decide(decision("v2", 10, RolloutPhase::Canary, &[], 11));
    }
    host.order("v3", 20);
    assert_eq!(host.usable(), (texts(&["v1", "v3"]), texts(&["v1"])));
}

/// Guards against a host that leaves a version whose completion it has not heard of: upstreams of
/// the version before may be gone.
#[test]
fn a_version_that_may_have_come_into_use_keeps_requests() {
    for phase in [RolloutPhase::Canary, RolloutPhase::Moving, RolloutPhase::Done] {
        let mut host = Host::new(&["v2", "v3"]);
        host.order("v2", 10);
        host.decide(decision("v2", 10, phase, &[], 11));
        host.order("v3", 20);
        assert_eq!(host.usable(), (texts(&["v2", "v3"]), texts(&["v2"])), "{phase}");
    }
}

/// Guards against a version that operators order again and that gets no canary.
#[test]
fn a_version_that_is_ordered_again_may_be_used() {
    let mut host = Host::new(&["v1", "v2"]);
    host.order("v2", 10);
    host.decide(decision("v2", 10, RolloutPhase::Reverted, &[], 12));
    host.order("v3", 20);
    host.decide(decision("v3", 20, RolloutPhase::Reverted, &["v2"], 21));
    host.order("v2", 30);
    assert_eq!(host.usable(), (texts(&["v1", "v2"]), texts(&["v1"])));
    let snapshot = host.0.snapshot();
    assert_eq!(snapshot.rollouts.values().next().unwrap().withdrawn, ["v3".into()]);
}

/// Guards against a bad version that gets requests once its order is removed.
#[test]
fn a_version_taken_back_stays_out_without_its_order() {
    let mut host = Host::new(&["v1", "v2"]);
    host.order("v2", 10);
    host.decide(decision("v2", 10, RolloutPhase::Reverted, &[], 12));
    let removed =
        TopicRow { key: "rollout/writer".into(), version: 13, value: TopicValue::Removed };
    host.apply(Topic::Orders, vec![removed], false);
    assert_eq!(host.usable().0, texts(&["v1"]));
}
