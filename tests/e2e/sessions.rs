//! Snapshot tests of sessions of callers and operators through the real binaries.

mod transcript;

use crate::testenv::{SystemPlan, TestSystem};
use oleander_core::choice_mode::ChoiceMode;
use oleander_core::ids::UpstreamName;
use oleander_standin::faults::FaultPlan;
use transcript::Transcript;

/// Without exploration, so that every run makes the same choices.
const SMALL: SystemPlan = SystemPlan {
    entries: 2,
    ledgers: 2,
    stewards: 1,
    exploration: 0.0,
    mode: ChoiceMode::ModelAware,
};
/// Always starts with the first step; `ModelAware` draws plans at random from a mixture.
const CHEAP_FIRST: SystemPlan = SystemPlan { mode: ChoiceMode::CheapThenEscalate, ..SMALL };

fn small_engines(system: &TestSystem) -> impl Iterator<Item = &UpstreamName> {
    system.standins.engines.keys().filter(|name| name.as_str().starts_with("menu-small"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_van_plans_its_route() {
    let system = TestSystem::start(CHEAP_FIRST).await;
    let mut log = Transcript::new(&system);
    log.add_title("a streamed answer");
    log.chat("tacoma-vans", "route-menu-plan", "Plan tomorrow for van 12", &[]).await;
    log.add_title("a weak first answer escalates to the next model");
    for name in small_engines(&system) {
        let weak = FaultPlan { weak_answers: 1, ..FaultPlan::default() };
        system.standins.engines[name].faults().set_plan(weak);
    }
    log.chat("tacoma-vans", "route-menu-plan", "Plan Friday for van 7", &[]).await;
    log.add_title("a session continues on the other entry with the same version");
    let token = log.chat("eugene-vans", "menu-writer-small", "Start a plan", &[]).await;
    log.use_entry(1);
    let session = [("x-oleander-session", token.as_str())];
    log.chat("eugene-vans", "menu-writer-small", "Go on with the plan", &session).await;
    log.add_title("a model that the client account may not use");
    log.chat("commissary", "menu-writer-large", "Write a contract", &[]).await;
    log.add_title("a key that names no client account");
    log.chat("nobody", "stock-lookup", "How many buns", &[]).await;
    insta::assert_snapshot!("van_session", log.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_is_repeated_under_one_key() {
    let system = TestSystem::start(SMALL).await;
    let mut log = Transcript::new(&system);
    log.add_title("an order without a key");
    log.order("commissary", r#"{"buns":120}"#, None).await;
    log.add_title("an order");
    log.order("commissary", r#"{"buns":120}"#, Some("order-1")).await;
    log.add_title("the same order again, at the other entry");
    log.use_entry(1);
    log.order_until_settled("commissary", r#"{"buns":120}"#, "order-1").await;
    log.add_title("the same key with another body");
    log.order("commissary", r#"{"buns":240}"#, Some("order-1")).await;
    log.add_title("an order while the table is down");
    let down = FaultPlan { down: true, ..FaultPlan::default() };
    system.standins.platform.table_faults.set_plan(down);
    log.order("commissary", r#"{"buns":60}"#, Some("order-2")).await;
    system.standins.platform.table_faults.set_plan(FaultPlan::default());
    let ran: usize = system.standins.services.values().map(|service| service.runs().len()).sum();
    log.add_line(&format!("the service ran {ran} order"));
    insta::assert_snapshot!("order_session", log.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_is_rolled_out_and_withdrawn() {
    let system = TestSystem::start(SMALL).await;
    let mut log = Transcript::new(&system);
    log.add_title("the roll-out of a version to every new session");
    log.ctl(&[
        "rollout",
        "start",
        "small-5",
        "--model",
        "menu-writer-small",
        "--to",
        "menu-writer-small@5",
        "--steps",
        "1.0:1000000",
        "--wait",
    ]);
    let token = log.chat("eugene-vans", "menu-writer-small", "Start a plan", &[]).await;
    log.add_title("its withdrawal");
    log.ctl(&["withdraw", "menu-writer-small@5", "--reason", "wrong allergens", "--wait"]);
    log.add_title("its session is refused");
    let session = [("x-oleander-session", token.as_str())];
    log.chat("eugene-vans", "menu-writer-small", "Go on with the plan", &session).await;
    log.add_title("a new session gets the old version");
    log.chat("eugene-vans", "menu-writer-small", "Start a plan", &[]).await;
    log.add_title("the history");
    log.ctl(&["history"]);
    insta::assert_snapshot!("withdrawal_session", log.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_is_drained() {
    let system = TestSystem::start(SMALL).await;
    let mut log = Transcript::new(&system);
    log.add_title("drains three of the four small engines");
    for name in ["menu-small-1", "menu-small-2", "menu-small-3"] {
        log.ctl(&["drain", name, "--reason", "new disks", "--wait"]);
    }
    for question in ["one", "two", "three", "four"] {
        log.chat("eugene-vans", "stock-lookup", question, &[]).await;
    }
    for name in small_engines(&system) {
        let runs = system.standins.engines[name].runs().len();
        log.add_line(&format!("{name} ran {runs}"));
    }
    insta::assert_snapshot!("drain_session", log.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_catalog_with_many_findings_changes_nothing() {
    let system = TestSystem::start(SMALL).await;
    let mut log = Transcript::new(&system);
    let mut text = serde_json::to_string_pretty(&system.standins.catalog).unwrap();
    text = text.replacen(
        "\"current\": \"menu-writer-large@3\"",
        "\"current\": \"menu-writer-large@9\"",
        1,
    );
    text = text.replacen("\"quality_target\": 0.95", "\"quality_target\": 1.95", 1);
    text = text.replacen("\"dispatch-desk\"\n", "\"dispach-desk\"\n", 1);
    let path = system.folder.path().join("wrong.jsonc");
    std::fs::write(&path, text).unwrap();
    log.add_title("check");
    log.ctl(&["check", path.to_str().unwrap()]);
    log.add_title("publish");
    log.ctl(&["publish", path.to_str().unwrap()]);
    log.add_title("the head is unchanged");
    log.ctl(&["history"]);
    insta::assert_snapshot!("findings_session", log.text());
}
