//! The upstreams of this host: connections, requests in flight, load, ejection and retry budgets.

use crate::control_cache::ControlSnapshot;
use crate::fault::AttemptFault;
use crate::load_report::{LoadReport, MAX_LOAD_REPORTS, UpstreamHash};
use crate::placement::{
    ChoiceInput, attempt_work, cache_holder, has_free_slots, holder_places, is_worth_seeking,
    remaining_prefill,
};
use crate::rollout_plan::{VersionRule, canary_upstreams};
use crate::settings::{GatewayBounds, SharedSettings};
use crate::shared_limits::SharedLimits;
use crate::upstream_entry::UpstreamEntry;
use crate::upstream_handle::{UpstreamHandle, UpstreamPermit};
use crate::upstream_speeds::UpstreamSpeeds;
use crate::upstream_standings::SharedStandings;
use crate::wire_format::TokenSize;
use oleander_core::account_share::{AccountHash, AccountShare, ReportedDemand};
use oleander_core::attempt_retry::FaultKind;
use oleander_core::ejection::OutlierEjection;
use oleander_core::host_view::HostHash;
use oleander_core::ids::{ServiceName, UpstreamName};
use oleander_core::limit_division::LimitWait;
use oleander_core::place_division::PlaceRequest;
use oleander_core::prefix_value::{HOLDERS, PrefixDemand, PrefixUse, PromptPrefix, UpstreamMemory};
use oleander_core::request_rate::RequestRate;
use oleander_core::resend_choice::{ReportedWait, ResendCandidate, ResendChoice};
use oleander_core::retry_budget::RetryBudget;
use oleander_core::retry_turns::RetryTurns;
use oleander_core::room_admission::{RoomAdmission, RoomRequest, ServiceLoad};
use oleander_core::stable_hash::hash_parts;
use oleander_core::units::{Millis, Money, Timestamp, TokenCount};
use oleander_core::upstream_choice::{UpstreamRule, UpstreamView, choose_upstream, expected_load};
use oleander_core::upstream_standing::SendPermission;
use oleander_ports::clock::ClockPort;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum share of a service's upstreams ejected at once.
const EJECTION_SHARE: f64 = 0.5;
/// Duration of a first ejection. Crashed upstreams are delisted within 4 s, and a recovered one
/// should not stay idle for long.
const EJECTION_TIME: Duration = Duration::from_secs(3);
/// Share of the retry allowance that is used, so that the allowance also holds in the platform's
/// windows, which differ from those of the hosts.
const USED_BUDGET_SHARE: f64 = 0.9;
/// Share of the retry reserve kept for faults, since a weak answer is better than none.
const FAULT_RESERVE: f64 = 0.2;
/// Minimum retry reserve of a host before its request rate is known.
const MIN_RESERVE: f64 = 2.5;
/// Number of hosts assumed to share the extra retries until they are counted.
const DEFAULT_HOST_COUNT: usize = 64;
/// Round trip to another region in the target deployments, in milliseconds.
const REGION_DELAY: Millis = Millis::new(60);
/// Weight of one request in the moving mean of prefill times: about the last twenty requests.
const PREFILL_GAIN: f64 = 0.05;
/// Window over which the request rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(3);

/// Age at which the time that a request took a slot counts half; a host of many has one a second or
/// so. It counts on at a thousandth, so that the time is known after a pause.
const SLOT_TIME_HALF_LIFE: Duration = Duration::from_secs(1);
const MAX_SLOT_TIME_AGE: f64 = 10.0;

struct ServiceState {
    ejection: OutlierEjection,
    budget: RetryBudget,
    /// Requests in the current rate window, which began at `window_start`.
    requests: u64,
    window_start: Option<Timestamp>,
    /// Requests per second in the previous window.
    rate: f64,
    /// Maximum retries that may accumulate.
    reserve: f64,
    /// Moving mean of prefill times.
    prefill: Duration,
    /// Tokens and shared prefixes of this host's requests.
    demand: PrefixDemand,
    /// When callers come back that were refused because all upstreams have limits.
    turns: RetryTurns,
    /// Which requests are refused for want of room.
    admission: RoomAdmission,
}

/// All upstreams used by this host.
pub struct UpstreamPool {
    settings: SharedSettings,
    clock: Arc<dyn ClockPort>,
    handles: Mutex<HashMap<UpstreamName, Arc<UpstreamHandle>>>,
    standings: Arc<SharedStandings>,
    limits: Arc<SharedLimits>,
    speeds: Arc<UpstreamSpeeds>,
    services: Mutex<BTreeMap<ServiceName, ServiceState>>,
    /// Number of hosts, once counted.
    hosts: Mutex<Option<usize>>,
    accounts: Mutex<AccountShare>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(settings: SharedSettings, clock: Arc<dyn ClockPort>) -> Self {
        let limits = Arc::new(SharedLimits::new(&settings.load().host));
        Self {
            settings,
            clock,
            handles: Mutex::default(),
            standings: Arc::default(),
            limits,
            speeds: Arc::default(),
            services: Mutex::default(),
            hosts: Mutex::default(),
            accounts: Mutex::default(),
        }
    }

