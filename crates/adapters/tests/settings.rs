//! Settings files: findings carry their line and column.

use oleander_adapters::settings::{HostSettings, parse_settings};
use yare::parameterized;

const VALID: &str = r#"{
  // the first host of the region
  "id": "host-1.entry", "region": "puget", "domain": "puget-a",
  "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
  "platform": { "table": "127.0.0.1:1", "objects": "127.0.0.1:2", "weights": "127.0.0.1:3",
                "ratings": "127.0.0.1:4", "hosts": "127.0.0.1:5" },
  "peer_keys": [{ "id": "k1", "secret": "0123456789abcdef" }] /* rotated monthly */
}"#;

#[test]
fn a_valid_file_is_read() {
    let settings: HostSettings = parse_settings("host.jsonc", VALID).unwrap();
    assert_eq!(settings.id.as_str(), "host-1.entry");
    assert_eq!(settings.drain_seconds, 5);
    assert!(
        !format!("{settings:?}").contains("0123456789abcdef"),
        "the debug output contains the secret"
    );
}

#[parameterized(
    unknown_field = { "\"region\"", "\"regoin\"", "host.jsonc:3:32: unknown field `regoin`" },
    bad_address = { "127.0.0.1:1\"", "127.0.0.1:one\"", "host.jsonc:5:40: invalid socket address" },
    bad_name = { "puget-a", "puget a", "host.jsonc:3:62: a failure domain name has the character ' '" },
    missing_comma = { "\"puget\",", "\"puget\"", "host.jsonc:3:" },
)]
fn an_invalid_file_is_rejected_with_the_position(from: &str, to: &str, expected: &str) {
    let result = parse_settings::<HostSettings>("host.jsonc", &VALID.replacen(from, to, 1));
    let error = result.unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}
