//! The control cache under late, stale and missing changes.

use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::control_cache::{ControlCache, ControlEvent, EXPIRY_GRACE};
use oleander_gateway::control_port::{Topic, TopicChange, TopicRow, TopicValue};
use oleander_gateway::rollout_plan::{RolloutDecision, RolloutOrder, RolloutPhase, VersionRule};
use oleander_gateway::routes::RouteTable;
use oleander_gateway::upstream_entry::{UpstreamEntry, UpstreamState};
use std::sync::Arc;
use std::time::Duration;

const START: Timestamp = Timestamp::from_millis(10_000);

fn upstream(name: &str, port: u16, state: UpstreamState) -> TopicValue {
    TopicValue::Upstream(Arc::new(UpstreamEntry {
        name: name.parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: ([10, 0, 0, 1], port).into(),
        domain: "puget-a".parse().unwrap(),
        version: Arc::from("v1"),
        slots: 6,
        state,
        started_ms: 1,
        cold_left: std::time::Duration::ZERO,
    }))
}

fn row(key: &str, version: u64, value: TopicValue) -> TopicRow {
    TopicRow { key: Arc::from(key), version, value }
}

fn revision(version: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(0), version)
}

fn change(is_full: bool, cursor: u64, rows: Vec<TopicRow>) -> TopicChange {
    let (cursor, store_now) = (revision(cursor), Timestamp::from_millis(500));
    TopicChange { is_full, cursor, waited: Duration::ZERO, store_now, rows }
}

fn routes(version: u64) -> TopicValue {
    TopicValue::Routes(Arc::new(RouteTable::new(version)))
}

fn names(cache: &ControlCache) -> Vec<String> {
    let snapshot = cache.snapshot();
    let all = snapshot.upstreams.values().flatten();
    all.map(|entry| entry.name.to_string()).collect()
}

fn ready_cache() -> ControlCache {
    let mut cache = ControlCache::new();
    let rows = vec![
        row("i-1", 1, upstream("i-1", 1, UpstreamState::Ready)),
        row("i-2", 2, upstream("i-2", 2, UpstreamState::Ready)),
    ];
    cache.apply(Topic::Upstreams, &change(true, 3, rows), START);
    cache
}

#[test]
fn snapshot_is_complete_once_every_topic_was_read() {
    let mut cache = ready_cache();
    assert!(!cache.snapshot().complete);
    cache.apply(Topic::Orders, &change(true, 3, vec![row("config", 3, routes(7))]), START);
    assert!(!cache.snapshot().complete);
    cache.apply(Topic::Decisions, &change(true, 3, vec![]), START);
    assert!(cache.snapshot().complete);
}

/// The configuration version never decreases, in whatever order answers arrive.
#[test]
fn the_configuration_never_goes_back() {
    for seed in 0..300u64 {
        let mut cache = ControlCache::new();
        let mut highest = 0;
        for step in 0..60u64 {
            let word = mix(seed * 1_000 + step);
            let version = 1 + (unit_point(word) * 40.0) as u64;
            let stale = mix(word).is_multiple_of(4);
            let cursor = if stale { version / 2 } else { version };
            // Versions of the configuration need not follow those of its row.
            let table = if mix(word ^ 9).is_multiple_of(5) { version / 3 } else { version };
            let is_full = mix(word ^ 5).is_multiple_of(3);
            let rows = vec![row("config", version, routes(table))];
            cache.apply(Topic::Orders, &change(is_full, cursor, rows), START);
            let now = cache.snapshot().routes.map_or(0, |table| table.version());
            assert!(now >= highest, "seed {seed} step {step}: {now} after {highest}");
            highest = now;
        }
    }
}

#[test]
fn an_unreadable_configuration_leaves_the_last_one_in_force() {
    let mut cache = ControlCache::new();
    cache.apply(Topic::Orders, &change(true, 1, vec![row("config", 1, routes(7))]), START);
    let odd = row("config", 2, TopicValue::Unreadable("no configuration".into()));
    let events = cache.apply(Topic::Orders, &change(false, 2, vec![odd]), START);
    assert!(matches!(events[0], ControlEvent::Skipped(..)));
    assert_eq!(cache.snapshot().routes.unwrap().version(), 7);
}

