//! Incremental reader of server-sent events with a size limit.

use bytes::{Buf, Bytes, BytesMut};

/// Largest single event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The stream is not a valid sequence of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Splits a byte stream into the `data` of its events. Other fields and comments are skipped.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: BytesMut,
}

impl SseReader {
    /// Creates a reader at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// [`SseError::TooLarge`] when the unread bytes exceed [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the data of the next complete event.
    pub fn next_data(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
            let mut line = self.buffer.split_to(end + 1).freeze();
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            if line.starts_with(b"data:") {
                line.advance(5);
                if line.first() == Some(&b' ') {
                    line.advance(1);
                }
                return Some(line);
            }
        }
    }
}
