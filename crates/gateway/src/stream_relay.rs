//! Passes a stream on event by event, and goes on at another upstream when it breaks.

use crate::attempt::LiveAnswer;
use crate::event_splitter::EventSplitter;
use crate::fault::AttemptFault;
use crate::request_run::{RequestRun, RunEnd};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use oleander_adapters::http_server::{BodyError, ResponseBody};
use oleander_core::attempt_retry::FaultKind;
use std::time::Duration;

/// Pause between events that is on time where a route names none.
const UNSAID_PAUSE: Duration = Duration::from_secs(1);
/// Times the longest pause that is on time after which a stream goes on elsewhere. One pause
/// already made it late; an upstream that is only slow mostly sends its next event before two.
const PAUSE_FACTOR: u32 = 2;

/// A stream that is passed on.
pub struct StreamRelay {
    run: RequestRun,
    answer: Option<LiveAnswer>,
    splitter: EventSplitter,
    patience: Duration,
}

/// What came of waiting for the upstream.
enum Piece {
    Bytes(Bytes),
    End,
    Broken(AttemptFault),
}

impl StreamRelay {
    /// Relays an answer whose head is there.
    #[must_use]
    pub fn new(run: RequestRun, answer: LiveAnswer) -> Self {
        let pause = run.request.route.longest_pause.unwrap_or(UNSAID_PAUSE);
        let begun = run.request.head.resume_after.as_ref();
        let begun = begun.and_then(|value| value.to_str().ok()?.parse().ok());
        Self {
            run,
            answer: Some(answer),
            splitter: EventSplitter::after(begun),
            patience: pause.saturating_mul(PAUSE_FACTOR),
        }
    }

    /// The next whole events; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`RunEnd`] when the stream broke and cannot go on.
    pub async fn next(&mut self) -> Result<Option<Bytes>, RunEnd> {
        loop {
            if let Some(events) = self.splitter.take_whole() {
                return Ok(Some(events));
            }
            match self.next_piece().await? {
                Piece::Bytes(bytes) => {
                    if let Err(error) = self.splitter.push(&bytes) {
                        let fault = AttemptFault::new(FaultKind::Wrong, error.to_string());
                        self.go_on(fault).await?;
                    }
                }
                Piece::End if self.splitter.has_partial() => {
                    let text = "the stream ended in the middle of an event";
                    self.go_on(AttemptFault::new(FaultKind::Cut, text)).await?;
                }
                Piece::End => {
                    self.finish();
                    return Ok(None);
                }
                Piece::Broken(fault) => self.go_on(fault).await?,
            }
        }
    }

    async fn next_piece(&mut self) -> Result<Piece, RunEnd> {
        loop {
            let left = self.run.left();
            if left.is_zero() {
                return Err(RunEnd::TimedOut);
            }
            // A stream that cannot go on elsewhere is waited for as long as there is time.
            let patience = if self.run.could_resume() { self.patience.min(left) } else { left };
            let Some(answer) = &mut self.answer else { return Ok(Piece::End) };
            match tokio::time::timeout(patience, answer.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Piece::Bytes(bytes));
                    }
                }
                Ok(None) => return Ok(Piece::End),
                Ok(Some(Err(error))) => {
                    let fault = AttemptFault::new(FaultKind::Cut, error.to_string());
                    return Ok(Piece::Broken(fault));
                }
                Err(_) if patience >= left => return Err(RunEnd::TimedOut),
                Err(_) => {
                    let text = format!("no event within {patience:?}");
                    return Ok(Piece::Broken(AttemptFault::new(FaultKind::Silent, text)));
                }
            }
        }
    }

    /// Goes on after a fault: the first run is stopped, then another one begins after the last
    /// event that was passed on.
    async fn go_on(&mut self, fault: AttemptFault) -> Result<(), RunEnd> {
        if let Some(answer) = self.answer.take() {
            let entry = answer.permit.cell.entry.clone();
            drop(answer);
            self.run.note_fault(&entry, &fault);
            self.run.record.note_attempt(entry.name.as_str(), None, &fault.to_string());
        }
        if !self.run.may_go_on(&fault) {
            return Err(RunEnd::Failed(fault));
        }
        let last = self.splitter.last_id();
        self.splitter = EventSplitter::after(last);
        let answer = self.run.next_answer(last).await?;
        if !answer.status.is_success() {
            let text = format!("status {} to a resumed stream", answer.status);
            return Err(RunEnd::Failed(AttemptFault::new(FaultKind::Failed, text)));
        }
        self.run.state.metrics.note_resumption();
        self.answer = Some(answer);
        Ok(())
    }

    fn finish(&mut self) {
        self.run.record.note_end("answered", 200, "");
        if let Some(answer) = self.answer.take() {
            self.run.note_stream_end(&answer.permit.cell.entry);
            let now = self.run.state.clock.now();
            tokio::spawn(answer.keep_link(now));
        }
    }

    /// The attempts, when the stream has not begun for the caller.
    pub fn into_run(self) -> RequestRun {
        self.run
    }

    /// The body for the caller, which begins with `first`.
    #[must_use]
    pub fn into_body(self, first: Bytes) -> ResponseBody {
        let states = stream::unfold((Some(self), Some(first)), |(relay, first)| async move {
            let mut relay = relay?;
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (Some(relay), None)));
            }
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), (Some(relay), None))),
                Ok(None) => None,
                Err(end) => {
                    let refusal = relay.run.refusal(&end);
                    relay.run.record.note_end("broken_off", 200, format!("{end:?}"));
                    let error: BodyError = refusal.reason.into();
                    Some((Err(error), (None, None)))
                }
            }
        });
        BodyExt::boxed_unsync(StreamBody::new(states))
    }
}
