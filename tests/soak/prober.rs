//! Asks each host again and again for the newest configuration, and checks that none steps back.

use crate::world::SoakWorld;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Time between two questions to a host.
const PROBE_SPAN: Duration = Duration::from_millis(150);

/// Probes all hosts until `stop` says so; returns what stepped back.
pub async fn probe_all(world: Arc<SoakWorld>, stop: watch::Receiver<bool>) -> Vec<String> {
    let mut probes = tokio::task::JoinSet::new();
    for host in 0..world.hosts.len() {
        probes.spawn(probe_host(Arc::clone(&world), host, stop.clone()));
    }
    probes.join_all().await.into_iter().flatten().collect()
}

async fn probe_host(
    world: Arc<SoakWorld>,
    number: usize,
    stop: watch::Receiver<bool>,
) -> Vec<String> {
    let host = &world.hosts[number];
    // The newest version that each process of the host was seen to have.
    let mut seen: BTreeMap<usize, u64> = BTreeMap::new();
    let mut found = Vec::new();
    while !*stop.borrow() {
        tokio::time::sleep(PROBE_SPAN).await;
        let (version, process) = (world.version(), host.processes());
        let status = world.probe(host, version).await;
        // An answer of which process this is cannot be told when it ended meanwhile.
        if host.processes() != process {
            continue;
        }
        let known = seen.entry(process).or_default();
        match status {
            Some(200) => *known = version.max(*known),
            // Routes stay for one version more: who knows this one or the next has it.
            Some(404) if *known >= version => {
                found.push(format!("{}: version {version} is forgotten again", host.name));
            }
            _ => {}
        }
    }
    found
}
