//! Settings files: every finding has its place.

use oleander_adapters::settings::{HostSettings, parse_settings};
use yare::parameterized;

const GOOD: &str = r#"{
  // the first host of the region
  "id": "host-1.entry", "region": "puget", "domain": "puget-a",
  "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
  "platform": { "table": "127.0.0.1:1", "objects": "127.0.0.1:2", "weights": "127.0.0.1:3",
                "ratings": "127.0.0.1:4", "hosts": "127.0.0.1:5" },
  "peer_keys": [{ "id": "k1", "secret": "0123456789abcdef" }] /* rotated monthly */
}"#;

#[test]
fn a_good_file_is_read() {
    let settings: HostSettings = parse_settings("host.jsonc", GOOD).unwrap();
    assert_eq!(settings.id.as_str(), "host-1.entry");
    assert_eq!(settings.drain_seconds, 5);
    assert!(!format!("{settings:?}").contains("0123456789abcdef"), "the secret is printed");
}

#[parameterized(
    unknown_field = { "\"region\"", "\"regoin\"", "host.jsonc:3:32: unknown field `regoin`" },
    bad_address = { "127.0.0.1:1\"", "127.0.0.1:one\"", "host.jsonc:5:40: invalid socket address" },
    bad_name = { "puget-a", "puget a", "host.jsonc:3:62: a failure domain name has the character ' '" },
    missing_comma = { "\"puget\",", "\"puget\"", "host.jsonc:3:" },
)]
fn a_wrong_file_is_refused_with_the_place(from: &str, to: &str, expected: &str) {
    let wrong = parse_settings::<HostSettings>("host.jsonc", &GOOD.replacen(from, to, 1));
    let said = wrong.unwrap_err().to_string();
    assert!(said.starts_with(expected), "{said}");
}