#[test]
fn a_draining_upstream_takes_no_work_and_a_stale_answer_does_not_bring_it_back() {
    let mut cache = ready_cache();
    let rows = vec![row("i-1", 4, upstream("i-1", 1, UpstreamState::Draining))];
    cache.apply(Topic::Upstreams, &change(false, 4, rows), START);
    assert_eq!(names(&cache), ["i-2"]);
    let stale = vec![row("i-1", 1, upstream("i-1", 1, UpstreamState::Ready))];
    let events = cache.apply(Topic::Upstreams, &change(true, 3, stale.clone()), START);
    assert_eq!(events, [ControlEvent::Stale(Topic::Upstreams)]);
    cache.apply(Topic::Upstreams, &change(false, 5, stale), START);
    assert_eq!(names(&cache), ["i-2"]);
}

#[test]
fn an_upstream_missing_in_a_full_read_is_removed() {
    let mut cache = ready_cache();
    let rows = vec![row("i-2", 2, upstream("i-2", 2, UpstreamState::Ready))];
    cache.apply(Topic::Upstreams, &change(true, 9, rows), START);
    assert_eq!(names(&cache), ["i-2"]);
}

#[test]
fn entries_that_expired_while_the_store_was_unavailable_get_a_grace_period() {
    let mut cache = ready_cache();
    cache.mark_unavailable(Topic::Upstreams);
    let back = START + Duration::from_secs(10);
    let rows = vec![row("i-1", 8, TopicValue::Removed), row("i-2", 9, TopicValue::Removed)];
    cache.apply(Topic::Upstreams, &change(false, 9, rows), back);
    assert_eq!(names(&cache), ["i-1", "i-2"], "both may still be alive");
    let rows = vec![row("i-2", 10, upstream("i-2", 2, UpstreamState::Ready))];
    cache.apply(Topic::Upstreams, &change(false, 10, rows), back + Duration::from_millis(900));
    assert!(cache.expire(back + (EXPIRY_GRACE - Duration::from_millis(1))).is_empty());
    assert_eq!(cache.expire(back + EXPIRY_GRACE).len(), 1);
    assert_eq!(names(&cache), ["i-2"]);
}

#[test]
fn a_draining_upstream_gets_no_grace_period() {
    let mut cache = ready_cache();
    let rows = vec![row("i-1", 4, upstream("i-1", 1, UpstreamState::Draining))];
    cache.apply(Topic::Upstreams, &change(false, 4, rows), START);
    cache.mark_unavailable(Topic::Upstreams);
    let rows = vec![row("i-1", 8, TopicValue::Removed)];
    cache.apply(Topic::Upstreams, &change(false, 8, rows), START + Duration::from_secs(9));
    assert_eq!(names(&cache), ["i-2"]);
}

#[test]
fn an_address_belongs_to_the_newest_entry() {
    let mut cache = ready_cache();
    let rows = vec![row("i-3", 5, upstream("i-3", 1, UpstreamState::Ready))];
    cache.apply(Topic::Upstreams, &change(false, 5, rows), START);
    assert_eq!(names(&cache), ["i-3", "i-2"]);
}

fn order(version: u64, to: &str) -> TopicRow {
    let order = RolloutOrder {
        service: "desk".parse().unwrap(),
        to: to.into(),
        duration: Duration::from_secs(24),
        revision: revision(version),
    };
    row("rollout/desk", version, TopicValue::Rollout(order))
}

fn decision(version: u64, of: u64, phase: RolloutPhase) -> TopicRow {
    let decision = RolloutDecision {
        service: "desk".parse().unwrap(),
        to: "v2".into(),
        order: revision(of),
        phase,
        began: START,
        moved: None,
        canary: 80,
        withdrawn: Vec::new(),
    };
    row("rollout/desk", version, TopicValue::Decision(decision))
}

