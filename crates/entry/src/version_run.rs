//! Runs a request on one version: attempts, retries and resumption of interrupted streams.

use crate::answer_sink::{AnswerSink, CallerGone};
use crate::attempt::{
    AnswerCompletion, AnswerEvent, AttemptCall, AttemptFault, cancel_attempt, open_attempt,
};
use crate::chat_context::ChatContext;
use crate::refusal::Refusal;
use crate::request_trace::{RequestTrace, TraceEvent};
use crate::run_progress::{
    POOL_RETRY_AFTER, RunProgress, deadline_refusal, run_state, terminal_refusal,
};
use crate::upstream_handle::{UpstreamHandle, UpstreamPermit};
use crate::upstream_pool::{ChoiceInput, UpstreamPool};
use oleander_core::attempt_retry::{FaultKind, RetryAction, retry_action};
use oleander_core::attempt_timeouts::AttemptTimeouts;
use oleander_core::backoff::RetryBackoff;
use oleander_core::catalog::objects::Version;
use oleander_core::ids::{AttemptId, UpstreamName, VersionName};
use oleander_core::price::{TokenUse, version_price};
use oleander_core::reason::Reason;
use oleander_core::units::{Millis, TokenCount};
use oleander_core::upstream_choice::AttemptWork;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tracing::Instrument;

/// Confidence of an answer whose engine reports none.
const UNKNOWN_CONFIDENCE: f64 = 0.5;
/// Largest number of attempts of one request on one version.
const MAX_ATTEMPTS: u32 = 6;
const BACKOFF: RetryBackoff =
    RetryBackoff::new(Duration::from_millis(20), Duration::from_millis(500));
/// Minimum time before the deadline at which another attempt is still made.
const RETRY_RESERVE: Duration = Duration::from_millis(10);
/// Time reserved for returning the answer to the caller.
const RETURN_RESERVE: Duration = Duration::from_millis(1);

/// Outcome of a run on one version.
pub enum VersionEnd {
    /// The answer is complete and was sent to the caller.
    Answered(AnswerCompletion),
    /// The confidence in the answer is too low; nothing of it was sent to the caller.
    LowConfidence {
        /// The engine's confidence.
        confidence: f64,
        /// Set when the answer is complete; its deltas are still buffered in the sink.
        completion: Option<AnswerCompletion>,
    },
    /// The caller disconnected.
    CallerGone,
}

enum AttemptEnd {
    Version(VersionEnd),
    Fault(AttemptFault),
}

/// A run of a request on one version.
pub struct VersionRun<'a> {
    ctx: &'a ChatContext,
    version: &'a VersionName,
    object: &'a Version,
    pool: Arc<UpstreamPool>,
    min_confidence: f64,
    tried: HashSet<UpstreamName>,
    reconnected: bool,
    retries: u32,
}

impl<'a> VersionRun<'a> {
    /// Creates a run that accepts answers with a confidence of at least `min_confidence`.
    pub fn new(
        ctx: &'a ChatContext,
        version: &'a VersionName,
        object: &'a Version,
        pool: Arc<UpstreamPool>,
        min_confidence: f64,
    ) -> Self {
        let tried = HashSet::new();
        Self { ctx, version, object, pool, min_confidence, tried, reconnected: false, retries: 0 }
    }

    /// Makes attempts until the run has an outcome.
    ///
    /// # Errors
    ///
    /// A refusal when no further attempt can be made.
    pub async fn run(
        &mut self,
        progress: &mut RunProgress,
        trace: &mut RequestTrace,
        sink: &mut AnswerSink,
    ) -> Result<VersionEnd, Refusal> {
        progress.position = 0;
        self.pool.record_attempt();
        let mut retry_on: Option<Arc<UpstreamHandle>> = None;
        let mut last_fault: Option<AttemptFault> = None;
        loop {
            self.check_withdrawn(progress)?;
            let permit = match retry_on.take() {
                Some(handle) => UpstreamPermit::new(handle),
                None => self.choose(progress, last_fault.as_ref())?,
            };
            let handle = Arc::clone(permit.handle());
            match self.attempt(permit, progress, trace, sink).await? {
                AttemptEnd::Version(end) => return Ok(end),
                AttemptEnd::Fault(fault) => {
                    let event = TraceEvent::fault(handle.name.clone(), fault.kind, &fault.message);
                    trace.add(self.ctx.now(), event);
                    retry_on = self.after_fault(&handle, &fault, progress).await?;
                    last_fault = Some(fault);
                }
            }
        }
    }

    /// Refuses the request if the version was withdrawn since it started.
    fn check_withdrawn(&self, progress: &RunProgress) -> Result<(), Refusal> {
        if self.ctx.state.parts.catalog.snapshot().is_withdrawn(self.version) {
            let message = format!("version {} was withdrawn", self.version);
            return Err(
                Refusal::new(Reason::VersionWithdrawn, message).with_run(run_state(progress))
            );
        }
        Ok(())
    }

