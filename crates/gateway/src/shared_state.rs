//! Keeps in the store what hosts share beyond their processes: the key that they authenticate each
//! other by, and which requests and parts of prompts crash upstreams.

use crate::control_port::{ControlPort, HostAgreement, SharedRow};
use crate::gossip_seal::GossipKey;
use crate::state::GatewayState;
use std::time::Duration;

/// Delay after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time between two reads of the key because of datagrams that another key has sealed.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// Reads what hosts share and writes what this host adds, for as long as it is polled.
pub async fn share_state(state: &GatewayState, control: &dyn ControlPort) {
    loop {
        let agreement = agree(state, control).await;
        for row in SharedRow::ALL {
            if !agreement.rows.contains_key(&row) && state.crashes.has_blocked(row) {
                write(state, control, row).await;
            }
        }
        let reread = async {
            tokio::time::sleep(REREAD_INTERVAL).await;
            state.seal.next_unverified().await;
        };
        tokio::pin!(reread);
        loop {
            tokio::select! {
                () = reread.as_mut() => break,
                rows = state.crashes.next_change() => {
                    for row in rows {
                        write(state, control, row).await;
                    }
                }
            }
        }
    }
}

/// Reads the key that hosts share, or writes the one that this host knows, since a store that came back
/// from an older copy may have lost it; and takes over the shared rows.
async fn agree(state: &GatewayState, control: &dyn ControlPort) -> HostAgreement {
    let proposed = state.seal.key().unwrap_or_else(GossipKey::random);
    loop {
        match control.agree(proposed.clone()).await {
            Ok(agreement) => {
                log::info!(target: "dependency", "datagrams between hosts are authenticated");
                state.seal.set_key(agreement.key.clone());
                for (row, value) in &agreement.rows {
                    if let Err(error) = state.crashes.restore(*row, value, state.clock.now()) {
                        log::warn!(target: "belief", row:%, error:%; "undecodable row skipped");
                    }
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

async fn write(state: &GatewayState, control: &dyn ControlPort, row: SharedRow) {
    let value = state.crashes.shared_value(row, state.clock.now());
    if let Err(error) = control.write_shared(row, value).await {
        log::warn!(target: "dependency", row:%, error:%; "cannot write what hosts share");
    }
}
