//! Where the pieces of an answer go: to the caller, or held back until the answer is kept.

use crate::refusal::Refusal;
use crate::sample_queue::SampleText;
use oleander_core::ids::VersionName;
use oleander_core::price::TokenUse;
use oleander_core::units::Money;
use serde_json::{Map, Value};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Pieces that may wait for a slow caller.
const PIECE_BUFFER: usize = 64;

/// What is known of an answer when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The version that answers.
    pub version: VersionName,
    /// Step of the cascade, from 0.
    pub step: u32,
    /// Token of the session.
    pub session: Option<Arc<str>>,
}

/// What is known of an answer when it is whole and billed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Why it ended.
    pub finish_reason: String,
    /// Tokens.
    pub used: TokenUse,
    /// What the client account pays.
    pub cost: Money,
}

/// What the caller's side gets, in order.
#[derive(Debug)]
pub enum ChatEvent {
    /// The answer starts.
    Started(AnswerHead),
    /// Something is added to the message.
    Delta(Map<String, Value>),
    /// The answer is whole and its usage is held.
    Finished(AnswerEnd),
    /// There is no answer, or no more of it.
    Failed(Refusal),
}

/// The caller is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// The way to the caller.
pub struct AnswerSink {
    sender: mpsc::Sender<ChatEvent>,
    head: Option<AnswerHead>,
    held: Option<Vec<Map<String, Value>>>,
    passed: bool,
    sample: SampleText,
}

impl AnswerSink {
    /// A sink and where its events come out.
    pub fn new() -> (Self, mpsc::Receiver<ChatEvent>) {
        let (sender, receiver) = mpsc::channel(PIECE_BUFFER);
        (
            Self { sender, head: None, held: None, passed: false, sample: SampleText::default() },
            receiver,
        )
    }

    /// Prepares for an answer. With `hold`, its pieces stay here until [`AnswerSink::release`].
    pub fn prepare(&mut self, head: AnswerHead, hold: bool) {
        self.head = Some(head);
        self.held = hold.then(Vec::new);
    }

    /// Adds a piece.
    pub async fn push(&mut self, delta: Map<String, Value>) -> Result<(), CallerGone> {
        if let Some(held) = &mut self.held {
            held.push(delta);
            return Ok(());
        }
        self.start().await?;
        self.sample.add(&delta);
        self.send(ChatEvent::Delta(delta)).await
    }

    /// Passes on what was held, and from now on everything at once.
    pub async fn release(&mut self) -> Result<(), CallerGone> {
        for delta in self.held.take().unwrap_or_default() {
            self.push(delta).await?;
        }
        Ok(())
    }

    /// Takes back what was held.
    pub fn take_held(&mut self) -> Vec<Map<String, Value>> {
        self.held.take().unwrap_or_default()
    }

    /// The start of the text that was passed on.
    pub fn take_sample(&mut self) -> Arc<str> {
        self.sample.take()
    }

    /// Ends the answer.
    pub async fn finish(&mut self, end: AnswerEnd) -> Result<(), CallerGone> {
        self.start().await?;
        self.send(ChatEvent::Finished(end)).await
    }

    /// Fails the request.
    pub async fn fail(&mut self, refusal: Refusal) {
        let _ = self.send(ChatEvent::Failed(refusal)).await;
    }

    /// Whether any piece was passed on.
    pub const fn has_passed(&self) -> bool {
        self.passed
    }

    /// Ends when the caller is gone.
    pub fn gone(&self) -> impl Future<Output = ()> + use<> {
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
        self.passed = true;
        self.sender.send(event).await.map_err(|_| CallerGone)
    }
}
