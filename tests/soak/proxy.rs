//! Loopback proxy for one address that can delay, block, stall or reset its connections.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes that are forwarded at once.
const CHUNK: usize = 16 * 1024;

/// How a proxy forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards all bytes.
    Open,
    /// Forwards all bytes after a delay.
    Delayed(Duration),
    /// Forwards requests and blocks answers.
    BlockAnswers,
    /// Blocks both directions.
    Blocked,
}

/// State that all connections of a proxy share.
#[derive(Clone, Debug)]
struct ProxyState {
    mode: LinkMode,
    /// Connections with a lower number forward nothing more, but are not reset.
    stalled_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
    accepted: u64,
    /// Whether connections are refused.
    is_closed: bool,
    /// Hosts whose new connections are reset.
    cut: BTreeSet<IpAddr>,
    /// Hosts whose open connections are reset as well.
    reset: BTreeSet<IpAddr>,
}

/// A proxy with faults for one address.
pub struct FaultProxy {
    /// Address on which it listens.
    pub address: SocketAddr,
    state: watch::Sender<ProxyState>,
    /// When the forwarding was changed, or connections were broken.
    changes: Mutex<Vec<Instant>>,
}

impl FaultProxy {
    /// Starts a proxy for `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let open = ProxyState {
            mode: LinkMode::Open,
            stalled_below: 0,
            reset_below: 0,
            accepted: 0,
            is_closed: false,
            cut: BTreeSet::new(),
            reset: BTreeSet::new(),
        };
        let state = watch::Sender::new(open);
        tokio::spawn(listen(listener, target, state.clone()));
        Self { address, state, changes: Mutex::default() }
    }

    /// Sets how bytes are forwarded.
    pub fn set_mode(&self, mode: LinkMode) {
        self.change(|state| state.mode = mode);
    }

    fn change(&self, change: impl FnOnce(&mut ProxyState)) {
        self.changes.lock().unwrap().push(Instant::now());
        self.state.send_modify(change);
    }

    /// Sets whether connections are refused; those that are open are reset.
    pub fn set_closed(&self, is_closed: bool) {
        self.change(|state| {
            state.is_closed = is_closed;
            state.reset_below = state.accepted;
        });
    }

    /// Sets whether new connections of a host are reset, and whether its open ones are as well.
    pub fn set_cut(&self, host: IpAddr, is_cut: bool, resets_open: bool) {
        self.change(|state| {
            if is_cut {
                state.cut.insert(host);
            } else {
                state.cut.remove(&host);
            }
            if is_cut && resets_open {
                state.reset.insert(host);
            } else {
                state.reset.remove(&host);
            }
        });
    }

    /// Whether forwarding was changed, or connections were broken, in a span of time.
    pub fn was_changed(&self, from: Instant, to: Instant) -> bool {
        self.changes.lock().unwrap().iter().any(|at| (from..=to).contains(at))
    }

    /// Stalls all open connections for good; new connections work.
    pub fn stall_open_connections(&self) {
        self.change(|state| state.stalled_below = state.accepted);
    }

    /// Resets all open connections.
    pub fn reset_open_connections(&self) {
        self.change(|state| state.reset_below = state.accepted);
    }
}

async fn listen(listener: TcpListener, target: SocketAddr, shared: watch::Sender<ProxyState>) {
    let address = listener.local_addr().unwrap();
    let (mut listener, mut state) = (Some(listener), shared.subscribe());
    // The sender outlives all connections.
    while state.wait_for(|state| !state.is_closed).await.is_ok() {
        let open = match listener.take() {
            Some(open) => open,
            None => TcpListener::bind(address).await.unwrap(),
        };
        loop {
            tokio::select! {
                accepted = open.accept() => {
                    let Ok((caller, from)) = accepted else { return };
                    if shared.borrow().cut.contains(&from.ip()) {
                        let _ = caller.set_zero_linger();
                        continue;
                    }
                    let mut number = 0;
                    shared.send_modify(|state| {
                        number = state.accepted;
                        state.accepted += 1;
                    });
                    tokio::spawn(relay(caller, target, (number, from.ip()), shared.subscribe()));
                }
                _ = state.wait_for(|state| state.is_closed) => break,
            }
        }
    }
}

async fn relay(
    caller: TcpStream,
    target: SocketAddr,
    (number, host): (u64, IpAddr),
    state: watch::Receiver<ProxyState>,
) {
    let _ = caller.set_zero_linger();
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let (from_caller, to_caller) = caller.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    let mut resets = state.clone();
    tokio::select! {
        () = pump(from_caller, to_upstream, Direction::Request, number, state.clone()) => {}
        () = pump(from_upstream, to_caller, Direction::Answer, number, state) => {}
        // Ends only at a reset, since the sender outlives all connections.
        _ = resets.wait_for(|state| number < state.reset_below || state.reset.contains(&host)) => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    number: u64,
    mut state: watch::Receiver<ProxyState>,
) {
    let mut buffer = vec![0u8; CHUNK];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let passes = |state: &ProxyState| {
            let blocked = state.mode == LinkMode::Blocked
                || (state.mode == LinkMode::BlockAnswers && direction == Direction::Answer);
            !blocked && number >= state.stalled_below
        };
        let mode = match state.wait_for(passes).await {
            Ok(state) => state.mode,
            Err(_) => return,
        };
        if let LinkMode::Delayed(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
    // Waits because the answer may still be in transit.
    if direction == Direction::Request {
        std::future::pending::<()>().await;
    }
}
