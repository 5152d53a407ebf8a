//! The attempts of one request: picks the next upstream and model, and decides when to stop.

use crate::admitted::{AdmittedRequest, blocked_refusal, stopping_refusal};
use crate::attempt::{SendProgress, UpstreamAnswer, notice_departure, send_attempt};
use crate::cascade::{CascadeModel, CascadeRequest, CascadeStep, plan_steps};
use crate::choice_price::{ChoicePrices, PLAIN_ANSWER_VALUE, PricedRequest, answer_value, prices};
use crate::control_cache::ControlSnapshot;
use crate::crash_guard::LostRequest;
use crate::fault::AttemptFault;
use crate::latency_tracker::LatencyKey;
use crate::placement::{ChoiceInput, PromptInput};
use crate::refusal::{Refusal, promises_not_run};
use crate::request_record::RequestRecord;
use crate::rollout_answer::{AnswerStart, RolloutAnswer};
use crate::rollout_counters::CounterLabels;
use crate::rollout_plan::VersionRule;
use crate::state::GatewayState;
use crate::upstream_entry::UpstreamEntry;
use crate::upstream_handle::UpstreamPermit;
use crate::upstream_pool::UpstreamPool;
use crate::wire_format::{ModelSelection, UpstreamHead};
use http::{HeaderValue, StatusCode};
use oleander_core::account_share::{AccountHash, ShareExcess};
use oleander_core::attempt_retry::FaultKind;
use oleander_core::ids::UpstreamName;
use oleander_core::part_quarantine::SERVED_TIME;
use oleander_core::reach_view::ServicePath;
use oleander_core::request_hash::RequestHash;
use oleander_core::request_quarantine::RequestPermission;
use oleander_core::resend_choice::PendingAttempt;
use oleander_core::room_admission::{RequestKind, RoomRequest};
use oleander_core::units::Timestamp;
use std::borrow::Cow;
use std::collections::HashSet;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Maximum sends per request, including those that upstreams refused.
const MAX_SENDS: u32 = 6;
/// Maximum attempts that find no path to their upstream.
const MAX_UNREACHED: u32 = 3;
/// Time without a response after which a pending attempt is abandoned if the service has gone out of
/// this host's reach, so that another host carries the next one.
const LOST_PATIENCE: Duration = Duration::from_millis(600);
/// Minimum time left for a send: a round trip to the next failure domain.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Share of the route's latency target after which a pending attempt may be abandoned for another
/// upstream.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.6;
/// Share of the latency target within which another upstream must be expected to answer to be worth
/// switching to.
const FASTER_SHARE: f64 = 0.25;
/// Multiple of the typical latency after which a pending attempt may be abandoned.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 4;
/// Multiple of the typical latency above which an answer is not typical.
const SLOW_ANSWER_FACTOR: u32 = 4;
/// Latency assumed for a model that has not answered on this host yet.
const DEFAULT_LATENCY: Duration = Duration::from_millis(400);
/// Range of the `Retry-After` delay sent with a refusal.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(1_200));

/// Why a request got no answer from an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum RunError {
    /// The request's deadline passed.
    TimedOut,
    /// No upstream is eligible.
    NoUpstream,
    /// The last attempt failed and no retry is allowed.
    Failed(AttemptFault),
    /// Upstreams crash on the request, or on a part of its prompt.
    Blocked(Duration),
    /// The service has no room in the time that the request has.
    NoRoom(Duration),
    /// This host ends before the answer might be complete.
    Stopping,
}

/// The attempts of one request.
pub struct RequestRun {
    /// State shared by all requests.
    pub state: Arc<GatewayState>,
    /// The request.
    pub request: AdmittedRequest,
    /// The request's access log entry.
    pub record: RequestRecord,
    /// The cascade of models; empty when the gateway does not choose the model.
    steps: Vec<CascadeStep>,
    /// Index of the current step.
    step: usize,
    /// Attempts sent.
    sends: u32,
    /// Attempts that may have run at an upstream.
    runs: u32,
    /// Attempts that found no path to their upstream.
    unreached: u32,
    tried: HashSet<UpstreamName>,
    /// The last upstream that refused the request.
    last_refused: Option<UpstreamName>,
    /// Whether the answer of a silent upstream is kept, so that attempts do not go back there.
    keeps_silent: bool,
    may_have_run: bool,
    /// When the response headers of the latest answer arrived.
    head_at: Option<Timestamp>,
    /// Whether the latest answer has shown that the request does not crash its upstream.
    is_answered: bool,
    /// When the latest attempt was sent.
    sent_at: Timestamp,
    /// Whether it is a trial of a blocked request, which runs once.
    is_trial: bool,
    hash: OnceLock<RequestHash>,
    /// Version under rollout that failed this request.
    failed_version: Option<Arc<str>>,
    /// The latest answer, which counts in a rollout.
    answer: Option<RolloutAnswer>,
    /// Whether it was asked whether the service has room.
    is_admitted: bool,
}

