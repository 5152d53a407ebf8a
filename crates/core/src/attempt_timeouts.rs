//! How long an attempt may be silent before its connection counts as lost.

use crate::units::Millis;
use std::time::Duration;

/// First-token times of an idle upstream after which the first byte is overdue.
const FIRST_BYTE_FACTOR: u64 = 20;
/// Token gaps after which the next chunk is overdue.
const GAP_FACTOR: u64 = 50;
/// Shortest patience for the first byte.
pub const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest patience for the next chunk.
pub const MIN_CHUNK_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest patience for either.
pub const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest silences of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// Until the head of the answer, from an upstream that does not say that it queues.
    pub first_byte: Duration,
    /// Until the head of the answer, from one that does.
    pub queued_first_byte: Duration,
    /// Between two chunks.
    pub next_chunk: Duration,
}

impl AttemptTimeouts {
    /// Patience for a version that takes `first_token` and `token_gap` on an idle upstream,
    /// with `left` until the deadline. Half of what is left is kept for another attempt, when
    /// that is enough for one.
    ///
    /// ```
    /// use oleander_core::attempt_timeouts::AttemptTimeouts;
    /// use oleander_core::units::Millis;
    /// use std::time::Duration;
    ///
    /// let left = Duration::from_secs(30);
    /// let patience = AttemptTimeouts::new(Millis::new(200), Millis::new(20), left);
    /// assert_eq!(patience.first_byte, Duration::from_secs(4));
    /// assert_eq!(patience.next_chunk, Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn new(first_token: Millis, token_gap: Millis, left: Duration) -> Self {
        let first_byte = Duration::from_millis(first_token.get().saturating_mul(FIRST_BYTE_FACTOR));
        let gap = Duration::from_millis(token_gap.get().saturating_mul(GAP_FACTOR));
        let share = if left / 2 < MIN_FIRST_BYTE_TIMEOUT { left } else { left / 2 };
        Self {
            first_byte: first_byte.clamp(MIN_FIRST_BYTE_TIMEOUT, MAX_SILENCE_TIMEOUT).min(share),
            queued_first_byte: share,
            next_chunk: gap.clamp(MIN_CHUNK_TIMEOUT, MAX_SILENCE_TIMEOUT).min(left),
        }
    }
}
