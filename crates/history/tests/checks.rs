//! Every check passes a correct run, and each fault fails exactly the check for it.

use oleander_core::ids::{AttemptId, Incarnation, RequestId, Revision};
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::{Money, Timestamp};
use oleander_history::{CheckName, History, HistoryRecorder, SeenEvent, check_history};
use std::sync::Arc;
use yare::parameterized;

fn seconds(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn request(number: u128) -> RequestId {
    RequestId::new(seconds(0), number)
}

fn published(revision: u64, versions: &[&str], withdrawn: &[&str]) -> SeenEvent {
    let allowed = versions.iter().map(|version| version.parse().unwrap()).collect();
    SeenEvent::Published {
        revision: Revision::new(revision),
        allowed: [("north-van".parse().unwrap(), allowed)].into(),
        withdrawn: withdrawn.iter().map(|version| version.parse().unwrap()).collect(),
    }
}

fn admitted(number: u128) -> SeenEvent {
    SeenEvent::Admitted {
        host: "host-1".parse().unwrap(),
        account: "north-van".parse().unwrap(),
        request: request(number),
        key: Some("order-7".parse().unwrap()),
        session: None,
    }
}

fn started(number: u128, version: &str, incarnation: u64) -> SeenEvent {
    SeenEvent::AttemptStarted {
        upstream: "runner-1".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        attempt: AttemptId { request: request(number), number: 0 },
        version: Some(version.parse().unwrap()),
    }
}

fn ended(number: u128, answer: &str) -> SeenEvent {
    SeenEvent::AttemptEnded {
        upstream: "runner-1".parse().unwrap(),
        attempt: AttemptId { request: request(number), number: 0 },
        answer: Arc::from(answer),
    }
}

fn answered(number: u128, version: &str, answer: &str) -> SeenEvent {
    SeenEvent::Answered {
        account: "north-van".parse().unwrap(),
        request: request(number),
        version: Some(version.parse().unwrap()),
        session: Some("route-plan".parse().unwrap()),
        key: None,
        answer: Arc::from(answer),
        expected: None,
        repeat: false,
    }
}

fn billed(account: &str, number: u128) -> SeenEvent {
    SeenEvent::Billed {
        account: account.parse().unwrap(),
        request: request(number),
        billed: Money::from_micros(700),
    }
}

fn refused(number: u128) -> SeenEvent {
    SeenEvent::Refused {
        account: Some("north-van".parse().unwrap()),
        request: Some(request(number)),
        key: None,
        reason: Reason::Overloaded,
        run: RunState::NotRun,
    }
}

fn ran(number: u128) -> SeenEvent {
    SeenEvent::OperationRan {
        upstream: "desk-1".parse().unwrap(),
        attempt: AttemptId { request: request(number), number: 0 },
        operation: Arc::from("commissary/order"),
        key: Some("order-7".parse().unwrap()),
    }
}

fn host_up() -> SeenEvent {
    SeenEvent::HostUp { host: "host-1".parse().unwrap() }
}

fn in_force(revision: u64) -> SeenEvent {
    SeenEvent::InForce { host: "host-1".parse().unwrap(), revision: Revision::new(revision) }
}

fn leaving() -> SeenEvent {
    let upstream = "runner-1".parse().unwrap();
    SeenEvent::UpstreamLeaving { upstream, incarnation: Incarnation::new(1) }
}

fn shutdown() -> SeenEvent {
    SeenEvent::ShutdownBegan { host: "host-1".parse().unwrap() }
}

/// A run without violations, with events for every check.
fn correct_run() -> Vec<(u64, SeenEvent)> {
    vec![
        (1, host_up()),
        (1, published(1, &["small-3", "large-1"], &[])),
        (2, in_force(1)),
        (10, admitted(1)),
        (10, started(1, "small-3", 1)),
        (11, ended(1, "plan")),
        (11, answered(1, "small-3", "plan")),
        (12, admitted(2)),
        (12, refused(2)),
        (13, admitted(3)),
        (13, ran(3)),
        (20, published(2, &["small-3", "large-1"], &["large-1"])),
        (21, in_force(2)),
        (22, leaving()),
        (30, shutdown()),
        (90, billed("north-van", 1)),
        (90, SeenEvent::BillingRead),
    ]
}

fn check(events: Vec<(u64, SeenEvent)>) -> Vec<(CheckName, usize, usize)> {
    let recorder = HistoryRecorder::in_memory();
    for (at, seen) in events {
        recorder.record(seconds(at), "test", seen);
    }
    let reports = check_history(&recorder.history());
    reports.iter().map(|r| (r.check, r.events, r.violations.len())).collect()
}

#[test]
fn correct_run_passes_every_check_and_each_examines_events() {
    for (check, events, violations) in check(correct_run()) {
        assert_eq!(violations, 0, "{check}");
        assert!(events > 0, "{check} examined no events");
    }
}

#[parameterized(
    version_not_allowed = { CheckName::AllowedVersion, &[(10, started(1, "huge-9", 1))] },
    attempt_of_unknown_request = { CheckName::AllowedVersion, &[(10, started(77, "small-3", 1))] },
    withdrawn_version_receives_work = {
        CheckName::WithdrawnVersion, &[(25, started(1, "large-1", 2))]
    },
    session_changes_version = {
        CheckName::SessionVersion,
        &[(12, admitted(5)), (13, answered(5, "large-1", "more")), (13, ended(5, "more")),
          (90, billed("north-van", 5))]
    },
    billed_twice = { CheckName::BilledOnce, &[(91, billed("north-van", 1))] },
    billed_to_another_account = {
        CheckName::BilledOnce, &[(13, admitted(4)), (91, billed("south-van", 4))]
    },
    unknown_request_is_billed = { CheckName::BilledOnce, &[(91, billed("north-van", 66))] },
    answered_and_not_billed = {
        CheckName::BilledOnce, &[(12, ended(6, "x")), (13, answered(6, "small-3", "x"))]
    },
    not_run_is_billed = { CheckName::BilledOnce, &[(91, billed("north-van", 2))] },
    truncated_answer = {
        CheckName::WholeAnswer,
        &[(12, ended(6, "whole")), (13, answered(6, "small-3", "who")),
          (90, billed("north-van", 6))]
    },
    answer_of_another_request = {
        CheckName::WholeAnswer,
        &[(12, ended(6, "mine")), (13, answered(6, "small-3", "plan")),
          (90, billed("north-van", 6))]
    },
    refused_and_ran = { CheckName::TrueRefusal, &[(13, started(2, "small-3", 1))] },
    operation_runs_twice = { CheckName::AtMostOnce, &[(14, admitted(8)), (15, ran(8))] },
    leaving_upstream_receives_work = {
        CheckName::LeavingUpstream, &[(28, started(1, "small-3", 1))]
    },
    shutdown_truncates_answer = {
        CheckName::GracefulShutdown,
        &[(31, SeenEvent::Cut { host: None, request: Some(request(1)) })]
    },
    revision_reverts = { CheckName::InForce, &[(24, in_force(1))] },
    revision_late = {
        CheckName::InForce, &[(40, published(3, &["small-3", "large-1"], &["large-1"]))]
    },
    revision_reused = {
        CheckName::InForce, &[(22, published(2, &["small-3", "large-1"], &["large-1"]))]
    },
)]
fn fault_fails_exactly_its_own_check(check_name: CheckName, fault: &[(u64, SeenEvent)]) {
    let mut events = correct_run();
    events.extend_from_slice(fault);
    let failed: Vec<CheckName> =
        check(events).into_iter().filter(|found| found.2 > 0).map(|found| found.0).collect();
    assert_eq!(failed, [check_name]);
}

#[test]
fn events_round_trip_through_json_lines() {
    let recorder = HistoryRecorder::in_memory();
    for (at, seen) in correct_run() {
        recorder.record(seconds(at), "test", seen);
    }
    let history = recorder.history();
    let lines: Vec<String> =
        history.events.iter().map(|event| serde_json::to_string(event).unwrap()).collect();
    let parsed = History::parse(&[(Arc::from("run"), lines.join("\n"))]).unwrap();
    assert_eq!(parsed.events, history.events);
}

#[test]
fn every_malformed_line_is_reported() {
    let text = "{}\n\nnot json\n".to_owned();
    let errors = History::parse(&[(Arc::from("run"), text)]).unwrap_err();
    assert_eq!(errors.iter().map(|error| error.line).collect::<Vec<_>>(), [1, 3]);
}
