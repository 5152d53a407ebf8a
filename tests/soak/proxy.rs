//! A loopback proxy before one address, whose connections can be slowed, held or lost.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;

/// What happens to the bytes of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMood {
    /// They pass.
    Open,
    /// They pass later.
    Slow(Duration),
    /// What the caller sends passes, answers are held.
    OneWay,
    /// They are held both ways.
    Cut,
}

/// How a link is now, and which of its connections are lost.
#[derive(Clone, Copy, Debug)]
struct LinkState {
    mood: LinkMood,
    /// Connections with a lower number pass nothing any more, without a reset.
    silent_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
    accepted: u64,
}

/// A proxy before one address.
pub struct FaultLink {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl FaultLink {
    /// A proxy before `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let open = LinkState { mood: LinkMood::Open, silent_below: 0, reset_below: 0, accepted: 0 };
        let state = watch::Sender::new(open);
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let mut number = 0;
                shared.send_modify(|state| {
                    number = state.accepted;
                    state.accepted += 1;
                });
                tokio::spawn(relay(caller, target, number, shared.subscribe()));
            }
        });
        Self { address, state }
    }

    /// Sets what happens to bytes.
    pub fn set_mood(&self, mood: LinkMood) {
        self.state.send_modify(|state| state.mood = mood);
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn silence_open(&self) {
        self.state.send_modify(|state| state.silent_below = state.accepted);
    }

    /// Resets all open connections.
    pub fn reset_open(&self) {
        self.state.send_modify(|state| state.reset_below = state.accepted);
    }
}

async fn relay(
    caller: TcpStream,
    target: SocketAddr,
    number: u64,
    state: watch::Receiver<LinkState>,
) {
    let _ = caller.set_zero_linger();
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let (from_caller, to_caller) = caller.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    let mut resets = state.clone();
    tokio::select! {
        () = pump(from_caller, to_upstream, Direction::Request, number, state.clone()) => {}
        () = pump(from_upstream, to_caller, Direction::Answer, number, state) => {}
        // The sender outlives every connection of a run.
        _ = resets.wait_for(|state| number < state.reset_below) => {}
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
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0u8; CHUNK];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let passes = |state: &LinkState| {
            let held = state.mood == LinkMood::Cut
                || (state.mood == LinkMood::OneWay && direction == Direction::Answer);
            !held && number >= state.silent_below
        };
        let slow = match state.wait_for(passes).await {
            Ok(state) => state.mood,
            Err(_) => return,
        };
        if let LinkMood::Slow(wait) = slow {
            tokio::time::sleep(wait).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
    // The other direction may still have something to say.
    if direction == Direction::Request {
        std::future::pending::<()>().await;
    }
}
