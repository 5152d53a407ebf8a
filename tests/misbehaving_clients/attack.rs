//! What misbehaving clients send, on a bounded number of connections and for a bounded time.

use crate::process::{Endpoints, MAX_BODY_BYTES};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::task::JoinSet;

/// Fields of six bytes that fit into the largest headers, beside those that an ordinary request has.
pub const SHORT_FIELDS: usize = 2_700;
/// Time for which an attack lasts.
const ATTACK_TIME: Duration = Duration::from_secs(3);
const SEED: u64 = 11;

/// A kind of attack.
#[derive(Clone, Copy, Debug)]
pub enum Attack {
    /// Bodies of legal size in one piece without their last byte.
    WholeBodies,
    /// Bodies of legal size in pieces of 2 kB.
    PiecedBodies,
    /// Bodies of unknown size in chunks.
    ChunkedBodies,
    /// Many bodies of 60 kB without their last byte.
    SmallBodies,
    /// Bodies far over the limit.
    OversizedBodies,
    /// Requests of many short fields.
    ShortFields,
    /// Many requests sent ahead, whose answers are not read.
    SentAhead,
    /// Idle connections.
    Idle,
    /// Headers that do not end.
    OpenHeaders,
    /// Large answers that are read a byte at a time.
    SlowReaders,
}

pub const ALL: [Attack; 10] = [
    Attack::WholeBodies,
    Attack::PiecedBodies,
    Attack::ChunkedBodies,
    Attack::SmallBodies,
    Attack::OversizedBodies,
    Attack::ShortFields,
    Attack::SentAhead,
    Attack::Idle,
    Attack::OpenHeaders,
    Attack::SlowReaders,
];

/// What one connection sends.
struct Script {
    start: Vec<u8>,
    /// Sent after the start as often as stated.
    piece: Vec<u8>,
    pieces: usize,
    gap: Duration,
}

impl Attack {
    const fn connections(self) -> usize {
        match self {
            Self::WholeBodies | Self::PiecedBodies | Self::ChunkedBodies => 120,
            Self::OversizedBodies | Self::SentAhead => 60,
            Self::ShortFields => 500,
            Self::SlowReaders => 300,
            Self::SmallBodies | Self::OpenHeaders => 1_200,
            Self::Idle => 1_400,
        }
    }

    fn script(self, path: &str, random: &mut SmallRng) -> Script {
        let head = |method: &str, more: &str| {
            format!(
                "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 0a1b2c\r\nApi-Key: key\r\n{more}"
            )
        };
        let post = |more: &str| head("POST", more).into_bytes();
        let stated = |length| post(&format!("Content-Length: {length}\r\n\r\n"));
        let chunk = [&b"10000\r\n"[..], &[b'x'; 0x1_0000], b"\r\n"].concat();
        let none = Duration::ZERO;
        let (start, piece, pieces, gap) = match self {
            Self::WholeBodies => (stated(MAX_BODY_BYTES), vec![b'x'; MAX_BODY_BYTES - 1], 1, none),
            Self::PiecedBodies => {
                (stated(MAX_BODY_BYTES), vec![b'x'; 2_048], 2_047, Duration::from_micros(200))
            }
            Self::ChunkedBodies => (post("Transfer-Encoding: chunked\r\n\r\n"), chunk, 63, none),
            Self::SmallBodies => (stated(60_000), vec![b'x'; 59_999], 1, none),
            Self::OversizedBodies if random.random::<bool>() => {
                (post("Transfer-Encoding: chunked\r\n\r\n"), chunk, 1_000, none)
            }
            Self::OversizedBodies => (stated(400_000_000), vec![b'x'; 65_536], 1_000, none),
            Self::ShortFields => {
                let fields = "a:b\r\n".repeat(SHORT_FIELDS);
                (Vec::new(), head("GET", &format!("{fields}\r\n")).into_bytes(), 1, none)
            }
            Self::SentAhead => (Vec::new(), head("GET", "\r\n").into_bytes(), 2_000, none),
            Self::Idle => (Vec::new(), Vec::new(), 0, none),
            Self::OpenHeaders => {
                (post("X-Long: "), vec![b'x'; random.random_range(4_000..60_000)], 1, none)
            }
            Self::SlowReaders => (head("GET", "\r\n").into_bytes(), Vec::new(), 0, none),
        };
        Script { start, piece, pieces, gap }
    }

    /// Sends from all connections until the attack is over. `share` is the part (1/n) of the connections.
    pub async fn run(self, endpoints: Endpoints, share: usize) {
        let mut random = SmallRng::seed_from_u64(SEED);
        let mut connections = JoinSet::new();
        for index in 0..self.connections() / share {
            let (address, path) = self.target(&endpoints, index);
            let script = self.script(path, &mut random);
            let is_reader = matches!(self, Self::SlowReaders);
            connections.spawn(tokio::time::timeout(ATTACK_TIME, async move {
                let _ = send(address, script, is_reader).await;
                std::future::pending::<()>().await;
            }));
        }
        connections.join_all().await;
    }

    /// Attacks come at all paths; answers that are worth reading slowly come from one.
    fn target(self, endpoints: &Endpoints, index: usize) -> (SocketAddr, &'static str) {
        if matches!(self, Self::SlowReaders) {
            return (endpoints.callers, "/large/");
        }
        match index % 8 {
            6 => (endpoints.ready, "/v1/ready"),
            7 => (endpoints.metrics, "/metrics"),
            0 => (endpoints.callers, "/nowhere/"),
            1..3 => (endpoints.callers, "/look/"),
            _ => (endpoints.callers, "/slow/"),
        }
    }
}

/// Sends a script and keeps the connection open.
async fn send(address: SocketAddr, script: Script, is_reader: bool) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    if is_reader {
        socket.set_recv_buffer_size(4_096)?;
    }
    let mut socket = socket.connect(address).await?;
    socket.write_all(&script.start).await?;
    for _ in 0..script.pieces {
        socket.write_all(&script.piece).await?;
        if !script.gap.is_zero() {
            tokio::time::sleep(script.gap).await;
        }
    }
    while is_reader && socket.read(&mut [0]).await? > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The socket is closed when the attack is over.
    std::future::pending::<()>().await;
    drop(socket);
    Ok(())
}
