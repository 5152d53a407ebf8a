//! Catalog files: every problem is reported with its place, and no input causes a panic.

use oleander_core::catalog::parse::{CatalogFile, parse_catalog, read_files};
use oleander_core::catalog::{Catalog, CatalogFinding};
use oleander_core::ids::VersionName;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use yare::parameterized;

const SMALL: &str = include_str!("data/small.jsonc");
const BROKEN: &str = include_str!("data/broken.jsonc");

fn parse(text: &str) -> Result<Catalog, Vec<CatalogFinding>> {
    parse_catalog(&[CatalogFile::new("small.jsonc", text)]).map(|(catalog, _)| catalog)
}

fn lines(findings: &[CatalogFinding]) -> String {
    findings.iter().map(|finding| format!("{finding}\n")).collect()
}

#[test]
fn valid_catalog_has_no_finding() {
    let catalog = parse(SMALL).unwrap();
    assert_eq!(catalog.versions.len(), 3);
}

#[test]
fn all_findings_are_reported_together_with_their_places() {
    let findings = parse_catalog(&[CatalogFile::new("broken.jsonc", BROKEN)]).unwrap_err();
    insta::assert_snapshot!("broken_catalog", lines(&findings));
}

#[test]
fn files_are_merged_and_duplicates_name_both_places() {
    let other = r#"{ "models": { "menu-small": { "current": "menu-small@1" } } }"#;
    let files = [CatalogFile::new("a.jsonc", SMALL), CatalogFile::new("b.jsonc", other)];
    let findings = parse_catalog(&files).unwrap_err();
    insta::assert_snapshot!(lines(&findings), @r"b.jsonc:1:15: models/menu-small: it is already defined at a.jsonc:21:5; keep one of the definitions
    ");
}

#[parameterized(
    empty_text = { "", true },
    comment = { "// nothing\n", true },
    array = { "[]", false },
    truncated = { "{ \"models\": {", false },
    word = { "{ models: {} }", false },
    two_roots = { "{} {}", false },
    deep_nesting = { &"[".repeat(20_000), false },
    nan = { "{ \"policy\": { \"exploration\": NaN } }", false },
    huge_number = { "{ \"policy\": { \"exploration\": 1e999 } }", false },
)]
fn malformed_text_is_a_finding_or_an_empty_catalog(text: &str, accepted: bool) {
    assert_eq!(parse(text).is_ok(), accepted);
}

/// Replaces one part of the small catalog and expects the matching finding.
#[parameterized(
    unknown_pool = { "\"pool\": \"engines\", \"price_in\": 100,", "\"pool\": \"motors\", \"price_in\": 100,", "no pool is named motors" },
    shared_address = { "127.0.0.1:7102", "127.0.0.1:7101", "also listens on 127.0.0.1:7101" },
    shared_key = { "1f1e2d3c", "0f1e2d3c", "belongs to the client account" },
    expensive_first = { "[\"menu-small\", \"menu-large\"]", "[\"menu-large\", \"menu-small\"]", "costs less than menu-large" },
    step_twice = { "[\"menu-small\", \"menu-large\"]", "[\"menu-small\", \"menu-small\"]", "is already a step" },
    wrong_current = { "\"current\": \"menu-small@1\"", "\"current\": \"menu-large@1\"", "is a version of menu-large" },
    unknown_method = { "\"GET\"", "\"get\"", "is not a supported HTTP method" },
    bad_share = { "\"cascades\": {", "\"policy\": { \"exploration\": 2 }, \"cascades\": {", "2 is outside the range from 0 to 1" },
    withdrawn_current = { "\"cascades\": {", "\"withdrawals\": { \"menu-large@1\": { \"reason\": \"x\" } }, \"cascades\": {", "the current version menu-large@1 is withdrawn" },
    account_without_version = { "\"menu-large@1\", \"menu-large@2\"]", "\"menu-small@1\"]", "the account has no usable version of menu-large" },
    two_rollouts = { "\"cascades\": {", "\"rollouts\": { \"a\": { \"model\": \"menu-large\", \"from\": \"menu-large@1\", \"to\": \"menu-large@2\", \"steps\": [{ \"share\": 0.1, \"ratings\": 1 }] }, \"b\": { \"model\": \"menu-large\", \"from\": \"menu-large@1\", \"to\": \"menu-large@2\", \"steps\": [{ \"share\": 0.1, \"ratings\": 1 }] } }, \"cascades\": {", "the roll-out a of menu-large is still active" },
)]
fn single_mistake_is_reported(before: &str, after: &str, expected: &str) {
    assert!(SMALL.contains(before));
    let findings = parse(&SMALL.replacen(before, after, 1)).unwrap_err();
    assert!(lines(&findings).contains(expected), "{}", lines(&findings));
}

#[test]
fn withdrawal_may_strand_only_accounts_that_it_lists() {
    let narrow = SMALL.replacen("\"menu-large@1\", \"menu-large@2\"]", "\"menu-large@2\"]", 1);
    let withdrawn = |stranded: &str| {
        let section = format!(
            "\"withdrawals\": {{ \"menu-large@2\": {{ \"reason\": \"bad\", \"stranded_accounts\": [{stranded}] }} }}, \"cascades\": {{"
        );
        parse(&narrow.replacen("\"cascades\": {", &section, 1))
    };
    assert!(
        lines(&withdrawn("").unwrap_err())
            .contains("the account has no usable version of menu-large")
    );
    let catalog = withdrawn("\"schools\"").unwrap();
    assert!(catalog.withdrawals.contains_key(&VersionName::new("menu-large@2").unwrap()));
}

fn config(seed: u64) -> Config {
    Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(31))]

    #[test]
    fn arbitrary_text_never_panics(text in ".{0,200}") {
        let _ = read_files(&[CatalogFile::new("x", &text)]);
    }

    #[test]
    fn damaged_catalog_never_panics(at in 0usize..4000, cut in 0usize..80, insert in ".{0,12}") {
        let chars: Vec<char> = BROKEN.chars().collect();
        let at = at.min(chars.len());
        let end = (at + cut).min(chars.len());
        let text: String = chars[..at].iter().chain(insert.chars().collect::<Vec<_>>().iter()).chain(&chars[end..]).collect();
        for finding in parse_catalog(&[CatalogFile::new("x", &text)]).unwrap_err() {
            let place = finding.place.unwrap();
            prop_assert!(place.line >= 1 && place.line as usize <= text.lines().count() + 1);
        }
    }
}
