//! Splits a stream of server-sent events at event boundaries, so that a stream that breaks within
//! an event leaves no partial event at the caller.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes up to the end of the next new event, comments and repeated events
/// included; an upstream that exceeds it is not sending events.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// There is no new event within [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no new event within {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Splits bytes into complete events.
///
/// ```
/// use oleander_gateway::event_splitter::EventSplitter;
///
/// let mut splitter = EventSplitter::after(None);
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
/// assert_eq!(splitter.take_complete().unwrap(), "id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(1));
/// assert!(splitter.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's start that is known to contain no end of an event.
    searched: usize,
    last: Option<u64>,
    /// Events that were passed on.
    passed: u32,
    /// Comments, which are passed on with the next event.
    comments: BytesMut,
    /// Bytes received since the last new event.
    pending: usize,
    /// Whether each event must have an id.
    needs_ids: bool,
    /// Whether something else than an event of the stream was found.
    has_foreign: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event with this id.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Takes only events with ids, and comments, as from an upstream that goes on with a stream of
    /// another one.
    ///
    /// ```
    /// use oleander_gateway::event_splitter::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::after(Some(1)).with_ids();
    /// splitter.push(b"id: 2\ndata: b\n\nout of memory\n\n").unwrap();
    /// assert_eq!(splitter.take_complete().unwrap(), "id: 2\ndata: b\n\n");
    /// assert!(splitter.has_foreign());
    /// ```
    #[must_use]
    pub const fn with_ids(mut self) -> Self {
        self.needs_ids = true;
        self
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// [`EventTooLarge`] when there is no new event within the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.pending + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.pending += bytes.len();
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes all complete events that were not passed on before; `None` when there are none.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        let mut passed = BytesMut::new();
        while !self.has_foreign
            && let Some(event) = self.next_event()
        {
            let id = event_id(&event);
            if self.needs_ids && id.is_none() && !is_comment(&event) {
                self.has_foreign = true;
                break;
            }
            if id.is_none() && !has_data(&event) {
                self.comments.extend_from_slice(&event);
                continue;
            }
            let is_new = match (id, self.last) {
                (Some(id), Some(last)) => id > last,
                _ => true,
            };
            if is_new {
                self.last = id.or(self.last);
                self.passed += 1;
                self.pending = self.buffer.len();
                passed.unsplit(self.comments.split());
                passed.extend_from_slice(&event);
            }
        }
        (!passed.is_empty()).then(|| passed.freeze())
    }

    /// Takes the comments after the last event; `None` when there are none.
    pub fn take_comments(&mut self) -> Option<Bytes> {
        (!self.comments.is_empty()).then(|| self.comments.split().freeze())
    }

    /// Whether something else than the events of the stream was found; nothing after it is taken.
    #[must_use]
    pub const fn has_foreign(&self) -> bool {
        self.has_foreign
    }

    fn next_event(&mut self) -> Option<BytesMut> {
        let end = event_end(&self.buffer, self.searched.saturating_sub(3));
        let Some(end) = end else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        Some(self.buffer.split_to(end))
    }

    /// Id of the last event that was passed on.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Number of events that were passed on.
    #[must_use]
    pub const fn passed(&self) -> u32 {
        self.passed
    }

    /// Number of bytes received since the last new event.
    #[must_use]
    pub const fn unfinished_bytes(&self) -> usize {
        self.pending
    }

    /// Whether a partial event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// End of the first event, which is after an empty line.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut index = from;
    while index < bytes.len() {
        if bytes[index..].starts_with(b"\n\n") {
            return Some(index + 2);
        }
        if bytes[index..].starts_with(b"\r\n\r\n") {
            return Some(index + 4);
        }
        index += 1;
    }
    None
}

/// Whether an event has comments and fields for the client's connection only.
fn is_comment(event: &[u8]) -> bool {
    let starts = [&b":"[..], b"retry:", b"event:", b"\r"];
    event
        .split(|&byte| byte == b'\n')
        .all(|line| line.is_empty() || starts.iter().any(|start| line.starts_with(start)))
        && !has_data(event)
}

fn has_data(event: &[u8]) -> bool {
    event.split(|&byte| byte == b'\n').any(|line| line.starts_with(b"data"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
