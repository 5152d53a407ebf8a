//! The state of a chat request that is fixed before it runs.

use crate::account::AccountView;
use crate::chat_body::ChatBody;
use crate::identity::RequestIdentity;
use crate::state::EntryState;
use oleander_core::catalog::objects::Priority;
use oleander_core::chain_input::RequestSize;
use oleander_core::deadline::Deadline;
use oleander_core::ids::{CascadeName, SessionId};
use oleander_core::prefix_hints::PrefixDigest;
use oleander_core::trace_context::TraceContext;
use oleander_core::units::{Quality, Timestamp, TokenCount};
use oleander_core::upstream_choice::UpstreamRule;
use std::sync::Arc;

/// One chat request.
pub struct ChatContext {
    /// State shared by all requests.
    pub state: Arc<EntryState>,
    /// The client account, as of the catalog revision at the request's start.
    pub account: AccountView,
    /// The validated body.
    pub body: ChatBody,
    /// Ids of the request.
    pub ids: RequestIdentity,
    /// Deadline for the complete answer.
    pub deadline: Deadline,
    /// The priority.
    pub priority: Priority,
    /// The cascade, when the request names one.
    pub cascade: Option<CascadeName>,
    /// Quality target.
    pub quality: Quality,
    /// Session id.
    pub session: SessionId,
    /// Token limit of the answer.
    pub answer_tokens: TokenCount,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Digest of the prompt's prefix.
    pub prefix: PrefixDigest,
    /// Trace context.
    pub trace_context: TraceContext,
}

impl ChatContext {
    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.state.parts.clock.now()
    }

    /// Returns the strategy for choosing upstreams.
    pub fn upstream_rule(&self) -> UpstreamRule {
        UpstreamRule::from(self.state.parts.mode)
    }

    /// Returns the token counts that are known before the request runs.
    pub const fn size(&self) -> RequestSize {
        RequestSize { prompt: self.prompt_tokens, answer: self.answer_tokens }
    }
}

/// Returns the digest of the prompt's prefix: the first message, which requests from one template
/// share.
pub fn prefix_digest(body: &ChatBody) -> PrefixDigest {
    PrefixDigest::new(body.message_texts().first().copied().unwrap_or_default())
}
