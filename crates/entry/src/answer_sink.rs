//! Sends an answer's deltas to the caller, or buffers them until the answer is accepted.

use crate::refusal::Refusal;
use crate::sample_queue::SampleText;
use oleander_core::ids::VersionName;
use oleander_core::price::TokenUse;
use oleander_core::units::Money;
use serde_json::{Map, Value};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Events that are queued for a slow caller; beyond that, reading from the upstream pauses.
const EVENT_BUFFER: usize = 64;

/// What is known of an answer when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Version that answers.
    pub version: VersionName,
    /// Step of the cascade, from 0.
    pub step: u32,
    /// Session token for the caller.
    pub session: Option<Arc<str>>,
}

/// What is known of an answer when it is complete and billed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Why the engine stopped, as in the `finish_reason` of the response.
    pub finish_reason: String,
    /// Tokens of prompt and answer.
    pub used: TokenUse,
    /// Price that the client account pays.
    pub cost: Money,
}

/// Events for the response to the caller, in order.
#[derive(Debug)]
pub enum ChatEvent {
    /// The answer starts.
    Started(AnswerHead),
    /// A delta of the message.
    Delta(Map<String, Value>),
    /// The answer is complete and its usage is recorded.
    Finished(AnswerEnd),
    /// The request failed, before the answer or in the middle of it.
    Failed(Refusal),
}

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Sending side of one response.
pub struct AnswerSink {
    sender: mpsc::Sender<ChatEvent>,
    head: Option<AnswerHead>,
    buffered: Option<Vec<Map<String, Value>>>,
    sent: bool,
    sample: SampleText,
}

impl AnswerSink {
    /// Creates a sink and the receiver of its events.
    pub fn new() -> (Self, mpsc::Receiver<ChatEvent>) {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        (
            Self { sender, head: None, buffered: None, sent: false, sample: SampleText::default() },
            receiver,
        )
    }

    /// Prepares for an answer. With `buffer`, its deltas are buffered until [`AnswerSink::release`].
    pub fn prepare(&mut self, head: AnswerHead, buffer: bool) {
        self.head = Some(head);
        self.buffered = buffer.then(Vec::new);
    }

    /// Sends or buffers a delta.
    pub async fn push(&mut self, delta: Map<String, Value>) -> Result<(), CallerGone> {
        if let Some(buffered) = &mut self.buffered {
            buffered.push(delta);
            return Ok(());
        }
        self.start().await?;
        self.sample.add(&delta);
        self.send(ChatEvent::Delta(delta)).await
    }

    /// Sends the buffered deltas; later ones are sent at once.
    pub async fn release(&mut self) -> Result<(), CallerGone> {
        for delta in self.buffered.take().unwrap_or_default() {
            self.push(delta).await?;
        }
        Ok(())
    }

    /// Returns the buffered deltas without sending them.
    pub fn take_buffered(&mut self) -> Vec<Map<String, Value>> {
        self.buffered.take().unwrap_or_default()
    }

    /// Returns the start of the text that was sent, for rating.
    pub fn take_sample(&mut self) -> Arc<str> {
        self.sample.take()
    }

    /// Ends the answer.
    pub async fn finish(&mut self, end: AnswerEnd) -> Result<(), CallerGone> {
        self.start().await?;
        self.send(ChatEvent::Finished(end)).await
    }

    /// Ends the request with a refusal.
    pub async fn fail(&mut self, refusal: Refusal) {
        let _ = self.send(ChatEvent::Failed(refusal)).await;
    }

    /// Whether any event was sent to the caller.
    pub const fn has_sent(&self) -> bool {
        self.sent
    }

    /// Returns a future that completes when the caller has closed its connection.
    pub fn disconnected(&self) -> impl Future<Output = ()> + use<> {
        let sender = self.sender.clone();
        async move { sender.closed().await }
    }

    async fn start(&mut self) -> Result<(), CallerGone> {
        match self.head.take() {
            Some(head) => self.send(ChatEvent::Started(head)).await,
            None => Ok(()),
        }
    }

    async fn send(&mut self, event: ChatEvent) -> Result<(), CallerGone> {
        self.sent = true;
        self.sender.send(event).await.map_err(|_| CallerGone)
    }
}
