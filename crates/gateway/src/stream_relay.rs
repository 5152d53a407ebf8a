//! Relays a stream event by event, and resumes it on another upstream when it breaks.

use crate::attempt::UpstreamAnswer;
use crate::event_splitter::EventSplitter;
use crate::fault::AttemptFault;
use crate::read_ahead::read_ahead;
use crate::request_run::{RequestRun, RunError};
use crate::upstream_entry::UpstreamEntry;
use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use oleander_adapters::connection_ledger::HeldBytes;
use oleander_adapters::http_server::{BodyError, ResponseBody};
use oleander_core::attempt_retry::FaultKind;
use oleander_core::units::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Maximum gap between events where a route specifies none.
const DEFAULT_EVENT_GAP: Duration = Duration::from_secs(1);
/// Multiple of the maximum event gap after which a stream is resumed elsewhere. The stream is late
/// after one gap already, but an upstream that is only slow mostly sends its next event before two.
const EVENT_GAP_FACTOR: u32 = 2;

/// Maximum time for which a silent upstream may still work on a stream that another one takes over.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Size up to which an unfinished event is held in any case.
const SMALL_EVENT_BYTES: usize = 16 * 1024;
/// A buffer that grows takes up to this multiple of its content.
const BUFFER_FACTOR: usize = 2;

/// A stream being relayed.
pub struct StreamRelay {
    run: RequestRun,
    answer: Option<UpstreamAnswer>,
    splitter: EventSplitter,
    /// An unfinished event that is not small, in the budget of the caller's connection.
    held: Option<HeldBytes>,
    event_timeout: Duration,
    /// Media type of the first answer, which an answer that goes on with the stream must have.
    media_type: Option<String>,
    /// When the wait for the next event, or for an upstream to send it, began.
    waiting_since: Timestamp,
}

/// Media type of an answer, without parameters.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    text.split(';').next().map(|name| name.trim().to_ascii_lowercase())
}

/// Result of waiting for the next bytes of the upstream.
enum StreamChunk {
    Bytes(Bytes),
    End,
    Broken(AttemptFault),
    /// Silent for long, and the retry to leave the upstream is spent.
    Silent(AttemptFault),
}

impl StreamRelay {
    /// Relays an answer whose headers were received.
    #[must_use]
    pub fn new(run: RequestRun, answer: UpstreamAnswer) -> Self {
        let max_gap = run.request.route.max_event_gap.unwrap_or(DEFAULT_EVENT_GAP);
        let last_event = run.request.head.resume_after.as_ref();
        let last_event = last_event.and_then(|value| value.to_str().ok()?.parse().ok());
        Self {
            waiting_since: run.state.clock.now(),
            media_type: media_type(&answer.headers),
            run,
            answer: Some(answer),
            splitter: EventSplitter::after(last_event),
            held: None,
            event_timeout: max_gap.saturating_mul(EVENT_GAP_FACTOR),
        }
    }

