//! A stand-in for a model engine, on the wire of [`oleander_ports::upstream`].
//!
//! It batches continuously with a visible queue, keeps a limited cache of prompt prefixes,
//! honours priorities, resumes and cancels streams, reports its load, and takes orders.
//! Its answers are words drawn by a hash of version, prompt and position, so that every engine
//! with the same version gives the same answer and a resumed stream can be checked.

mod answer;
mod chat;
mod orders;
mod prefixes;
mod queue;
mod server;

pub use answer::{answer_length, answer_words, long_answer};

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

/// Share of the gap between tokens that each further running request adds.
pub const DEFAULT_BATCH_SLOWDOWN: f64 = 0.03;

/// How an engine behaves when nothing is wrong.
#[derive(Clone)]
pub struct EngineSettings {
    /// Its name in the catalog.
    pub name: UpstreamName,
    /// Versions that are loaded at the start.
    pub versions: Vec<VersionName>,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait at the most; more are refused unrun.
    pub queue_limit: u32,
    /// Time to the first token of a short prompt on an idle engine.
    pub first_token: Duration,
    /// Time that a thousand uncached prompt tokens add.
    pub prefill_per_thousand: Duration,
    /// Time between tokens on an idle engine.
    pub token_gap: Duration,
    /// Share of the gap that each further running request adds.
    pub batch_slowdown: f64,
    /// Tokens of every answer; drawn by its prompt when left out.
    pub answer_tokens: Option<u32>,
    /// Time to load a version.
    pub load_time: Duration,
    /// Prompt prefixes that are cached at the most.
    pub cached_prefixes: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Confidence that it has in its answers, from 0 to 1.
    pub confidence: f64,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Records what it runs.
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

/// One piece of work that an engine or a service really ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunNote {
    /// The attempt that asked for it, as sent.
    pub attempt: Arc<str>,
    /// The version or `METHOD path` that ran.
    pub item: Arc<str>,
    /// Whether it ran to its end.
    pub finished: bool,
}

/// Most runs that are remembered.
const MAX_RUN_NOTES: usize = 100_000;

struct EngineState {
    versions: LoadedVersions,
    prefixes: PrefixCache,
    cancelled: HashSet<AttemptId>,
    highest_fencing: FencingNumber,
    role: Arc<str>,
    leaving: bool,
    runs: Vec<RunNote>,
}

/// A model engine. Clones share it.
#[derive(Clone)]
pub struct EngineStandin {
    settings: Arc<EngineSettings>,
    queue: SlotQueue,
    faults: FaultSwitch,
    state: Arc<Mutex<EngineState>>,
}

impl EngineStandin {
    /// An engine that does not listen yet.
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

    /// Serves on `address` on a task of its own; returns the address that was bound.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(&self, address: SocketAddr) -> anyhow::Result<SocketAddr> {
        crate::platform::spawn(address, server::handler(self)).await
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &UpstreamName {
        &self.settings.name
    }

    /// Its faults.
    #[must_use]
    pub const fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Says that it is leaving: it finishes its work and refuses more.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
        if leaving {
            let (upstream, incarnation) = (self.settings.name.clone(), self.settings.incarnation);
            self.record(SeenEvent::UpstreamLeaving { upstream, incarnation });
        }
    }

    /// What it ran so far, oldest first.
    #[must_use]
    pub fn runs(&self) -> Vec<RunNote> {
        self.lock().runs.clone()
    }

    /// Versions that are loaded now.
    #[must_use]
    pub fn versions(&self) -> Vec<VersionName> {
        self.lock().versions.ready()
    }

    /// Notes a run and returns its index.
    fn note_run(&self, attempt: &str, version: &VersionName) -> Option<usize> {
        self.record_start(attempt, version);
        let mut state = self.lock();
        if state.runs.len() >= MAX_RUN_NOTES {
            return None;
        }
        let item = Arc::from(version.as_str());
        state.runs.push(RunNote { attempt: Arc::from(attempt), item, finished: false });
        Some(state.runs.len() - 1)
    }

    /// Notes the end of a run whose whole text, from its first token on, is `text`.
    fn note_finished(&self, run: Option<usize>, attempt: &str, text: &str) {
        if let Ok(attempt) = attempt.parse() {
            let (upstream, answer) = (self.settings.name.clone(), text_digest(text));
            self.record(SeenEvent::AttemptEnded { upstream, attempt, answer });
        }
        let mut state = self.lock();
        if let Some(note) = run.and_then(|index| state.runs.get_mut(index)) {
            note.finished = true;
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
