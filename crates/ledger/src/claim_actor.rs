//! The actor that groups claims into transactions.

use crate::claim_table::{ClaimTable, MAX_GROUP_CLAIMS};
use crate::metrics::LedgerMetrics;
use crate::wire::{ClaimCall, ClaimReply};
use kameo::prelude::*;
use oleander_core::claim::ClaimRequest;
use oleander_ports::claims::ClaimError;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time that a claim waits for other claims to share its transaction.
pub const CLAIM_GROUPING: Duration = Duration::from_millis(20);
/// Maximum number of waiting claims; further claims are refused.
pub const MAX_WAITING_CLAIMS: usize = 4096;

/// Groups claims into transactions and commits them.
#[derive(Actor)]
pub struct ClaimActor {
    table: ClaimTable,
    metrics: Arc<LedgerMetrics>,
    waiting: Vec<WaitingClaim>,
}

struct WaitingClaim {
    request: ClaimRequest,
    reply: oneshot::Sender<ClaimReply>,
}

impl ClaimActor {
    /// An actor that commits claims to `table`.
    #[must_use]
    pub fn new(table: ClaimTable, metrics: Arc<LedgerMetrics>) -> Self {
        Self { table, metrics, waiting: Vec::new() }
    }

    fn commit(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        let (table, metrics) = (self.table.clone(), Arc::clone(&self.metrics));
        tokio::spawn(async move {
            let requests: Vec<ClaimRequest> =
                waiting.iter().map(|claim| claim.request.clone()).collect();
            let results = table.claim_group(&requests).await;
            for (claim, result) in waiting.into_iter().zip(results) {
                metrics.record_claim(&result);
                let reply = match result {
                    Ok(outcome) => ClaimReply::Outcome(outcome),
                    Err(error) => failed_reply(&error),
                };
                // The caller may have timed out; the row records who holds the claim.
                let _ = claim.reply.send(reply);
            }
        });
    }
}

fn failed_reply(error: &ClaimError) -> ClaimReply {
    ClaimReply::Failed(Arc::from(error.0.as_str()))
}

/// Submits a claim call, whose result is sent to `reply`.
pub struct SubmitClaimCall {
    /// The call.
    pub call: ClaimCall,
    /// Receives the reply.
    pub reply: oneshot::Sender<ClaimReply>,
}

impl Message<SubmitClaimCall> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, submitted: SubmitClaimCall, ctx: &mut Context<Self, ()>) {
        let SubmitClaimCall { call, reply } = submitted;
        let request = match call {
            ClaimCall::Claim(request) => request,
            other => return release_or_mark(self.table.clone(), other, reply),
        };
        if self.waiting.len() >= MAX_WAITING_CLAIMS {
            let _ = reply.send(ClaimReply::Failed(Arc::from("too many claims are waiting")));
            return;
        }
        self.waiting.push(WaitingClaim { request, reply });
        if self.waiting.len() >= MAX_GROUP_CLAIMS {
            self.commit();
        } else if self.waiting.len() == 1 {
            commit_later(ctx.actor_ref().clone());
        }
    }
}

fn commit_later(actor: ActorRef<ClaimActor>) {
    tokio::spawn(async move {
        tokio::time::sleep(CLAIM_GROUPING).await;
        let _ = actor.tell(CommitClaims).await;
    });
}

fn release_or_mark(table: ClaimTable, call: ClaimCall, reply: oneshot::Sender<ClaimReply>) {
    tokio::spawn(async move {
        let result = match call {
            ClaimCall::Release(request) => table.release(&request).await,
            ClaimCall::MarkUnknown(request) | ClaimCall::Claim(request) => {
                table.mark_unknown(&request).await
            }
        };
        let answer = match result {
            Ok(()) => ClaimReply::Settled,
            Err(error) => failed_reply(&error),
        };
        let _ = reply.send(answer);
    });
}

/// Commits the waiting claims.
pub struct CommitClaims;

impl Message<CommitClaims> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, _: CommitClaims, _: &mut Context<Self, ()>) {
        self.commit();
    }
}
