//! Serves the calls of other processes.

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

/// Replies that wait on one connection to be written.
const QUEUED_REPLIES: usize = 64;

/// Calls of one connection that are handled at once.
const CALLS_PER_CONNECTION: usize = 256;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What every connection of the server needs.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// The address by which others know this process.
    pub me: SocketAddr,
    /// Keys of connections.
    pub ring: KeyRing,
    /// Bounds and times.
    pub limits: PeerLimits,
    /// The handlers.
    pub handlers: Arc<HandlerTable>,
    /// Counters.
    pub counters: SharedCounters,
}

type Reply = (FrameHead, Vec<u8>);

impl PeerServer {
    /// Accepts connections until the task is dropped; its connections end with it.
    pub async fn serve(self, listener: TcpListener) {
        let budget =
            Arc::new(Semaphore::new(self.limits.inbound_bytes / crate::frame::PERMIT_BYTES));
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
        let greeting = handshake::welcome(&mut stream, &self.ring, self.me);
        let keys = match timeout(self.limits.connect_timeout, greeting).await {
            Ok(Ok(keys)) => keys,
            Ok(Err(error)) => return self.count_refusal(&error),
            Err(_) => return,
        };
        let (read, write) = stream.into_split();
        let counters = Arc::clone(&self.counters);
        let reader = FrameReader::new(read, keys.outward, Some(budget), Arc::clone(&self.counters));
        let writer = FrameWriter::new(write, keys.backward, counters);
        let (replies, queue) = mpsc::channel(QUEUED_REPLIES);
        // Either end closes the connection: a peer that does not read holds no memory for long.
        tokio::select! {
            () = self.read_calls(reader, replies) => {}
            () = write_replies(writer, queue, self.limits.silence) => {}
        }
    }

    fn count_refusal(&self, error: &HandshakeError) {
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
                timeout(self.limits.idle + self.limits.silence, reader.read()).await
            else {
                return;
            };
            match &frame.head {
                FrameHead::Call { .. } if calls.len() >= CALLS_PER_CONNECTION => {
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
    silence: Duration,
) {
    while let Some((head, body)) = queue.recv().await {
        let written = timeout(silence, writer.write(&head, &body)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