impl RequestRun {
    /// Starts with an admitted request that has no attempts yet.
    pub fn new(state: Arc<GatewayState>, request: AdmittedRequest, record: RequestRecord) -> Self {
        state.pool.record_request(&request.service, request.started);
        let steps = plan(&state, &request);
        Self {
            state,
            request,
            record,
            steps,
            step: 0,
            sends: 0,
            runs: 0,
            unreached: 0,
            tried: HashSet::new(),
            last_refused: None,
            keeps_silent: false,
            may_have_run: false,
            head_at: None,
            is_answered: false,
            sent_at: Timestamp::default(),
            is_trial: false,
            hash: OnceLock::new(),
            failed_version: None,
            answer: None,
            is_admitted: false,
        }
    }

    /// Time left until the request's deadline.
    #[must_use]
    pub fn time_to_deadline(&self) -> Duration {
        self.request.deadline.since(self.state.clock.now())
    }

    /// Time left for an answer to begin: until the deadline, or until this process closes its
    /// connections.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.state.time_left(self.request.deadline)
    }

    /// Sends the request until an answer is accepted. `resume_after` is the id of the last event
    /// received when a stream is resumed.
    ///
    /// # Errors
    ///
    /// [`RunError`] when no attempt succeeds.
    pub async fn next_answer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<UpstreamAnswer, RunError> {
        let mut last_fault = None;
        if let Some(wait) = self.refused_for() {
            self.state.metrics.record_no_room();
            return Err(RunError::NoRoom(wait));
        }
        loop {
            notice_departure().await;
            self.renew_home_regions();
            if self.time_left() < MIN_TIME_LEFT {
                return Err(RunError::TimedOut);
            }
            if !self.may_have_run && !self.state.accepts_request(self.needed_time()) {
                return Err(RunError::Stopping);
            }
            let now = self.state.clock.now();
            if let Some(wait) = self.blocked_for(now) {
                return Err(RunError::Blocked(wait));
            }
            let Some(permit) = self.choose(last_fault.as_ref()) else {
                if self.with_choice(|pool, input| pool.is_cold_wait(input)) {
                    self.state.metrics.record_cold_wait();
                }
                return Err(last_fault.map_or(RunError::NoUpstream, RunError::Failed));
            };
            match self.send(permit, resume_after).await {
                Ok(answer) if self.try_escalation(&answer) => self.escalate(&answer),
                Ok(answer) if answer.status.is_server_error() => {
                    let reason = format!("status {}", answer.status);
                    let fault = AttemptFault::new(FaultKind::Failed, reason);
                    self.record_fault(&answer.permit.upstream.entry, &fault);
                    if !self.may_retry(&fault) {
                        return self.pass_on(answer);
                    }
                    last_fault = Some(fault);
                }
                Ok(answer) => return self.pass_on(answer),
                Err(fault) => {
                    if !self.may_retry(&fault) {
                        let is_over = self.time_left() < MIN_TIME_LEFT;
                        return Err(if is_over {
                            RunError::TimedOut
                        } else {
                            RunError::Failed(fault)
                        });
                    }
                    last_fault = Some(fault);
                }
            }
        }
    }

    /// An answer of a run for the caller, unless its status would have the caller repeat what must not
    /// run again.
    fn pass_on(&self, answer: UpstreamAnswer) -> Result<UpstreamAnswer, RunError> {
        if self.request.route.retry_policy.allows_retry() || !promises_not_run(answer.status) {
            return Ok(answer);
        }
        let reason = format!("status {} after a run", answer.status);
        Err(RunError::Failed(AttemptFault::new(FaultKind::Failed, reason)))
    }

    /// Time after which the caller should come back if the service has no room for the request. Asked
    /// once, before the first attempt.
    fn refused_for(&mut self) -> Option<Duration> {
        if std::mem::replace(&mut self.is_admitted, true) {
            return None;
        }
        let (request, state) = (&self.request, &self.state);
        let snapshot = state.snapshot.load();
        let entries = self.eligible(&snapshot);
        let room = RoomRequest {
            kind: RequestKind::new(Arc::clone(&request.route.name), request.priority()),
            value: answer_value(request.head.size, request.priority()),
            time_left: self.time_left(),
            above: ShareExcess::default(),
            random: state.random.next_unit(),
        };
        let account = request.account.as_ref().map(|account| AccountHash::new(&account.name));
        state.pool.refused_for(&request.service, room, account, &entries, state.clock.now())
    }

    fn renew_home_regions(&mut self) {
        if let Some(table) = &self.state.snapshot.load().routes {
            self.request.renew_home_regions(table);
        }
    }

    /// The upstreams of the service to which the request may be sent: those in its home regions, outside
    /// evacuated failure domains.
    fn eligible<'a>(&self, snapshot: &'a ControlSnapshot) -> Cow<'a, [Arc<UpstreamEntry>]> {
        let entries = snapshot.upstreams.get(&self.request.service).map_or(&[][..], Vec::as_slice);
        let homes = &self.request.outgoing.home_regions;
        let evacuations = &self.state.evacuations;
        if homes.is_any() && evacuations.is_empty() {
            return Cow::Borrowed(entries);
        }
        let settings = self.state.settings.load();
        let is_eligible = |entry: &&Arc<UpstreamEntry>| {
            homes.permits(settings.region_of(&entry.domain))
                && !evacuations.is_heard(&entry.domain, snapshot)
        };
        Cow::Owned(entries.iter().filter(is_eligible).cloned().collect())
    }

    /// Time for which the request is blocked; `None` if it may be sent, once more or as a trial.
    fn blocked_for(&mut self, now: Timestamp) -> Option<Duration> {
        let state = &self.state;
        if let Some(wait) = state.crashes.blocked_for(&self.request.parts, now) {
            return Some(wait);
        }
        if self.is_trial {
            return None;
        }
        let is_first = |key| state.pool.limits().is_first(key, now);
        match state.crashes.request_permission(|| self.hash(), is_first, now) {
            RequestPermission::Open => None,
            RequestPermission::Blocked(until) => Some(until.since(now)),
            RequestPermission::Trial => {
                self.is_trial = true;
                None
            }
        }
    }

    fn hash(&self) -> RequestHash {
        *self.hash.get_or_init(|| self.request.hash())
    }

    /// Whether the request may be retried after a fault; spends the retry budget.
    pub fn may_retry(&mut self, fault: &AttemptFault) -> bool {
        if fault.may_have_run() {
            self.may_have_run = true;
            if !self.request.route.retry_policy.allows_retry()
                || self.runs >= self.request.route.max_attempts
                || self.is_trial
            {
                return false;
            }
            // There may be no third attempt, so skip to the last model, which answers everything.
            self.step = self.steps.len().saturating_sub(1);
        }
        self.unreached += u32::from(fault.kind == FaultKind::Unreached);
        if self.sends >= MAX_SENDS
            || self.unreached >= MAX_UNREACHED
            || self.time_left() < MIN_TIME_LEFT
        {
            return false;
        }
        // A request that never left this host adds no load upstream, so it costs no budget.
        matches!(fault.kind, FaultKind::Connect | FaultKind::Unreached)
            || self.state.pool.try_retry(&self.request.service)
    }

    /// Whether a stream that breaks now may resume on another upstream.
    #[must_use]
    pub fn could_resume(&self) -> bool {
        self.request.route.retry_policy.allows_retry()
            && self.runs < self.request.route.max_attempts
            && self.state.pool.has_retry(&self.request.service)
    }

    /// Whether a stream may leave an upstream that is silent but may still go on: only if another
    /// one is expected to continue it within `limit`, and a further retry is left in case that one
    /// refuses it. Spends the retry budget.
    pub fn may_leave_silent(&mut self, fault: &AttemptFault, limit: Duration) -> bool {
        self.has_faster(limit)
            && self.state.pool.has_spare_retry(&self.request.service)
            && self.may_retry(fault)
    }

    /// Sets whether the answer of a silent upstream is kept while another one is tried.
    pub const fn keep_silent(&mut self, is_kept: bool) {
        self.keeps_silent = is_kept;
    }

    /// Records a fault of an upstream in the rollout sums, outlier ejection and metrics.
    pub fn record_fault(&mut self, entry: &UpstreamEntry, fault: &AttemptFault) {
        let now = self.state.clock.now();
        self.state.metrics.record_fault(fault.kind);
        let counts = fault.kind != FaultKind::Silent || self.state.pool.counts_timeout(entry, now);
        if fault.may_have_run() {
            if counts && fault.kind.counts_against_upstream() {
                self.count_fault(entry);
            }
            // A silent upstream may only be busy, and the session has begun on its version.
            if !matches!(fault.kind, FaultKind::Silent | FaultKind::CarrierLost) {
                self.avoid_new_version(entry);
            }
        }
        if self.state.pool.record_fault(entry, fault, now) {
            self.state.metrics.record_ejection();
            let (upstream, fault) = (entry.name.as_str(), fault.to_string());
            log::warn!(target: "belief", upstream, fault; "upstream ejected");
        }
    }

    /// Records a fault that may be an upstream's crash on the request.
    pub fn record_crash(&self, entry: &UpstreamEntry, fault: &AttemptFault) {
        let clock = &self.state.clock;
        match fault.kind {
            FaultKind::Connect => self.state.crashes.record_end(entry, clock.now()),
            FaultKind::Lost | FaultKind::Cut if !self.is_answered => {
                log::info!(
                    target: "attempt", upstream = entry.name.as_str(),
                    request:% = self.hash(), fault:% = fault;
                    "request lost before its answer was complete"
                );
                let (request, sent_at) = (self.hash(), self.sent_at);
                let lost = LostRequest { parts: &self.request.parts, request, sent_at };
                self.state.crashes.record_loss(entry, &lost, &self.state);
            }
            _ => {}
        }
    }

    /// Records that the latest answer is complete, or has been written for long: the request does not
    /// crash its upstream.
    pub fn record_answered(&mut self) {
        if !std::mem::replace(&mut self.is_answered, true) {
            let now = self.state.clock.now();
            self.state.crashes.record_part_answer(&self.request.parts, now);
            self.state.crashes.record_request_answer(|| self.hash(), now);
        }
    }

    /// Excludes a version that is being rolled out from further attempts of a request that it
    /// failed.
    fn avoid_new_version(&mut self, entry: &UpstreamEntry) {
        let snapshot = self.state.snapshot.load();
        if snapshot.is_candidate(&self.request.service, &entry.version) {
            self.failed_version = Some(Arc::clone(&entry.version));
        }
    }

    fn choose(&mut self, last_fault: Option<&AttemptFault>) -> Option<UpstreamPermit> {
        let chosen = self.choose_untried();
        let was_full = last_fault.is_some_and(|fault| fault.kind == FaultKind::NotRun);
        // A stream that has begun would be broken off, so it goes back to one that was not full.
        let has_begun = self.runs > 0 && self.request.route.retry_policy.is_stream();
        let may_go_back = !self.keeps_silent && (!was_full || has_begun);
        if chosen.is_some() || self.tried.is_empty() || !may_go_back {
            return chosen;
        }
        self.tried.clear();
        self.tried.extend(self.last_refused.clone());
        self.choose_untried()
    }

    fn choose_untried(&self) -> Option<UpstreamPermit> {
        self.with_choice(|pool, input| pool.choose(input))
    }

    /// Whether an untried upstream is expected to answer within `limit`.
    fn has_faster(&self, limit: Duration) -> bool {
        self.with_choice(|pool, input| pool.has_faster(input, limit))
    }

    fn with_choice<T>(&self, query: impl FnOnce(&UpstreamPool, &ChoiceInput<'_>) -> T) -> T {
        // Later attempts use the latest snapshot, but keep the route the request was admitted on.
        let snapshot = self.state.snapshot.load();
        let entries = self.eligible(&snapshot);
        let rule = self.version_rule(&snapshot);
        let model = self.model();
        let name = model.as_deref().unwrap_or_default();
        let shared_prefix =
            self.request.shared_prefix.as_ref().map(|prefix| format!("{name}/{}", prefix.id));
        let size = self.request.head.size.unwrap_or_default();
        let input = ChoiceInput {
            entries: &entries,
            rule: &rule,
            tried: &self.tried,
            size,
            prefill: self.expected_prefill(model.as_ref(), size.prompt),
            shared_prefix: shared_prefix.as_deref(),
            prompt: PromptInput {
                model: model.as_ref(),
                parts: &self.request.head.parts,
                memory_tokens: self.memory_tokens(),
            },
            prices: self.prices(model.as_deref()),
            priority: self.request.priority(),
            random: self.state.random.next(),
            now: self.state.clock.now(),
        };
        query(&self.state.pool, &input)
    }

    fn version_rule(&self, snapshot: &ControlSnapshot) -> VersionRule {
        if let Some(failed) = &self.failed_version {
            return VersionRule::Not(Arc::clone(failed));
        }
        let (service, session) = (&self.request.service, &self.request.session);
        let retention = self.state.settings.load().bounds.session_retention();
        let now = self.state.clock.now();
        let last_version = self.state.sessions.version(service, session, retention, now);
        snapshot.version_rule(service, session, last_version.as_deref(), now)
    }

    fn expected_prefill(&self, model: Option<&Arc<str>>, tokens: u32) -> Duration {
        model.map_or(Duration::ZERO, |model| {
            self.state.prefills.expected(&self.request.service, model, tokens)
        })
    }

    /// Tokens that fit into the memory of an upstream.
    fn memory_tokens(&self) -> Option<u32> {
        let table = self.request.snapshot.routes.as_ref();
        table.and_then(|table| table.service(&self.request.service))?.memory_tokens
    }

    fn prices(&self, model: Option<&str>) -> ChoicePrices {
        let snapshot = &self.request.snapshot;
        let table = snapshot.routes.as_ref();
        let spec = table.and_then(|table| table.service(&self.request.service));
        let cost = spec.and_then(|spec| {
            spec.models.iter().find(|found| Some(&*found.name) == model).map(|found| found.cost)
        });
        prices(&PricedRequest {
            size: self.request.head.size,
            shared_tokens: self.request.shared_prefix.as_ref().map_or(0, |prefix| prefix.tokens),
            body_bytes: self.request.outgoing.body.len(),
            priority: self.request.route.priority,
            latency_target: self.request.route.latency_target,
            model_cost: cost.unwrap_or(0.0),
        })
    }

    fn model(&self) -> Option<Arc<str>> {
        self.steps.get(self.step).map(|step| Arc::clone(&step.model))
    }

    async fn send(
        &mut self,
        permit: UpstreamPermit,
        resume_after: Option<u64>,
    ) -> Result<UpstreamAnswer, AttemptFault> {
        let entry = Arc::clone(&permit.upstream.entry);
        let model = self.model();
        self.sends += 1;
        self.tried.insert(entry.name.clone());
        self.state.metrics.record_attempt();
        let snapshot = self.state.snapshot.load_full();
        self.state.rollout_counters.record_sent(&snapshot, self.counter_labels(&entry));
        let head = self.upstream_head(&entry, model.clone(), resume_after);
        let sent_at = self.state.clock.now();
        self.sent_at = sent_at;
        let progress = Arc::new(SendProgress::default());
        let name = entry.name.as_str();
        self.record.begin_attempt(name, model.as_deref(), Arc::clone(&progress));
        let result = self.send_with_timeout(permit, &head, model.as_ref(), &progress).await;
        let latency = self.state.clock.now().since(sent_at);
        match &result {
            Ok(answer) => self.record_head(&entry, model.as_ref(), answer, latency),
            Err(fault) => {
                self.head_at = None;
                self.record_crash(&entry, fault);
                self.runs += u32::from(fault.may_have_run());
                if fault.kind == FaultKind::NotRun {
                    self.last_refused = Some(entry.name.clone());
                }
                if self.time_left() >= MIN_TIME_LEFT || latency >= self.request.route.latency_target
                {
                    self.record_fault(&entry, fault);
                } else {
                    // The route left too little time, so the fault does not count against the
                    // upstream.
                    self.state.metrics.record_fault(fault.kind);
                }
                let text = fault.to_string();
                self.record.add_attempt(entry.name.as_str(), model.as_deref(), &text);
            }
        }
        result
    }

    /// Sends an attempt. If response headers are late, another upstream is tried, provided that
    /// retries are allowed, the budget has one and [`ResendChoice`] expects that to pay. Otherwise the
    /// attempt continues, since swapping a place in one queue for the end of another gains nothing.
    ///
    /// [`ResendChoice`]: oleander_core::resend_choice::ResendChoice
    async fn send_with_timeout(
        &self,
        permit: UpstreamPermit,
        head: &UpstreamHead,
        model: Option<&Arc<str>>,
        progress: &SendProgress,
    ) -> Result<UpstreamAnswer, AttemptFault> {
        let timeout = self.attempt_timeout(model);
        let faster_limit = self.request.route.latency_target.mul_f64(FASTER_SHARE);
        let (state, outgoing) = (&self.state, &self.request.outgoing);
        let time_left = self.time_left();
        let path = state.reach.path(&self.request.service, state.clock.now());
        let entry = Arc::clone(&permit.upstream.entry);
        let work = send_attempt(state, permit, outgoing, head, time_left, progress);
        tokio::pin!(work);
        loop {
            let now = state.clock.now();
            let is_lost = path == ServicePath::Direct
                && state.reach.path(&self.request.service, now) == ServicePath::Carried
                && self.may_abandon();
            let end = if is_lost { self.sent_at + LOST_PATIENCE } else { now + timeout };
            let waited = tokio::select! {
                waited = state.within_time(self.request.deadline.min(end), work.as_mut()) => waited,
                () = state.reach.next_change(), if !is_lost => continue,
            };
            match waited {
                Some(result) => return result,
                None if self.time_left() < MIN_TIME_LEFT => {
                    return Err(
                        progress.timeout_fault("no response headers before this process exits")
                    );
                }
                None if is_lost => {
                    let text = "no response headers, and the service is out of reach";
                    return Err(progress.timeout_fault(text));
                }
                None if self.may_abandon() && self.resend_pays(&entry, faster_limit) => {
                    let text = format!("no response headers within {timeout:?}");
                    return Err(progress.timeout_fault(&text));
                }
                None => {}
            }
        }
    }

    /// Whether sending the request to another upstream, which must be expected to answer within
    /// `limit`, pays more than waiting on at this one.
    fn resend_pays(&self, entry: &UpstreamEntry, limit: Duration) -> bool {
        let state = &self.state;
        let pays = self.with_choice(|pool, input| {
            let reported = pool.wait_since(entry, input.prefill, self.sent_at);
            let waited = input.now.since(self.sent_at);
            let pending = PendingAttempt { waited, reported, time_left: self.time_left() };
            let choice = pool.resend_choice(input, limit);
            choice.pays(&pending, state.random.next_unit())
        });
        if !pays {
            state.metrics.record_kept();
        }
        pays
    }

    /// Whether the retry policy and budget allow another attempt while this one is pending.
    fn may_abandon(&self) -> bool {
        let route = &self.request.route;
        route.retry_policy.allows_retry()
            && self.runs + 1 < route.max_attempts
            && self.sends < MAX_SENDS
            && self.state.pool.has_retry(&self.request.service)
    }

    fn upstream_head(
        &self,
        entry: &UpstreamEntry,
        model: Option<Arc<str>>,
        resume_after: Option<u64>,
    ) -> UpstreamHead {
        UpstreamHead {
            time_left: self.time_left(),
            upstream: Some(Arc::from(entry.name.as_str())),
            account: self.request.account.as_ref().map(|account| Arc::clone(&account.name)),
            model,
            resume_after: resume_after.map(HeaderValue::from),
            priority: Some(self.request.priority()),
        }
    }

    /// Time that must be left before this host ends for another attempt.
    fn needed_time(&self) -> Duration {
        let typical = self.state.latencies.typical(&self.latency_key(self.model().as_ref()));
        let expected = typical.map(|typical| typical.saturating_mul(SLOW_ANSWER_FACTOR));
        self.request.route.retry_policy.needed_time(self.time_to_deadline(), expected)
    }

    /// How long one attempt waits for response headers before alternatives are considered.
    fn attempt_timeout(&self, model: Option<&Arc<str>>) -> Duration {
        let (time_left, route) = (self.time_left(), &self.request.route);
        let typical = self.state.latencies.typical(&self.latency_key(model));
        let by_target = route.latency_target.mul_f64(ATTEMPT_TIMEOUT_SHARE);
        let by_typical = typical.unwrap_or(DEFAULT_LATENCY).saturating_mul(ATTEMPT_TIMEOUT_FACTOR);
        by_target.max(by_typical).min(time_left).max(MIN_TIME_LEFT)
    }

    fn record_head(
        &mut self,
        entry: &UpstreamEntry,
        model: Option<&Arc<str>>,
        answer: &UpstreamAnswer,
        latency: Duration,
    ) {
        self.runs += 1;
        self.may_have_run = true;
        (self.head_at, self.is_answered) = (Some(self.state.clock.now()), false);
        self.record_session(&entry.version);
        self.state.metrics.record_head(latency);
        let key = self.latency_key(model);
        let typical = self.state.latencies.typical(&key);
        let is_slow =
            typical.is_some_and(|typical| latency > typical.saturating_mul(SLOW_ANSWER_FACTOR));
        if answer.status.is_success() {
            let start = self.answer_start(entry, model, answer, latency);
            self.answer = Some(RolloutAnswer::new(Arc::clone(&self.state), start));
            self.state.pool.record_success(entry);
            if !is_slow {
                self.state.latencies.record(&key, latency);
            }
            if let (Some(model), Some(size)) = (model, self.request.head.size) {
                self.state.prefills.record(&self.request.service, model, size.prompt, latency);
            }
        }
        let confidence = answer.head.confidence.map(|value| format!(" confidence {value:.2}"));
        let load = answer.head.load.map(|load| format!(" running {}", load.running));
        let limit = answer.head.limits.first().map(|limit| format!(" limit {limit}"));
        let carrier = answer.connection.carried.as_ref();
        let carrier = carrier.map(|carried| format!(" by {}", carried.carrier.address));
        let (confidence, load) = (confidence.unwrap_or_default(), load.unwrap_or_default());
        let (limit, carrier) = (limit.unwrap_or_default(), carrier.unwrap_or_default());
        let result = format!("{}{confidence}{load}{limit}{carrier}", answer.status.as_u16());
        self.record.add_attempt(entry.name.as_str(), model.map(|model| &**model), &result);
    }

    /// Records the version that the session runs on.
    fn record_session(&self, version: &Arc<str>) {
        let now = self.state.clock.now();
        self.state.sessions.record(&self.request.service, &self.request.session, version, now);
    }

    /// Records that a stream ended on a version; the session's idle gap counts from now.
    pub fn record_stream_end(&mut self, entry: &UpstreamEntry) {
        self.record_answered();
        self.record_session(&entry.version);
    }

    fn latency_key(&self, model: Option<&Arc<str>>) -> LatencyKey {
        latency_key(&self.request, model)
    }

    fn counter_labels<'a>(&'a self, entry: &'a UpstreamEntry) -> CounterLabels<'a> {
        CounterLabels {
            service: &self.request.service,
            route: &self.request.route.name,
            version: &entry.version,
        }
    }

    fn count_fault(&self, entry: &UpstreamEntry) {
        let snapshot = self.state.snapshot.load();
        let labels = self.counter_labels(entry);
        self.state.rollout_counters.record_answer(&snapshot, labels, true);
    }

    fn answer_start(
        &self,
        entry: &UpstreamEntry,
        model: Option<&Arc<str>>,
        answer: &UpstreamAnswer,
        latency: Duration,
    ) -> AnswerStart {
        let now = self.state.clock.now();
        let excused = answer.permit.upstream.excused_time(self.sent_at, now);
        AnswerStart {
            service: self.request.service.clone(),
            route: Arc::clone(&self.request.route.name),
            model: model.cloned(),
            version: Arc::clone(&entry.version),
            running: answer.head.load.map_or(0, |load| load.running),
            head_time: latency.saturating_sub(self.state.pool.network_time(entry) + excused),
        }
    }

    /// Records that events of the latest answer's stream arrived.
    pub fn record_events(&mut self, events: u32) {
        let now = self.state.clock.now();
        if self.head_at.is_some_and(|head_at| now.since(head_at) >= SERVED_TIME) {
            self.record_answered();
        }
        if let Some(answer) = &mut self.answer {
            answer.record_events(events, now);
            self.record.set_events(answer.pace());
        }
    }

    /// Whether to escalate a low-confidence answer to the next model; spends a retry.
    fn try_escalation(&self, answer: &UpstreamAnswer) -> bool {
        let Some(step) = self.steps.get(self.step) else { return false };
        let is_weak = answer.head.confidence.is_some_and(|found| found < step.min_confidence);
        is_weak
            && answer.status.is_success()
            && self.step + 1 < self.steps.len()
            && self.runs < self.request.route.max_attempts
            && self.time_left() > MIN_TIME_LEFT
            && self.state.pool.try_escalate(&self.request.service)
    }

    fn escalate(&mut self, answer: &UpstreamAnswer) {
        self.step += 1;
        self.answer = None;
        self.state.metrics.record_escalation();
        // The upstream did not fail, so the larger model may run there too.
        self.tried.remove(&answer.permit.upstream.entry.name);
    }

    /// Time until the first of the service's upstreams takes requests again, when all of them asked
    /// this host for a pause.
    fn time_until_reopening(&self) -> Option<Duration> {
        let snapshot = self.state.snapshot.load();
        let entries = self.eligible(&snapshot);
        let now = self.state.clock.now();
        let rule = self.version_rule(&snapshot);
        self.state.pool.reopens_at(&entries, &rule, now).map(|at| at.since(now))
    }

    /// Time until it is the caller's turn, when all upstreams of the service have limits.
    fn next_turn(&self) -> Option<Duration> {
        let snapshot = self.state.snapshot.load();
        let service = &self.request.service;
        let entries = self.eligible(&snapshot);
        let (rule, now) = (self.version_rule(&snapshot), self.state.clock.now());
        self.state.pool.next_turn(service, &entries, &rule, now)
    }

    /// The response to a caller whose request got no answer.
    #[must_use]
    pub fn refusal(&self, error: &RunError) -> Refusal {
        let (min, max) = RETRY_AFTER;
        let spread = (max - min).mul_f64(self.state.random.next_unit());
        let wait = self.next_turn().or_else(|| self.time_until_reopening()).unwrap_or(min);
        let wait = wait.max(min) + spread;
        let not_run =
            |reason| Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(wait);
        match error {
            RunError::TimedOut if self.may_have_run => {
                Refusal::new(StatusCode::GATEWAY_TIMEOUT, "the time of the request is over")
            }
            RunError::NoRoom(wait) => {
                let reason = "the service has no room in the time that the request has";
                Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(*wait)
            }
            RunError::Blocked(wait) if !self.may_have_run => blocked_refusal(*wait),
            RunError::Stopping => stopping_refusal(),
            _ if self.may_have_run => {
                Refusal::new(StatusCode::BAD_GATEWAY, "no upstream gave a whole answer")
            }
            RunError::NoUpstream if !self.request.outgoing.home_regions.is_any() => {
                not_run("no upstream in the home regions is open to the request")
            }
            RunError::TimedOut => not_run("no upstream took the request in time"),
            RunError::NoUpstream | RunError::Blocked(_) => {
                not_run("no upstream is open to the request")
            }
            RunError::Failed(_) => not_run("every upstream is full or out of reach"),
        }
    }
}

