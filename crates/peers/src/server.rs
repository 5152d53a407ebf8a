//! Accepts connections of other processes and serves their calls.

use crate::counters::SharedCounters;
use crate::frame::{Frame, FrameHead, FrameReader, FrameWriter, ReplyOutcome};
use crate::handlers::HandlerTable;
use crate::handshake::{self, HandshakeError};
use crate::keys::KeyRing;
use crate::limits::PeerLimits;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum number of replies queued for writing on one connection.
const REPLY_QUEUE_LENGTH: usize = 64;

/// Maximum number of concurrent calls of one connection.
const MAX_CALLS_PER_CONNECTION: usize = 256;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves incoming connections.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// The address at which peers reach this process.
    pub me: SocketAddr,
    /// The keys of connections.
    pub ring: KeyRing,
    /// Limits and timeouts.
    pub limits: PeerLimits,
    /// The call handlers.
    pub handlers: Arc<HandlerTable>,
    /// The counters.
    pub counters: SharedCounters,
}

type Reply = (FrameHead, Vec<u8>);

impl PeerServer {
    /// Accepts connections until the task is dropped, which also closes them.
    pub async fn serve(self, listener: TcpListener) {
        let budget =
            Arc::new(Semaphore::new(self.limits.inbound_bytes / crate::frame::PERMIT_BYTES));
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if connections.len() >= self.limits.inbound_connections {
                continue;
            }
            self.counters.connections_in.increment();
            connections.spawn(self.clone().serve_connection(stream, Arc::clone(&budget)));
        }
    }

    async fn serve_connection(self, mut stream: TcpStream, budget: Arc<Semaphore>) {
        let _ = stream.set_nodelay(true);
        let greeting = handshake::server_handshake(&mut stream, &self.ring, self.me);
        let keys = match timeout(self.limits.connect_timeout, greeting).await {
            Ok(Ok(keys)) => keys,
            Ok(Err(error)) => return self.count_handshake_error(&error),
            Err(_) => return,
        };
        let (read, write) = stream.into_split();
        let counters = Arc::clone(&self.counters);
        let reader =
            FrameReader::new(read, keys.client_to_server, Some(budget), Arc::clone(&self.counters));
        let writer = FrameWriter::new(write, keys.server_to_client, counters);
        let (replies, queue) = mpsc::channel(REPLY_QUEUE_LENGTH);
        // A failed or timed-out write also ends the connection, so that a peer that does not read
        // its replies does not hold memory for long.
        tokio::select! {
            () = self.read_calls(reader, replies) => {}
            () = write_replies(writer, queue, self.limits.silence_timeout) => {}
        }
    }

    fn count_handshake_error(&self, error: &HandshakeError) {
        match error {
            HandshakeError::Forged => self.counters.forged.increment(),
            HandshakeError::Malformed => self.counters.malformed.increment(),
            HandshakeError::Ended(_) => {}
        }
    }

    async fn read_calls(
        &self,
        mut reader: FrameReader<tokio::net::tcp::OwnedReadHalf>,
        replies: mpsc::Sender<Reply>,
    ) {
        let mut calls = JoinSet::new();
        loop {
            while calls.try_join_next().is_some() {}
            let Ok(Ok(frame)) =
                timeout(self.limits.idle_timeout + self.limits.silence_timeout, reader.read())
                    .await
            else {
                return;
            };
            match &frame.head {
                FrameHead::Call { .. } if calls.len() >= MAX_CALLS_PER_CONNECTION => {
                    self.shed(frame, &replies).await;
                }
                FrameHead::Call { .. } => {
                    let (handlers, replies) = (Arc::clone(&self.handlers), replies.clone());
                    calls.spawn(handle_call(handlers, frame, replies));
                }
                FrameHead::Ping => {
                    let _ = replies.send((FrameHead::Pong, Vec::new())).await;
                }
                FrameHead::Pong => {}
                FrameHead::Reply { .. } => return,
            }
        }
    }

    async fn shed(&self, frame: Frame, replies: &mpsc::Sender<Reply>) {
        self.counters.calls_shed.increment();
        if let FrameHead::Call { number, .. } = frame.head {
            let outcome = ReplyOutcome::refused("too many calls on this connection");
            let _ = replies.send((FrameHead::Reply { number, outcome }, Vec::new())).await;
        }
    }
}

async fn handle_call(handlers: Arc<HandlerTable>, frame: Frame, replies: mpsc::Sender<Reply>) {
    let Frame { head: FrameHead::Call { number, channel, wait_millis }, body, permit } = frame
    else {
        return;
    };
    let wait = Duration::from_millis(wait_millis.into());
    let (outcome, reply) = handlers.run(channel, body, wait).await;
    drop(permit);
    let _ = replies.send((FrameHead::Reply { number, outcome }, reply)).await;
}

async fn write_replies(
    mut writer: FrameWriter<OwnedWriteHalf>,
    mut queue: mpsc::Receiver<Reply>,
    write_timeout: Duration,
) {
    while let Some((head, body)) = queue.recv().await {
        let written = timeout(write_timeout, writer.write(&head, &body)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
