//! Runs one chat request through the steps of its plan, on a task of its own.

use crate::answer_sink::{AnswerEnd, AnswerHead, AnswerSink};
use crate::attempt::AnswerCompletion;
use crate::billing::record_usage;
use crate::chat_context::ChatContext;
use crate::refusal::Refusal;
use crate::request_trace::{RequestTrace, TraceEvent};
use crate::run_progress::{RunProgress, run_state};
use crate::sample_queue::SampleText;
use crate::upstream_pool::{AdmissionPermit, UpstreamPool};
use crate::version_run::{VersionEnd, VersionRun};
use oleander_core::admission::{AdmissionDecision, AdmissionRequest};
use oleander_core::catalog::objects::Version;
use oleander_core::chain::{ChainPlan, ChainStep};
use oleander_core::chain_input::idle_latency;
use oleander_core::ids::{ModelName, VersionName};
use oleander_core::price::{TokenUse, version_price};
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::{Money, TokenCount};
use oleander_core::usage::{UsageRecord, UsedItem};
use oleander_ports::ratings::AnswerSample;
use serde_json::{Map, Value};
use std::sync::Arc;

/// A running chat request.
pub struct ChatRun {
    ctx: ChatContext,
    plan: ChainPlan,
    trace: RequestTrace,
    sink: AnswerSink,
    progress: RunProgress,
}

/// An answer of low confidence, kept as a fallback while later steps run.
struct FallbackAnswer {
    step: u32,
    deltas: Vec<Map<String, Value>>,
    completion: AnswerCompletion,
}

enum RunEnd {
    Answered { step: u32, completion: AnswerCompletion },
    CallerGone { step: u32 },
}

impl ChatRun {
    /// Creates a run of a plan.
    pub fn new(ctx: ChatContext, plan: ChainPlan, trace: RequestTrace, sink: AnswerSink) -> Self {
        Self { ctx, plan, trace, sink, progress: RunProgress::default() }
    }

