//! `POST /v1/chat/completions`: validates a request, plans it and starts its run.

use crate::account::AccountView;
use crate::answer_sink::AnswerSink;
use crate::billing::check_usage_capacity;
use crate::chat_body::{ChatBody, MAX_CHAT_BODY};
use crate::chat_context::{ChatContext, prefix_digest};
use crate::chat_plan::{plan_chat, single_plan};
use crate::chat_reply::{ReplyContext, buffered_reply, stream_reply};
use crate::chat_run::ChatRun;
use crate::identity::{RequestIdentity, body_digest};
use crate::in_flight::InFlightRequest;
use crate::options::SessionOption;
use crate::refusal::Refusal;
use crate::request_body::read_request_body;
use crate::request_trace::{RequestTrace, TraceEvent};
use crate::session_pin::{SessionPin, bind_named, find_named, read_token};
use crate::state::EntryState;
use crate::target::{ChatTarget, find_target};
use http::{HeaderMap, Response};
use hyper::body::Incoming;
use oleander_adapters::http_server::ResponseBody;
use oleander_core::catalog::objects::Priority;
use oleander_core::chain::ChainPlan;
use oleander_core::deadline::Deadline;
use oleander_core::ids::{RequestId, SessionId, VersionName};
use oleander_core::price::estimate_tokens;
use oleander_core::reason::Reason;
use oleander_core::trace_context::{TRACEPARENT_HEADER, TraceContext};
use oleander_core::units::{Millis, TokenCount};
use std::sync::Arc;
use tracing::Instrument;

/// Deadline when neither the request nor the cascade sets one.
const DEFAULT_DEADLINE: Millis = Millis::new(30_000);
/// Token limit of an answer when neither the request nor the cascade sets one.
const DEFAULT_ANSWER_TOKENS: TokenCount = TokenCount::new(512);

