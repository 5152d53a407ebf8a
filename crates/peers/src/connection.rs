//! One connection to a peer, shared by many calls.

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

/// How an exchange on a connection ended.
#[derive(Debug)]
pub enum Exchange {
    /// The peer replied.
    Replied(Result<Vec<u8>, PeerError>),
    /// No byte of the call was sent.
    NotSent(&'static str),
    /// The call was sent, at least in part, and no reply came.
    Lost(&'static str),
    /// As [`Exchange::Lost`], and nothing at all was heard since: the connection is silent.
    Silent,
}

/// Whether a call was written: decides between `Unreachable` and `Unknown`. The writer and a
/// caller that gives up race for the step away from `QUEUED`, so that exactly one wins.
#[derive(Debug, Default)]
struct CallStage(AtomicU8);

const QUEUED: u8 = 0;
const WRITING: u8 = 1;
const WITHDRAWN: u8 = 2;

impl CallStage {
    fn begin_writing(&self) -> bool {
        self.step(WRITING)
    }

    /// Takes the call back. Returns whether none of its bytes were sent.
    fn withdraw(&self) -> bool {
        self.step(WITHDRAWN) || self.0.load(Ordering::SeqCst) == WITHDRAWN
    }

    fn step(&self, to: u8) -> bool {
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
struct Waiting {
    next_number: CallNumber,
    calls: HashMap<CallNumber, ReplySender>,
    last_heard: Instant,
    last_used: Instant,
    /// When the ping left to which nothing was heard yet.
    pinged: Option<Instant>,
    last_ping: Instant,
}

/// One connection to a peer.
#[derive(Debug)]
pub struct PeerConnection {
    outgoing: mpsc::Sender<Outgoing>,
    waiting: Mutex<Waiting>,
    closed: AtomicBool,
    retired: AtomicBool,
    opened: Instant,
    limits: PeerLimits,
}

impl PeerConnection {
    /// Connects to a peer and proves both ends.
    ///
    /// # Errors
    ///
    /// The text says why; no call was sent.
    pub async fn open(
        to: SocketAddr,
        ring: &KeyRing,
        limits: PeerLimits,
        counters: SharedCounters,
    ) -> Result<Arc<Self>, String> {
        let mut stream = TcpStream::connect(to).await.map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let keys = handshake::greet(&mut stream, ring, to).await.map_err(|e| e.to_string())?;
        counters.connections_out.increment();
        let (read, write) = stream.into_split();
        let reader = FrameReader::new(read, keys.backward, None, Arc::clone(&counters));
        let writer = FrameWriter::new(write, keys.outward, Arc::clone(&counters));
        let (outgoing, queue) = mpsc::channel(limits.queued_frames);
        let now = Instant::now();
        let waiting = Waiting {
            next_number: 0,
            calls: HashMap::new(),
            last_heard: now,
            last_used: now,
            pinged: None,
            last_ping: now,
        };
        let connection = Arc::new(Self {
            outgoing,
            waiting: Mutex::new(waiting),
            closed: AtomicBool::new(false),
            retired: AtomicBool::new(false),
            opened: now,
            limits,
        });
        tokio::spawn(run(Arc::clone(&connection), reader, writer, queue, counters));
        Ok(connection)
    }

    /// Whether the connection takes calls.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !self.closed.load(Ordering::SeqCst)
            && !self.retired.load(Ordering::SeqCst)
            && self.opened.elapsed() < self.limits.max_age
    }

    /// Takes no more calls; the connection closes when those that wait have ended.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
    }

    /// Sends one call and waits for its reply until `deadline`. When `patience` has passed and
    /// nothing at all was heard since the call was sent, it is given up as silent.
    pub async fn exchange(
        &self,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Instant,
        patience: Instant,
    ) -> Exchange {
        let begun = Instant::now();
        let (number, reply) = self.enter(begun);
        let stage = Arc::new(CallStage::default());
        let wait_millis = deadline.duration_since(begun).as_millis() as u32;
        let head = FrameHead::Call { number, channel, wait_millis };
        let outgoing = Outgoing { head, body, stage: Arc::clone(&stage) };
        let queued = timeout_at(deadline, self.outgoing.send(outgoing)).await;
        let exchange = match queued {
            Ok(Ok(())) => self.wait(reply, &stage, begun, deadline, patience).await,
            Ok(Err(_)) => Exchange::NotSent("the connection closed"),
            Err(_) => Exchange::NotSent("the connection has no room"),
        };
        self.lock().calls.remove(&number);
        exchange
    }

    fn enter(&self, now: Instant) -> (CallNumber, oneshot::Receiver<Result<Vec<u8>, PeerError>>) {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.lock();
        let number = waiting.next_number;
        waiting.next_number += 1;
        waiting.last_used = now;
        // After the connection closed nobody answers: the sender is dropped at once.
        if !self.closed.load(Ordering::SeqCst) {
            waiting.calls.insert(number, sender);
        }
        (number, receiver)
    }

    async fn wait(
        &self,
        mut reply: oneshot::Receiver<Result<Vec<u8>, PeerError>>,
        stage: &CallStage,
        begun: Instant,
        deadline: Instant,
        patience: Instant,
    ) -> Exchange {
        let mut until = patience.min(deadline);
        loop {
            match timeout_at(until, &mut reply).await {
                Ok(Ok(result)) => return Exchange::Replied(result),
                Ok(Err(_)) if stage.withdraw() => {
                    return Exchange::NotSent("the connection closed");
                }
                Ok(Err(_)) => return Exchange::Lost("the connection closed"),
                Err(_) => {}
            }
            let silent = self.lock().last_heard < begun;
            if silent || until >= deadline {
                return self.give_up(stage, silent);
            }
            until = deadline;
        }
    }

    fn give_up(&self, stage: &CallStage, silent: bool) -> Exchange {
        if silent {
            self.retire();
        }
        match (stage.withdraw(), silent) {
            (true, _) => Exchange::NotSent("the connection does not take the call"),
            (false, true) => Exchange::Silent,
            (false, false) => Exchange::Lost("no reply within the deadline"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hear(&self) {
        let mut waiting = self.lock();
        waiting.last_heard = Instant::now();
        waiting.pinged = None;
    }

    /// Whether a ping is due; it counts as sent.
    fn begin_ping(&self) -> bool {
        let mut waiting = self.lock();
        let interval = match waiting.calls.is_empty() {
            true => self.limits.idle_ping_interval,
            false => self.limits.ping_interval,
        };
        let now = Instant::now();
        let quiet = now.duration_since(waiting.last_heard.max(waiting.last_ping)) >= interval;
        if quiet {
            waiting.last_ping = now;
            waiting.pinged.get_or_insert(now);
        }
        quiet
    }

    fn settle(&self, number: CallNumber, result: Result<Vec<u8>, PeerError>) {
        let sender = self.lock().calls.remove(&number);
        if let Some(sender) = sender {
            let _ = sender.send(result);
        }
    }

    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.lock().calls.clear();
    }

    /// Whether the connection has nothing left to do.
    fn is_spent(&self) -> bool {
        let waiting = self.lock();
        let idle = waiting.last_used.elapsed() >= self.limits.idle;
        waiting.calls.is_empty() && (idle || !self.is_usable())
    }

    fn is_silent(&self) -> bool {
        self.lock().pinged.is_some_and(|pinged| pinged.elapsed() >= self.limits.silence)
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
        connection.hear();
        let FrameHead::Reply { number, outcome } = head else { continue };
        let result = match outcome {
            ReplyOutcome::Done => Ok(body),
            ReplyOutcome::Refused(text) => Err(PeerError::Refused(text)),
            ReplyOutcome::Unknown(text) => Err(PeerError::Unknown(text)),
        };
        connection.settle(number, result);
    }
}

async fn write_calls(
    connection: &PeerConnection,
    mut writer: FrameWriter<OwnedWriteHalf>,
    mut queue: mpsc::Receiver<Outgoing>,
    counters: &SharedCounters,
) {
    let silence = connection.limits.silence;
    let mut pings = interval(connection.limits.ping_interval / 2);
    loop {
        tokio::select! {
            Some(outgoing) = queue.recv() => {
                if !outgoing.stage.begin_writing() {
                    continue;
                }
                let written = timeout(silence, writer.write(&outgoing.head, &outgoing.body)).await;
                if !matches!(written, Ok(Ok(()))) {
                    return;
                }
            }
            _ = pings.tick() => {
                if !keep_alive(connection, &mut writer, silence, counters).await {
                    return;
                }
            }
        }
    }
}

/// Pings the peer. Returns whether the connection is to be kept.
async fn keep_alive(
    connection: &PeerConnection,
    writer: &mut FrameWriter<OwnedWriteHalf>,
    silence: Duration,
    counters: &SharedCounters,
) -> bool {
    if connection.is_silent() {
        counters.silent_connections.increment();
        return false;
    }
    if connection.is_spent() {
        return false;
    }
    if !connection.begin_ping() {
        return true;
    }
    let written = timeout(silence, writer.write(&FrameHead::Ping, &[])).await;
    matches!(written, Ok(Ok(())))
}
