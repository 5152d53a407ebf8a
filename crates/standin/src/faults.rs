//! Faults that can be injected into a stand-in.

use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Faults of a stand-in. A field that is left out disables its fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Refuses every call without applying it.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of calls whose replies are lost after they took effect.
    pub lose_replies: u32,
    /// Number of answers with the id of another attempt.
    pub wrong_attempts: u32,
    /// Number of answers from another version than the requested one.
    pub wrong_versions: u32,
    /// Number of answers with a very low confidence.
    pub weak_answers: u32,
    /// Number of streams that are truncated after [`FaultPlan::cut_after`] tokens.
    pub cuts: u32,
    /// Number of tokens that are sent before a stream is truncated or stalls.
    pub cut_after: u32,
    /// Number of streams in which every token is sent twice.
    pub duplicates: u32,
    /// Number of streams that stall forever after [`FaultPlan::cut_after`] tokens.
    pub stalls: u32,
}

#[derive(Default)]
struct SwitchState {
    plan: FaultPlan,
    silenced_peers: HashSet<SocketAddr>,
    seen_peers: HashSet<SocketAddr>,
}

/// The current faults of a stand-in. Clones share them.
#[derive(Clone, Default)]
pub struct FaultSwitch {
    state: Arc<Mutex<SwitchState>>,
}

/// How a stand-in treats a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// Handles the call normally.
    Answer,
    /// Refuses the call without applying it.
    Refuse,
    /// Applies the call and never replies on this connection.
    LoseReply,
}

impl FaultSwitch {
    /// Creates a switch without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the plan.
    pub fn set_plan(&self, plan: FaultPlan) {
        self.lock().plan = plan;
    }

    /// The current plan, with the remaining counts.
    #[must_use]
    pub fn plan(&self) -> FaultPlan {
        self.lock().plan.clone()
    }

    /// Stops answering on every connection that has been used so far, permanently.
    pub fn silence_open_connections(&self) {
        let mut state = self.lock();
        let seen_peers = std::mem::take(&mut state.seen_peers);
        state.silenced_peers.extend(seen_peers);
    }

    /// Records a call from `peer` and returns the action for it, after the planned delay. Never
    /// returns on a silenced connection.
    pub async fn begin_call(&self, peer: SocketAddr) -> FaultAction {
        let (action, delay) = {
            let mut state = self.lock();
            state.seen_peers.insert(peer);
            (next_action(&mut state.plan), Duration::from_millis(state.plan.delay_ms))
        };
        self.hang_if_silenced(peer).await;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        action
    }

    /// Never returns if the connection of `peer` was silenced.
    pub async fn hang_if_silenced(&self, peer: SocketAddr) {
        let silenced = self.lock().silenced_peers.contains(&peer);
        if silenced {
            std::future::pending::<()>().await;
        }
    }

    /// Decrements a counter of the plan; returns whether it was above zero.
    pub fn consume(&self, counter: impl FnOnce(&mut FaultPlan) -> &mut u32) -> bool {
        decrement(counter(&mut self.lock().plan))
    }

    fn lock(&self) -> MutexGuard<'_, SwitchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn next_action(plan: &mut FaultPlan) -> FaultAction {
    if plan.down {
        return FaultAction::Refuse;
    }
    if decrement(&mut plan.lose_replies) {
        return FaultAction::LoseReply;
    }
    FaultAction::Answer
}

fn decrement(counter: &mut u32) -> bool {
    let positive = *counter > 0;
    *counter = counter.saturating_sub(1);
    positive
}
