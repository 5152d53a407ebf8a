//! Settings files of the processes.

use oleander_adapters::settings::PlatformSettings;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Secret of the operators' key.
pub const OPERATOR_KEY: &str = "operator secret of the tests";

/// Region and failure domain of a process.
#[derive(Clone, Copy, Debug)]
pub struct TestLocation {
    pub region: &'static str,
    pub domain: &'static str,
}

/// The regions of `examples/cascade-curbside.jsonc`.
pub const LOCATIONS: [TestLocation; 3] = [
    TestLocation { region: "puget", domain: "puget-a" },
    TestLocation { region: "willamette", domain: "willamette-a" },
    TestLocation { region: "inland", domain: "inland-a" },
];

/// Writes the settings of one process and returns the file.
pub fn write_settings(
    folder: &Path,
    id: &str,
    location: TestLocation,
    seeds: &[SocketAddr],
    platform: &PlatformSettings,
) -> PathBuf {
    let settings = json!({
        "id": id,
        "region": location.region,
        "domain": location.domain,
        "peer_address": "127.0.0.1:0",
        "admin_address": "127.0.0.1:0",
        "caller_address": id.ends_with("entry").then_some("127.0.0.1:0"),
        "seeds": seeds,
        "platform": platform,
        "peer_keys": [{ "id": "peer-1", "secret": "a secret that the peers share" }],
        "session_keys": [{ "id": "session-1", "secret": "a secret that signs sessions" }],
        "operator_keys": [{ "id": "tests", "secret": OPERATOR_KEY }],
        "drain_seconds": 1,
    });
    let path = folder.join(format!("{id}.jsonc"));
    std::fs::write(&path, serde_json::to_string_pretty(&settings).unwrap()).unwrap();
    path
}