    /// Replaces the list of upstreams. Idle connections to removed ones are closed; requests in
    /// flight there continue.
    pub fn update(&self, upstreams: &BTreeMap<ServiceName, Vec<Arc<UpstreamEntry>>>) {
        let listed: HashSet<&UpstreamName> =
            upstreams.values().flatten().map(|entry| &entry.name).collect();
        lock(&self.handles).retain(|name, _| listed.contains(name));
        self.standings.retain_listed(&listed);
        for (service, entries) in upstreams {
            let mut services = lock(&self.services);
            let state = services.entry(service.clone()).or_insert_with(|| self.new_service_state());
            state.ejection.set_pool(entries.iter().map(|entry| &entry.name));
        }
    }

    /// Takes over what a new snapshot tells of cold upstreams.
    pub fn update_cold(&self, snapshot: &ControlSnapshot) {
        let (bounds, now) = (self.settings.load().bounds, self.clock.now());
        let has_changed = self.limits.cold().update(snapshot, &bounds, now);
        self.limits.divide_cold(has_changed, now);
    }

    fn new_service_state(&self) -> ServiceState {
        let ejection = OutlierEjection::new(EJECTION_SHARE).with_base(EJECTION_TIME);
        let bounds = self.settings.load().bounds;
        let reserve = reserve(&bounds, self.hosts(), 0.0);
        let budget = RetryBudget::new(bounds.retry_share * USED_BUDGET_SHARE)
            .with_reserve(reserve)
            .with_balance(reserve);
        let prefill = Duration::ZERO;
        ServiceState {
            ejection,
            budget,
            requests: 0,
            window_start: None,
            rate: 0.0,
            reserve,
            prefill,
            demand: PrefixDemand::new(),
            turns: RetryTurns::default(),
            admission: RoomAdmission::new(),
        }
    }

    /// The limits that upstreams name, and the hosts that share them.
    #[must_use]
    pub const fn limits(&self) -> &Arc<SharedLimits> {
        &self.limits
    }

    /// Sets the number of hosts that share the extra retries.
    pub fn set_hosts(&self, hosts: usize) {
        let hosts = hosts.max(1);
        if lock(&self.hosts).replace(hosts) == Some(hosts) {
            return;
        }
        let bounds = self.settings.load().bounds;
        for state in lock(&self.services).values_mut() {
            state.reserve = reserve(&bounds, hosts, state.rate);
            state.budget = state.budget.with_reserve(state.reserve);
        }
    }

