//! Keeps in the store what hosts share beyond their processes: the key that they authenticate each
//! other by, and which requests crash upstreams.

use crate::control_port::{ControlPort, HostAgreement};
use crate::gossip_seal::GossipKey;
use crate::state::GatewayState;
use oleander_core::request_quarantine::RequestReport;
use std::time::Duration;

/// Delay after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time between two reads of the key because of datagrams that another key has sealed.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// Reads what hosts share and writes what this host adds, for as long as it is polled.
pub async fn share_state(state: &GatewayState, control: &dyn ControlPort) {
    loop {
        let agreement = agree(state, control).await;
        if agreement.blocked.is_none() && state.crashes.has_blocked() {
            write_blocked(state, control).await;
        }
        let reread = async {
            tokio::time::sleep(REREAD_INTERVAL).await;
            state.seal.next_unverified().await;
        };
        tokio::pin!(reread);
        loop {
            tokio::select! {
                () = reread.as_mut() => break,
                () = state.crashes.next_change() => write_blocked(state, control).await,
            }
        }
    }
}

/// Reads the key that hosts share, or writes the one that this host knows, since a store that came back
/// from an older copy may have lost it; and reads the blocked requests.
async fn agree(state: &GatewayState, control: &dyn ControlPort) -> HostAgreement {
    let proposed = state.seal.key().unwrap_or_else(GossipKey::random);
    loop {
        match control.agree(proposed.clone()).await {
            Ok(agreement) => {
                log::info!(target: "dependency", "datagrams between hosts are authenticated");
                state.seal.set_key(agreement.key.clone());
                if let Some(bytes) = &agreement.blocked {
                    merge_blocked(state, bytes);
                }
                return agreement;
            }
            Err(error) => {
                log::warn!(target: "dependency", error:%; "cannot read what hosts share");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn merge_blocked(state: &GatewayState, bytes: &[u8]) {
    match postcard::from_bytes::<RequestReport>(bytes) {
        Ok(report) => state.crashes.merge_requests(&report, state.clock.now()),
        Err(error) => {
            log::warn!(target: "belief", error:%; "undecodable row of blocked requests skipped");
        }
    }
}

async fn write_blocked(state: &GatewayState, control: &dyn ControlPort) {
    let report = state.crashes.blocked_report(state.clock.now());
    // Plain data is always encoded.
    let bytes = postcard::to_allocvec(&report).unwrap_or_default();
    if let Err(error) = control.write_blocked(bytes).await {
        log::warn!(target: "dependency", error:%; "cannot write blocked requests to the store");
    }
}
