//! The event loop of a simulation.

use super::answer_model::{ModelAnswer, draw_answer};
use super::engine_model::{EngineJob, EngineModel, EngineOutput};
use super::event_queue::{EventQueue, SimulationEvent as Event};
use super::router_model::RouterModel;
use super::settings::{RetryRule, SimulationSettings};
use super::statistics::{ClassStatistics, SimulationStatistics, record};
use crate::arrival_trace::TraceRequest;
use crate::deployment::DeploymentModel;
use crate::seeded_random::SeededRandom;
use oleander_core::admission::{AdmissionDecision, AdmissionRequest};
use oleander_core::backoff::RetryBackoff;
use oleander_core::catalog::objects::Priority;
use oleander_core::chain::ChainPlan;
use std::time::Duration;

const MICROS_PER_SECOND: f64 = 1e6;
const REPORT_INTERVAL_MICROS: u64 = 500_000;
const CACHE_EVENT_LAG_MICROS: u64 = 1_000_000;
const CACHE_EVENT_LOSS_SHARE: f64 = 0.1;
const RATED_SHARE: f64 = 0.05;
const MEAN_RATING_LAG_SECONDS: f64 = 60.0;
const BACKOFF: RetryBackoff = RetryBackoff::new(Duration::from_millis(50), Duration::from_secs(2));

#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestPhase {
    Open,
    Closed,
}

#[derive(Debug)]
struct RequestState {
    plan: Option<ChainPlan>,
    step: usize,
    attempt: Option<usize>,
    retries: u32,
    last_engine: Option<usize>,
    phase: RequestPhase,
}

#[derive(Debug)]
struct AttemptState {
    request: usize,
    tier: usize,
    engine: usize,
    started: u64,
    reached: bool,
    first_token: Option<u64>,
    open: bool,
}

/// A running simulation.
pub struct EventSimulator<'a> {
    deployment: &'a DeploymentModel,
    trace: &'a [TraceRequest],
    settings: &'a SimulationSettings,
    router: RouterModel,
    random: SeededRandom,
    queue: EventQueue,
    engines: Vec<EngineModel>,
    engine_positions: Vec<(usize, usize)>,
    first_engine: Vec<usize>,
    cache_numbers: Vec<u64>,
    requests: Vec<RequestState>,
    attempts: Vec<AttemptState>,
    statistics: SimulationStatistics,
    open_requests: usize,
}

impl<'a> EventSimulator<'a> {
    /// Creates a simulation with its initial events.
    ///
    /// # Errors
    ///
    /// When the deployment's catalog is not valid.
    pub fn new(
        deployment: &'a DeploymentModel,
        trace: &'a [TraceRequest],
        settings: &'a SimulationSettings,
    ) -> anyhow::Result<Self> {
        let mut simulator = Self {
            deployment,
            trace,
            settings,
            router: RouterModel::new(deployment, settings)?,
            random: SeededRandom::new(settings.seed),
            queue: EventQueue::default(),
            engines: Vec::new(),
            engine_positions: Vec::new(),
            first_engine: Vec::new(),
            cache_numbers: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            statistics: SimulationStatistics::new(deployment.classes.len())?,
            open_requests: trace.len(),
        };
        simulator.add_engines();
        simulator.add_events();
        Ok(simulator)
    }

    fn add_engines(&mut self) {
        for (tier, model) in self.deployment.tiers.iter().enumerate() {
            self.first_engine.push(self.engines.len());
            for index in 0..model.engine_count {
                let engine = EngineModel::new(model.slots, model.token_gap_ms, model.prefill_us);
                self.engines.push(engine);
                self.engine_positions.push((tier, index));
                self.cache_numbers.push(0);
            }
        }
    }