fn latency_key(request: &AdmittedRequest, model: Option<&Arc<str>>) -> LatencyKey {
    LatencyKey {
        service: request.service.clone(),
        route: Arc::clone(&request.route.name),
        model: model.cloned(),
    }
}

/// The cascade of models for a request.
fn plan(state: &GatewayState, request: &AdmittedRequest) -> Vec<CascadeStep> {
    let any_model = request.head.model == Some(ModelSelection::Any);
    let service = request.snapshot.routes.as_ref().and_then(|table| {
        table.service(&request.service).filter(|_| any_model && !request.route.models.is_empty())
    });
    let Some(service) = service else { return Vec::new() };
    let found = request.route.models.iter().filter_map(|name| {
        let model = service.models.iter().find(|model| model.name == *name)?;
        let typical = state.latencies.typical(&latency_key(request, Some(name)));
        Some(CascadeModel { model: model.clone(), latency: typical.unwrap_or(DEFAULT_LATENCY) })
    });
    let models: Vec<CascadeModel> = found.collect();
    plan_steps(
        &models,
        &CascadeRequest {
            size: request.head.size.unwrap_or_default(),
            time_left: request.deadline.since(state.clock.now()),
            resumes: request.head.resume_after.is_some(),
            may_escalate: state.pool.may_escalate(&request.service)
                && request.route.max_attempts > 1,
            answer_value: answer_value(request.head.size, request.route.priority)
                / PLAIN_ANSWER_VALUE,
            queue_depth: state.pool.queue_depth(&request.service, state.clock.now()),
        },
    )
}
