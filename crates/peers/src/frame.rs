//! Frames of a connection: length, tag, head and body. The tag covers a counter per direction, so
//! that frames cannot be replayed, dropped or reordered.

use crate::counters::SharedCounters;
use crate::keys::{MacKey, TAG_BYTES, Tag};
use oleander_ports::peers::{MAX_PEER_BODY, PeerChannel};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size of the head of a frame, in bytes.
const MAX_HEAD_BYTES: usize = 4_096;

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = MAX_PEER_BODY + MAX_HEAD_BYTES;

/// Maximum length of a failure text in a reply, in bytes.
const MAX_FAILURE_TEXT_BYTES: usize = 512;

/// Bytes per permit of the inbound budget.
pub const PERMIT_BYTES: usize = 1_024;

/// Number of a call on its connection.
pub type CallNumber = u64;

/// Outcome of a call at the peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyOutcome {
    /// The call was handled; the body of the reply follows.
    Done,
    /// The call was refused and had no effect.
    Refused(String),
    /// The call failed and may have had an effect.
    Unknown(String),
}

impl ReplyOutcome {
    /// A refusal; the text is truncated to the maximum length.
    #[must_use]
    pub fn refused(text: &str) -> Self {
        Self::Refused(truncate_text(text))
    }

    /// An unknown outcome; the text is truncated to the maximum length.
    #[must_use]
    pub fn unknown(text: &str) -> Self {
        Self::Unknown(truncate_text(text))
    }
}

fn truncate_text(text: &str) -> String {
    let mut end = text.len().min(MAX_FAILURE_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}

/// Head of a frame; a body may follow it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameHead {
    /// A call.
    Call {
        /// Number of the call.
        number: CallNumber,
        /// Channel of the call.
        channel: PeerChannel,
        /// How long the caller waits for the reply, in milliseconds.
        wait_millis: u32,
    },
    /// Reply to a call.
    Reply {
        /// Number of the call.
        number: CallNumber,
        /// Outcome of the call.
        outcome: ReplyOutcome,
    },
    /// Request for a pong.
    Ping,
    /// Answer to a ping.
    Pong,
}

/// A received frame.
#[derive(Debug)]
pub struct Frame {
    /// The head.
    pub head: FrameHead,
    /// The body.
    pub body: Vec<u8>,
    /// Share of the inbound budget that the frame holds.
    pub permit: Option<OwnedSemaphorePermit>,
}

/// Why a frame could not be read or written. The connection cannot be used any more.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed or was closed.
    #[error("connection ended: {0}")]
    Ended(#[from] std::io::Error),
    /// The frame is too large or cannot be encoded or decoded.
    #[error("frame is too large or malformed")]
    Malformed,
    /// The tag of the frame is wrong.
    #[error("authentication tag of a frame does not match its content")]
    Forged,
}

/// Writes the frames of one direction of a connection.
#[derive(Debug)]
pub struct FrameWriter<W> {
    io: W,
    key: MacKey,
    counter: u64,
    counters: SharedCounters,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Creates a writer with the key of its direction.
    pub const fn new(io: W, key: MacKey, counters: SharedCounters) -> Self {
        Self { io, key, counter: 0, counters }
    }

    /// Writes one frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the frame is too large or the connection fails.
    pub async fn write(&mut self, head: &FrameHead, body: &[u8]) -> Result<(), FrameError> {
        let mut bytes = vec![0u8; 4 + TAG_BYTES];
        bytes = postcard::to_extend(head, bytes).map_err(|_| FrameError::Malformed)?;
        bytes.extend_from_slice(body);
        let content = &bytes[4 + TAG_BYTES..];
        if content.len() > MAX_FRAME_BYTES {
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

/// Reads the frames of one direction of a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    io: R,
    key: MacKey,
    counter: u64,
    budget: Option<Arc<Semaphore>>,
    counters: SharedCounters,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader with the key of its direction. With a `budget`, reading a frame waits until
    /// the budget has room for it.
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
    /// [`FrameError`] if the connection ends, or the frame is forged or malformed. The caller must
    /// close the connection.
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
        if length > MAX_FRAME_BYTES {
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

    /// Allocates as bytes arrive, so that a forged length alone reserves no memory.
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