#[test]
fn a_decision_on_an_earlier_order_does_not_apply_to_the_next() {
    let mut cache = ready_cache();
    let service = "desk".parse().unwrap();
    cache.apply(Topic::Orders, &change(true, 10, vec![order(10, "v2")]), START);
    cache.apply(
        Topic::Decisions,
        &change(true, 12, vec![decision(12, 10, RolloutPhase::Done)]),
        START,
    );
    let rule = cache.snapshot().version_rule(&service, "session", None, START);
    assert_eq!(rule, VersionRule::Prefer("v2".into()));
    assert!(!cache.snapshot().has_open_rollout());
    cache.apply(Topic::Orders, &change(false, 20, vec![order(20, "v3")]), START);
    let snapshot = cache.snapshot();
    assert_eq!(
        snapshot.version_rule(&service, "session", None, START),
        VersionRule::Not("v3".into())
    );
    assert!(snapshot.has_open_rollout());
    assert_eq!(snapshot.rollouts[&service].decision_row, revision(12), "the row to overwrite");
}

#[test]
fn running_sessions_keep_their_version_in_a_canary() {
    let mut cache = ready_cache();
    let service = "desk".parse().unwrap();
    cache.apply(Topic::Orders, &change(true, 10, vec![order(10, "v2")]), START);
    let rows = vec![decision(12, 10, RolloutPhase::Canary)];
    cache.apply(Topic::Decisions, &change(true, 12, rows), START);
    let snapshot = cache.snapshot();
    let canary = VersionRule::Canary { to: "v2".into(), share: 80, period: 0 };
    let mut new = 0;
    for number in 0..1_000 {
        let session = format!("session-{number}");
        let drawn = snapshot.version_rule(&service, &session, None, START);
        new += usize::from(drawn == canary);
        let old = snapshot.version_rule(&service, &session, Some("v1"), START);
        assert_eq!(old, VersionRule::Not("v2".into()));
        let kept = snapshot.version_rule(&service, &session, Some("v2"), START);
        assert_eq!(kept, canary);
    }
    assert!((50..=110).contains(&new), "{new} of 1000 for a share of 80");
}

/// A starting process knows everything up to its first full read, including rows that were removed
/// before. A host that saw those rows removed must not appear to know more.
#[test]
fn a_full_read_covers_rows_that_were_removed_before() {
    let mut old = ready_cache();
    old.apply(
        Topic::Upstreams,
        &change(false, 40, vec![row("i-1", 40, TopicValue::Removed)]),
        START,
    );
    let mut fresh = ControlCache::new();
    let rows = vec![row("i-2", 2, upstream("i-2", 2, UpstreamState::Ready))];
    fresh.apply(Topic::Upstreams, &change(true, 41, rows), START);
    let known = old.snapshot().revisions[&Topic::Upstreams];
    assert_eq!(known, revision(40));
    assert!(fresh.snapshot().revisions[&Topic::Upstreams] < known);
    assert!(fresh.snapshot().cursors[&Topic::Upstreams] >= known);
}

/// The decision on the next order arrives before that order. Until then the version that the last
/// rollout brought stays in use, and this host writes no decision.
#[test]
fn a_decision_on_an_unknown_order_leaves_the_last_one_in_force() {
    let mut cache = ready_cache();
    let service = "desk".parse().unwrap();
    cache.apply(Topic::Orders, &change(true, 10, vec![order(10, "v2")]), START);
    let done = decision(12, 10, RolloutPhase::Done);
    cache.apply(Topic::Decisions, &change(true, 12, vec![done]), START);
    let mut next = decision(21, 20, RolloutPhase::Canary);
    if let TopicValue::Decision(decision) = &mut next.value {
        decision.to = "v3".into();
    }
    cache.apply(Topic::Decisions, &change(false, 21, vec![next]), START);
    let rule = cache.snapshot().version_rule(&service, "session", Some("v2"), START);
    assert_eq!(rule, VersionRule::Prefer("v2".into()));
    assert!(cache.snapshot().rollouts[&service].is_superseded);
    cache.apply(Topic::Orders, &change(false, 22, vec![order(20, "v3")]), START);
    let snapshot = cache.snapshot();
    assert_eq!(
        snapshot.version_rule(&service, "session", Some("v2"), START),
        VersionRule::Not("v3".into())
    );
    assert!(!snapshot.rollouts[&service].is_superseded);
}
