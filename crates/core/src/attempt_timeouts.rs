//! Read timeouts of an attempt, after which its connection counts as lost.

use crate::units::Millis;
use std::time::Duration;

/// First-byte timeout, as a multiple of the time to first token on an idle upstream.
const FIRST_BYTE_FACTOR: u64 = 20;
/// Timeout between chunks, as a multiple of the time between tokens on an idle upstream.
const CHUNK_GAP_FACTOR: u64 = 50;
/// Shortest timeout for the first byte.
pub const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest timeout for the next chunk.
pub const MIN_CHUNK_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest timeout for either.
pub const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Read timeouts of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// Time to the response headers of an upstream that does not report queueing.
    pub first_byte: Duration,
    /// Time to the response headers of an upstream that reports queueing.
    pub queued_first_byte: Duration,
    /// Time between two chunks.
    pub next_chunk: Duration,
}

impl AttemptTimeouts {
    /// Timeouts for a version that takes `first_token` and `token_gap` on an idle upstream, with
    /// `left` until the deadline. Half of the time left is reserved for another attempt, when
    /// that is enough for one.
    ///
    /// ```
    /// use oleander_core::attempt_timeouts::AttemptTimeouts;
    /// use oleander_core::units::Millis;
    /// use std::time::Duration;
    ///
    /// let left = Duration::from_secs(30);
    /// let timeouts = AttemptTimeouts::new(Millis::new(200), Millis::new(20), left);
    /// assert_eq!(timeouts.first_byte, Duration::from_secs(4));
    /// assert_eq!(timeouts.next_chunk, Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn new(first_token: Millis, token_gap: Millis, left: Duration) -> Self {
        let first_byte = Duration::from_millis(first_token.get().saturating_mul(FIRST_BYTE_FACTOR));
        let gap = Duration::from_millis(token_gap.get().saturating_mul(CHUNK_GAP_FACTOR));
        let share = if left / 2 < MIN_FIRST_BYTE_TIMEOUT { left } else { left / 2 };
        Self {
            first_byte: first_byte.clamp(MIN_FIRST_BYTE_TIMEOUT, MAX_SILENCE_TIMEOUT).min(share),
            queued_first_byte: share,
            next_chunk: gap.clamp(MIN_CHUNK_TIMEOUT, MAX_SILENCE_TIMEOUT).min(left),
        }
    }
}
