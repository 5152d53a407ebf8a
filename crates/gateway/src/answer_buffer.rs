//! An answer that is buffered completely before it is passed on. All of them together are bounded.

use crate::fault::AttemptFault;
use crate::state::GatewayState;
use bytes::{Bytes, BytesMut};
use oleander_adapters::connection_ledger::{HeldBytes, OpenConnection};
use oleander_core::attempt_retry::FaultKind;
use std::sync::Arc;

/// Maximum response of a plain service, in bytes: a sixteenth of the minimum memory of a host.
const MAX_ANSWER_BYTES: usize = 5 * 1024 * 1024;
/// All buffered answers may take this fraction (1/n) of the process's memory.
const BUFFER_MEMORY_DIVISOR: u64 = 8;
/// Size up to which an answer is accepted in any case.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// The part of an answer's body that was received.
pub struct AnswerBuffer {
    state: Arc<GatewayState>,
    bytes: BytesMut,
    /// Counted bytes, released on drop.
    counted: i64,
    /// The same bytes in the budget of the caller's connection.
    held: Option<HeldBytes>,
}

impl AnswerBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(state: &Arc<GatewayState>) -> Self {
        Self { state: Arc::clone(state), bytes: BytesMut::new(), counted: 0, held: None }
    }

    /// Counts the bytes in the budget of the caller's connection as well.
    #[must_use]
    pub fn with_connection(mut self, connection: Option<&Arc<OpenConnection>>) -> Self {
        self.held = connection.and_then(|connection| connection.hold(0));
        self
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// [`FaultKind::Wrong`] when the answer is too large, or larger than what is left of the memory
    /// for answers.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), AttemptFault> {
        let length = self.bytes.len() + bytes.len();
        if length > MAX_ANSWER_BYTES {
            let text = format!("the body is larger than {MAX_ANSWER_BYTES} bytes");
            return Err(AttemptFault::new(FaultKind::Wrong, text));
        }
        let added = i64::try_from(bytes.len()).unwrap_or(i64::MAX);
        let total = self.state.metrics.add_buffered_answers(added).saturating_add(added);
        self.counted += added;
        let memory = self.state.settings.load().memory_bytes;
        let max_total = i64::try_from(memory / BUFFER_MEMORY_DIVISOR).unwrap_or(i64::MAX);
        let fits = self.held.as_mut().is_none_or(|held| {
            let fits = held.grow_to(length);
            held.force_to(length);
            fits
        });
        if length > SMALL_ANSWER_BYTES && (total > max_total || !fits) {
            let text = format!("no memory for a body of {length} bytes or more");
            return Err(AttemptFault::new(FaultKind::Wrong, text));
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The body, which counts as buffered until it has been sent.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for AnswerBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.state.metrics.add_buffered_answers(-self.counted);
    }
}
