//! How many hosts share what the deployment allows all of them together.

use crate::control_port::{ControlPort, HostPlace};
use crate::peer_book::{PeerBook, RegionMark};
use crate::state::GatewayState;
use std::sync::Arc;
use std::time::Duration;

/// Wait for the first count, so that hosts which start together are all there.
const FIRST_COUNT: Duration = Duration::from_secs(3);
/// Time between counts; hosts come and go seldom, and each count is a call.
const COUNT_SPAN: Duration = Duration::from_secs(60);
/// Wait after a failed call.
const RETRY_SPAN: Duration = Duration::from_secs(2);

/// Announces this host, then counts all of them now and then, for as long as it is polled.
pub async fn count_hosts(
    state: Arc<GatewayState>,
    port: Arc<dyn ControlPort>,
    peers: Arc<PeerBook>,
) {
    let settings = state.settings.load_full();
    let place = HostPlace {
        host: settings.host.clone(),
        region: settings.region.clone(),
        peers: settings.peers,
    };
    while let Err(error) = port.announce(place.clone()).await {
        log::warn!(target: "dependency", error:%; "host was not announced");
        tokio::time::sleep(RETRY_SPAN).await;
    }
    let mut wait = FIRST_COUNT;
    loop {
        tokio::time::sleep(wait).await;
        wait = match port.hosts().await {
            Ok(hosts) => {
                state.book.set_hosts(hosts.len());
                let others = hosts.iter().filter(|other| other.host != place.host);
                for other in others {
                    let Some(address) = other.peers else { continue };
                    peers.add(address, RegionMark::new(&other.region));
                }
                COUNT_SPAN
            }
            Err(error) => {
                log::warn!(target: "dependency", error:%; "hosts were not counted");
                RETRY_SPAN
            }
        };
    }
}
