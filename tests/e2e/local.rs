//! Runs `oleander-local` with each of the two example catalogs: every client account requests
//! every target, is answered only by versions that it may use, and is billed for all answers.

use crate::testenv::process::TestProcess;
use crate::testenv::settings::OPERATOR_KEY;
use crate::testenv::system::WAIT_TIMEOUT;
use crate::testenv::{CallerAnswer, TestCaller};
use oleander_catalog::{CatalogFile, parse_catalog};
use oleander_core::catalog::{Catalog, Snapshot};
use oleander_core::ids::{AccountName, Revision, VersionName};
use oleander_core::reason::Reason;
use oleander_core::units::Money;
use oleander_history::HistoryRecorder;
use std::process::Command;
use std::time::Duration;
use yare::parameterized;

fn read_catalog(path: &str) -> Catalog {
    let text = std::fs::read_to_string(path).unwrap();
    parse_catalog(&[CatalogFile::new(path, &text)]).unwrap().0
}

fn start(path: &str, log: &std::path::Path) -> TestProcess {
    let any_port = "127.0.0.1:0";
    let ports = [
        "--callers",
        any_port,
        "--operators",
        any_port,
        "--admin",
        any_port,
        "--control",
        any_port,
    ];
    let arguments = [&[path, "--operator-key", OPERATOR_KEY][..], &ports[..]].concat();
    TestProcess::start(env!("CARGO_BIN_EXE_oleander-local"), &arguments, log)
}

/// Number and billed cost of answers.
#[derive(Debug, Default, PartialEq, Eq)]
struct AnswerTotals {
    answers: u64,
    billed: Money,
}

fn check_version(answer: &CallerAnswer, snapshot: &Snapshot, account: &AccountName) {
    let version: VersionName = answer.header("x-oleander-version").unwrap().parse().unwrap();
    let object = &snapshot.catalog().client_accounts[account];
    assert!(snapshot.allows(object, &version), "{account} was answered by {version}");
}

async fn request_every_target(
    process: &TestProcess,
    snapshot: &Snapshot,
    account: &AccountName,
    caller: &TestCaller,
) -> AnswerTotals {
    let catalog = snapshot.catalog();
    let cascades = catalog.cascades.keys().map(ToString::to_string);
    let models = catalog.models.keys().map(ToString::to_string);
    let versions = catalog.versions.keys().map(ToString::to_string);
    let mut totals = AnswerTotals::default();
    for target in cascades.chain(models).chain(versions) {
        let entry = process.ready.callers.unwrap();
        let answer = caller.chat(entry, &target, "what is planned", false, &[]).await.unwrap();
        if answer.status == 200 {
            check_version(&answer, snapshot, account);
            totals.answers += 1;
            totals.billed += answer.header("x-oleander-cost").unwrap().parse().unwrap();
        } else {
            assert_eq!(answer.reason(), Some(Reason::NotAllowed), "{account} {target}: {answer:?}");
        }
    }
    totals
}

fn read_bill(process: &TestProcess, account: &AccountName) -> AnswerTotals {
    let steward = process.ready.admin.unwrap().to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_oleander-ctl"))
        .args(["--json", "--steward", &steward, "bill", account.as_str()])
        .env("OLEANDER_OPERATOR_KEY", OPERATOR_KEY)
        .output()
        .unwrap();
    let bill: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let total = &bill["total"];
    AnswerTotals {
        answers: total["requests"].as_u64().unwrap(),
        billed: Money::from_micros(total["billed"].as_u64().unwrap()),
    }
}

#[parameterized(
    cascade_curbside = { "cascade-curbside", "curbside" },
    teranga_baie = { "teranga-baie", "teranga" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn accounts_get_allowed_versions_and_are_billed(example: &str, key_prefix: &str) {
    let path = format!("{}/examples/{example}.jsonc", env!("CARGO_MANIFEST_DIR"));
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).unwrap();
    let mut process = start(&path, &folder.path().join("local.log"));
    let snapshot = Snapshot::new(Revision::new(1), read_catalog(&path));
    let recorder = HistoryRecorder::off();
    let mut answered = Vec::new();
    for account in snapshot.catalog().client_accounts.keys() {
        let caller = TestCaller::new(account.as_str(), &recorder)
            .with_key(&format!("{key_prefix}-{account}"));
        let totals = request_every_target(&process, &snapshot, account, &caller).await;
        answered.push((account.clone(), totals));
    }
    assert!(answered.iter().map(|(_, totals)| totals.answers).sum::<u64>() > 20);
    for (account, totals) in answered {
        let billed = async {
            while read_bill(&process, &account) != totals {
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, billed).await;
        waited.unwrap_or_else(|_| panic!("{account}: the statement does not show {totals:?}"));
    }
    process.terminate();
    assert_eq!(process.wait().await, Some(0));
}
