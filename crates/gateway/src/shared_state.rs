//! Keeps in the store what hosts share beyond their processes: the key that they authenticate each
//! other by, and which requests and parts of prompts crash upstreams.

use crate::control_port::{ControlPort, SharedRow, SharedValue, SharedWrite};
use crate::gossip_seal::GossipKey;
use crate::state::GatewayState;
use oleander_core::store_era::StoreRevision;
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time between two reads of the key because of datagrams that another key has sealed.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// Time between checks whether a shared row lacks anything; no call is made unless one does.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of times that a write is made anew at once because another host wrote the row meanwhile.
const MAX_CONFLICTS: usize = 4;
/// Delay after the first failed write of a shared row, which doubles up to [`RETRY_INTERVAL`].
const FIRST_WRITE_DELAY: Duration = Duration::from_millis(250);

/// Revisions of the rows that were read and not written since.
type RowRevisions = BTreeMap<SharedRow, StoreRevision>;

/// Reads what hosts share and writes what this host adds, for as long as it is polled.
pub async fn share_state(state: &GatewayState, control: &dyn ControlPort) {
    loop {
        let mut revisions = agree(state, control).await;
        let reread = async {
            tokio::time::sleep(REREAD_INTERVAL).await;
            state.seal.next_unverified().await;
        };
        tokio::select! {
            () = reread => {}
            () = keep_rows(state, control, &mut revisions) => {}
        }
    }
}

/// Reads the key that hosts share, or writes the one that this host knows, since a store that came back
/// from an older copy may have lost it; and takes over the shared rows.
async fn agree(state: &GatewayState, control: &dyn ControlPort) -> RowRevisions {
    let proposed = state.seal.key().unwrap_or_else(GossipKey::random);
    loop {
        match control.agree(proposed.clone()).await {
            Ok(agreement) => {
                log::info!(target: "dependency", "datagrams between hosts are authenticated");
                state.seal.set_key(agreement.key.clone());
                let mut revisions = RowRevisions::new();
                for row in SharedRow::ALL {
                    take_over(state, row, agreement.rows.get(&row), &mut revisions);
                }
                return revisions;
            }
            Err(error) => {
                log::warn!(target: "dependency", error:%; "cannot read what hosts share");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Takes over what a shared row holds, if it exists.
fn take_over(
    state: &GatewayState,
    row: SharedRow,
    found: Option<&SharedValue>,
    revisions: &mut RowRevisions,
) {
    let (bytes, now) = (found.map_or(&[][..], |value| &value.bytes), state.clock.now());
    let store_now = found.and_then(|value| value.store_now);
    let store_now = store_now.unwrap_or_else(|| state.snapshot.load().store_time(now));
    state.crashes.restore(row, bytes, store_now, now);
    match found {
        Some(value) => revisions.insert(row, value.revision),
        None => revisions.remove(&row),
    };
}

/// Writes what the shared rows lack, again if the store did not take it, for as long as it is polled.
async fn keep_rows(state: &GatewayState, control: &dyn ControlPort, revisions: &mut RowRevisions) {
    let mut delay = FIRST_WRITE_DELAY;
    loop {
        let mut has_failed = false;
        for row in SharedRow::ALL {
            has_failed |= !save(state, control, row, revisions).await;
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
async fn save(
    state: &GatewayState,
    control: &dyn ControlPort,
    row: SharedRow,
    revisions: &mut RowRevisions,
) -> bool {
    for _ in 0..MAX_CONFLICTS {
        let now = state.clock.now();
        let responsible = |key| state.pool.limits().writes_for(key, now);
        let snapshot = state.snapshot.load();
        if !snapshot.complete {
            // The store's clock is not known yet.
            return true;
        }
        let store_now = snapshot.store_time(now);
        let unsaved = state.crashes.unsaved(row, responsible, now, store_now);
        let Some(value) = unsaved else { return true };
        // The revision that the row has after a write is not known: the next one reads it.
        let expected = revisions.remove(&row);
        match control.write_shared(row, value.clone(), expected).await {
            Ok(SharedWrite::Applied) => {
                log::info!(target: "belief", row:%; "written to the store");
                state.crashes.record_saved(row, &value);
                return true;
            }
            Ok(SharedWrite::Conflict(found)) => take_over(state, row, found.as_ref(), revisions),
            Err(error) => {
                log::warn!(target: "dependency", row:%, error:%; "cannot write what hosts share");
                return false;
            }
        }
    }
    false
}
