//! A stand-in for a model engine, with the protocol of [`oleander_ports::upstream`].
//!
//! It simulates continuous batching, reports its queue, has a limited cache of prompt prefixes,
//! schedules by priority, resumes and cancels streams, reports its load and executes orders.
//! The words of an answer are derived from a hash of version, prompt and position, so that every
//! engine with the same version gives the same answer and a resumed stream can be checked.

mod answer;
mod chat;
mod orders;
mod prefixes;
mod queue;
mod server;

pub use answer::{answer_length, answer_words, answer_words_of_length};

use crate::faults::FaultSwitch;
use oleander_core::ids::{AttemptId, FencingNumber, Incarnation, UpstreamName, VersionName};
use oleander_history::{HistoryRecorder, SeenEvent, text_digest};
use oleander_ports::clock::{ClockPort, SystemClock};
use orders::LoadedVersions;
use prefixes::PrefixCache;
use queue::SlotQueue;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Fraction of the time between tokens that each additional running request adds.
pub const DEFAULT_BATCH_SLOWDOWN: f64 = 0.03;

/// Behaviour of an engine without faults.
#[derive(Clone)]
pub struct EngineSettings {
    /// Name in the catalog.
    pub name: UpstreamName,
    /// Versions that are loaded initially.
    pub versions: Vec<VersionName>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of queued requests; further ones are refused without being run.
    pub queue_limit: u32,
    /// Time to the first token of a short prompt on an idle engine.
    pub first_token: Duration,
    /// Additional time to the first token per thousand uncached prompt tokens.
    pub prefill_per_thousand: Duration,
    /// Time between tokens on an idle engine.
    pub token_gap: Duration,
    /// Fraction of [`Self::token_gap`] that each additional running request adds.
    pub batch_slowdown: f64,
    /// Length of every answer, in tokens; derived from the prompt if `None`.
    pub answer_tokens: Option<u32>,
    /// Time to load a version.
    pub load_time: Duration,
    /// Maximum number of cached prompt prefixes.
    pub cached_prefixes: usize,
    /// Whether orders with a stale fencing number are refused.
    pub checks_fencing: bool,
    /// Confidence that is reported with answers, from 0 to 1.
    pub confidence: f64,
    /// Incarnation that is reported.
    pub incarnation: Incarnation,
    /// Recorder of the attempts that are run.
    pub recorder: HistoryRecorder,
}

impl EngineSettings {
    /// Settings of a small, fast engine.
    #[must_use]
    pub fn new(name: UpstreamName, versions: Vec<VersionName>) -> Self {
        Self {
            name,
            versions,
            slots: 8,
            queue_limit: 64,
            first_token: Duration::from_millis(20),
            prefill_per_thousand: Duration::from_millis(50),
            token_gap: Duration::from_millis(5),
            batch_slowdown: DEFAULT_BATCH_SLOWDOWN,
            answer_tokens: None,
            load_time: Duration::from_millis(200),
            cached_prefixes: 64,
            checks_fencing: true,
            confidence: 0.8,
            incarnation: Incarnation::new(1),
            recorder: HistoryRecorder::off(),
        }
    }
}

/// A call that an engine or a service has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The attempt id, as sent by the caller.
    pub attempt: Arc<str>,
    /// The version of an engine, or `METHOD path` of a service.
    pub item: Arc<str>,
    /// Whether it ran to completion.
    pub finished: bool,
}

/// Maximum number of recorded runs; further ones are not recorded.
const MAX_RUN_RECORDS: usize = 100_000;

struct EngineState {
    versions: LoadedVersions,
    prefixes: PrefixCache,
    cancelled: HashSet<AttemptId>,
    highest_fencing: FencingNumber,
    role: Arc<str>,
    leaving: bool,
    runs: Vec<RunRecord>,
}

/// A stand-in for a model engine. Clones share its state.
#[derive(Clone)]
pub struct EngineStandin {
    settings: Arc<EngineSettings>,
    queue: SlotQueue,
    faults: FaultSwitch,
    state: Arc<Mutex<EngineState>>,
}

impl EngineStandin {
    /// Creates an engine that does not listen yet.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let state = EngineState {
            versions: LoadedVersions::new(&settings.versions),
            prefixes: PrefixCache::new(settings.cached_prefixes),
            cancelled: HashSet::new(),
            highest_fencing: FencingNumber::new(0),
            role: Arc::from("mixed"),
            leaving: false,
            runs: Vec::new(),
        };
        Self {
            queue: SlotQueue::new(settings.slots, settings.queue_limit),
            settings: Arc::new(settings),
            faults: FaultSwitch::new(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Serves on `address` on a separate task; returns the bound address.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(&self, address: SocketAddr) -> anyhow::Result<SocketAddr> {
        crate::platform::spawn_server(address, server::handler(self)).await
    }

    /// The name of the engine.
    #[must_use]
    pub fn name(&self) -> &UpstreamName {
        &self.settings.name
    }

    /// The faults of the engine.
    #[must_use]
    pub const fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Marks the engine as leaving: it finishes running requests and refuses new ones.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
        if leaving {
            let (upstream, incarnation) = (self.settings.name.clone(), self.settings.incarnation);
            self.record(SeenEvent::UpstreamLeaving { upstream, incarnation });
        }
    }

    /// Attempts that were run so far, oldest first.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// Versions that are currently loaded.
    #[must_use]
    pub fn versions(&self) -> Vec<VersionName> {
        self.lock().versions.ready()
    }

    /// Records the start of a run and returns its index; `None` if the record is full.
    fn record_run(&self, attempt: &str, version: &VersionName) -> Option<usize> {
        self.record_start(attempt, version);
        let mut state = self.lock();
        if state.runs.len() >= MAX_RUN_RECORDS {
            return None;
        }
        let item = Arc::from(version.as_str());
        state.runs.push(RunRecord { attempt: Arc::from(attempt), item, finished: false });
        Some(state.runs.len() - 1)
    }

    /// Records that a run finished; `text` is the complete answer from its first token on.
    fn record_finished(&self, run: Option<usize>, attempt: &str, text: &str) {
        if let Ok(attempt) = attempt.parse() {
            let (upstream, answer) = (self.settings.name.clone(), text_digest(text));
            self.record(SeenEvent::AttemptEnded { upstream, attempt, answer });
        }
        let mut state = self.lock();
        if let Some(record) = run.and_then(|index| state.runs.get_mut(index)) {
            record.finished = true;
        }
    }

    fn record_start(&self, attempt: &str, version: &VersionName) {
        if let Ok(attempt) = attempt.parse() {
            let (upstream, version) = (self.settings.name.clone(), Some(version.clone()));
            let incarnation = self.settings.incarnation;
            self.record(SeenEvent::AttemptStarted { upstream, incarnation, attempt, version });
        }
    }

    fn record(&self, seen: SeenEvent) {
        self.settings.recorder.record(SystemClock.now(), self.settings.name.as_str(), seen);
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
