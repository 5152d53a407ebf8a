//! Faults that a stand-in can be told to show.

use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What a stand-in does wrong. A field left out means no fault of that kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Every call is refused, and nothing is applied.
    pub down: bool,
    /// Every answer is late by this many milliseconds.
    pub delay_ms: u64,
    /// The replies of this many calls are lost after they took effect.
    pub lose_replies: u32,
    /// Answers carry another attempt's id, this many times.
    pub wrong_attempts: u32,
    /// Answers are made by another version than the one asked for, this many times.
    pub wrong_versions: u32,
    /// Answers say that they are hardly to be relied on, this many times.
    pub weak_answers: u32,
    /// Streams are cut after [`FaultPlan::cut_after`] tokens, this many times.
    pub cuts: u32,
    /// Tokens that are sent before a stream is cut.
    pub cut_after: u32,
    /// Tokens are sent twice, in this many streams.
    pub duplicates: u32,
    /// Streams go silent for good after [`FaultPlan::cut_after`] tokens, this many times.
    pub stalls: u32,
}

#[derive(Default)]
struct SwitchState {
    plan: FaultPlan,
    silenced: HashSet<SocketAddr>,
    seen: HashSet<SocketAddr>,
}

/// Faults of one stand-in; clones share them.
#[derive(Clone, Default)]
pub struct FaultSwitch {
    state: Arc<Mutex<SwitchState>>,
}

/// What a stand-in does with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFate {
    /// Answers.
    Answer,
    /// Refuses; nothing is applied.
    Refuse,
    /// Applies the call and never answers on this connection.
    LoseReply,
}

impl FaultSwitch {
    /// No faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the plan.
    pub fn set_plan(&self, plan: FaultPlan) {
        self.lock().plan = plan;
    }

    /// The plan as it stands, counters counted down.
    #[must_use]
    pub fn plan(&self) -> FaultPlan {
        self.lock().plan.clone()
    }

    /// Makes every connection that was open so far silent for good.
    pub fn silence_open_connections(&self) {
        let mut state = self.lock();
        let seen = std::mem::take(&mut state.seen);
        state.silenced.extend(seen);
    }

    /// Notes a call from `peer` and tells its fate, after the planned delay. Never returns for
    /// a connection that was silenced.
    pub async fn meet(&self, peer: SocketAddr) -> CallFate {
        let (fate, delay) = {
            let mut state = self.lock();
            state.seen.insert(peer);
            (next_fate(&mut state.plan), Duration::from_millis(state.plan.delay_ms))
        };
        self.stay_silent_if_told(peer).await;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        fate
    }

    /// Never returns when `peer`'s connection was silenced.
    pub async fn stay_silent_if_told(&self, peer: SocketAddr) {
        let silenced = self.lock().silenced.contains(&peer);
        if silenced {
            std::future::pending::<()>().await;
        }
    }

    /// Takes one from a counter of the plan; whether there was one.
    pub fn take(&self, counter: impl FnOnce(&mut FaultPlan) -> &mut u32) -> bool {
        take_one(counter(&mut self.lock().plan))
    }

    fn lock(&self) -> MutexGuard<'_, SwitchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn next_fate(plan: &mut FaultPlan) -> CallFate {
    if plan.down {
        return CallFate::Refuse;
    }
    if take_one(&mut plan.lose_replies) {
        return CallFate::LoseReply;
    }
    CallFate::Answer
}

fn take_one(counter: &mut u32) -> bool {
    let any = *counter > 0;
    *counter = counter.saturating_sub(1);
    any
}
