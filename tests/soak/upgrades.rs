//! Replacement of hosts by another build while they serve.

use crate::cluster::SoakCluster;
use crate::gateway::BINARY;
use crate::random::SeededRandom;
use std::path::{Path, PathBuf};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

/// Binaries of earlier builds.
static EARLIER: LazyLock<Vec<PathBuf>> = LazyLock::new(|| {
    let paths = std::env::var_os("OLEANDER_SOAK_EARLIER")
        .expect("OLEANDER_SOAK_EARLIER must be set to paths of earlier binaries");
    let paths = paths.into_string().expect("the paths must be text");
    paths.split(',').map(PathBuf::from).collect()
});
/// Exclusive maximum of the pause after a host was replaced.
const MAX_PAUSE_MS: u64 = 500;

/// Binaries of earlier builds, as the environment names them.
pub fn earlier_builds() -> impl Iterator<Item = &'static Path> {
    EARLIER.iter().map(PathBuf::as_path)
}

/// Replaces hosts one by one by this build, back by the earlier one, and forth again. The
/// configuration changes after each.
pub async fn replace_hosts(cluster: Arc<SoakCluster>, earlier: &Path, seed: u64) {
    let random = SeededRandom::new(seed.rotate_left(16));
    for binary in [Path::new(BINARY), earlier, Path::new(BINARY)] {
        for host in cluster.hosts.iter() {
            host.replace(binary).await;
            cluster.change_configuration();
            tokio::time::sleep(Duration::from_millis(random.below(MAX_PAUSE_MS))).await;
        }
    }
}
