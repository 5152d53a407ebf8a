//! Queue of answers to be submitted to the rating service.

use crate::state::EntryState;
use oleander_ports::ratings::AnswerSample;
use serde_json::{Map, Value};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Capacity of the queue; further answers are dropped.
const MAX_QUEUED: usize = 512;
/// Largest text of a sample, in bytes.
const MAX_SAMPLE_BYTES: usize = 2_048;
/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout for one submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The start of an answer's text.
#[derive(Clone, Debug, Default)]
pub struct SampleText {
    text: String,
}

impl SampleText {
    /// Adds the text of a delta, unless the sample would be too large.
    pub fn add(&mut self, delta: &Map<String, Value>) {
        let Some(text) = delta.get("content").and_then(Value::as_str) else { return };
        if self.text.len() + text.len() <= MAX_SAMPLE_BYTES {
            self.text.push_str(text);
        }
    }

    /// Returns the text and clears it.
    pub fn take(&mut self) -> Arc<str> {
        Arc::from(std::mem::take(&mut self.text))
    }
}

/// A bounded queue of answers. Dropped answers only mean fewer ratings.
#[derive(Default)]
pub struct SampleQueue {
    queue: Mutex<VecDeque<AnswerSample>>,
}

impl SampleQueue {
    /// Queues an answer, unless the queue is full.
    pub fn push(&self, sample: AnswerSample) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.len() < MAX_QUEUED {
            queue.push_back(sample);
        }
    }

    fn take_all(&self) -> Vec<AnswerSample> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.drain(..).collect()
    }
}

/// Starts a task that submits the queued answers to the rating service until it is aborted.
pub fn start_submissions(state: &Arc<EntryState>) -> tokio::task::JoinHandle<()> {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(SUBMIT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            let samples = state.samples.take_all();
            if samples.is_empty() {
                continue;
            }
            let count = samples.len();
            let submission = state.parts.ratings.submit(samples);
            if !matches!(tokio::time::timeout(SUBMIT_TIMEOUT, submission).await, Ok(Ok(()))) {
                log::debug!("samples_not_offered count={count}");
            }
        }
    })
}
