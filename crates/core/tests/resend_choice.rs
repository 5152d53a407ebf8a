//! Late attempts, by the load that makes them late.

use oleander_core::resend_choice::{PendingAttempt, ReportedWait, ResendCandidate, ResendChoice};
use oleander_core::stable_hash::{mix, unit_point};
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(500);
const HOSTS: u64 = 1_000;

/// An upstream that kept requests waiting, by a report of some weight.
fn upstream(wait_ms: u64, weight: f64) -> ResendCandidate {
    let wait = Duration::from_millis(wait_ms);
    // What a host expects decays with the age of the report, as in `UpstreamHandle::view`.
    let reported = Some(ReportedWait { wait, weight });
    ResendCandidate { wait: wait.mul_f64(weight), reported, is_free: true }
}

fn late_by(reported_ms: Option<u64>) -> PendingAttempt {
    PendingAttempt {
        waited: Duration::from_millis(1_200),
        reported: reported_ms.map(Duration::from_millis),
        time_left: Duration::from_secs(8),
    }
}

/// Share of hosts that abandon the attempt, each with its own draw.
fn leaving_share(candidates: &[ResendCandidate], pending: &PendingAttempt) -> f64 {
    let choice = ResendChoice::new(LIMIT, candidates.to_vec());
    let left = (0..HOSTS).filter(|host| choice.pays(pending, unit_point(mix(*host))));
    left.count() as f64 / HOSTS as f64
}

/// Guards against attempts that stay at the one slow upstream while others are idle, with and without
/// reports, and with reports from before the slowness.
#[yare::parameterized(
    reported = { upstream(40, 1.0) },
    outdated = { upstream(40, 0.05) },
    without_reports = { ResendCandidate { reported: None, ..upstream(40, 1.0) } },
)]
fn a_single_slow_upstream_among_idle_ones_is_left(idle: ResendCandidate) {
    let idle = vec![idle; 11];
    assert_eq!(leaving_share(&idle, &late_by(None)), 1.0);
    assert_eq!(leaving_share(&idle, &late_by(Some(3_000))), 1.0, "others wait there even longer");
}

/// Guards against a burst of 2.5 times in which all hosts send their late attempts once more: 40 of 60
/// upstreams are late, and the idle ones are known to all hosts.
#[test]
fn attempts_stay_where_most_upstreams_are_late() {
    let mut candidates = vec![upstream(1_400, 0.8); 40];
    candidates.extend(vec![upstream(40, 0.8); 20]);
    assert_eq!(leaving_share(&candidates, &late_by(None)), 0.0);
}

/// Guards against an upstream that counts as idle since its report is too old to say that it is not.
#[test]
fn outdated_reports_do_not_hide_an_overload() {
    let mut candidates = vec![upstream(1_400, 0.9); 5];
    candidates.extend(vec![upstream(1_400, 0.02); 55]);
    assert_eq!(leaving_share(&candidates, &late_by(None)), 0.0);
    candidates.iter_mut().skip(5).for_each(|candidate| candidate.reported = None);
    assert_eq!(leaving_share(&candidates, &late_by(None)), 0.0);
}

/// Guards against hosts with the same reports that all leave, or all stay, at once: the share that
/// leaves falls as more upstreams are late.
#[test]
fn hosts_with_the_same_reports_leave_in_proportion() {
    let shares: Vec<f64> = (0..=30)
        .step_by(5)
        .map(|late| {
            let mut candidates = vec![upstream(1_400, 1.0); late];
            candidates.extend(vec![upstream(40, 1.0); 60 - late]);
            leaving_share(&candidates, &late_by(None))
        })
        .collect();
    assert_eq!((shares[0], shares[6]), (1.0, 0.0));
    assert!(shares.windows(2).all(|pair| (0.1..0.24).contains(&(pair[0] - pair[1]))), "{shares:?}");
}

/// Guards against an attempt that gives up its place in a queue that moves: its upstream answers others
/// after 1.3 s, so it is next, and elsewhere it would wait for 0.4 s.
#[test]
fn the_time_already_waited_counts_where_the_queue_moves() {
    let others = vec![upstream(400, 1.0); 11];
    assert_eq!(leaving_share(&others, &late_by(Some(1_300))), 0.0);
    assert_eq!(leaving_share(&others, &late_by(Some(100))), 1.0, "it is lost in the queue");
}

/// Guards against a switch to an upstream that has no room or cannot answer in time.
#[test]
fn an_upstream_without_room_or_time_is_no_way_out() {
    let full = ResendCandidate { is_free: false, ..upstream(40, 1.0) };
    assert_eq!(leaving_share(&[full; 3], &late_by(None)), 0.0);
    assert_eq!(leaving_share(&[], &late_by(None)), 0.0);
    let hurried = PendingAttempt { time_left: Duration::from_millis(30), ..late_by(None) };
    assert_eq!(leaving_share(&[upstream(40, 1.0); 3], &hurried), 0.0);
}
