//! Sessions stay on the version that they are bound to.

mod support;

use oleander_core::catalog::objects::{Rollout, RolloutPhase, RolloutStep, Withdrawal};
use oleander_core::units::Millis;
use std::sync::Arc;
use support::{DEPOT_KEY, TestBed, chat_body};

fn start_rollout(bed: &TestBed) {
    bed.catalog.publish(|catalog| {
        let step = RolloutStep { share: 1.0, ratings: 1, hold: Millis::new(0) };
        let rollout = Rollout {
            model: "small".parse().unwrap(),
            from: "small@1".parse().unwrap(),
            to: "small@2".parse().unwrap(),
            steps: vec![step],
            step: 0,
            phase: RolloutPhase::Running,
        };
        catalog.rollouts.insert("small-2".parse().unwrap(), rollout);
    });
}

fn withdraw(bed: &TestBed, version: &str) {
    bed.catalog.publish(|catalog| {
        let withdrawal =
            Withdrawal { reason: Arc::from("bad"), stranded_accounts: Default::default() };
        catalog.withdrawals.insert(version.parse().unwrap(), withdrawal);
    });
}

#[tokio::test]
async fn session_stays_on_its_version_while_a_rollout_advances() {
    let bed = TestBed::start().await;
    let first = bed.chat("small", false, &[]).await;
    assert_eq!(first.header("x-oleander-version"), "small@1");
    start_rollout(&bed);
    assert_eq!(bed.chat("small", false, &[]).await.header("x-oleander-version"), "small@2");
    let mut token = first.header("x-oleander-session").to_owned();
    for _ in 0..3 {
        let reply = bed.chat("small", true, &[("x-oleander-session", &token)]).await;
        assert_eq!(reply.header("x-oleander-version"), "small@1", "{}", reply.body);
        token = reply.header("x-oleander-session").to_owned();
    }
}

#[tokio::test]
async fn withdrawal_ends_a_session_and_never_switches_it() {
    let bed = TestBed::start().await;
    let first = bed.chat("small", false, &[]).await;
    let named = bed.chat("small", false, &[("x-oleander-session", "route-7")]).await;
    assert_eq!(named.header("x-oleander-version"), "small@1");
    withdraw(&bed, "small@1");
    let runs = bed.engine_runs().len();
    for session in [first.header("x-oleander-session"), "route-7"] {
        let reply = bed.chat("small", false, &[("x-oleander-session", session)]).await;
        assert_eq!(reply.status, 410, "{}", reply.body);
        assert_eq!(reply.header("x-oleander-reason"), "version_withdrawn");
        assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    }
    assert_eq!(bed.engine_runs().len(), runs);
}

#[tokio::test]
async fn token_of_another_account_or_model_is_refused() {
    let bed = TestBed::start().await;
    let first = bed.chat("small", false, &[]).await;
    let token = first.header("x-oleander-session");
    let headers = [("x-oleander-session", token)];
    let mut stolen = bed.post("/v1/chat/completions", &headers, &chat_body("small", false));
    let key = format!("Bearer {DEPOT_KEY}").parse().unwrap();
    stolen.headers_mut().insert("authorization", key);
    let other_model = bed.post("/v1/chat/completions", &headers, &chat_body("large", false));
    let forged = token.replace("os1.", "os1.00");
    let forged = bed.chat("small", false, &[("x-oleander-session", &forged)]).await;
    for reply in [bed.send(stolen).await, bed.send(other_model).await, forged] {
        assert_eq!(reply.status, 400, "{}", reply.body);
        assert_eq!(reply.header("x-oleander-reason"), "bad_session");
        assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    }
}

#[tokio::test]
async fn concurrent_first_requests_of_a_named_session_get_one_version() {
    let bed = TestBed::start().await;
    start_rollout(&bed);
    bed.catalog.publish(|catalog| {
        let rollout = catalog.rollouts.get_mut(&"small-2".parse().unwrap()).unwrap();
        rollout.steps[0].share = 0.5;
    });
    for session in 0..8 {
        let name = format!("route-{session}");
        let headers = [("x-oleander-session", name.as_str())];
        let (a, b, c) = tokio::join!(
            bed.chat("small", false, &headers),
            bed.chat("small", false, &headers),
            bed.chat("small", false, &headers)
        );
        let versions = [&a, &b, &c].map(|reply| reply.header("x-oleander-version").to_owned());
        assert!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
    }
}

#[tokio::test]
async fn binding_by_another_host_is_used_when_it_was_first() {
    let bed = TestBed::start().await;
    bed.racing_table
        .set_racing_write(&serde_json::json!({"target": "small", "version": "small@2"}));
    let reply = bed.chat("small", false, &[("x-oleander-session", "route-1")]).await;
    assert_eq!(reply.header("x-oleander-version"), "small@2", "{}", reply.body);
    assert_eq!(bed.engine_runs(), ["small@2"]);
}

#[tokio::test]
async fn unknown_named_session_is_refused_while_the_table_is_down() {
    let bed = TestBed::start().await;
    let known = bed.chat("small", false, &[("x-oleander-session", "route-1")]).await;
    bed.table.set_down(true);
    let reply = bed.chat("small", false, &[("x-oleander-session", "route-2")]).await;
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!(reply.header("x-oleander-reason"), "platform_down");
    assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    let again = bed.chat("small", false, &[("x-oleander-session", "route-1")]).await;
    assert_eq!(again.header("x-oleander-version"), known.header("x-oleander-version"));
}

#[tokio::test]
async fn session_can_be_bound_after_a_lost_reply_of_the_table() {
    let bed = TestBed::start().await;
    // The fault applies to the next table call, the look-up, so nothing is bound yet.
    bed.table.inject(oleander_standin::memory::table::MemoryFault::ReplyLost);
    let refused = bed.chat("small", false, &[("x-oleander-session", "route-1")]).await;
    assert_eq!(refused.header("x-oleander-run-state"), "not_run");
    let reply = bed.chat("small", false, &[("x-oleander-session", "route-1")]).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}

/// The insert that binds a session takes effect and its reply is lost. The row decides.
#[tokio::test]
async fn session_is_bound_once_when_the_reply_of_the_insert_is_lost() {
    let bed = TestBed::start().await;
    bed.racing_table.lose_next_insert();
    let first = bed.chat("small", false, &[("x-oleander-session", "route-1")]).await;
    assert_eq!(first.status, 200, "{}", first.body);
    let again = bed.chat("small", false, &[("x-oleander-session", "route-1")]).await;
    assert_eq!(again.header("x-oleander-version"), first.header("x-oleander-version"));
    assert_eq!(bed.engine_runs().len(), 2, "each request ran once");
}