    /// Runs to the end; the events go to the sink.
    pub async fn run(mut self) {
        let ended = self.run_chain().await;
        let finished = match ended {
            Ok(RunEnd::Answered { step, completion }) => self.finish(step, completion).await,
            Ok(RunEnd::CallerGone { step }) => {
                self.bill_disconnected(step).await;
                Ok(())
            }
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = finished {
            self.fail(refusal).await;
        }
        let Self { ctx, trace, .. } = self;
        ctx.state.traces.push(trace);
    }

    async fn run_chain(&mut self) -> Result<RunEnd, Refusal> {
        let steps = self.plan.steps.clone();
        let mut fallback: Option<FallbackAnswer> = None;
        for (index, step) in steps.iter().enumerate() {
            let index = index as u32;
            match self.run_step(index, step).await {
                Ok(VersionEnd::Answered(completion)) => {
                    return Ok(RunEnd::Answered { step: index, completion });
                }
                Ok(VersionEnd::CallerGone) => return Ok(RunEnd::CallerGone { step: index }),
                Ok(VersionEnd::LowConfidence { confidence, completion }) => {
                    let from = step.version.clone();
                    self.trace.add(self.ctx.now(), TraceEvent::Escalated { from, confidence });
                    let deltas = self.sink.take_buffered();
                    let mut text = SampleText::default();
                    deltas.iter().for_each(|delta| text.add(delta));
                    self.queue_sample(&step.version, text.take());
                    fallback = completion
                        .map(|completion| FallbackAnswer { step: index, deltas, completion })
                        .or(fallback);
                }
                Err(refusal) if !self.sink.has_sent() && fallback.is_some() => {
                    log::info!("weak_answer_kept request={} {refusal}", self.ctx.ids.run);
                    break;
                }
                Err(refusal) => return Err(refusal),
            }
        }
        self.send_fallback(fallback).await
    }

    /// Sends the fallback answer after no later step gave a better one.
    async fn send_fallback(&mut self, fallback: Option<FallbackAnswer>) -> Result<RunEnd, Refusal> {
        let Some(FallbackAnswer { step, deltas, completion }) = fallback else {
            let message = "no step of the cascade gave an answer";
            let run = run_state(&self.progress);
            return Err(Refusal::new(Reason::UpstreamFault, message).with_run(run));
        };
        self.sink.prepare(self.head(step), false);
        for delta in deltas {
            if self.sink.push(delta).await.is_err() {
                return Ok(RunEnd::CallerGone { step });
            }
        }
        Ok(RunEnd::Answered { step, completion })
    }

    async fn run_step(&mut self, index: u32, step: &ChainStep) -> Result<VersionEnd, Refusal> {
        let snapshot = Arc::clone(&self.ctx.account.snapshot);
        let missing = || Refusal::new(Reason::NotFound, format!("{} is gone", step.version));
        let object = snapshot.version(&step.version).ok_or_else(missing)?;
        let pool = self.ctx.state.upstreams.pool(&snapshot, &object.pool);
        let pool = pool.ok_or_else(missing)?;
        let mut permit = self.admit(&pool, object)?;
        self.trace.add(self.ctx.now(), TraceEvent::Admitted { pool: pool.name.clone() });
        self.sink.prepare(self.head(index), step.min_confidence > 0.0);
        let started = self.ctx.now();
        let mut run = VersionRun::new(&self.ctx, &step.version, object, pool, step.min_confidence);
        let end = run.run(&mut self.progress, &mut self.trace, &mut self.sink).await;
        if let Ok(VersionEnd::Answered(_) | VersionEnd::LowConfidence { completion: Some(_), .. }) =
            &end
        {
            permit.set_service_time(self.ctx.now().since(started));
        }
        end
    }

    /// Asks the pool for admission.
    fn admit(&self, pool: &UpstreamPool, object: &Version) -> Result<AdmissionPermit, Refusal> {
        let _span = tracing::info_span!("admission", pool = %pool.name).entered();
        let ctx = &self.ctx;
        let request = AdmissionRequest {
            account: ctx.account.name.clone(),
            weight: ctx.account.object().map_or(1, |account| account.weight),
            priority: ctx.priority,
            left: ctx.deadline.left(ctx.now()),
            needed: idle_latency(object, TokenCount::new(1)),
        };
        pool.admit(&request).map_err(|denied| self.denial_refusal(denied))
    }

    fn denial_refusal(&self, denied: AdmissionDecision) -> Refusal {
        let run = run_state(&self.progress);
        let refusal = match denied {
            AdmissionDecision::DeadlineTooShort { needed } => {
                let message = format!("the deadline leaves less than the {needed:?} needed");
                Refusal::new(Reason::DeadlineTooShort, message).with_retry_after(needed)
            }
            AdmissionDecision::OverFairShare { retry_after } => {
                let message = "the pool is short and the account is above its share of it";
                Refusal::new(Reason::Overloaded, message).with_retry_after(retry_after)
            }
            AdmissionDecision::Overloaded { retry_after } => {
                let message = "the pool has no room for the request before its deadline";
                Refusal::new(Reason::Overloaded, message).with_retry_after(retry_after)
            }
            AdmissionDecision::Admit { .. } => Refusal::new(Reason::Overloaded, "not admitted"),
        };
        refusal.with_run(run)
    }

    fn head(&self, step: u32) -> AnswerHead {
        let ChainStep { version, model, .. } = &self.plan.steps[step as usize];
        let session = self.ctx.state.session_token(&self.ctx, version);
        AnswerHead { version: version.clone(), step: self.cascade_step(model, step), session }
    }

    /// Returns the position of a model in the cascade that the request names.
    fn cascade_step(&self, model: &ModelName, step: u32) -> u32 {
        let cascade = self.ctx.cascade.as_ref();
        let cascade = cascade.and_then(|name| self.ctx.account.snapshot.cascade(name));
        let position = cascade.and_then(|object| object.steps.iter().position(|m| m == model));
        position.map_or(step, |position| position as u32)
    }

    /// Bills a complete answer, then sends its end to the caller.
    async fn finish(&mut self, step: u32, completion: AnswerCompletion) -> Result<(), Refusal> {
        let version = self.plan.steps[step as usize].version.clone();
        let used = TokenUse {
            prompt: TokenCount::new(completion.usage.prompt_tokens),
            answer: TokenCount::new(completion.usage.completion_tokens),
        };
        let record = self.usage_record(step, used, RunState::Done);
        let cost = record.billed;
        let tokens = used.answer.get();
        self.trace.add(self.ctx.now(), TraceEvent::Answered { version: version.clone(), tokens });
        record_usage(&self.ctx.state, record).await?;
        self.trace_billed(cost);
        let text = self.sink.take_sample();
        self.queue_sample(&version, text);
        self.ctx.state.metrics.count_answer(&version, cost, self.progress.upstream_cost);
        let end = AnswerEnd { finish_reason: completion.finish_reason, used, cost };
        if self.sink.finish(end).await.is_err() {
            self.trace.add(self.ctx.now(), TraceEvent::CallerGone);
        }
        Ok(())
    }

    /// Queues an answer for rating. Answers of low confidence are included: quality estimates from
    /// accepted answers alone would be too high.
    fn queue_sample(&self, version: &VersionName, text: Arc<str>) {
        let Some(cascade) = self.ctx.cascade.clone().filter(|_| !text.is_empty()) else { return };
        let (request, version) = (self.ctx.ids.run, version.clone());
        self.ctx.state.samples.push(AnswerSample { request, cascade, version, text });
    }

    /// Bills the tokens generated for a caller that disconnected.
    async fn bill_disconnected(&mut self, step: u32) {
        self.trace.add(self.ctx.now(), TraceEvent::CallerGone);
        self.ctx.state.metrics.count_disconnect();
        if !self.progress.ran {
            return;
        }
        let answer = TokenCount::new(self.progress.position);
        let used = TokenUse { prompt: self.ctx.prompt_tokens, answer };
        let record = self.usage_record(step, used, RunState::Partial);
        let cost = record.billed;
        if record_usage(&self.ctx.state, record).await.is_ok() {
            self.trace_billed(cost);
        }
    }

    fn trace_billed(&mut self, billed: Money) {
        let upstream_cost = self.progress.upstream_cost;
        self.trace.add(self.ctx.now(), TraceEvent::Billed { billed, upstream_cost });
    }

    fn usage_record(&self, step: u32, used: TokenUse, run: RunState) -> UsageRecord {
        let version = self.plan.steps[step as usize].version.clone();
        let object = self.ctx.account.snapshot.version(&version);
        UsageRecord {
            account: self.ctx.account.name.clone(),
            request: self.ctx.ids.billed,
            item: UsedItem::Version(version),
            run,
            tokens_in: used.prompt,
            tokens_out: used.answer,
            billed: object.map_or(Money::ZERO, |object| version_price(object, used)),
            upstream_cost: self.progress.upstream_cost,
            ended_at: self.ctx.now(),
            outcome: None,
        }
    }

    async fn fail(&mut self, refusal: Refusal) {
        let Refusal { reason, run, message, .. } = refusal.clone();
        log::info!("request_refused request={} reason={reason} run={run}", self.ctx.ids.run);
        self.ctx.state.metrics.count_refusal(reason);
        self.trace.add(self.ctx.now(), TraceEvent::Refused { reason, run, message });
        self.sink.fail(refusal).await;
    }
}