/// Answers a chat request of a client account.
///
/// # Errors
///
/// A refusal when the request is rejected before it runs.
pub async fn answer_chat(
    state: &Arc<EntryState>,
    account: AccountView,
    run: RequestId,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<Response<ResponseBody>, Refusal> {
    let body = read_request_body(body, MAX_CHAT_BODY).await?;
    let chat = ChatBody::parse(&body, headers)?;
    check_usage_capacity(state)?;
    state.limits.admit(state, &account.name)?;
    let target = find_target(&account, &chat.target)?;
    let digest = body_digest("chat", &body);
    let mut ctx = chat_context(state, account, run, chat, &target, digest)?;
    ctx.trace_context = parent_context(headers).unwrap_or(ctx.trace_context);
    let request = ctx.ids.run;
    let mut trace = RequestTrace::new(
        request,
        ctx.ids.billed,
        ctx.account.name.clone(),
        ctx.body.target.as_str(),
        ctx.now(),
    );
    let plan = plan_session(&mut ctx, &target, &mut trace).await;
    let plan = plan.inspect_err(|refusal| trace_refusal(state, trace.clone(), refusal, &ctx))?;
    Ok(start_run(state, ctx, plan, trace).await)
}

fn trace_refusal(
    state: &EntryState,
    mut trace: RequestTrace,
    refusal: &Refusal,
    ctx: &ChatContext,
) {
    let Refusal { reason, run, message, .. } = refusal.clone();
    trace.add(ctx.now(), TraceEvent::Refused { reason, run, message });
    state.traces.push(trace);
}

fn chat_context(
    state: &Arc<EntryState>,
    account: AccountView,
    run: RequestId,
    body: ChatBody,
    target: &ChatTarget,
    digest: [u8; 32],
) -> Result<ChatContext, Refusal> {
    let now = state.parts.clock.now();
    let cascade = target.cascade_object(&account);
    let options = &body.options;
    let budget = options.deadline.or(cascade.map(|cascade| cascade.deadline));
    let quality = options.quality_target.or(cascade.map(|cascade| cascade.quality_target));
    let answer = body.max_tokens.or(cascade.map(|cascade| cascade.answer_tokens));
    let highest = account.object().map(|account| account.priority).unwrap_or_default();
    let priority = options.priority.unwrap_or(Priority::Normal).min(highest.max(Priority::Low));
    let ids = RequestIdentity::new(run);
    let ids = match &options.key {
        Some(key) => ids.with_key(&account.name, key, &digest),
        None => ids,
    };
    let session = SessionId::new(&format!("s-{:032x}", run.get()))
        .map_err(|error| Refusal::new(Reason::BadSession, error.to_string()))?;
    Ok(ChatContext {
        state: Arc::clone(state),
        ids,
        deadline: Deadline::new(now, budget.unwrap_or(DEFAULT_DEADLINE)),
        priority,
        cascade: target.cascade().cloned(),
        quality: quality.unwrap_or_default(),
        session,
        answer_tokens: answer.unwrap_or(DEFAULT_ANSWER_TOKENS),
        prompt_tokens: estimate_tokens(body.prompt_bytes),
        prefix: prefix_digest(&body),
        trace_context: TraceContext::new(run.get(), state.rng.next()),
        account,
        body,
    })
}

fn parent_context(headers: &HeaderMap) -> Option<TraceContext> {
    headers.get(TRACEPARENT_HEADER)?.to_str().ok()?.parse().ok()
}

/// Plans the request within its session, if it has one.
async fn plan_session(
    ctx: &mut ChatContext,
    target: &ChatTarget,
    trace: &mut RequestTrace,
) -> Result<ChainPlan, Refusal> {
    let plan = match ctx.body.options.session.clone() {
        None => plan_chat(ctx, target)?,
        Some(SessionOption::Token(token)) => {
            let claims = read_token(&ctx.state, &token, &ctx.account.name)?;
            ctx.session = claims.session;
            let pin = SessionPin { target: claims.target, version: claims.version };
            plan_pinned(ctx, pin, trace)?
        }
        Some(SessionOption::Named(name)) => {
            ctx.session = name.clone();
            plan_named(ctx, target, name, trace).await?
        }
    };
    let versions = plan.steps.iter().map(|step| step.version.clone()).collect();
    trace.add(ctx.now(), TraceEvent::Planned { versions, explored: plan.explored });
    Ok(plan)
}

fn plan_pinned(
    ctx: &ChatContext,
    pin: SessionPin,
    trace: &mut RequestTrace,
) -> Result<ChainPlan, Refusal> {
    pin.check_target(&ctx.body.target)?;
    trace.add(ctx.now(), TraceEvent::Pinned { version: pin.version.clone() });
    single_plan(ctx, &pin.version)
}

/// Plans a request of a caller-named session, which is bound to one version before anything is
/// sent.
async fn plan_named(
    ctx: &ChatContext,
    target: &ChatTarget,
    name: SessionId,
    trace: &mut RequestTrace,
) -> Result<ChainPlan, Refusal> {
    let account = &ctx.account.name;
    if let Some(pin) = find_named(&ctx.state, account, &name).await? {
        return plan_pinned(ctx, pin, trace);
    }
    let version = last_version(&plan_chat(ctx, target)?)?;
    let pin = SessionPin { target: ctx.body.target.clone(), version };
    let pin = bind_named(&ctx.state, account, &name, pin).await?;
    plan_pinned(ctx, pin, trace)
}

/// Returns the version of a plan's last step, which accepts every answer.
fn last_version(plan: &ChainPlan) -> Result<VersionName, Refusal> {
    let last = plan.steps.last().map(|step| step.version.clone());
    last.ok_or_else(|| Refusal::new(Reason::NotAllowed, "the plan has no step"))
}

async fn start_run(
    state: &Arc<EntryState>,
    ctx: ChatContext,
    plan: ChainPlan,
    trace: RequestTrace,
) -> Response<ResponseBody> {
    let (sink, events) = AnswerSink::new();
    let guard = state.in_flight.register(InFlightRequest {
        request: ctx.ids.run,
        account: ctx.account.name.clone(),
        target: Arc::from(ctx.body.target.as_str()),
        started_at: ctx.now(),
        key: ctx.body.options.key.clone(),
    });
    let reply = ReplyContext::new(&ctx);
    let stream = ctx.body.stream;
    let span = tracing::info_span!("request", request = %ctx.ids.run, trace = %ctx.trace_context);
    let run = ChatRun::new(ctx, plan, trace, sink);
    tokio::spawn(
        async move {
            run.run().await;
            drop(guard);
        }
        .instrument(span),
    );
    if stream { stream_reply(reply, events).await } else { buffered_reply(reply, events).await }
}