    /// The next complete events; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`RunError`] when the stream broke and cannot be resumed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, RunError> {
        self.waiting_since = self.run.state.clock.now();
        loop {
            let passed = self.splitter.passed();
            if let Some(events) = self.splitter.take_complete() {
                let count = self.splitter.passed() - passed;
                self.run.record_events(count);
                if let Some(answer) = &mut self.answer {
                    answer.permit.record_events(count, self.run.state.clock.now());
                }
                return Ok(Some(events));
            }
            if self.splitter.has_foreign() {
                let text = "expected events of the stream, found something else";
                self.resume(AttemptFault::new(FaultKind::Wrong, text)).await?;
                continue;
            }
            match self.next_chunk().await? {
                StreamChunk::Bytes(bytes) => {
                    if let Err(fault) = self.push(&bytes) {
                        self.resume(fault).await?;
                    }
                }
                StreamChunk::End if self.splitter.has_partial() => {
                    let text = "stream ended within an event";
                    self.resume(AttemptFault::new(FaultKind::Cut, text)).await?;
                }
                StreamChunk::End => {
                    let comments = self.splitter.take_comments();
                    if comments.is_none() {
                        self.finish();
                    }
                    return Ok(comments);
                }
                StreamChunk::Broken(fault) => self.resume(fault).await?,
                StreamChunk::Silent(fault) => self.try_take_over(&fault).await?,
            }
        }
    }

    /// Takes received bytes, and holds them until their event is complete.
    fn push(&mut self, bytes: &[u8]) -> Result<(), AttemptFault> {
        let wrong = |text: String| AttemptFault::new(FaultKind::Wrong, text);
        self.splitter.push(bytes).map_err(|error| wrong(error.to_string()))?;
        let length = self.splitter.unfinished_bytes();
        if length <= SMALL_EVENT_BYTES {
            self.held = None;
            return Ok(());
        }
        let Some(connection) = &self.run.request.connection else { return Ok(()) };
        let size = length * BUFFER_FACTOR;
        let fits = match &mut self.held {
            Some(held) => held.grow_to(size),
            None => {
                self.held = connection.hold(size);
                self.held.is_some()
            }
        };
        if fits { Ok(()) } else { Err(wrong(format!("no memory for an event of {length} bytes"))) }
    }

    async fn next_chunk(&mut self) -> Result<StreamChunk, RunError> {
        loop {
            let left = self.run.time_to_deadline();
            if left.is_zero() {
                return Err(RunError::TimedOut);
            }
            // Bytes that are no event do not prolong the wait.
            let waited = self.run.state.clock.now().since(self.waiting_since);
            let event_left = self.event_timeout.saturating_sub(waited);
            // A stream that cannot be resumed elsewhere may use all the time left.
            let timeout = if self.run.could_resume() { event_left.min(left) } else { left };
            let Some(answer) = &mut self.answer else { return Ok(StreamChunk::End) };
            let received = if timeout.is_zero() {
                None
            } else {
                tokio::time::timeout(timeout, answer.body.frame()).await.ok()
            };
            match received {
                Some(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(StreamChunk::Bytes(bytes));
                    }
                }
                Some(None) => return Ok(StreamChunk::End),
                Some(Some(Err(error))) => {
                    let fault = AttemptFault::new(FaultKind::Cut, error.to_string());
                    return Ok(StreamChunk::Broken(fault));
                }
                None if timeout >= left => return Err(RunError::TimedOut),
                None => {
                    let text = format!("no event within {:?}", self.event_timeout);
                    let fault = AttemptFault::new(FaultKind::Silent, text);
                    if self.run.may_leave_silent(&fault, self.event_timeout) {
                        return Ok(StreamChunk::Silent(fault));
                    }
                    self.waiting_since = self.run.state.clock.now();
                }
            }
        }
    }

    /// Resumes after a fault, if a retry is allowed.
    async fn resume(&mut self, fault: AttemptFault) -> Result<(), RunError> {
        if !self.run.may_retry(&fault) {
            self.drop_answer(&fault);
            return Err(RunError::Failed(fault));
        }
        self.restart(&fault).await
    }

    /// Drops the current attempt and counts its fault.
    fn drop_answer(&mut self, fault: &AttemptFault) {
        if let Some(answer) = self.answer.take() {
            let entry = answer.permit.upstream.entry.clone();
            drop(answer);
            self.record_fault(&entry, fault);
        }
    }

    fn record_fault(&mut self, entry: &UpstreamEntry, fault: &AttemptFault) {
        self.run.record_crash(entry, fault);
        self.run.record_fault(entry, fault);
        self.run.record.add_attempt(entry.name.as_str(), None, &fault.to_string());
    }

    /// Drops the current attempt, then starts another one after the last event that was passed on.
    async fn restart(&mut self, fault: &AttemptFault) -> Result<(), RunError> {
        self.drop_answer(fault);
        let last = self.splitter.last_id();
        let answer = self.run.next_answer(last).await?;
        self.begin_resumed(answer, last)
    }

    /// Continues a silent stream on another upstream. The silent answer is kept for a moment, since
    /// the other upstream may refuse and the silent one go on.
    async fn try_take_over(&mut self, fault: &AttemptFault) -> Result<(), RunError> {
        let Some(silent) = self.answer.take() else { return Ok(()) };
        let entry = Arc::clone(&silent.permit.upstream.entry);
        let last = self.splitter.last_id();
        self.run.keep_silent(true);
        let (mut found, silent) = {
            let next = self.run.next_answer(last);
            tokio::pin!(next);
            match tokio::time::timeout(MAX_OVERLAP, next.as_mut()).await {
                Ok(found) => (found, Some(silent)),
                Err(_) => {
                    drop(silent);
                    (next.await, None)
                }
            }
        };
        self.run.keep_silent(false);
        if let (None, Err(RunError::Failed(other))) = (&silent, &found)
            && self.run.may_retry(other)
        {
            found = self.run.next_answer(last).await;
        }
        let has_begun = found.as_ref().is_ok_and(|answer| self.goes_on(answer));
        if let Some(silent) = silent.filter(|_| !has_begun) {
            self.answer = Some(silent);
            self.waiting_since = self.run.state.clock.now();
            return Ok(());
        }
        self.record_fault(&entry, fault);
        self.begin_resumed(found?, last)
    }

    /// Whether an answer goes on with the stream, as far as its headers tell.
    fn goes_on(&self, answer: &UpstreamAnswer) -> bool {
        answer.status.is_success() && media_type(&answer.headers) == self.media_type
    }

    fn begin_resumed(&mut self, answer: UpstreamAnswer, last: Option<u64>) -> Result<(), RunError> {
        if !self.goes_on(&answer) {
            let found = media_type(&answer.headers);
            let text = format!("status {} and type {found:?} when resuming", answer.status);
            return Err(RunError::Failed(AttemptFault::new(FaultKind::Failed, text)));
        }
        let splitter = EventSplitter::after(last);
        self.held = None;
        self.splitter = if last.is_some() { splitter.with_ids() } else { splitter };
        self.run.state.metrics.record_resumption();
        self.answer = Some(answer);
        self.waiting_since = self.run.state.clock.now();
        Ok(())
    }

    fn finish(&mut self) {
        self.run.record.set_outcome("answered", 200, "");
        if let Some(answer) = self.answer.take() {
            self.run.record_stream_end(&answer.permit.upstream.entry);
            tokio::spawn(answer.release_connection(Arc::clone(&self.run.state)));
        }
    }

    /// Returns the attempts of a stream that has not begun for the caller.
    pub fn into_run(self) -> RequestRun {
        self.run
    }

    /// The response body for the caller, which begins with `first`.
    #[must_use]
    pub fn into_body(self, first: Bytes) -> ResponseBody {
        let connection = self.run.request.connection.clone();
        let source = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(events), Some(relay))),
                Ok(None) => None,
                Err(run_error) => {
                    let refusal = relay.run.refusal(&run_error);
                    relay.run.record.set_outcome("broken_off", 200, format!("{run_error:?}"));
                    let error: BodyError = refusal.reason.into();
                    Some((Err(error), None))
                }
            }
        });
        read_ahead(first, source, connection)
    }
}
