//! Registers this host and counts all hosts, which share the deployment's allowances.

use crate::control_port::{ControlPort, HostRecord};
use crate::peer_table::{PeerTable, RegionHash};
use crate::state::GatewayState;
use std::sync::Arc;
use std::time::Duration;

/// Delay of the first count, so that hosts which start together are all registered.
const FIRST_COUNT_DELAY: Duration = Duration::from_secs(3);
/// Time between counts. Hosts rarely change, and each count costs a call to the store.
const COUNT_INTERVAL: Duration = Duration::from_secs(60);
/// Delay after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Registers this host, then counts all hosts periodically, for as long as it is polled.
pub async fn count_hosts(
    state: Arc<GatewayState>,
    control: Arc<dyn ControlPort>,
    peers: Arc<PeerTable>,
) {
    let settings = state.settings.load_full();
    let record = HostRecord {
        host: settings.host.clone(),
        region: settings.region.clone(),
        peers: settings.peers,
    };
    while let Err(error) = control.register_host(record.clone()).await {
        log::warn!(target: "dependency", error:%; "cannot register this host in the store");
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    let mut wait = FIRST_COUNT_DELAY;
    loop {
        tokio::time::sleep(wait).await;
        wait = match control.hosts().await {
            Ok(hosts) => {
                state.pool.set_hosts(hosts.len());
                let others = hosts.iter().filter(|other| other.host != record.host);
                for other in others {
                    let Some(address) = other.peers else { continue };
                    peers.add(address, RegionHash::new(&other.region));
                }
                COUNT_INTERVAL
            }
            Err(error) => {
                log::warn!(
                    target: "dependency", error:%;
                    "cannot read the list of hosts from the store"
                );
                RETRY_INTERVAL
            }
        };
    }
}