    fn add_events(&mut self) {
        for (index, request) in self.trace.iter().enumerate() {
            self.queue.push((request.at * MICROS_PER_SECOND) as u64, Event::Arrive(index));
        }
        for engine in 0..self.engines.len() {
            self.queue.push(engine as u64 * 7_000, Event::MakeReport(engine));
        }
        for fault in &self.settings.faults {
            let (from, to) =
                ((fault.from * MICROS_PER_SECOND) as u64, (fault.to * MICROS_PER_SECOND) as u64);
            self.queue.push(from, Event::Fault(fault.tier, fault.engines, true));
            self.queue.push(to, Event::Fault(fault.tier, fault.engines, false));
        }
        let new_request = || RequestState {
            plan: None,
            step: 0,
            attempt: None,
            retries: 0,
            last_engine: None,
            phase: RequestPhase::Open,
        };
        self.requests = self.trace.iter().map(|_| new_request()).collect();
    }

    /// Runs until every request is closed.
    #[must_use]
    pub fn run(mut self) -> SimulationStatistics {
        let mut end = 0;
        while self.open_requests > 0 {
            let Some((now, event)) = self.queue.pop() else { break };
            if now as f64 > self.settings.stop_at * MICROS_PER_SECOND {
                break;
            }
            end = now;
            self.handle(now, event);
        }
        self.statistics.seconds = end as f64 / MICROS_PER_SECOND - self.settings.warm_up;
        self.statistics
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::ReachEngine(attempt) => self.reach_engine(now, attempt),
            Event::StepEnd(engine) => self.step_end(now, engine),
            Event::FirstToken(attempt) => self.attempts[attempt].first_token = Some(now),
            Event::Finished(attempt) => self.finished(now, attempt),
            Event::Failed(attempt) => self.failed(now, attempt),
            Event::Retry(request) => self.dispatch(now, request),
            Event::Deadline(request) => self.deadline(now, request),
            Event::MakeReport(engine) => self.make_report(now, engine),
            Event::Report(engine, running, queued, own, reported_at) => {
                let (tier, index) = self.engine_positions[engine];
                self.router.record_report(tier, index, (running, queued, own), reported_at);
            }
            Event::Cache(engine, number, prefix, cached) => {
                self.router.record_cache_event(
                    self.engine_positions[engine],
                    number,
                    prefix,
                    cached,
                    now,
                );
            }
            Event::Rating(class, tier, confidence, score) => {
                self.router.record_rating(class, tier, confidence, score);
            }
            Event::Fault(tier, engines, failing) => self.fault(now, tier, engines, failing),
        }
    }

    fn deadline_at(&self, request: usize) -> u64 {
        let trace = &self.trace[request];
        let span = self.deployment.classes[trace.class].deadline * self.settings.deadline_factor;
        ((trace.at + span) * MICROS_PER_SECOND) as u64
    }

    /// Answer length that the router expects. It knows only the mean of the class.
    fn expected_answer(&self, request: usize) -> u32 {
        self.deployment.classes[self.trace[request].class].answer as u32
    }

    /// Statistics of the class of a request; `None` if it arrived during the warm-up.
    fn class_statistics(&mut self, request: usize) -> Option<&mut ClassStatistics> {
        let trace = &self.trace[request];
        let counted = trace.at >= self.settings.warm_up;
        counted.then(|| &mut self.statistics.classes[trace.class])
    }

    fn arrive(&mut self, now: u64, request: usize) {
        if let Some(class) = self.class_statistics(request) {
            class.arrived += 1;
        }
        let left = Duration::from_micros(self.deadline_at(request) - now);
        let answer = self.expected_answer(request);
        let random = self.random.next_u64();
        match self.router.plan(&self.trace[request], answer, left, random) {
            Ok(plan) => self.requests[request].plan = Some(plan),
            Err(_) if self.settings.admission => return self.refuse(now, request),
            Err(_) => {
                // Without admission control, the request is sent even if no chain meets its
                // deadline.
                let left = Duration::MAX;
                let plan = self.router.plan(&self.trace[request], answer, left, random);
                self.requests[request].plan = plan.ok();
            }
        }
        self.queue.push(self.deadline_at(request), Event::Deadline(request));
        self.start_step(now, request);
    }

    fn start_step(&mut self, now: u64, request: usize) {
        let Some(tier) = self.step_tier(request) else { return self.refuse(now, request) };
        if self.settings.admission && self.requests[request].step == 0 {
            let admission_request = self.admission_request(now, request, tier);
            let decision = self.router.admission(tier).decide(&admission_request);
            if !matches!(decision, AdmissionDecision::Admit { .. }) {
                return self.refuse(now, request);
            }
        }
        self.router.budget(tier).record_attempt();
        self.statistics.first_attempts += 1;
        self.requests[request].retries = 0;
        self.requests[request].last_engine = None;
        self.dispatch(now, request);
    }

    fn admission_request(&self, now: u64, request: usize, tier: usize) -> AdmissionRequest {
        let model = &self.deployment.tiers[tier];
        let trace = &self.trace[request];
        let prefill = f64::from(trace.prompt) * model.prefill_us / MICROS_PER_SECOND;
        let gap = model.token_gap_ms as f64 / 1_000.0;
        let needed = prefill + gap * f64::from(self.expected_answer(request));
        AdmissionRequest {
            account: self.router.account_name.clone(),
            weight: 1,
            priority: Priority::High,
            left: Duration::from_micros(self.deadline_at(request).saturating_sub(now)),
            needed: Duration::from_secs_f64(needed),
        }
    }

    fn step_tier(&self, request: usize) -> Option<usize> {
        let state = &self.requests[request];
        let step = state.plan.as_ref()?.steps.get(state.step)?;
        Some(self.router.tier(&step.version))
    }

    fn dispatch(&mut self, now: u64, request: usize) {
        if self.requests[request].phase == RequestPhase::Closed {
            return;
        }
        let Some(tier) = self.step_tier(request) else { return };
        let random = self.random.next_u64();
        let answer = self.expected_answer(request);
        let trace = &self.trace[request];
        let excluded = self.requests[request].last_engine;
        let Some(engine) = self.router.choose(tier, trace, answer, excluded, (now, random)) else {
            return self.fail_request(now, request);
        };
        let delay = self.router.record_dispatch(tier, engine, trace, now).get() * 1_000;
        let name = self.router.account_name.clone();
        self.router.admission(tier).start(&name, 1);
        let attempt = self.attempts.len();
        self.attempts.push(AttemptState {
            request,
            tier,
            engine,
            started: now,
            reached: false,
            first_token: None,
            open: true,
        });
        self.requests[request].attempt = Some(attempt);
        self.requests[request].last_engine = Some(engine);
        self.queue.push(now + delay / 2, Event::ReachEngine(attempt));
    }

    fn engine_of(&self, attempt: usize) -> usize {
        let state = &self.attempts[attempt];
        self.first_engine[state.tier] + state.engine
    }

    fn one_way_delay(&self, attempt: usize) -> u64 {
        let remote = self.attempts[attempt].engine % 3 == 2;
        if remote { 30_000 } else { 1_000 }
    }

    fn reach_engine(&mut self, now: u64, attempt: usize) {
        if !self.attempts[attempt].open {
            return;
        }
        self.attempts[attempt].reached = true;
        let engine = self.engine_of(attempt);
        if self.engines[engine].failing {
            let failed_at = now + self.one_way_delay(attempt) + 2_000;
            return self.queue.push(failed_at, Event::Failed(attempt));
        }
        let trace = &self.trace[self.attempts[attempt].request];
        let job = EngineJob::new(attempt, trace.prompt, trace.answer);
        self.engines[engine].push(job.with_prefix(trace.prefix, trace.prefix_tokens));
        self.begin_step(now, engine);
    }

    fn begin_step(&mut self, now: u64, engine: usize) {
        if self.engines[engine].stepping {
            return;
        }
        if let Some(span) = self.engines[engine].begin_step() {
            self.engines[engine].stepping = true;
            self.queue.push(now + span, Event::StepEnd(engine));
        }
    }

    fn step_end(&mut self, now: u64, engine: usize) {
        self.engines[engine].stepping = false;
        for output in self.engines[engine].end_step() {
            match output {
                EngineOutput::FirstToken(attempt) => {
                    let at = now + self.one_way_delay(attempt);
                    self.queue.push(at, Event::FirstToken(attempt));
                }
                EngineOutput::Finished(attempt) => {
                    let at = now + self.one_way_delay(attempt);
                    self.queue.push(at, Event::Finished(attempt));
                }
                EngineOutput::Cached(prefix) => self.cache_event(now, engine, prefix, true),
                EngineOutput::Evicted(prefix) => self.cache_event(now, engine, prefix, false),
            }
        }
        self.begin_step(now, engine);
    }

    fn cache_event(&mut self, now: u64, engine: usize, prefix: u64, cached: bool) {
        let number = self.cache_numbers[engine];
        self.cache_numbers[engine] += 1;
        if self.random.next_unit() >= CACHE_EVENT_LOSS_SHARE {
            let event = Event::Cache(engine, number, prefix, cached);
            self.queue.push(now + CACHE_EVENT_LAG_MICROS, event);
        }
    }

    /// Closes an attempt and adds its cost to the statistics.
    fn close_attempt(&mut self, attempt: usize, produced: u32, service: Option<Duration>) {
        self.attempts[attempt].open = false;
        let (request, tier, engine) = {
            let state = &self.attempts[attempt];
            (state.request, state.tier, state.engine)
        };
        self.router.record_end(tier, engine);
        let name = self.router.account_name.clone();
        self.router.admission(tier).finish(&name, service);
        self.requests[request].attempt = None;
        let model = &self.deployment.tiers[tier];
        let prompt = f64::from(self.trace[request].prompt);
        let prompt_cost = if produced > 0 { prompt * model.price_in as f64 } else { 0.0 };
        let cost = (prompt_cost + f64::from(produced) * model.price_out as f64) / 1_000.0;
        if let Some(class) = self.class_statistics(request) {
            class.cost += cost;
        }
    }

    fn finished(&mut self, now: u64, attempt: usize) {
        if !self.attempts[attempt].open {
            return;
        }
        let (request, tier, engine, started) = {
            let state = &self.attempts[attempt];
            (state.request, state.tier, state.engine, state.started)
        };
        let trace = &self.trace[request];
        let first_token_wait = self.attempts[attempt].first_token.unwrap_or(now) - started;
        let model = &self.deployment.tiers[tier];
        let prefill = (f64::from(trace.prompt) * model.prefill_us) as u64;
        let service = (now - started) - first_token_wait.saturating_sub(prefill);
        self.close_attempt(attempt, trace.answer, Some(Duration::from_micros(service)));
        self.router.record_result(tier, engine, true, now);
        let answer = draw_answer(self.deployment, trace, tier, &mut self.random);
        self.router.record_confidence(trace.class, tier, answer.confidence);
        self.schedule_rating(now, request, tier, answer);
        self.accept_or_escalate(now, attempt, answer);
    }

    fn schedule_rating(&mut self, now: u64, request: usize, tier: usize, answer: ModelAnswer) {
        if self.random.next_unit() < RATED_SHARE {
            let class = self.trace[request].class;
            let at =
                now + (self.random.exponential(MEAN_RATING_LAG_SECONDS) * MICROS_PER_SECOND) as u64;
            let event = Event::Rating(class, tier, answer.confidence, answer.rating);
            self.queue.push(at, event);
        }
    }

    fn accept_or_escalate(&mut self, now: u64, attempt: usize, answer: ModelAnswer) {
        let request = self.attempts[attempt].request;
        let state = &self.requests[request];
        let steps = state.plan.as_ref().map_or(&[][..], |plan| &plan.steps);
        let last = state.step + 1 >= steps.len();
        let accepted = last || answer.confidence >= steps[state.step].min_confidence;
        if !accepted {
            self.requests[request].step += 1;
            if let Some(class) = self.class_statistics(request) {
                class.escalated += 1;
            }
            return self.start_step(now, request);
        }
        let arrived = (self.trace[request].at * MICROS_PER_SECOND) as u64;
        // The answer of a step that can escalate is sent to the caller only after it is accepted.
        let first_token_at =
            if last { self.attempts[attempt].first_token.unwrap_or(now) } else { now };
        let tokens = u64::from(self.trace[request].answer);
        if let Some(class) = self.class_statistics(request) {
            class.in_time += 1;
            class.tokens += tokens;
            class.quality += answer.quality;
            record(&mut self.statistics.first_token, first_token_at - arrived);
            record(&mut self.statistics.completion, now - arrived);
        }
        self.close(request);
    }

    fn failed(&mut self, now: u64, attempt: usize) {
        if !self.attempts[attempt].open {
            return;
        }
        let (request, tier, engine) = {
            let state = &self.attempts[attempt];
            (state.request, state.tier, state.engine)
        };
        self.close_attempt(attempt, 0, None);
        self.router.record_result(tier, engine, false, now);
        let retries = self.requests[request].retries;
        let allowed = match self.settings.retry {
            RetryRule::Budget => self.router.budget(tier).try_spend(),
            RetryRule::Fixed(max_retries) => retries < max_retries,
        };
        if !allowed {
            return self.fail_request(now, request);
        }
        self.requests[request].retries += 1;
        self.statistics.retries += 1;
        let wait = BACKOFF.wait(retries, self.random.next_u64());
        self.queue.push(now + wait.as_micros() as u64, Event::Retry(request));
    }

    fn fail_request(&mut self, now: u64, request: usize) {
        if let Some(class) = self.class_statistics(request) {
            class.failed += 1;
        }
        self.record_refusal(now, request);
    }

    fn refuse(&mut self, now: u64, request: usize) {
        if let Some(class) = self.class_statistics(request) {
            class.refused += 1;
        }
        self.record_refusal(now, request);
    }

    fn record_refusal(&mut self, now: u64, request: usize) {
        let arrived = (self.trace[request].at * MICROS_PER_SECOND) as u64;
        if self.class_statistics(request).is_some() {
            record(&mut self.statistics.refusal, now - arrived);
        }
        self.close(request);
    }

    fn deadline(&mut self, now: u64, request: usize) {
        if self.requests[request].phase == RequestPhase::Closed {
            return;
        }
        if let Some(attempt) = self.requests[request].attempt {
            let engine = self.engine_of(attempt);
            let produced = self.engines[engine].cancel(attempt);
            self.close_attempt(attempt, produced, None);
        }
        if let Some(class) = self.class_statistics(request) {
            class.late += 1;
        }
        self.record_refusal(now, request);
    }

    fn close(&mut self, request: usize) {
        if self.requests[request].phase == RequestPhase::Open {
            self.requests[request].phase = RequestPhase::Closed;
            self.open_requests -= 1;
        }
    }

    fn make_report(&mut self, now: u64, engine: usize) {
        let (running, queued) = self.engines[engine].load();
        let (tier, index) = self.engine_positions[engine];
        let own = self.router.in_flight(tier, index);
        let at = now + (self.settings.report_lag * MICROS_PER_SECOND) as u64;
        self.queue.push(at, Event::Report(engine, running, queued, own, now));
        self.queue.push(now + REPORT_INTERVAL_MICROS, Event::MakeReport(engine));
    }

    fn fault(&mut self, now: u64, tier: usize, engines: usize, failing: bool) {
        for index in 0..engines {
            let engine = self.first_engine[tier] + index;
            self.engines[engine].failing = failing;
            if failing {
                for attempt in self.engines[engine].drop_all() {
                    self.queue.push(now, Event::Failed(attempt));
                }
            }
        }
    }
}
