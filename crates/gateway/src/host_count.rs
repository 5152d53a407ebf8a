//! Registers this host and counts all hosts, which share the deployment's allowances.

use crate::control_port::{ControlPort, HostRecord};
use crate::peer_table::{PeerTable, RegionHash};
use crate::shared_state::share_state;
use crate::state::GatewayState;
use oleander_core::store_era::StoreEra;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Delay of the first count of a process, and of the first one of an era, so that hosts which start
/// together are all registered.
const FIRST_COUNT_DELAY: Duration = Duration::from_secs(3);
/// Time between counts. Hosts rarely change, and each count costs a call to the store.
const COUNT_INTERVAL: Duration = Duration::from_secs(60);
/// Time between checks whether the store has come back from an older copy.
const ERA_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time over which hosts spread their registrations after that, per host: a tenth of the writes
/// that the smallest stores take.
const REGISTRATION_SPREAD_PER_HOST: Duration = Duration::from_millis(25);
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
    let first_count_at = Instant::now() + FIRST_COUNT_DELAY;
    loop {
        let era = state.snapshot.load().era();
        let is_counted = state.pool.counted_hosts().is_some();
        let until_first = first_count_at.saturating_duration_since(Instant::now());
        let wait = if is_counted { FIRST_COUNT_DELAY } else { until_first };
        register(&*control, &record).await;
        tokio::select! {
            () = count_while_registered(&state, &*control, &peers, &record, era, wait) => {}
            () = share_state(&state, &*control) => {}
        }
        // Hosts must not all write at once.
        let hosts = u32::try_from(state.pool.hosts()).unwrap_or(u32::MAX);
        let spread = REGISTRATION_SPREAD_PER_HOST.saturating_mul(hosts);
        tokio::time::sleep(spread.mul_f64(state.random.next_unit())).await;
    }
}

async fn register(control: &dyn ControlPort, record: &HostRecord) {
    while let Err(error) = control.register_host(record.clone()).await {
        log::warn!(target: "dependency", error:%; "cannot register this host in the store");
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Counts all hosts after `wait` and then periodically, until the store begins a later era than `era`, in which it may have
/// lost the registration.
async fn count_while_registered(
    state: &GatewayState,
    control: &dyn ControlPort,
    peers: &PeerTable,
    record: &HostRecord,
    era: StoreEra,
    mut wait: Duration,
) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = wait_for_later_era(state, era) => return,
        }
        wait = match control.hosts().await {
            Ok(hosts) => {
                state.pool.set_hosts(hosts.len());
                state.pool.limits().register_hosts(&hosts, state.clock.now());
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

/// Resolves when a topic was read in a later era than `era`, unless `era` is not known yet.
async fn wait_for_later_era(state: &GatewayState, era: StoreEra) {
    let mut known = era;
    loop {
        tokio::time::sleep(ERA_POLL_INTERVAL).await;
        let snapshot = state.snapshot.load();
        // The first era that is read is that of the registration, or later by a moment.
        if known == StoreEra::default() && snapshot.restored_at.is_none() {
            known = snapshot.era();
        }
        if snapshot.era() > known {
            return;
        }
    }
}