    /// Number of hosts that share the extra retries, or the assumed number until they are counted.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.counted_hosts().unwrap_or(DEFAULT_HOST_COUNT)
    }

    /// Number of hosts, once counted.
    #[must_use]
    pub fn counted_hosts(&self) -> Option<usize> {
        *lock(&self.hosts)
    }

    /// Records a request to a service, which earns a fraction of a retry.
    pub fn record_request(&self, service: &ServiceName, now: Timestamp) {
        if let Some(state) = lock(&self.services).get_mut(service) {
            state.budget.record_attempt();
            state.requests += 1;
            let span = now.since(*state.window_start.get_or_insert(now));
            if span >= RATE_WINDOW {
                state.rate = state.requests as f64 / span.as_secs_f64();
                (state.requests, state.window_start) = (0, Some(now));
                let bounds = self.settings.load().bounds;
                state.reserve = reserve(&bounds, self.hosts(), state.rate);
                state.budget = state.budget.with_reserve(state.reserve);
            }
        }
    }

    /// Requests per second to a service over all hosts, extrapolated from this host's share.
    #[must_use]
    pub fn fleet_rate(&self, service: &ServiceName, now: Timestamp) -> f64 {
        let hosts = self.hosts() as f64;
        lock(&self.services).get(service).map_or(0.0, |state| {
            let span = state.window_start.map_or(0.0, |since| now.since(since).as_secs_f64());
            state.rate.max(state.requests as f64 / span.max(1.0)) * hosts
        })
    }

    /// Spends one retry of a service's budget; `false` when it has none.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        let mut services = lock(&self.services);
        services.get_mut(service).is_some_and(|state| state.budget.try_spend())
    }

    /// Spends one retry on escalating a weak answer, unless only the reserve for faults remains.
    pub fn try_escalate(&self, service: &ServiceName) -> bool {
        self.may_escalate(service) && self.try_retry(service)
    }

    /// Whether a weak answer may be escalated now.
    #[must_use]
    pub fn may_escalate(&self, service: &ServiceName) -> bool {
        let services = lock(&self.services);
        let state = services.get(service);
        state.is_some_and(|state| state.budget.balance() >= state.reserve * FAULT_RESERVE + 1.0)
    }

    /// Whether a service's budget has a retry.
    #[must_use]
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        let services = lock(&self.services);
        services.get(service).is_some_and(|state| state.budget.balance() >= 1.0)
    }

    /// Whether a service's budget has a retry beyond one that is kept for faults.
    #[must_use]
    pub fn has_spare_retry(&self, service: &ServiceName) -> bool {
        let services = lock(&self.services);
        services.get(service).is_some_and(|state| state.budget.balance() >= 2.0)
    }

    /// Records a successful response of an upstream.
    pub fn record_success(&self, entry: &UpstreamEntry) {
        if let Some(state) = lock(&self.services).get_mut(&entry.service) {
            state.ejection.record_success(&entry.name);
        }
    }

    /// Records that an upstream refused or lost a connection, so that it may have started again.
    pub(crate) fn record_loss(&self, entry: &UpstreamEntry, now: Timestamp) {
        let has_changed = self.limits.cold().record_loss(entry, now);
        self.limits.divide_cold(has_changed, now);
    }

    /// Records a fault of an upstream; `true` when it causes an ejection.
    pub fn record_fault(
        &self,
        entry: &UpstreamEntry,
        fault: &AttemptFault,
        now: Timestamp,
    ) -> bool {
        let weight = fault.weight();
        // A stream that is cut proves no restart: upstreams also abort what callers do not read.
        if matches!(fault.kind, FaultKind::Connect | FaultKind::Lost) {
            self.record_loss(entry, now);
        }
        let mut services = lock(&self.services);
        let state = services.get_mut(&entry.service).filter(|_| weight > 0);
        state.is_some_and(|state| state.ejection.record_failures(&entry.name, weight, now))
    }

    /// Mean number of queued requests per upstream, over upstreams with a recent load report.
    #[must_use]
    pub fn queue_depth(&self, service: &ServiceName, now: Timestamp) -> f64 {
        let handles = lock(&self.handles);
        let service_handles = handles.values().filter(|handle| handle.entry.service == *service);
        let waiting: Vec<f64> = service_handles
            .filter_map(|handle| handle.load_report(now))
            .map(|report| f64::from(report.load(0).waiting))
            .collect();
        waiting.iter().sum::<f64>() / waiting.len().max(1) as f64
    }

    /// Recent load reports of upstreams for other hosts, newest first.
    #[must_use]
    pub fn load_reports(&self, now: Timestamp) -> Vec<LoadReport> {
        let handles = lock(&self.handles);
        let mut reports: Vec<LoadReport> =
            handles.values().filter_map(|handle| handle.load_report(now)).collect();
        reports.sort_unstable_by_key(LoadReport::age);
        reports.truncate(MAX_LOAD_REPORTS);
        reports
    }

    /// Merges load reports received from another host; unknown upstreams are ignored. They rank
    /// upstreams.
    pub fn merge_load_reports(&self, reports: &[LoadReport], now: Timestamp) {
        self.merge_loads(reports, false, now);
    }

    /// Merges load reports of an authentic datagram, by which requests may also be refused.
    pub fn merge_authentic_load_reports(&self, reports: &[LoadReport], now: Timestamp) {
        self.merge_loads(reports, true, now);
    }

    fn merge_loads(&self, reports: &[LoadReport], is_authentic: bool, now: Timestamp) {
        let by_upstream: HashMap<UpstreamHash, &LoadReport> =
            reports.iter().map(|report| (report.upstream, report)).collect();
        let prefills: HashMap<ServiceName, Duration> = lock(&self.services)
            .iter()
            .map(|(service, state)| (service.clone(), state.prefill))
            .collect();
        let prefill = |handle: &UpstreamHandle| {
            prefills.get(&handle.entry.service).copied().unwrap_or_default()
        };
        for handle in lock(&self.handles).values() {
            if let Some(report) = by_upstream.get(&handle.hash) {
                let at = now.before(report.age());
                let (load, prefill) = (report.load(handle.entry.slots), prefill(handle));
                handle.record_told_load(load, report.lag(), at, is_authentic);
                handle.record_start(load, report.lag(), prefill, at);
            }
        }
    }

    /// Chooses an upstream and takes a request of its limit, if it has one; `None` when no upstream
    /// is eligible.
    #[must_use]
    pub fn choose(&self, input: &ChoiceInput<'_>) -> Option<UpstreamPermit> {
        self.record_prefill(input);
        self.limits.cold().record_ask(input.priority, input.now);
        // Another request may take the last one of an upstream meanwhile.
        (0..=input.entries.len()).find_map(|_| {
            let permit = self.choose_open(input)?;
            let entry = &permit.upstream.entry;
            let is_exempt = is_canary(input.rule) && input.rule.prefers(&entry.version);
            let is_taken = if is_exempt {
                self.limits.try_take_warm(entry, input.now)
            } else {
                self.limits.try_take(entry, input.priority, input.now)
            };
            is_taken.then_some(permit)
        })
    }

    fn choose_open(&self, input: &ChoiceInput<'_>) -> Option<UpstreamPermit> {
        let untried = |entry: &&Arc<UpstreamEntry>| !input.tried.contains(&entry.name);
        let usable: Vec<&Arc<UpstreamEntry>> = input
            .entries
            .iter()
            .filter(untried)
            .filter(|entry| input.rule.permits(&entry.version))
            .collect();
        let usable = self.standings.open_only(usable, input.now);
        let usable = self.limits.open_only(usable, input.now);
        let usable = self.with_places(usable, input);
        let open = self.limits.cold().open_only(usable.clone(), input.priority, input.now);
        // A canary is small, and its sessions would change their version back and forth if upstreams that
        // have just started were closed to it.
        let usable = if is_canary(input.rule) { usable } else { open.clone() };
        let preferred: Vec<&Arc<UpstreamEntry>> =
            usable.iter().copied().filter(|entry| input.rule.prefers(&entry.version)).collect();
        let loaded = self.canary_upstreams(&preferred, input);
        let chosen = self.choose_among(&loaded, input);
        let chosen = chosen.or_else(|| self.choose_among(&preferred, input));
        chosen.or_else(|| self.choose_among(&open, input))
    }

    /// The upstreams at which this host has a free place, if they are brittle.
    fn with_places<'a>(
        &self,
        mut entries: Vec<&'a Arc<UpstreamEntry>>,
        input: &ChoiceInput<'_>,
    ) -> Vec<&'a Arc<UpstreamEntry>> {
        if let Some(seats) = self.limits.seats(input.now) {
            let upstreams = input.entries.len();
            entries.retain(|entry| {
                let in_flight = self.handle(entry).in_flight();
                let request = PlaceRequest { slots: entry.slots, in_flight, upstreams };
                self.limits.has_place(entry, &request, &seats, input.now)
            });
        }
        entries
    }

    /// The upstreams that a canary's request goes to: the first ones, in an order that all hosts
    /// share, that can take it. None if the request is not of a canary.
    fn canary_upstreams<'a>(
        &self,
        entries: &[&'a Arc<UpstreamEntry>],
        input: &ChoiceInput<'_>,
    ) -> Vec<&'a Arc<UpstreamEntry>> {
        let VersionRule::Canary { share, period, .. } = input.rule else { return Vec::new() };
        let (period, reported) = (period.to_string(), self.standings.reported(entries, input.now));
        // An answer that is generated takes much longer than the way to another region.
        let is_plain = input.size == TokenSize::default();
        let can_take = |index: &usize| {
            let view = self.view(&self.handle(entries[*index]), input.now);
            view.is_available() && has_free_slots(&view) && !reported.contains(index)
        };
        let rank = |index: &usize| {
            let entry = entries[*index];
            (is_plain && !self.is_local(entry), hash_parts(&[&period, entry.name.as_str()]))
        };
        let mut ranked: Vec<usize> = (0..entries.len()).collect();
        ranked.sort_by_key(rank);
        let count = canary_upstreams(*share, entries.len());
        ranked.into_iter().filter(can_take).take(count).map(|index| entries[index]).collect()
    }

    fn record_prefill(&self, input: &ChoiceInput<'_>) {
        let Some(service) = input.entries.first().map(|entry| &entry.service) else { return };
        if let Some(state) = lock(&self.services).get_mut(service) {
            state.prefill =
                state.prefill.mul_f64(1.0 - PREFILL_GAIN) + input.prefill.mul_f64(PREFILL_GAIN);
        }
    }

    fn choose_among(
        &self,
        entries: &[&Arc<UpstreamEntry>],
        input: &ChoiceInput<'_>,
    ) -> Option<UpstreamPermit> {
        if entries.is_empty() {
            return None;
        }
        let handles: Vec<Arc<UpstreamHandle>> =
            entries.iter().map(|entry| self.handle(entry)).collect();
        let mut views: Vec<UpstreamView> =
            handles.iter().map(|handle| self.view(handle, input.now)).collect();
        // Another host's word is enough to prefer other upstreams, but not to lose this one.
        for index in self.standings.reported(entries, input.now) {
            views[index].ejected = true;
        }
        for index in self.limits.limited(entries) {
            views[index].is_always_drawn = true;
        }
        let cold = self.limits.cold().among(entries, input);
        for candidate in &cold {
            let view = &mut views[candidate.index];
            view.is_always_drawn |= candidate.is_drawn;
            // Nothing is cached at a cold upstream, which must not attract all requests of a prefix.
            view.is_cold = cold.len() < entries.len();
        }
        if !views.iter().any(UpstreamView::is_available) {
            // All of them failed recently: any one is better than none.
            views.iter_mut().for_each(|view| {
                view.ejected = false;
                view.limit = u32::MAX;
            });
        }
        let prefix = input.prompt.prefix();
        let is_weighed = self.settings.load().prefix_weighing;
        let memories = if is_weighed { self.memories(&handles, &views, input) } else { None };
        if let Some(memories) = &memories {
            keep_within_memory(&mut views, memories, input.size);
        }
        let is_weighed = memories.is_some();
        match &memories {
            Some(memories) => {
                self.weigh_prefix(&mut views, &handles, (&prefix, memories), input);
            }
            _ => expect_half_cached(&mut views, input),
        }
        let service = &entries[0].service;
        let work = attempt_work(input, self.speeds.token_gap(service, input.prompt.model));
        let index = choose_upstream(UpstreamRule::ExpectedCost, &views, &work, input.random)?;
        let clock = Arc::clone(&self.clock);
        let cached = if is_weighed { views[index].cached } else { TokenCount::default() };
        let prefill = remaining_prefill(input, cached);
        let permit = UpstreamPermit::new(Arc::clone(&handles[index]), prefill, clock);
        let permit = self.record_prompt(permit, &prefix, input);
        Some(match input.prompt.model {
            Some(model) => permit.with_model(model, input.size.answer),
            None => permit,
        })
    }

    /// Records what is sent to an upstream, if its service states its memory.
    fn record_prompt(
        &self,
        permit: UpstreamPermit,
        prefix: &PromptPrefix,
        input: &ChoiceInput<'_>,
    ) -> UpstreamPermit {
        if input.prompt.memory_tokens.is_none() {
            return permit;
        }
        let tokens = input.size.prompt.saturating_add(input.size.answer);
        if let Some(state) = lock(&self.services).get_mut(&permit.upstream.entry.service) {
            state.demand.record(prefix, TokenCount::new(tokens), input.now);
        }
        permit.upstream.record_prefix(prefix, input.now);
        permit.with_tokens(tokens)
    }

    /// The memory of upstreams, if the service states it. What other hosts have there is estimated from
    /// reports; an upstream without one is expected to hold as many requests as the others.
    fn memories(
        &self,
        handles: &[Arc<UpstreamHandle>],
        views: &[UpstreamView],
        input: &ChoiceInput<'_>,
    ) -> Option<Vec<UpstreamMemory>> {
        let capacity = input.prompt.memory_tokens?;
        let (hosts, upstreams) = (self.hosts() as f64, views.len() as f64);
        let (held, rate) = {
            let services = lock(&self.services);
            let demand = &services.get(&handles[0].entry.service)?.demand;
            (demand.held_tokens(input.now), demand.token_rate(input.now))
        };
        let reports: Vec<f64> =
            views.iter().filter_map(|view| Some(f64::from(view.report?.others()))).collect();
        let mean = reports.iter().sum::<f64>() / reports.len().max(1) as f64;
        let memory = |(handle, view): (&Arc<UpstreamHandle>, &UpstreamView)| {
            let others = expected_load(view, mean) - f64::from(view.in_flight);
            let up_for = input.now.since(Timestamp::from_millis(handle.entry.started_ms));
            UpstreamMemory {
                capacity,
                running: handle.own_tokens() as f64 + others * held,
                read_rate: rate * hosts / upstreams / view.pace.get(),
                up_for,
            }
        };
        Some(handles.iter().zip(views).map(memory).collect())
    }

    /// Expects parts of the prompt to be cached at upstreams, and prices what would be read again.
    fn weigh_prefix(
        &self,
        views: &mut [UpstreamView],
        handles: &[Arc<UpstreamHandle>],
        (prefix, memories): (&PromptPrefix, &[UpstreamMemory]),
        input: &ChoiceInput<'_>,
    ) {
        let hosts = self.hosts();
        let prefix_use = {
            let services = lock(&self.services);
            let Some(state) = services.get(&handles[0].entry.service) else { return };
            PrefixUse::new(prefix, &state.demand, hosts, views.len(), input.now)
        };
        let is_sought = is_worth_seeking(input, prefix);
        let places = holder_places(views, input);
        let shared = f64::from(prefix.tokens().get());
        for (index, view) in views.iter_mut().enumerate() {
            let place = places[index].unwrap_or(usize::MAX);
            let memory = &memories[index];
            view.cached = handles[index].kept_tokens(&prefix_use, place, memory, input.now);
            view.is_always_drawn |= is_sought && place < HOLDERS && has_free_slots(view);
            let missed = 1.0 - f64::from(view.cached.get()) / shared.max(1.0);
            let cache_miss = input.prices.cache_miss.as_micros() as f64 * missed;
            view.region_price = transfer(view, input) + Money::from_micros(cache_miss as u64);
        }
    }

    /// Counts a request of another host as in flight at an upstream.
    #[must_use]
    pub fn permit(&self, entry: &Arc<UpstreamEntry>) -> UpstreamPermit {
        UpstreamPermit::new(self.handle(entry), Duration::ZERO, Arc::clone(&self.clock))
    }

    /// Records that a request was given up since its upstream was silent; returns whether that counts
    /// against its version.
    pub fn counts_timeout(&self, entry: &UpstreamEntry, now: Timestamp) -> bool {
        let handle = lock(&self.handles).get(&entry.name).cloned();
        handle.is_none_or(|handle| handle.counts_timeout(now))
    }

    /// Whether an upstream has not asked this host for no more requests.
    #[must_use]
    pub fn is_open(&self, entry: &UpstreamEntry, now: Timestamp) -> bool {
        let permission = self.standings.permission(entry, now);
        matches!(permission, SendPermission::Open | SendPermission::Reported)
    }

    /// Whether an untried upstream is expected to finish prefilling the prompt within `limit`.
    #[must_use]
    pub fn has_faster(&self, input: &ChoiceInput<'_>, limit: Duration) -> bool {
        let permitted = input.entries.iter().filter(|entry| {
            !input.tried.contains(&entry.name) && input.rule.permits(&entry.version)
        });
        let open = self.standings.open_only(permitted.collect(), input.now);
        let open = self.limits.open_only(open, input.now);
        let open = self.with_places(open, input);
        let open = self.limits.cold().open_only(open, input.priority, input.now);
        open.into_iter().map(|entry| self.view(&self.handle(entry), input.now)).any(|view| {
            let prefill = input.prefill.mul_f64(view.pace.get());
            let wait = view.backlog.as_duration() + view.delay.as_duration() + prefill;
            view.is_available() && has_free_slots(&view) && wait <= limit
        })
    }

    /// Whether upstreams are open to a request, but all of them are cold and this host has no permit
    /// left for it.
    #[must_use]
    pub fn is_cold_wait(&self, input: &ChoiceInput<'_>) -> bool {
        let permitted = input.entries.iter().filter(|entry| input.rule.permits(&entry.version));
        let open = self.standings.open_only(permitted.collect(), input.now);
        let cold = self.limits.cold();
        !open.is_empty() && open.iter().all(|entry| cold.rate(entry, input.now).is_some())
    }

    /// The choice between a pending attempt and the untried upstreams, of which one must be expected
    /// to finish prefilling the prompt within `limit`.
    #[must_use]
    pub fn resend_choice(&self, input: &ChoiceInput<'_>, limit: Duration) -> ResendChoice {
        let permitted = input.entries.iter().filter(|entry| {
            !input.tried.contains(&entry.name) && input.rule.permits(&entry.version)
        });
        let open = self.standings.open_only(permitted.collect(), input.now);
        let open = self.limits.open_only(open, input.now);
        let open = self.limits.cold().open_only(open, input.priority, input.now);
        let open = self.with_places(open, input);
        let candidates = open.into_iter().filter_map(|entry| {
            let handle = self.handle(entry);
            let view = self.view(&handle, input.now);
            let own = view.delay.as_duration() + input.prefill;
            let reported = handle.reported_wait(self.typical_prefill(entry), limit, input.now);
            let reported = reported.map(|known| ReportedWait { wait: known.wait + own, ..known });
            let wait = view.backlog.as_duration() + own;
            let is_free = has_free_slots(&view);
            view.is_available().then_some(ResendCandidate { wait, reported, is_free })
        });
        ResendChoice::new(limit, candidates.collect())
    }

    /// Whether a service has room for a request of an account, by what its open upstreams report; if
    /// not, the time after which its caller should come back.
    pub fn refused_for(
        &self,
        service: &ServiceName,
        mut request: RoomRequest,
        account: Option<AccountHash>,
        entries: &[Arc<UpstreamEntry>],
        now: Timestamp,
    ) -> Option<Duration> {
        let load = self.service_load(service, entries, now);
        let mut services = lock(&self.services);
        let admission = &mut services.get_mut(service)?.admission;
        if let Some(account) = account {
            let mut accounts = lock(&self.accounts);
            accounts.record(account, now);
            if !load.has_room() {
                let served = admission.served_share(&load, now);
                request.above = accounts.excess(account, served, now);
            }
        }
        admission.refused_for(&request, &load, now)
    }

    /// The largest client accounts of this host, for other hosts.
    #[must_use]
    pub fn report_demand(&self, now: Timestamp) -> Vec<ReportedDemand> {
        lock(&self.accounts).report(now)
    }

    /// Takes over the largest client accounts of another host.
    pub fn merge_demand(&self, host: HostHash, report: &[ReportedDemand], now: Timestamp) {
        lock(&self.accounts).merge(host, report, now);
    }

    fn service_load(
        &self,
        service: &ServiceName,
        entries: &[Arc<UpstreamEntry>],
        now: Timestamp,
    ) -> ServiceLoad {
        let mut load = ServiceLoad::default();
        let (mut slot_seconds, mut weights) = (0.0, 0.0);
        let mut open = self.standings.open_only(entries.iter().collect(), now);
        if let Some(state) = lock(&self.services).get(service) {
            open.retain(|entry| !state.ejection.is_ejected(&entry.name, now));
        }
        for entry in open {
            if let Some((time, at)) = self.handle(entry).add_to(&mut load, now) {
                let age = now.since(at).as_secs_f64() / SLOT_TIME_HALF_LIFE.as_secs_f64();
                let weight = 0.5f64.powf(age.min(MAX_SLOT_TIME_AGE));
                slot_seconds += time.as_secs_f64() * weight;
                weights += weight;
            }
        }
        load.lag /= load.reported.max(1);
        if weights > 0.0 {
            load.slot_time = Duration::from_secs_f64(slot_seconds / weights);
        }
        load.demand = RequestRate::new(self.fleet_rate(service, now));
        load
    }

    fn typical_prefill(&self, entry: &UpstreamEntry) -> Duration {
        lock(&self.services).get(&entry.service).map_or(Duration::ZERO, |state| state.prefill)
    }

    /// Wait for response headers at an upstream, by an answer that arrived after `sent`.
    #[must_use]
    pub fn wait_since(
        &self,
        entry: &UpstreamEntry,
        prefill: Duration,
        sent: Timestamp,
    ) -> Option<Duration> {
        let handle = lock(&self.handles).get(&entry.name).cloned();
        handle?.lag_since(sent).map(|lag| lag + prefill)
    }

    /// When the first of the upstreams that may be tried takes requests again; `None` if one does
    /// now, or none is known to.
    #[must_use]
    pub fn reopens_at(
        &self,
        entries: &[Arc<UpstreamEntry>],
        rule: &VersionRule,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let permitted = entries.iter().filter(|entry| rule.permits(&entry.version));
        let mut soonest: Option<Timestamp> = None;
        for entry in permitted {
            let reopening = match self.standings.permission(entry, now) {
                SendPermission::Open | SendPermission::Reported => {
                    let cold = self.limits.cold().time_until_open(entry, now);
                    match (self.limits.wait(entry, now), cold) {
                        (LimitWait::Unlimited | LimitWait::Ready, None) => return None,
                        (LimitWait::Unlimited | LimitWait::Ready, Some(wait)) => now + wait,
                        (LimitWait::After(wait), cold) => now + wait.max(cold.unwrap_or_default()),
                        (LimitWait::NoSeat, _) => continue,
                    }
                }
                SendPermission::Paused(until) => until,
                SendPermission::Leaving => continue,
            };
            soonest = Some(soonest.map_or(reopening, |known| known.min(reopening)));
        }
        soonest
    }

    /// Time after which a caller should come back that was refused because all upstreams of a service
    /// have limits or are cold; `None` if one of them is neither. Callers are spread over the rate that all hosts
    /// together may send.
    #[must_use]
    pub fn next_turn(
        &self,
        service: &ServiceName,
        entries: &[Arc<UpstreamEntry>],
        rule: &VersionRule,
        now: Timestamp,
    ) -> Option<Duration> {
        let is_open = |entry: &&Arc<UpstreamEntry>| {
            rule.permits(&entry.version)
                && matches!(
                    self.standings.permission(entry, now),
                    SendPermission::Open | SendPermission::Reported
                )
        };
        let open: Vec<&Arc<UpstreamEntry>> = entries.iter().filter(is_open).collect();
        let total = self.limits.total(open.iter().copied(), now)?;
        let part = RequestRate::new(total.per_second() / self.limits.live_hosts(now) as f64);
        let mut services = lock(&self.services);
        let turn = services.get_mut(service).map(|state| state.turns.next_turn(part, now))?;
        // One that becomes warm takes more than its turns.
        let warm = open.iter().filter_map(|entry| self.limits.cold().cold_left(entry, now)).min();
        Some(warm.map_or(turn, |warm| turn.min(warm)))
    }

    /// Hashes of upstreams that recently told this host that they are leaving, for other hosts.
    #[must_use]
    pub fn leaving_hashes(&self, now: Timestamp) -> Vec<UpstreamHash> {
        self.standings.leaving_hashes(now)
    }

    /// Merges upstreams that another host heard are leaving; unknown ones are ignored.
    pub fn merge_leaving(&self, hashes: &[UpstreamHash], now: Timestamp) {
        let handles = lock(&self.handles);
        let entries = handles.values().map(|handle| &*handle.entry);
        self.standings.merge_leaving(hashes, entries, now);
    }

    fn view(&self, handle: &UpstreamHandle, now: Timestamp) -> UpstreamView {
        let services = lock(&self.services);
        let state = services.get(&handle.entry.service);
        let mut view = handle.view(state.map_or(Duration::ZERO, |state| state.prefill), now);
        let name = &handle.entry.name;
        if let Some(state) = state {
            view.ejected = state.ejection.is_ejected(name, now);
            view.failure_rate = state.ejection.failure_rate(name, now);
            if state.ejection.is_half_open(name, now) {
                view.limit = 1;
            }
        }
        if !self.is_local(&handle.entry) {
            view.delay = REGION_DELAY;
        }
        view
    }

    fn is_local(&self, entry: &UpstreamEntry) -> bool {
        let settings = self.settings.load();
        settings.region_of(&entry.domain) == Some(&settings.region)
    }

    /// Time that the network adds to an answer of an upstream, on a new connection.
    #[must_use]
    pub fn network_time(&self, entry: &UpstreamEntry) -> Duration {
        if self.is_local(entry) { Duration::ZERO } else { REGION_DELAY.as_duration() * 2 }
    }

    fn handle(&self, entry: &Arc<UpstreamEntry>) -> Arc<UpstreamHandle> {
        let mut handles = lock(&self.handles);
        let known = handles.get(&entry.name);
        let same = known.filter(|handle| {
            handle.entry.address == entry.address
                && handle.entry.started_ms == entry.started_ms
                && handle.entry.version == entry.version
        });
        if let Some(handle) = same {
            return Arc::clone(handle);
        }
        let (standings, limits) = (Arc::clone(&self.standings), Arc::clone(&self.limits));
        let speeds = Arc::clone(&self.speeds);
        let handle = Arc::new(UpstreamHandle::new(Arc::clone(entry), standings, limits, speeds));
        handles.insert(entry.name.clone(), Arc::clone(&handle));
        handle
    }
}

