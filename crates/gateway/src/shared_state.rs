//! Keeps in the store what hosts share beyond their processes: the key that they authenticate each
//! other by, and which requests and parts of prompts crash upstreams.

use crate::control_port::{ControlPort, SharedRow};
use crate::gossip_seal::GossipKey;
use crate::state::GatewayState;
use std::time::Duration;

/// Delay after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time between two reads of the key because of datagrams that another key has sealed.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// Time between checks whether a shared row lacks anything; no call is made unless one does.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after the first failed write of a shared row, which doubles up to [`RETRY_INTERVAL`].
const FIRST_WRITE_DELAY: Duration = Duration::from_millis(250);

/// Reads what hosts share and writes what this host adds, for as long as it is polled.
pub async fn share_state(state: &GatewayState, control: &dyn ControlPort) {
    loop {
        agree(state, control).await;
        let reread = async {
            tokio::time::sleep(REREAD_INTERVAL).await;
            state.seal.next_unverified().await;
        };
        tokio::select! {
            () = reread => {}
            () = keep_rows(state, control) => {}
        }
    }
}

/// Reads the key that hosts share, or writes the one that this host knows, since a store that came back
/// from an older copy may have lost it; and takes over the shared rows.
async fn agree(state: &GatewayState, control: &dyn ControlPort) {
    let proposed = state.seal.key().unwrap_or_else(GossipKey::random);
    loop {
        match control.agree(proposed.clone()).await {
            Ok(agreement) => {
                log::info!(target: "dependency", "datagrams between hosts are authenticated");
                state.seal.set_key(agreement.key.clone());
                for row in SharedRow::ALL {
                    let value = agreement.rows.get(&row).map_or(&[][..], |value| value);
                    state.crashes.restore(row, value, state.clock.now());
                }
                return;
            }
            Err(error) => {
                log::warn!(target: "dependency", error:%; "cannot read what hosts share");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Writes what the shared rows lack, again if the store did not take it, for as long as it is polled.
async fn keep_rows(state: &GatewayState, control: &dyn ControlPort) {
    let mut delay = FIRST_WRITE_DELAY;
    loop {
        let mut has_failed = false;
        for row in SharedRow::ALL {
            has_failed |= !save(state, control, row).await;
        }
        if has_failed {
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(RETRY_INTERVAL);
        } else {
            delay = FIRST_WRITE_DELAY;
            let _ = tokio::time::timeout(CHECK_INTERVAL, state.crashes.next_change()).await;
        }
    }
}

/// Writes a shared row if it lacks anything; whether it holds everything now.
async fn save(state: &GatewayState, control: &dyn ControlPort, row: SharedRow) -> bool {
    let now = state.clock.now();
    let responsible = |key| state.pool.limits().writes_for(key, now);
    let Some(value) = state.crashes.unsaved(row, responsible, now) else { return true };
    match control.write_shared(row, value.clone()).await {
        Ok(()) => {
            log::info!(target: "belief", row:%; "written to the store");
            state.crashes.record_saved(row, &value);
            true
        }
        Err(error) => {
            log::warn!(target: "dependency", row:%, error:%; "cannot write what hosts share");
            false
        }
    }
}
