//! Outgoing connection to a peer, shared by concurrent calls.

use crate::counters::SharedCounters;
use crate::frame::{CallNumber, Frame, FrameHead, FrameReader, FrameWriter, ReplyOutcome};
use crate::handshake;
use crate::keys::KeyRing;
use crate::limits::PeerLimits;
use oleander_ports::peers::{PeerChannel, PeerError};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, interval, timeout, timeout_at};

/// Outcome of a call on one connection.
#[derive(Debug)]
pub enum Exchange {
    /// The peer replied.
    Replied(Result<Vec<u8>, PeerError>),
    /// No byte of the call was sent, for this reason.
    NotSent(&'static str),
    /// The call was sent, at least in part, and no reply arrived, for this reason.
    Lost(&'static str),
    /// Like [`Exchange::Lost`], and no frame at all was received since the call started.
    Silent,
}

/// Whether writing of a call has started, which decides between `Unreachable` and `Unknown`. The
/// writer and a caller that stops waiting both try to leave `QUEUED`; exactly one succeeds.
#[derive(Debug, Default)]
struct CallStage(AtomicU8);

const QUEUED: u8 = 0;
const WRITING: u8 = 1;
const CANCELLED: u8 = 2;

impl CallStage {
    fn begin_writing(&self) -> bool {
        self.transition(WRITING)
    }

    /// Cancels the call. Returns whether none of its bytes were sent.
    fn cancel(&self) -> bool {
        self.transition(CANCELLED) || self.0.load(Ordering::SeqCst) == CANCELLED
    }

    fn transition(&self, to: u8) -> bool {
        self.0.compare_exchange(QUEUED, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}

#[derive(Debug)]
struct Outgoing {
    head: FrameHead,
    body: Vec<u8>,
    stage: Arc<CallStage>,
}

type ReplySender = oneshot::Sender<Result<Vec<u8>, PeerError>>;

#[derive(Debug)]
struct ConnectionState {
    next_number: CallNumber,
    calls: HashMap<CallNumber, ReplySender>,
    last_received: Instant,
    last_used: Instant,
    /// When the oldest ping was sent after which no frame was received yet.
    unanswered_ping: Option<Instant>,
    last_ping: Instant,
}

/// An outgoing connection to a peer.
#[derive(Debug)]
pub struct PeerConnection {
    outgoing: mpsc::Sender<Outgoing>,
    state: Mutex<ConnectionState>,
    closed: AtomicBool,
    retired: AtomicBool,
    opened: Instant,
    limits: PeerLimits,
}

impl PeerConnection {
    /// Connects to a peer and performs the handshake.
    ///
    /// # Errors
    ///
    /// The reason as text. No call was sent.
    pub async fn open(
        to: SocketAddr,
        ring: &KeyRing,
        limits: PeerLimits,
        counters: SharedCounters,
    ) -> Result<Arc<Self>, String> {
        let mut stream = TcpStream::connect(to).await.map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let keys =
            handshake::client_handshake(&mut stream, ring, to).await.map_err(|e| e.to_string())?;
        counters.connections_out.increment();
        let (read, write) = stream.into_split();
        let reader = FrameReader::new(read, keys.server_to_client, None, Arc::clone(&counters));
        let writer = FrameWriter::new(write, keys.client_to_server, Arc::clone(&counters));
        let (outgoing, queue) = mpsc::channel(limits.queued_frames);
        let now = Instant::now();
        let state = ConnectionState {
            next_number: 0,
            calls: HashMap::new(),
            last_received: now,
            last_used: now,
            unanswered_ping: None,
            last_ping: now,
        };
        let connection = Arc::new(Self {
            outgoing,
            state: Mutex::new(state),
            closed: AtomicBool::new(false),
            retired: AtomicBool::new(false),
            opened: now,
            limits,
        });
        tokio::spawn(run(Arc::clone(&connection), reader, writer, queue, counters));
        Ok(connection)
    }

    /// Whether the connection accepts calls.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !self.closed.load(Ordering::SeqCst)
            && !self.retired.load(Ordering::SeqCst)
            && self.opened.elapsed() < self.limits.max_age
    }

    /// Accepts no more calls; the connection closes when the pending calls have ended.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
    }

    /// Sends one call and waits for its reply until `deadline`. If no frame at all was received
    /// since the call started, it already ends at `silence_deadline` and the connection is retired.
    pub async fn exchange(
        &self,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Instant,
        silence_deadline: Instant,
    ) -> Exchange {
        let started = Instant::now();
        let (number, reply) = self.register(started);
        let stage = Arc::new(CallStage::default());
        let wait_millis = deadline.duration_since(started).as_millis() as u32;
        let head = FrameHead::Call { number, channel, wait_millis };
        let outgoing = Outgoing { head, body, stage: Arc::clone(&stage) };
        let queued = timeout_at(deadline, self.outgoing.send(outgoing)).await;
        let exchange = match queued {
            Ok(Ok(())) => self.wait(reply, &stage, started, deadline, silence_deadline).await,
            Ok(Err(_)) => Exchange::NotSent("the connection closed"),
            Err(_) => Exchange::NotSent("the connection has no room"),
        };
        self.lock().calls.remove(&number);
        exchange
    }

    fn register(
        &self,
        now: Instant,
    ) -> (CallNumber, oneshot::Receiver<Result<Vec<u8>, PeerError>>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.last_used = now;
        // A closed connection completes no call: without the sender, the caller fails at once.
        if !self.closed.load(Ordering::SeqCst) {
            state.calls.insert(number, sender);
        }
        (number, receiver)
    }

    async fn wait(
        &self,
        mut reply: oneshot::Receiver<Result<Vec<u8>, PeerError>>,
        stage: &CallStage,
        started: Instant,
        deadline: Instant,
        silence_deadline: Instant,
    ) -> Exchange {
        let mut until = silence_deadline.min(deadline);
        loop {
            match timeout_at(until, &mut reply).await {
                Ok(Ok(result)) => return Exchange::Replied(result),
                Ok(Err(_)) if stage.cancel() => {
                    return Exchange::NotSent("the connection closed");
                }
                Ok(Err(_)) => return Exchange::Lost("the connection closed"),
                Err(_) => {}
            }
            let silent = self.lock().last_received < started;
            if silent || until >= deadline {
                return self.time_out(stage, silent);
            }
            until = deadline;
        }
    }

    fn time_out(&self, stage: &CallStage, silent: bool) -> Exchange {
        if silent {
            self.retire();
        }
        match (stage.cancel(), silent) {
            (true, _) => Exchange::NotSent("the connection does not take the call"),
            (false, true) => Exchange::Silent,
            (false, false) => Exchange::Lost("no reply within the deadline"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_received(&self) {
        let mut state = self.lock();
        state.last_received = Instant::now();
        state.unanswered_ping = None;
    }

    /// Returns whether a ping is due, and records it as sent.
    fn start_ping(&self) -> bool {
        let mut state = self.lock();
        let interval = match state.calls.is_empty() {
            true => self.limits.idle_ping_interval,
            false => self.limits.ping_interval,
        };
        let now = Instant::now();
        let due = now.duration_since(state.last_received.max(state.last_ping)) >= interval;
        if due {
            state.last_ping = now;
            state.unanswered_ping.get_or_insert(now);
        }
        due
    }

    fn complete(&self, number: CallNumber, result: Result<Vec<u8>, PeerError>) {
        let sender = self.lock().calls.remove(&number);
        if let Some(sender) = sender {
            let _ = sender.send(result);
        }
    }

    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.lock().calls.clear();
    }

    /// Whether no call is pending and the connection is idle or no longer usable.
    fn is_finished(&self) -> bool {
        let state = self.lock();
        let idle = state.last_used.elapsed() >= self.limits.idle_timeout;
        state.calls.is_empty() && (idle || !self.is_usable())
    }

    fn is_silent(&self) -> bool {
        self.lock()
            .unanswered_ping
            .is_some_and(|sent| sent.elapsed() >= self.limits.silence_timeout)
    }
}

async fn run(
    connection: Arc<PeerConnection>,
    reader: FrameReader<OwnedReadHalf>,
    writer: FrameWriter<OwnedWriteHalf>,
    queue: mpsc::Receiver<Outgoing>,
    counters: SharedCounters,
) {
    tokio::select! {
        () = read_replies(&connection, reader) => {}
        () = write_calls(&connection, writer, queue, &counters) => {}
    }
    connection.close();
}

async fn read_replies(connection: &PeerConnection, mut reader: FrameReader<OwnedReadHalf>) {
    while let Ok(Frame { head, body, .. }) = reader.read().await {
        connection.record_received();
        let FrameHead::Reply { number, outcome } = head else { continue };
        let result = match outcome {
            ReplyOutcome::Done => Ok(body),
            ReplyOutcome::Refused(text) => Err(PeerError::Refused(text)),
            ReplyOutcome::Unknown(text) => Err(PeerError::Unknown(text)),
        };
        connection.complete(number, result);
    }
}

async fn write_calls(
    connection: &PeerConnection,
    mut writer: FrameWriter<OwnedWriteHalf>,
    mut queue: mpsc::Receiver<Outgoing>,
    counters: &SharedCounters,
) {
    let write_timeout = connection.limits.silence_timeout;
    let mut pings = interval(connection.limits.ping_interval / 2);
    loop {
        tokio::select! {
            Some(outgoing) = queue.recv() => {
                if !outgoing.stage.begin_writing() {
                    continue;
                }
                let written =
                    timeout(write_timeout, writer.write(&outgoing.head, &outgoing.body)).await;
                if !matches!(written, Ok(Ok(()))) {
                    return;
                }
            }
            _ = pings.tick() => {
                if !keep_alive(connection, &mut writer, write_timeout, counters).await {
                    return;
                }
            }
        }
    }
}

/// Pings the peer if due. Returns whether to keep the connection.
async fn keep_alive(
    connection: &PeerConnection,
    writer: &mut FrameWriter<OwnedWriteHalf>,
    write_timeout: Duration,
    counters: &SharedCounters,
) -> bool {
    if connection.is_silent() {
        counters.silent_connections.increment();
        return false;
    }
    if connection.is_finished() {
        return false;
    }
    if !connection.start_ping() {
        return true;
    }
    let written = timeout(write_timeout, writer.write(&FrameHead::Ping, &[])).await;
    matches!(written, Ok(Ok(())))
}
