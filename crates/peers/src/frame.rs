//! Frames on a connection: length, tag and body. The tag covers a counter for each direction,
//! so that a frame can neither be repeated, left out nor reordered.

use crate::counters::SharedCounters;
use crate::keys::{MacKey, TAG_BYTES, Tag};
use oleander_ports::peers::{MAX_PEER_BODY, PeerChannel};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest head of a frame, in bytes.
const MAX_HEAD: usize = 4_096;

/// Largest frame, in bytes.
pub const MAX_FRAME: usize = MAX_PEER_BODY + MAX_HEAD;

/// Longest text of a failure that is sent, in bytes.
const MAX_FAILURE_TEXT: usize = 512;

/// Bytes that one permit of the inbound budget stands for.
pub const PERMIT_BYTES: usize = 1_024;

/// Number of a call on its connection.
pub type CallNumber = u64;

/// How a call ended at the peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyOutcome {
    /// It was handled; the reply's body follows.
    Done,
    /// It was refused and changed nothing.
    Refused(String),
    /// It may have changed something.
    Unknown(String),
}

impl ReplyOutcome {
    /// A refusal with a text of bounded length.
    #[must_use]
    pub fn refused(text: &str) -> Self {
        Self::Refused(bounded(text))
    }

    /// An unknown outcome with a text of bounded length.
    #[must_use]
    pub fn unknown(text: &str) -> Self {
        Self::Unknown(bounded(text))
    }
}

fn bounded(text: &str) -> String {
    let mut end = text.len().min(MAX_FAILURE_TEXT);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}

/// What a frame is about; a body may follow it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameHead {
    /// A call.
    Call {
        /// Its number.
        number: CallNumber,
        /// Its channel.
        channel: PeerChannel,
        /// Milliseconds that the caller waits.
        wait_millis: u32,
    },
    /// The reply to a call.
    Reply {
        /// The call's number.
        number: CallNumber,
        /// How it ended.
        outcome: ReplyOutcome,
    },
    /// Asks for a pong.
    Ping,
    /// Answers a ping.
    Pong,
}

/// A frame that was read.
#[derive(Debug)]
pub struct Frame {
    /// What it is about.
    pub head: FrameHead,
    /// The body.
    pub body: Vec<u8>,
    /// The part of the inbound budget that the body holds.
    pub permit: Option<OwnedSemaphorePermit>,
}

/// Why a connection cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed or ended.
    #[error("the connection ended: {0}")]
    Ended(#[from] std::io::Error),
    /// A frame is too large or cannot be decoded.
    #[error("a frame is malformed")]
    Malformed,
    /// A frame's tag is wrong.
    #[error("a frame is forged")]
    Forged,
}

/// Writes frames.
#[derive(Debug)]
pub struct FrameWriter<W> {
    io: W,
    key: MacKey,
    counter: u64,
    counters: SharedCounters,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// A writer with the key of its direction.
    pub const fn new(io: W, key: MacKey, counters: SharedCounters) -> Self {
        Self { io, key, counter: 0, counters }
    }

    /// Writes one frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the frame is too large or the connection fails.
    pub async fn write(&mut self, head: &FrameHead, body: &[u8]) -> Result<(), FrameError> {
        let mut bytes = vec![0u8; 4 + TAG_BYTES];
        bytes = postcard::to_extend(head, bytes).map_err(|_| FrameError::Malformed)?;
        bytes.extend_from_slice(body);
        let content = &bytes[4 + TAG_BYTES..];
        if content.len() > MAX_FRAME {
            return Err(FrameError::Malformed);
        }
        let length = (content.len() as u32).to_le_bytes();
        let tag = self.key.sign(&[&self.counter.to_le_bytes(), content]);
        self.counter += 1;
        bytes[..4].copy_from_slice(&length);
        bytes[4..4 + TAG_BYTES].copy_from_slice(&tag);
        self.io.write_all(&bytes).await?;
        self.counters.frames_out.increment();
        self.counters.frame_bytes_out.add(bytes.len());
        Ok(())
    }
}

/// Reads frames.
#[derive(Debug)]
pub struct FrameReader<R> {
    io: R,
    key: MacKey,
    counter: u64,
    budget: Option<Arc<Semaphore>>,
    counters: SharedCounters,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// A reader with the key of its direction. With a `budget`, a frame is read only when its
    /// bytes fit.
    pub const fn new(
        io: R,
        key: MacKey,
        budget: Option<Arc<Semaphore>>,
        counters: SharedCounters,
    ) -> Self {
        Self { io, key, counter: 0, budget, counters }
    }

    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the connection ends, or a frame is forged or malformed. The
    /// connection is to be closed.
    pub async fn read(&mut self) -> Result<Frame, FrameError> {
        let result = self.read_frame().await;
        match &result {
            Ok(frame) => {
                self.counters.frames_in.increment();
                self.counters.frame_bytes_in.add(4 + TAG_BYTES + frame.body.len());
            }
            Err(FrameError::Malformed) => self.counters.malformed.increment(),
            Err(FrameError::Forged) => self.counters.forged.increment(),
            Err(FrameError::Ended(_)) => {}
        }
        result
    }

    async fn read_frame(&mut self) -> Result<Frame, FrameError> {
        let mut length = [0u8; 4];
        self.io.read_exact(&mut length).await?;
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_FRAME {
            return Err(FrameError::Malformed);
        }
        let mut tag = Tag::default();
        self.io.read_exact(&mut tag).await?;
        let permit = self.reserve(length).await;
        let content = self.read_content(length).await?;
        if !self.key.verify(&[&self.counter.to_le_bytes(), &content], &tag) {
            return Err(FrameError::Forged);
        }
        self.counter += 1;
        let (head, body) =
            postcard::take_from_bytes(&content).map_err(|_| FrameError::Malformed)?;
        Ok(Frame { head, body: body.to_vec(), permit })
    }

    /// Reads as the bytes come, so that a false length alone takes no memory.
    async fn read_content(&mut self, length: usize) -> Result<Vec<u8>, FrameError> {
        let mut content = Vec::new();
        let mut limited = (&mut self.io).take(length as u64);
        limited.read_to_end(&mut content).await?;
        if content.len() < length {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
        }
        Ok(content)
    }

    async fn reserve(&self, length: usize) -> Option<OwnedSemaphorePermit> {
        let budget = Arc::clone(self.budget.as_ref()?);
        let permits = length.div_ceil(PERMIT_BYTES) as u32;
        budget.acquire_many_owned(permits).await.ok()
    }
}
