//! Trial connections to upstreams of services that seem to be out of this host's reach.

use crate::attempt::OPEN_TIME;
use crate::socket_dialer::SocketDialer;
use crate::state::GatewayState;
use crate::upstream_entry::UpstreamEntry;
use futures_util::future::join_all;
use oleander_core::ids::ServiceName;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of upstreams that are tried in a round.
const MAX_TRIALS: usize = 3;
/// Timeout of a trial: several round trips to the farthest region.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time between checks for services to try.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Tries the upstreams of suspects, and of services out of reach, for as long as it is polled.
pub async fn run_trials(state: Arc<GatewayState>) {
    loop {
        if !state.reach.has_trials() {
            state.reach.next_suspect().await;
        }
        let due = state.reach.take_due_trials(state.clock.now());
        join_all(due.iter().map(|service| run_round(&state, service))).await;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn run_round(state: &GatewayState, service: &ServiceName) {
    let snapshot = state.snapshot.load_full();
    let Some(entries) = snapshot.upstreams.get(service).filter(|entries| !entries.is_empty())
    else {
        return;
    };
    let start = state.random.next() as usize % entries.len();
    let tried = entries.iter().cycle().skip(start).take(MAX_TRIALS.min(entries.len()));
    let results = join_all(tried.map(|entry| run_trial(state, entry))).await;
    let is_any_open = results.contains(&true);
    state.reach.record_trials(service, is_any_open, state.clock.now());
}

async fn run_trial(state: &GatewayState, entry: &UpstreamEntry) -> bool {
    let began = state.clock.now();
    let is_open = stays_open(&state.dialer, entry).await;
    let snapshot = state.snapshot.load();
    state.reach.record_connection(&snapshot, entry, (began, is_open), state.clock.now());
    is_open
}

async fn stays_open(dialer: &SocketDialer, entry: &UpstreamEntry) -> bool {
    let dialed = tokio::time::timeout(TRIAL_TIMEOUT, dialer.dial(entry.address)).await;
    let Ok(Ok(socket)) = dialed else { return false };
    tokio::time::timeout(OPEN_TIME, ended(&socket)).await.is_err()
}

/// Resolves when a connection ends.
async fn ended(socket: &TcpStream) {
    let mut buffer = [0; 64];
    loop {
        if socket.readable().await.is_err() {
            return;
        }
        match socket.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
