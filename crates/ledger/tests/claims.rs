//! A key is dispatched at most once.

mod support;

use oleander_ports::claims::{ClaimOutcome, ClaimPort};
use oleander_ports::usage::UsagePort;
use std::time::Duration;
use support::{Fleet, account, claim, outcome, record};

#[tokio::test(start_paused = true)]
async fn second_host_with_the_same_key_sees_the_holder_then_the_answer() {
    let fleet = Fleet::new(3);
    let (first, second) = (fleet.client(), fleet.client());
    let mine = claim("order-7", 1, 1);
    let (granted, held) =
        tokio::join!(first.claim(mine.clone()), second.claim(claim("order-7", 1, 2)));
    assert_eq!(granted.unwrap(), ClaimOutcome::Granted);
    assert_eq!(held.unwrap(), ClaimOutcome::Held { by: mine.request });
    let mut done = record(&account("north-van"), mine.request);
    done.outcome = Some(outcome("order-7"));
    first.record(done).await.unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let repeat = second.claim(claim("order-7", 1, 3)).await.unwrap();
    assert_eq!(repeat, ClaimOutcome::Done(outcome("order-7")));
}