fn transfer(view: &UpstreamView, input: &ChoiceInput<'_>) -> Money {
    if view.delay.get() > 0 { input.prices.transfer } else { Money::ZERO }
}

/// Excludes upstreams whose memory the request does not fit into, while another has room.
fn keep_within_memory(views: &mut [UpstreamView], memories: &[UpstreamMemory], size: TokenSize) {
    let tokens = size.prompt.saturating_add(size.answer);
    let fits = |index: usize| memories[index].fits(tokens);
    if (0..views.len()).any(|index| views[index].is_available() && fits(index)) {
        let full = (0..views.len()).filter(|&index| !fits(index));
        full.for_each(|index| views[index].limit = 0);
    }
}

/// Expects half of the prompt to be cached at one upstream, for services that state no memory.
fn expect_half_cached(views: &mut [UpstreamView], input: &ChoiceInput<'_>) {
    let holder = cache_holder(views, input);
    for (index, view) in views.iter_mut().enumerate() {
        let is_holder = holder.is_none_or(|holder| holder == index);
        let cache_miss = if is_holder { Money::ZERO } else { input.prices.cache_miss };
        view.region_price = transfer(view, input) + cache_miss;
    }
    if let Some(holder) = holder {
        // Half of the prompt, since the cache may have evicted the prefix.
        views[holder].cached = TokenCount::new(input.size.prompt / 2);
    }
}

const fn is_canary(rule: &VersionRule) -> bool {
    matches!(rule, VersionRule::Canary { .. })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Maximum retries that a host may accumulate: its part of the extra retries, and the part of the
/// retry share that it leaves unused within the platform's window.
fn reserve(bounds: &GatewayBounds, hosts: usize, rate: f64) -> f64 {
    let window = Duration::from_millis(bounds.retry_window_ms).as_secs_f64();
    let unused = rate * window * bounds.retry_share * (1.0 - USED_BUDGET_SHARE);
    let extra = bounds.retry_extra / hosts.max(1) as f64;
    ((extra + unused) * USED_BUDGET_SHARE).max(MIN_RESERVE)
}
