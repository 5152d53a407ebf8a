//! Which slow answers count against a version when its upstream is silent once, and when it is slow.

use oleander_core::silence_excuse::SilenceExcuse;
use oleander_core::units::Timestamp;
use std::time::Duration;

/// Time of an answer from which it counts as slow.
const SLOW: Duration = Duration::from_millis(60);

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Number of answers that count as slow, of requests given by when they were sent and answered.
fn slow_answers(excuse: &mut SilenceExcuse, requests: &[(u64, u64)]) -> usize {
    let mut requests = requests.to_vec();
    requests.sort_by_key(|(_, answered)| *answered);
    let time_of = |(sent, answered): (u64, u64)| {
        let excused = excuse.record_answer(at(sent), at(answered));
        at(answered).since(at(sent)).saturating_sub(excused)
    };
    requests.into_iter().map(time_of).filter(|time| *time > SLOW).count()
}

/// Guards against versions that are blamed for each of the requests that one silence delays.
#[yare::parameterized(
    few = { 3, 400 },
    many = { 40, 30 },
    sent_late = { 8, 150 },
)]
fn a_silence_counts_once(count: u64, gap: u64) {
    let mut excuse = SilenceExcuse::default();
    assert_eq!(
        slow_answers(&mut excuse, &[(9_900, 10_000)]),
        1,
        "the first answer was slow itself"
    );
    let waiting: Vec<(u64, u64)> =
        (0..count).map(|number| (10_000 + number * gap, 11_400 + number)).collect();
    assert_eq!(slow_answers(&mut excuse, &waiting), 1);
    let after: Vec<(u64, u64)> = (0..20).map(|number| (12_000 + number, 12_010 + number)).collect();
    assert_eq!(slow_answers(&mut excuse, &after), 0);
}

/// Guards against timeouts that each count, although all of them are of one silence.
#[test]
fn timeouts_of_a_silence_count_once() {
    let mut excuse = SilenceExcuse::default();
    excuse.record_answer(at(990), at(1_000));
    let counted = (1_240..2_300).step_by(40).filter(|now| excuse.record_timeout(at(*now))).count();
    assert_eq!(counted, 1);
    assert_eq!(slow_answers(&mut excuse, &[(2_200, 2_320), (2_250, 2_325)]), 0);
}

/// Guards against slow versions that pass for silent ones.
#[yare::parameterized(
    one_at_a_time = { 1 },
    three_at_a_time = { 3 },
    ten_at_a_time = { 10 },
)]
fn a_slow_version_is_found(width: u64) {
    let mut excuse = SilenceExcuse::default();
    let rounds = 0..12;
    let requests: Vec<(u64, u64)> = rounds
        .flat_map(|round| (0..width).map(move |index| (round, index)))
        .map(|(round, index)| (1_000 + round * 1_000, 1_990 + round * 1_000 + index % 3))
        .collect();
    let counted = slow_answers(&mut excuse, &requests);
    assert!(counted + width as usize > requests.len(), "{counted} of {}", requests.len());
}

/// Guards against upstreams that never answer and pass for silent ones, and against silences that come
/// again and again.
#[test]
fn long_and_frequent_silences_count() {
    let mut excuse = SilenceExcuse::default();
    excuse.record_answer(at(990), at(1_000));
    let timeouts = (1_240..8_000).step_by(100);
    let counted = timeouts.clone().filter(|now| excuse.record_timeout(at(*now))).count();
    assert!(counted * 2 > timeouts.count(), "{counted} timeouts counted");
    let mut excuse = SilenceExcuse::default();
    excuse.record_answer(at(990), at(1_000));
    let mut counted = Vec::new();
    for silence in 0..4 {
        let began = 1_000 + silence * 3_000;
        let waiting: Vec<(u64, u64)> =
            (0..5).map(|number| (began + number, began + 1_200 + number)).collect();
        counted.push(slow_answers(&mut excuse, &waiting));
    }
    assert_eq!(counted, [1, 5, 5, 5]);
}

/// Guards against an idle upstream that passes for a silent one, so that a real silence is not excused.
#[test]
fn an_idle_upstream_is_not_silent() {
    let mut excuse = SilenceExcuse::default();
    for round in 0..6 {
        let sent = 1_000 + round * 2_000;
        assert_eq!(slow_answers(&mut excuse, &[(sent, sent + 20)]), 0);
    }
    let waiting: Vec<(u64, u64)> =
        (0..5).map(|number| (13_000 + number, 14_100 + number)).collect();
    assert_eq!(slow_answers(&mut excuse, &waiting), 1);
}
