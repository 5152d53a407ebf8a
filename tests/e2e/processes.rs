//! Three entries, three ledgers and two stewards serve callers and operators.

use crate::testenv::system::WAIT_TIMEOUT;
use crate::testenv::{SystemPlan, TestCaller, TestSystem};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_answered_streamed_and_billed_by_separate_processes() {
    let system = TestSystem::start(SystemPlan::default()).await;
    let caller = TestCaller::new("tacoma-vans", &system.recorder);
    for entry in 0..3 {
        let prompt = format!("Plan tomorrow for van {entry}");
        let entry = system.callers(entry);
        let answer = caller.chat(entry, "route-menu-plan", &prompt, true, &[]).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(answer.complete && answer.stream_error.is_none(), "{answer:?}");
        assert!(!answer.text.is_empty());
    }
    let answer = caller.chat(system.callers(1), "stock-lookup", "buns", true, &[]).await.unwrap();
    let explained = system.ctl_ok(&["explain", answer.header("x-oleander-request-id").unwrap()]);
    assert!(explained.contains(answer.header("x-oleander-version").unwrap()), "{explained}");
    // Ledgers write their backlog every two seconds.
    let billed = async {
        while billed_requests(&system) != 4 {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, billed)
        .await
        .expect("the statement does not show four requests within the timeout");
}

fn billed_requests(system: &TestSystem) -> u64 {
    let bill = system.ctl_ok(&["--json", "bill", "tacoma-vans"]);
    let bill: serde_json::Value = serde_json::from_str(&bill).unwrap();
    bill["total"]["requests"].as_u64().unwrap()
}
