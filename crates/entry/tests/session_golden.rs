//! Snapshot of one session of a caller, as seen on the wire.

mod support;

use oleander_core::catalog::objects::Withdrawal;
use oleander_core::units::Timestamp;
use serde_json::json;
use std::fmt::Write;
use std::sync::Arc;
use support::{FrozenClock, Reply, TestBed, catalog};

const START: Timestamp = Timestamp::from_millis(1_760_000_000_000);

/// Appends a response to the transcript, with the headers that the router adds.
fn append(transcript: &mut String, title: &str, reply: &Reply) {
    let _ = writeln!(transcript, "## {title}\n{}", reply.status.as_u16());
    let is_router_header = |name: &str| name.starts_with("x-oleander") || name == "retry-after";
    let mut headers: Vec<_> =
        reply.headers.iter().filter(|(name, _)| is_router_header(name.as_str())).collect();
    headers.sort_by_key(|(name, _)| name.as_str());
    for (name, value) in headers {
        let _ = writeln!(transcript, "{name}: {}", value.to_str().unwrap());
    }
    let _ = writeln!(transcript, "{}\n", reply.body.trim_end());
}

#[tokio::test]
async fn session_of_a_driver() {
    let mut catalog = catalog();
    // One upstream in each pool makes every choice deterministic.
    for pool in catalog.pools.values_mut() {
        let first = pool.upstreams.pop_first().unwrap();
        pool.upstreams = [first].into();
    }
    let cascade = catalog.cascades.values_mut().next().unwrap();
    cascade.answer_tokens = oleander_core::units::TokenCount::new(4);
    let mut bed =
        TestBed::start_with(catalog, Arc::new(FrozenClock(START)), Default::default()).await;
    let mut transcript = String::new();
    let plan = bed.chat("menu-plan", true, &[("x-oleander-quality-target", "0.3")]).await;
    append(&mut transcript, "a streamed answer", &plan);
    let token = plan.header("x-oleander-session").to_owned();
    let more = bed.chat("menu-plan", false, &[("x-oleander-session", &token)]).await;
    append(&mut transcript, "the session continued", &more);
    let refused = bed.chat("contract-draft", false, &[]).await;
    append(&mut transcript, "a model that is not there", &refused);
    let key = [("idempotency-key", "buns-1")];
    let order = bed.call("order", &key, &json!({"buns": 40})).await;
    append(&mut transcript, "an order", &order);
    let again = bed.call("order", &key, &json!({"buns": 40})).await;
    append(&mut transcript, "the order repeated", &again);
    let changed = bed.call("order", &key, &json!({"buns": 80})).await;
    append(&mut transcript, "its key with another body", &changed);
    bed.catalog.publish(|catalog| {
        let reason = Arc::from("wrong allergens");
        let withdrawal = Withdrawal { reason, stranded_accounts: Default::default() };
        catalog.withdrawals.insert("small@1".parse().unwrap(), withdrawal);
    });
    let ended = bed.chat("menu-plan", false, &[("x-oleander-session", &token)]).await;
    append(&mut transcript, "the session after its version was withdrawn", &ended);
    bed.stopped().await;
    insta::assert_snapshot!(transcript);
}