    fn work(&self) -> AttemptWork {
        AttemptWork {
            prompt: self.ctx.prompt_tokens,
            answer: self.ctx.answer_tokens,
            first_token: self.object.first_token,
            token_gap: self.object.token_gap,
            price_per_second: self.ctx.account.snapshot.catalog().policy.price_per_second,
        }
    }

    fn choose(
        &mut self,
        progress: &RunProgress,
        last: Option<&AttemptFault>,
    ) -> Result<UpstreamPermit, Refusal> {
        if let Some(permit) = self.try_choose() {
            return Ok(permit);
        }
        // Every upstream was tried. Those that failed may work now; those that were full or
        // unreachable are not tried again.
        let retry_all = last.is_some_and(|fault| {
            fault.kind.counts_against_upstream() && fault.kind != FaultKind::Connect
        });
        if retry_all && !self.tried.is_empty() {
            self.tried.clear();
            if let Some(permit) = self.try_choose() {
                return Ok(permit);
            }
        }
        Err(self.no_upstream(progress, last))
    }

    fn try_choose(&self) -> Option<UpstreamPermit> {
        let state = &self.ctx.state;
        let cached = |name: &UpstreamName| state.expected_saving(name, self.ctx);
        let is_leaving = |name: &UpstreamName| state.upstreams.is_leaving(name);
        let input = ChoiceInput {
            now: self.ctx.now(),
            random: state.rng.next(),
            cached: &cached,
            is_leaving: &is_leaving,
        };
        self.pool.choose(self.ctx.upstream_rule(), &self.work(), &self.tried, &input)
    }

    fn no_upstream(&self, progress: &RunProgress, last: Option<&AttemptFault>) -> Refusal {
        let pool = &self.pool.name;
        match last {
            Some(fault) => terminal_refusal(fault, progress),
            None => Refusal::new(
                Reason::NoUpstream,
                format!("no upstream of pool {pool} can take the request now"),
            )
            .with_run(run_state(progress))
            .with_retry_after(POOL_RETRY_AFTER),
        }
    }

    async fn attempt(
        &mut self,
        permit: UpstreamPermit,
        progress: &mut RunProgress,
        trace: &mut RequestTrace,
        sink: &mut AnswerSink,
    ) -> Result<AttemptEnd, Refusal> {
        let handle = Arc::clone(permit.handle());
        let deadline = self.ctx.deadline;
        let left = deadline.next_hop_budget(self.ctx.now(), RETURN_RESERVE);
        let left = left.ok_or_else(|| deadline_refusal(progress))?;
        let attempt = AttemptId { request: self.ctx.ids.run, number: progress.attempts };
        progress.attempts += 1;
        let resume_from = progress.position;
        let upstream = handle.name.clone();
        trace.add(self.ctx.now(), TraceEvent::Attempt { attempt, upstream, resume_from });
        let span = tracing::info_span!(
            "attempt", %attempt, upstream = %handle.name, version = %self.version, resume_from
        );
        let call = self.call(attempt, left, resume_from);
        let (disconnected, timer) = (sink.disconnected(), tokio::time::sleep(left.as_duration()));
        let (end, usage) = {
            let mut usage = AttemptUsage::default();
            let streaming = self.stream_attempt(permit, &call, progress, &mut usage, sink);
            let end = tokio::select! {
                biased;
                end = streaming.instrument(span) => Some(end),
                () = disconnected => Some(AttemptEnd::Version(VersionEnd::CallerGone)),
                () = timer => None,
            };
            (end, usage)
        };
        self.add_attempt_cost(&usage, progress);
        let is_complete = matches!(&end, Some(AttemptEnd::Version(VersionEnd::Answered(_))))
            || matches!(
                &end,
                Some(AttemptEnd::Version(VersionEnd::LowConfidence { completion: Some(_), .. }))
            );
        if !is_complete && usage.sent {
            cancel_attempt(&handle, attempt);
        }
        end.ok_or_else(|| deadline_refusal(progress))
    }

