//! Access to a ledger that runs in the same process.

use crate::node::LedgerNode;
use crate::wire::{ClaimCall, ClaimReply, UsageReply};
use oleander_core::usage::UsageRecord;
use oleander_ports::PortFuture;
use oleander_ports::claims::{ClaimError, ClaimOutcome, ClaimPort, ClaimRequest};
use oleander_ports::usage::{UsageError, UsagePort};
use std::sync::Arc;

/// Client of a [`LedgerNode`] in the same process. While the membership has no ledger in another
/// failure domain, a record is acknowledged only after it is in the table.
#[derive(Clone)]
pub struct LocalLedger {
    node: Arc<LedgerNode>,
}

impl LocalLedger {
    /// A client of `node`.
    #[must_use]
    pub fn new(node: Arc<LedgerNode>) -> Self {
        Self { node }
    }

    async fn settle(&self, call: ClaimCall) -> Result<(), ClaimError> {
        match self.node.handle_claim(call).await {
            ClaimReply::Failed(why) => Err(ClaimError(why.to_string())),
            ClaimReply::Settled | ClaimReply::Outcome(_) => Ok(()),
        }
    }
}

impl UsagePort for LocalLedger {
    fn record(&self, record: UsageRecord) -> PortFuture<'_, Result<(), UsageError>> {
        Box::pin(async move {
            match self.node.record(record).await {
                UsageReply::Held { .. } => Ok(()),
                UsageReply::Full => Err(UsageError::Full),
                UsageReply::NotHeld(why) => Err(UsageError::NotHeld(why.to_string())),
            }
        })
    }

    fn has_room(&self) -> bool {
        self.node.has_room()
    }
}

impl ClaimPort for LocalLedger {
    fn claim(&self, request: ClaimRequest) -> PortFuture<'_, Result<ClaimOutcome, ClaimError>> {
        Box::pin(async move {
            match self.node.handle_claim(ClaimCall::Claim(request)).await {
                ClaimReply::Outcome(outcome) => Ok(outcome),
                ClaimReply::Failed(why) => Err(ClaimError(why.to_string())),
                ClaimReply::Settled => Err(ClaimError("wrong answer".to_owned())),
            }
        })
    }

    fn release(&self, request: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>> {
        Box::pin(self.settle(ClaimCall::Release(request)))
    }

    fn mark_unknown(&self, request: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>> {
        Box::pin(self.settle(ClaimCall::MarkUnknown(request)))
    }
}
