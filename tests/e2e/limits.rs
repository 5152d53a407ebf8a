//! The rate limit of a client account holds across all entries, whichever entry it calls.

use crate::testenv::{SystemPlan, TestCaller, TestSystem};
use oleander_core::reason::Reason;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests per second and burst of `book-keeping` in the example catalog.
const RATE: f64 = 2.0;
const BURST: f64 = 20.0;
/// Seconds for which requests are sent.
const SECONDS: u64 = 20;
/// Tolerated factor over the rate, since shares adapt to a change of demand with a delay.
const RATE_TOLERANCE: f64 = 1.25;

/// Sends requests to one entry every 100 ms; returns how many were admitted and refused.
async fn send_requests(caller: TestCaller, entry: std::net::SocketAddr) -> (f64, f64) {
    let (mut admitted, mut refused) = (0.0, 0.0);
    for number in 0..SECONDS * 10 {
        let prompt = format!("stock {number}");
        let answer = caller.chat(entry, "stock-lookup", &prompt, false, &[]).await.unwrap();
        match answer.reason() {
            Some(Reason::RateLimited) => refused += 1.0,
            _ => admitted += 1.0,
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    (admitted, refused)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_entries_together_admit_an_accounts_rate() {
    let system = Arc::new(TestSystem::start(SystemPlan::default()).await);
    let caller = TestCaller::new("book-keeping", &system.recorder);
    let started = Instant::now();
    let tasks =
        [0, 1, 2].map(|entry| tokio::spawn(send_requests(caller.clone(), system.callers(entry))));
    let (mut admitted, mut refused) = (0.0, 0.0);
    for task in tasks {
        let (one_admitted, one_refused) = task.await.unwrap();
        admitted += one_admitted;
        refused += one_refused;
    }
    let lasted = started.elapsed().as_secs_f64();
    assert!(refused > 0.0, "expected some refused requests");
    assert!(
        admitted <= BURST + RATE * lasted * RATE_TOLERANCE,
        "{admitted} admitted in {lasted} s"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_entry_admits_the_whole_rate_when_the_others_are_idle() {
    let system = TestSystem::start(SystemPlan::default()).await;
    let caller = TestCaller::new("book-keeping", &system.recorder);
    let (admitted, _) = send_requests(caller, system.callers(0)).await;
    // An even split would give a third of the rate and of the burst, which is 20 requests.
    let expected = RATE * SECONDS as f64;
    assert!(admitted >= expected * 0.8, "{admitted} admitted, expected at least 80% of {expected}");
}