    fn call(&self, attempt: AttemptId, left: Millis, resume_from: u32) -> AttemptCall<'a> {
        let (ctx, object) = (self.ctx, self.object);
        AttemptCall {
            attempt,
            version: self.version,
            body: ctx.body.upstream_body(self.version, ctx.answer_tokens),
            priority: ctx.priority,
            resume_from,
            timeouts: AttemptTimeouts::new(
                object.first_token,
                object.token_gap,
                left.as_duration(),
            ),
            left,
            trace: ctx.trace_context.with_span(ctx.state.rng.next()),
        }
    }

    /// Sends the attempt and forwards its deltas to the sink.
    async fn stream_attempt(
        &self,
        permit: UpstreamPermit,
        call: &AttemptCall<'_>,
        progress: &mut RunProgress,
        usage: &mut AttemptUsage,
        sink: &mut AnswerSink,
    ) -> AttemptEnd {
        let handle = Arc::clone(permit.handle());
        let started = self.ctx.now();
        usage.sent = true;
        let mut answer = match open_attempt(permit, call, started).await {
            Ok(answer) => answer,
            Err(fault) => {
                usage.sent = !matches!(
                    fault.kind,
                    FaultKind::Connect | FaultKind::NotRun | FaultKind::Rejected
                );
                return AttemptEnd::Fault(fault);
            }
        };
        handle.record_first_byte(self.ctx.now().since(started), self.ctx.now());
        self.ctx.state.record_dispatch(&handle.name, self.ctx);
        if self.min_confidence > 0.0
            && let Some(confidence) = answer.confidence
        {
            if confidence < self.min_confidence {
                return AttemptEnd::Version(VersionEnd::LowConfidence {
                    confidence,
                    completion: None,
                });
            }
            if sink.release().await == Err(CallerGone) {
                return AttemptEnd::Version(VersionEnd::CallerGone);
            }
        }
        loop {
            match answer.next().await {
                Ok(AnswerEvent::Delta(delta)) => {
                    progress.position += 1;
                    usage.tokens += 1;
                    if sink.push(delta).await == Err(CallerGone) {
                        return AttemptEnd::Version(VersionEnd::CallerGone);
                    }
                }
                Ok(AnswerEvent::Complete(completion)) => {
                    self.pool.record_success(&handle.name);
                    usage.prompt = Some(TokenCount::new(completion.usage.prompt_tokens));
                    return AttemptEnd::Version(
                        self.check_confidence(completion, answer.confidence, sink).await,
                    );
                }
                Err(fault) => return AttemptEnd::Fault(fault),
            }
        }
    }

    /// Accepts a complete answer, or rejects it when the confidence is too low.
    async fn check_confidence(
        &self,
        completion: AnswerCompletion,
        header_confidence: Option<f64>,
        sink: &mut AnswerSink,
    ) -> VersionEnd {
        let confidence =
            header_confidence.or(completion.usage.confidence).unwrap_or(UNKNOWN_CONFIDENCE);
        self.ctx.state.record_confidence(self.ctx, self.version, confidence);
        if header_confidence.is_none() && confidence < self.min_confidence {
            return VersionEnd::LowConfidence { confidence, completion: Some(completion) };
        }
        match sink.release().await {
            Ok(()) => VersionEnd::Answered(completion),
            Err(CallerGone) => VersionEnd::CallerGone,
        }
    }

    fn add_attempt_cost(&self, usage: &AttemptUsage, progress: &mut RunProgress) {
        if !usage.sent {
            return;
        }
        progress.ran = true;
        let prompt = usage.prompt.unwrap_or(self.ctx.prompt_tokens);
        let used = TokenUse { prompt, answer: TokenCount::new(usage.tokens) };
        progress.upstream_cost += version_price(self.object, used);
    }

    /// Decides how to go on after a fault: returns the same upstream to retry there, `None` to
    /// retry on another one, or a refusal.
    async fn after_fault(
        &mut self,
        handle: &Arc<UpstreamHandle>,
        fault: &AttemptFault,
        progress: &RunProgress,
    ) -> Result<Option<Arc<UpstreamHandle>>, Refusal> {
        let (ctx, now) = (self.ctx, self.ctx.now());
        ctx.state.metrics.count_fault(fault.kind);
        if ctx.deadline.next_hop_budget(now, RETRY_RESERVE).is_none() {
            return Err(deadline_refusal(progress));
        }
        if fault.kind == FaultKind::NotRun {
            handle.record_refusal(now);
        }
        let action = retry_action(fault.kind, self.reconnected);
        self.retries += 1;
        let may_retry =
            action != RetryAction::Stop && self.retries < MAX_ATTEMPTS && self.pool.try_retry();
        if action != RetryAction::SameUpstream && fault.kind.counts_against_upstream() {
            let ejected = self.pool.record_failure(&handle.name, now);
            if ejected {
                log::warn!("upstream_ejected upstream={} fault={}", handle.name, fault.kind.name());
            }
        }
        if !may_retry {
            return Err(terminal_refusal(fault, progress));
        }
        if action == RetryAction::SameUpstream && !ctx.state.upstreams.is_leaving(&handle.name) {
            self.reconnected = true;
            return Ok(Some(Arc::clone(handle)));
        }
        self.reconnected = false;
        self.tried.insert(handle.name.clone());
        let wait = BACKOFF.wait(self.retries, ctx.state.rng.next());
        tokio::time::sleep(wait.min(ctx.deadline.left(now))).await;
        Ok(None)
    }
}

#[derive(Debug, Default)]
struct AttemptUsage {
    sent: bool,
    tokens: u32,
    prompt: Option<TokenCount>,
}
