//! Choice among machines of different speed, without a network.

use oleander_core::ids::UpstreamName;
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::{Millis, Money, Timestamp, TokenCount};
use oleander_core::upstream_choice::{
    AttemptWork, BATCH_SLOWDOWN, ReportedLoad, UpstreamRule, UpstreamView, choose_upstream,
};
use oleander_core::upstream_pace::{PaceFactor, UpstreamPace};
use std::collections::VecDeque;
use std::time::Duration;

const UPSTREAMS: usize = 60;
const CHOOSERS: usize = 75;
const SLOTS: u32 = 24;
const TICK_MS: u64 = 10;
const REPORT_MS: u64 = 100;

fn view(number: usize) -> UpstreamView {
    UpstreamView::new(UpstreamName::new(&format!("i-{number}")).unwrap(), SLOTS)
}

fn work() -> AttemptWork {
    AttemptWork {
        prompt: TokenCount::new(800),
        answer: TokenCount::new(300),
        first_token: Millis::new(200),
        token_gap: Millis::new(6),
        price_per_second: Money::from_micros(500),
    }
}

/// Time that work takes on a machine: two of three have a speed of 0.7, the third of 1.7.
fn machine(number: usize) -> f64 {
    if number.is_multiple_of(3) { 1.0 / 1.7 } else { 1.0 / 0.7 }
}

#[derive(Clone, Copy, PartialEq)]
enum Knowledge {
    /// Upstreams state no pace and nothing is measured, as before.
    Nothing,
    /// Stated paces, with noise.
    Stated,
    /// Times of answers.
    Measured,
}

/// What came of a simulated day.
struct Outcome {
    /// Share of the work that the fast third got.
    fast_share: f64,
    mean_seconds: f64,
    p95_seconds: f64,
    p99_seconds: f64,
    /// Most requests that one upstream ever had.
    most: usize,
}

/// Load: `rate` requests a second, from 75 choosers of which each has a report of each upstream that
/// is 0.1 to 1.5 s old, and the pace of that moment, which has noise 20 times a second.
fn simulate(knowledge: Knowledge, rate: u64) -> Outcome {
    let service = 2.0;
    let mut jobs: Vec<VecDeque<(f64, u64, usize)>> = vec![VecDeque::new(); UPSTREAMS];
    let mut own = vec![vec![0u32; UPSTREAMS]; CHOOSERS];
    let mut paces = vec![vec![UpstreamPace::new(); UPSTREAMS]; CHOOSERS];
    let mut history: Vec<Vec<u32>> = Vec::new();
    let (mut finished, mut sent, mut most, mut due) = (Vec::new(), [0u32; 2], 0, 0);
    for now in (0..20_000).step_by(TICK_MS as usize) {
        if now % REPORT_MS == 0 {
            history.push(jobs.iter().map(|jobs| jobs.len() as u32).collect());
        }
        let noise = |number: usize, at: u64| {
            0.7 + 0.6 * unit_point(mix(at / 50 + number as u64 * 1_000_003))
        };
        while due * 1_000 < rate * now {
            let random = mix(due ^ 0x5eed);
            let chooser = (random % CHOOSERS as u64) as usize;
            let mut views: Vec<UpstreamView> = (0..UPSTREAMS).map(view).collect();
            for (number, view) in views.iter_mut().enumerate() {
                let word = mix((chooser * UPSTREAMS + number) as u64 ^ mix(now / 400));
                let age = (1 + word % 15) * REPORT_MS;
                let at = now.saturating_sub(age);
                let running = history[(at / REPORT_MS) as usize][number];
                view.in_flight = own[chooser][number];
                view.report = Some(ReportedLoad {
                    running,
                    queued: 0,
                    own: view.in_flight.min(running),
                    age: Duration::from_millis(age),
                });
                let pace = &mut paces[chooser][number];
                if knowledge == Knowledge::Stated {
                    let percent = machine(number) * noise(number, at) * 100.0;
                    pace.record_stated(percent as u16, Timestamp::from_millis(at));
                }
                view.pace = pace.factor(Timestamp::from_millis(now));
            }
            let chosen =
                choose_upstream(UpstreamRule::ExpectedCost, &views, &work(), random).unwrap();
            jobs[chosen].push_back((service, now, chooser));
            own[chooser][chosen] += 1;
            most = most.max(jobs[chosen].len());
            sent[usize::from(chosen.is_multiple_of(3))] += u32::from(now > 5_000);
            due += 1;
        }
        for (number, jobs) in jobs.iter_mut().enumerate() {
            let full = (jobs.len() as f64 / f64::from(SLOTS)).min(1.0);
            let factor = machine(number) * noise(number, now) * (1.0 + BATCH_SLOWDOWN * full);
            let step = TICK_MS as f64 / 1_000.0 / factor;
            jobs.iter_mut().take(SLOTS as usize).for_each(|job| job.0 -= step);
            jobs.retain(|&(left, from, chooser)| {
                if left <= 0.0 {
                    own[chooser][number] -= 1;
                    if from > 5_000 {
                        finished.push((now - from) as f64 / 1_000.0);
                    }
                    if knowledge == Knowledge::Measured {
                        // Any host may have been told of the answer; a quarter is.
                        let expected = Duration::from_secs(1);
                        let measured = expected.mul_f64(machine(number));
                        for pace in paces.iter_mut().skip(chooser % 4).step_by(4) {
                            pace[number].record_measured(measured, expected, 0.5);
                        }
                    }
                }
                left > 0.0
            });
        }
    }
    finished.sort_by(f64::total_cmp);
    Outcome {
        fast_share: f64::from(sent[1]) / f64::from(sent[0] + sent[1]),
        mean_seconds: finished.iter().sum::<f64>() / finished.len() as f64,
        p95_seconds: finished[finished.len() * 95 / 100],
        p99_seconds: finished[finished.len() * 99 / 100],
        most,
    }
}

