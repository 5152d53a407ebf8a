//! Traces of recent requests: what was decided for each of them and why.

use oleander_core::attempt_retry::FaultKind;
use oleander_core::ids::{AccountName, AttemptId, PoolName, RequestId, UpstreamName, VersionName};
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::{Money, Timestamp};
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of traces that are kept.
const MAX_TRACES: usize = 1_024;
/// Largest number of events in a trace.
const MAX_STEPS: usize = 64;

/// An event of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TraceEvent {
    /// The request was planned on these versions.
    Planned {
        /// Versions to be tried, in order.
        versions: Vec<VersionName>,
        /// Whether the plan explores a version to improve its quality estimate.
        explored: bool,
    },
    /// The session is bound to this version.
    Pinned {
        /// The version.
        version: VersionName,
    },
    /// The pool admitted the request.
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
        /// Number of tokens received from earlier attempts.
        resume_from: u32,
    },
    /// An attempt failed.
    Fault {
        /// The upstream.
        upstream: UpstreamName,
        /// Kind of failure.
        kind: &'static str,
        /// Description of the failure.
        message: String,
    },
    /// The confidence in the answer was too low; the next step of the cascade follows.
    Escalated {
        /// Version that gave the answer.
        from: VersionName,
        /// The engine's confidence.
        confidence: f64,
    },
    /// The answer was complete.
    Answered {
        /// The version.
        version: VersionName,
        /// Tokens of the answer.
        tokens: u32,
    },
    /// Usage was recorded.
    Billed {
        /// Price that the client account pays.
        billed: Money,
        /// Cost of all attempts.
        upstream_cost: Money,
    },
    /// The stored answer of an earlier request was returned.
    Replayed,
    /// The request was refused or failed.
    Refused {
        /// Reason code.
        reason: Reason,
        /// Whether any of the request ran.
        run: RunState,
        /// Error message in the response.
        message: String,
    },
    /// The caller disconnected.
    CallerGone,
}

impl TraceEvent {
    /// Creates the event of a failed attempt.
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

/// The trace of one request.
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
    /// Creates the trace of a request that starts.
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

    /// Adds an event, unless the trace is full.
    pub fn add(&mut self, now: Timestamp, event: TraceEvent) {
        if self.steps.len() < MAX_STEPS {
            let after_ms = now.since(self.started_at).as_millis() as u64;
            self.steps.push(TraceStep { after_ms, event });
        }
    }

    fn matches(&self, id: RequestId) -> bool {
        self.request == id || self.billed_as == id
    }
}

/// Traces of the latest requests.
#[derive(Default)]
pub struct TraceRing {
    traces: Mutex<VecDeque<RequestTrace>>,
}

impl TraceRing {
    /// Adds a trace; the oldest one is dropped when the ring is full.
    pub fn push(&self, trace: RequestTrace) {
        let mut traces = self.lock();
        if traces.len() >= MAX_TRACES {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Finds the latest trace of a request by its run id or its billed id.
    pub fn find(&self, id: RequestId) -> Option<RequestTrace> {
        self.lock().iter().rev().find(|trace| trace.matches(id)).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<RequestTrace>> {
        self.traces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
