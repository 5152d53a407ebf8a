//! Probes each host for the newest configuration and checks that none reverts to an older one.

use crate::cluster::SoakCluster;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval between two probes of a host.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Probes all hosts until `stop` is true; returns the hosts that reverted.
pub async fn probe_all(cluster: Arc<SoakCluster>, stop: watch::Receiver<bool>) -> Vec<String> {
    let mut probes = tokio::task::JoinSet::new();
    for host in 0..cluster.hosts.len() {
        probes.spawn(probe_host(Arc::clone(&cluster), host, stop.clone()));
    }
    probes.join_all().await.into_iter().flatten().collect()
}

async fn probe_host(
    cluster: Arc<SoakCluster>,
    number: usize,
    stop: watch::Receiver<bool>,
) -> Vec<String> {
    let host = &cluster.hosts[number];
    // The newest version that each process of the host has shown.
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    while !*stop.borrow() {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let (version, process) = (cluster.version(), host.processes());
        let status = cluster.probe(host, version).await;
        // If the process was replaced during the probe, the answer may be of either process.
        if host.processes() != process {
            continue;
        }
        let known = newest.entry(process).or_default();
        match status {
            Some(200) => *known = version.max(*known),
            // The next version still has this route, so a host with either version has it.
            Some(404) if *known >= version => {
                violations.push(format!("{}: version {version} is no longer in force", host.name));
            }
            _ => {}
        }
    }
    violations
}
