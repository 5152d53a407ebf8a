//! Check that the chunks of a streamed answer are complete, in order and without duplicates.

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// It is the next chunk; pass it on.
    Pass,
    /// It was received before; drop it.
    Duplicate,
}

/// Why a stream is not a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamFault {
    /// Chunks are missing.
    #[error("chunk {found} came where {expected} was due")]
    Gap {
        /// The expected number.
        expected: u32,
        /// The received number.
        found: u32,
    },
    /// A resumed stream did not start at the requested position.
    #[error("the resumed stream starts at {found} and not at {asked}")]
    NotResumed {
        /// The requested number.
        asked: u32,
        /// The received number.
        found: u32,
    },
    /// The number of tokens differs from the one that the engine reports.
    #[error("{counted} tokens came and {reported} were reported")]
    WrongLength {
        /// Tokens received.
        counted: u32,
        /// Tokens reported by the engine.
        reported: u32,
    },
    /// A chunk arrived after the last one.
    #[error("a chunk came after the last one")]
    AfterFinish,
    /// The stream ended without its end marker.
    #[error("the stream was cut after {0} tokens")]
    Cut(u32),
}

/// Tracks the chunks of one stream. The answer is complete only if [`StreamOrder::end`] is `Ok`.
///
/// ```
/// use oleander_core::stream_order::{ChunkVerdict, StreamFault, StreamOrder};
///
/// let mut order = StreamOrder::new();
/// assert_eq!(order.accept(0), Ok(ChunkVerdict::Pass));
/// assert_eq!(order.accept(0), Ok(ChunkVerdict::Duplicate));
/// assert_eq!(order.accept(2), Err(StreamFault::Gap { expected: 1, found: 2 }));
/// assert_eq!(order.end(), Err(StreamFault::Cut(1)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamOrder {
    next: u32,
    resumed: Option<u32>,
    finished: bool,
}

impl StreamOrder {
    /// Tracks a stream from its start.
    #[must_use]
    pub const fn new() -> Self {
        Self { next: 0, resumed: None, finished: false }
    }

    /// Tracks a stream that is resumed after `from` tokens.
    #[must_use]
    pub const fn resumed(from: u32) -> Self {
        Self { next: from, resumed: if from > 0 { Some(from) } else { None }, finished: false }
    }

    /// Checks the number of a chunk.
    ///
    /// # Errors
    ///
    /// [`StreamFault`] when a chunk is missing, the stream did not resume at the requested position
    /// or it had already ended.
    pub const fn accept(&mut self, number: u32) -> Result<ChunkVerdict, StreamFault> {
        if let Some(asked) = self.resumed.take()
            && number != asked
        {
            return Err(StreamFault::NotResumed { asked, found: number });
        }
        if number < self.next {
            return Ok(ChunkVerdict::Duplicate);
        }
        if self.finished {
            return Err(StreamFault::AfterFinish);
        }
        if number > self.next {
            return Err(StreamFault::Gap { expected: self.next, found: number });
        }
        self.next += 1;
        Ok(ChunkVerdict::Pass)
    }

    /// Records the last chunk, with its number and the token count reported by the engine, if
    /// present.
    ///
    /// # Errors
    ///
    /// [`StreamFault`] when one of them differs from the number of tokens received.
    pub const fn finish(
        &mut self,
        number: Option<u32>,
        reported: Option<u32>,
    ) -> Result<(), StreamFault> {
        self.resumed = None;
        if let Some(found) = number
            && found != self.next
        {
            return Err(StreamFault::Gap { expected: self.next, found });
        }
        if let Some(reported) = reported
            && reported != self.next
        {
            return Err(StreamFault::WrongLength { counted: self.next, reported });
        }
        self.finished = true;
        Ok(())
    }

    /// Checks that the stream may end here.
    ///
    /// # Errors
    ///
    /// [`StreamFault::Cut`] when the last chunk has not been received.
    pub const fn end(&self) -> Result<(), StreamFault> {
        if self.finished { Ok(()) } else { Err(StreamFault::Cut(self.next)) }
    }

    /// Number of tokens received so far.
    #[must_use]
    pub const fn position(&self) -> u32 {
        self.next
    }

    /// Whether the last chunk has been received.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }
}
