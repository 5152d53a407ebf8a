//! What was decided for one request and why, kept for a while to explain it.

use oleander_core::attempt_retry::FaultKind;
use oleander_core::ids::{AccountName, AttemptId, PoolName, RequestId, UpstreamName, VersionName};
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::{Money, Timestamp};
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Requests that are remembered.
const REMEMBERED_REQUESTS: usize = 1_024;
/// Most steps of one request that are remembered.
const MAX_STEPS: usize = 64;

/// One thing that was decided or seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TraceEvent {
    /// The versions to be tried, in order.
    Planned {
        /// The versions.
        versions: Vec<VersionName>,
        /// Whether the plan explores.
        explored: bool,
    },
    /// The session keeps this version.
    Pinned {
        /// The version.
        version: VersionName,
    },
    /// The pool let the request in.
    Admitted {
        /// The pool.
        pool: PoolName,
    },
    /// An attempt was sent.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamName,
        /// Tokens that the router had already.
        resume_from: u32,
    },
    /// An attempt failed.
    Fault {
        /// The upstream.
        upstream: UpstreamName,
        /// The kind.
        kind: &'static str,
        /// What happened.
        message: String,
    },
    /// The answer was too weak.
    Escalated {
        /// The version that gave it.
        from: VersionName,
        /// The engine's confidence.
        confidence: f64,
    },
    /// The answer was whole.
    Answered {
        /// The version.
        version: VersionName,
        /// Tokens of it.
        tokens: u32,
    },
    /// Usage is held safely.
    Billed {
        /// What the client account pays.
        billed: Money,
        /// What the attempts cost.
        upstream_cost: Money,
    },
    /// The stored answer of an earlier request was given.
    Replayed,
    /// The request was refused or failed.
    Refused {
        /// The reason.
        reason: Reason,
        /// Whether anything ran.
        run: RunState,
        /// What was said.
        message: String,
    },
    /// The caller went away.
    CallerGone,
}

impl TraceEvent {
    /// A failed attempt.
    pub fn fault(upstream: UpstreamName, kind: FaultKind, message: &str) -> Self {
        Self::Fault { upstream, kind: kind.name(), message: message.to_owned() }
    }
}

#[derive(Clone, Debug, Serialize)]
struct TraceStep {
    after_ms: u64,
    #[serde(flatten)]
    event: TraceEvent,
}

/// The record of one request.
#[derive(Clone, Debug, Serialize)]
pub struct RequestTrace {
    request: RequestId,
    #[serde(serialize_with = "as_text")]
    name: RequestId,
    #[serde(serialize_with = "as_text")]
    billed_as: RequestId,
    account: AccountName,
    target: Arc<str>,
    started_at: Timestamp,
    steps: Vec<TraceStep>,
}

fn as_text<S: serde::Serializer>(id: &RequestId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(id)
}

impl RequestTrace {
    /// The record of a request that starts.
    pub fn new(
        request: RequestId,
        billed_as: RequestId,
        account: AccountName,
        target: &str,
        started_at: Timestamp,
    ) -> Self {
        let target = Arc::from(target);
        let steps = Vec::new();
        Self { request, name: request, billed_as, account, target, started_at, steps }
    }

    /// Adds an event.
    pub fn add(&mut self, now: Timestamp, event: TraceEvent) {
        if self.steps.len() < MAX_STEPS {
            let after_ms = now.since(self.started_at).as_millis() as u64;
            self.steps.push(TraceStep { after_ms, event });
        }
    }

    fn is_of(&self, id: RequestId) -> bool {
        self.request == id || self.billed_as == id
    }
}

/// The records of the latest requests, bounded.
#[derive(Default)]
pub struct TraceRing {
    traces: Mutex<VecDeque<RequestTrace>>,
}

impl TraceRing {
    /// Keeps a record; the oldest makes room.
    pub fn keep(&self, trace: RequestTrace) {
        let mut traces = self.lock();
        if traces.len() >= REMEMBERED_REQUESTS {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// The latest record of a request, by its own id or by the one that is billed.
    pub fn find(&self, id: RequestId) -> Option<RequestTrace> {
        self.lock().iter().rev().find(|trace| trace.is_of(id)).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<RequestTrace>> {
        self.traces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