/// Guards against sharing work evenly among machines of which some take 2.4 times as long. The fast
/// third has 55 % of the capacity; answers must come sooner than by the rule that knows no pace, also
/// the late ones, and choosers with the same stale reports must not overfill the fast machines.
#[yare::parameterized(
    stated_moderate = { Knowledge::Stated, 200 },
    stated_busy = { Knowledge::Stated, 340 },
    measured_moderate = { Knowledge::Measured, 200 },
    measured_busy = { Knowledge::Measured, 340 },
)]
fn fast_machines_get_work_by_their_speed(knowledge: Knowledge, rate: u64) {
    let (before, after) = (simulate(Knowledge::Nothing, rate), simulate(knowledge, rate));
    let text = format!(
        "share {:.2} to {:.2}, mean {:.2} to {:.2} s, p95 {:.2} to {:.2} s, p99 {:.2} to {:.2} s, most {} to {}",
        before.fast_share,
        after.fast_share,
        before.mean_seconds,
        after.mean_seconds,
        before.p95_seconds,
        after.p95_seconds,
        before.p99_seconds,
        after.p99_seconds,
        before.most,
        after.most
    );
    println!("{text}");
    assert!((0.5..0.85).contains(&after.fast_share), "{text}");
    assert!(after.mean_seconds < before.mean_seconds * 0.9, "{text}");
    assert!(after.p95_seconds < before.p95_seconds, "{text}");
    assert!(after.p99_seconds < before.p99_seconds, "{text}");
}

/// Guards against following noise: a pace that varies many times a second around a slow machine's
/// value must not make it look like a fast one once the report is old.
#[test]
fn an_old_pace_is_replaced_by_the_mean() {
    let mut pace = UpstreamPace::new();
    let mut now = Timestamp::from_millis(1_000);
    for round in 0..40 {
        pace.record_stated(if round % 2 == 0 { 100 } else { 200 }, now);
        now = now + Duration::from_millis(200);
    }
    pace.record_stated(60, now);
    assert!(pace.factor(now).get() < 0.65, "{}", pace.factor(now));
    let later = pace.factor(now + Duration::from_secs(4));
    assert!((1.2..1.6).contains(&later.get()), "{later}");
}

/// Guards against a change of speed that is not followed, and against one bad measurement that
/// decides.
#[test]
fn measurements_are_weighed() {
    let (second, now) = (Duration::from_secs(1), Timestamp::from_millis(1_000));
    let mut pace = UpstreamPace::new();
    pace.record_measured(second * 4, second, 1.0);
    assert!(pace.factor(now).get() < 1.7, "{}", pace.factor(now));
    (0..60).for_each(|_| pace.record_measured(second * 2, second, 1.0));
    assert!(pace.factor(now).get() > 1.8, "{}", pace.factor(now));
    (0..60).for_each(|_| pace.record_measured(second / 2, second, 1.0));
    assert!(pace.factor(now).get() < 0.8, "{}", pace.factor(now));
}

/// Guards against counting requests only: a machine that takes 2.4 times as long is left idle while
/// one with a few requests is done sooner, and is used once that one is full.
#[yare::parameterized(
    few_requests = { 6, 1 },
    full = { 48, 0 },
)]
fn an_idle_slow_machine_waits_for_a_full_fast_one(running: u32, expected: usize) {
    let mut views = vec![view(0), view(1)];
    for (view, running) in views.iter_mut().zip([0, running]) {
        let age = Duration::from_millis(100);
        view.report = Some(ReportedLoad { running, queued: 0, own: 0, age });
    }
    let now = Timestamp::from_millis(1_000);
    for (view, percent) in views.iter_mut().zip([143, 59]) {
        let mut pace = UpstreamPace::new();
        pace.record_stated(percent, now);
        view.pace = pace.factor(now);
    }
    for random in 0..50 {
        let chosen = choose_upstream(UpstreamRule::ExpectedCost, &views, &work(), mix(random));
        assert_eq!(chosen, Some(expected));
    }
}

/// Guards against machines that are alike and are told apart by noise, which would change choices among
/// them: of 200 upstreams with 12 measurements that vary by a quarter, most count as equally fast.
#[test]
fn noise_does_not_make_machines_differ() {
    let second = Duration::from_secs(1);
    let is_usual = |number: &u64| {
        let mut pace = UpstreamPace::new();
        for n in 0..12 {
            let noise = 0.75 + 0.5 * unit_point(mix(number * 100 + n));
            pace.record_measured(second.mul_f64(noise), second, 1.0);
        }
        pace.factor(Timestamp::from_millis(1_000)) == PaceFactor::USUAL
    };
    let usual = (0..200).filter(is_usual).count();
    assert!(usual >= 120, "{usual} of 200");
}
