//! Model of an engine: continuous batching, chunked prefill and a bounded prefix cache.

use std::collections::VecDeque;

/// Maximum number of prompt tokens that are prefilled per step.
const PREFILL_CHUNK: u32 = 1_024;
/// Relative increase of the step time when every slot is taken.
const FULL_BATCH_SLOWDOWN: f64 = 0.6;
/// Maximum number of cached prefixes.
const CACHED_PREFIXES: usize = 12;

/// One attempt on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineJob {
    /// Number of the attempt.
    pub attempt: usize,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Id of the prompt prefix.
    pub prefix: u64,
    /// Tokens of the prefix.
    pub prefix_tokens: u32,
    /// Tokens to generate.
    pub answer: u32,
    prefill_left: u32,
    produced: u32,
}

impl EngineJob {
    /// Creates a job that has not started.
    #[must_use]
    pub const fn new(attempt: usize, prompt: u32, answer: u32) -> Self {
        Self { attempt, prompt, prefix: 0, prefix_tokens: 0, answer, prefill_left: 0, produced: 0 }
    }

    /// Sets the prompt prefix.
    #[must_use]
    pub const fn with_prefix(mut self, prefix: u64, tokens: u32) -> Self {
        self.prefix = prefix;
        self.prefix_tokens = tokens;
        self
    }
}

/// An output of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineOutput {
    /// An attempt produced its first token.
    FirstToken(usize),
    /// An attempt is complete.
    Finished(usize),
    /// A prefix was cached.
    Cached(u64),
    /// A prefix was evicted.
    Evicted(u64),
}

/// The model of one engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    slots: usize,
    gap_us: f64,
    prefill_us: f64,
    running: Vec<EngineJob>,
    queue: VecDeque<EngineJob>,
    cache: VecDeque<u64>,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Whether every attempt fails.
    pub failing: bool,
}

impl EngineModel {
    /// Creates an idle engine.
    #[must_use]
    pub const fn new(slots: u32, token_gap_ms: u64, prefill_us: f64) -> Self {
        Self {
            slots: slots as usize,
            gap_us: token_gap_ms as f64 * 1_000.0,
            prefill_us,
            running: Vec::new(),
            queue: VecDeque::new(),
            cache: VecDeque::new(),
            stepping: false,
            failing: false,
        }
    }

    /// Numbers of running and of queued requests.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Queues an attempt.
    pub fn push(&mut self, job: EngineJob) {
        self.queue.push_back(job);
    }

    /// Cancels an attempt; returns the number of tokens that it has produced.
    pub fn cancel(&mut self, attempt: usize) -> u32 {
        self.queue.retain(|job| job.attempt != attempt);
        let index = self.running.iter().position(|job| job.attempt == attempt);
        index.map_or(0, |index| self.running.remove(index).produced)
    }

    /// Drops all attempts and the cache, as when the engine fails; returns the attempts.
    pub fn drop_all(&mut self) -> Vec<usize> {
        self.cache.clear();
        let running = self.running.drain(..);
        let attempts = running.chain(self.queue.drain(..));
        attempts.map(|job| job.attempt).collect()
    }

    /// Starts a step and returns its duration in microseconds; `None` if there is no work.
    pub fn begin_step(&mut self) -> Option<u64> {
        while self.running.len() < self.slots {
            let Some(mut job) = self.queue.pop_front() else { break };
            let hit = self.touch(job.prefix);
            let cached_tokens = if hit { job.prefix_tokens.min(job.prompt - 1) } else { 0 };
            job.prefill_left = job.prompt - cached_tokens;
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let prefill_left: u32 = self.running.iter().map(|job| job.prefill_left).sum();
        let prefill_time = f64::from(prefill_left.min(PREFILL_CHUNK)) * self.prefill_us;
        let batch = self.running.len() as f64 / self.slots as f64;
        Some((prefill_time + self.gap_us * (1.0 + FULL_BATCH_SLOWDOWN * batch)) as u64)
    }

    /// Ends the step and returns its outputs.
    pub fn end_step(&mut self) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        let mut chunk = PREFILL_CHUNK;
        let mut cached = Vec::new();
        for job in &mut self.running {
            if job.prefill_left > 0 {
                let prefilled = job.prefill_left.min(chunk);
                chunk -= prefilled;
                job.prefill_left -= prefilled;
                if job.prefill_left > 0 {
                    continue;
                }
                cached.push(job.prefix);
            }
            job.produced += 1;
            if job.produced == 1 {
                outputs.push(EngineOutput::FirstToken(job.attempt));
            }
            if job.produced >= job.answer {
                outputs.push(EngineOutput::Finished(job.attempt));
            }
        }
        self.running.retain(|job| job.produced < job.answer);
        cached.into_iter().for_each(|prefix| self.cache_prefix(prefix, &mut outputs));
        outputs
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let Some(index) = self.cache.iter().position(|&held| held == prefix) else { return false };
        self.cache.remove(index);
        self.cache.push_back(prefix);
        true
    }

    fn cache_prefix(&mut self, prefix: u64, outputs: &mut Vec<EngineOutput>) {
        if self.touch(prefix) {
            return;
        }
        self.cache.push_back(prefix);
        outputs.push(EngineOutput::Cached(prefix));
        if self.cache.len() > CACHED_PREFIXES {
            outputs.extend(self.cache.pop_front().map(EngineOutput::Evicted));
        }
    }
}
