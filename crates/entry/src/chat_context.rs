//! What one chat request is about, fixed before it runs.

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
    /// What every request shares.
    pub state: Arc<EntryState>,
    /// The client account, under the catalog revision of the request's start.
    pub account: AccountView,
    /// The checked body.
    pub body: ChatBody,
    /// Identities.
    pub ids: RequestIdentity,
    /// When the answer is of no more use.
    pub deadline: Deadline,
    /// The priority.
    pub priority: Priority,
    /// The cascade, when the caller named one.
    pub cascade: Option<CascadeName>,
    /// Least expected quality.
    pub quality: Quality,
    /// The session.
    pub session: SessionId,
    /// Longest answer.
    pub answer_tokens: TokenCount,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Digest of the prompt's prefix.
    pub prefix: PrefixDigest,
    /// The trace.
    pub trace_context: TraceContext,
}

impl ChatContext {
    /// The time.
    pub fn now(&self) -> Timestamp {
        self.state.parts.clock.now()
    }

    /// How upstreams are chosen.
    pub fn upstream_rule(&self) -> UpstreamRule {
        UpstreamRule::from(self.state.parts.mode)
    }

    /// Tokens, as far as they are known before the request runs.
    pub const fn size(&self) -> RequestSize {
        RequestSize { prompt: self.prompt_tokens, answer: self.answer_tokens }
    }
}

/// Digest of a prompt's prefix: its first message, which templates share.
pub fn prefix_digest(body: &ChatBody) -> PrefixDigest {
    PrefixDigest::new(body.message_texts().first().copied().unwrap_or_default())
}
