//! Upstreams as this host uses them: connections, requests in flight, load, failures, budgets.

use crate::fault::AttemptFault;
use crate::load_news::{LoadNews, MAX_LOAD_NEWS, UpstreamMark};
use crate::placement::{ChoiceInput, attempt_work, has_room, holder};
use crate::settings::{GatewayBounds, SharedSettings};
use crate::upstream_cell::{UpstreamCell, UpstreamPermit};
use crate::upstream_entry::UpstreamEntry;
use oleander_core::ejection::OutlierEjection;
use oleander_core::ids::{ServiceName, UpstreamName};
use oleander_core::retry_budget::RetryBudget;
use oleander_core::units::{Millis, Money, Timestamp, TokenCount};
use oleander_core::upstream_choice::{UpstreamRule, UpstreamView, choose_upstream};
use oleander_ports::clock::ClockPort;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Most of a service's upstreams that are left out at once.
const EJECTION_SHARE: f64 = 0.5;
/// Time of a first ejection: crashed upstreams are delisted within 4 s, and one that came back
/// should not idle for long.
const EJECTION_BASE: Duration = Duration::from_secs(3);
/// Part of the retry budget's bounds that is used, so that hosts that count in other windows
/// than the platform stay within them.
const BUDGET_USED: f64 = 0.9;
/// Part of the retries saved up that is kept for faults: a weak answer is better than none.
const FAULT_SHARE: f64 = 0.2;
/// Least retries that a host may save up before it knows its rate.
const LEAST_RESERVE: f64 = 2.5;
/// Hosts that are assumed to share the extra retries until they were counted.
const ASSUMED_HOSTS: usize = 64;
/// Delay to another region and back, in milliseconds; what the users' links have.
const REGION_DELAY: Millis = Millis::new(60);
/// Weight of one request in the mean time to read a prompt: that of the last twenty or so.
const READ_GAIN: f64 = 0.05;
/// Span over which requests are counted for their rate.
const RATE_SPAN: Duration = Duration::from_secs(3);

struct ServiceState {
    ejection: OutlierEjection,
    budget: RetryBudget,
    /// Requests in the span that began then.
    requests: u64,
    since: Option<Timestamp>,
    /// Requests a second in the span before.
    rate: f64,
    /// Retries that may be saved up.
    reserve: f64,
    /// Moving mean of the time to read a prompt.
    read: Duration,
}

/// All upstreams as this host uses them.
pub struct UpstreamBook {
    settings: SharedSettings,
    clock: Arc<dyn ClockPort>,
    cells: Mutex<HashMap<UpstreamName, Arc<UpstreamCell>>>,
    services: Mutex<BTreeMap<ServiceName, ServiceState>>,
    /// Hosts, once they were counted.
    hosts: Mutex<Option<usize>>,
}

impl UpstreamBook {
    /// A book of a host that uses no upstream yet.
    #[must_use]
    pub fn new(settings: SharedSettings, clock: Arc<dyn ClockPort>) -> Self {
        Self {
            settings,
            clock,
            cells: Mutex::default(),
            services: Mutex::default(),
            hosts: Mutex::default(),
        }
    }

    /// Takes in the upstreams that are there now. Connections to others are closed; requests
    /// that run there go on.
    pub fn update(&self, upstreams: &BTreeMap<ServiceName, Vec<Arc<UpstreamEntry>>>) {
        let listed: HashSet<&UpstreamName> =
            upstreams.values().flatten().map(|entry| &entry.name).collect();
        lock(&self.cells).retain(|name, _| listed.contains(name));
        for (service, entries) in upstreams {
            let mut services = lock(&self.services);
            let state = services.entry(service.clone()).or_insert_with(|| self.new_service());
            state.ejection.set_pool(entries.iter().map(|entry| &entry.name));
        }
    }

    fn new_service(&self) -> ServiceState {
        let ejection = OutlierEjection::new(EJECTION_SHARE).with_base(EJECTION_BASE);
        let bounds = self.settings.load().bounds;
        let reserve = reserve(&bounds, self.hosts(), 0.0);
        let budget = RetryBudget::new(bounds.retry_share * BUDGET_USED)
            .with_reserve(reserve)
            .with_balance(reserve);
        let read = Duration::ZERO;
        ServiceState { ejection, budget, requests: 0, since: None, rate: 0.0, reserve, read }
    }

    /// Sets how many hosts share the extra retries.
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

    /// Hosts that share the extra retries, or as many as are assumed before they were counted.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.counted_hosts().unwrap_or(ASSUMED_HOSTS)
    }

    /// Hosts, once they were counted.
    #[must_use]
    pub fn counted_hosts(&self) -> Option<usize> {
        *lock(&self.hosts)
    }

    /// Notes a request to a service; it earns a share of a retry.
    pub fn note_request(&self, service: &ServiceName, now: Timestamp) {
        if let Some(state) = lock(&self.services).get_mut(service) {
            state.budget.record_attempt();
            state.requests += 1;
            let span = now.since(*state.since.get_or_insert(now));
            if span >= RATE_SPAN {
                state.rate = state.requests as f64 / span.as_secs_f64();
                (state.requests, state.since) = (0, Some(now));
                let bounds = self.settings.load().bounds;
                state.reserve = reserve(&bounds, self.hosts(), state.rate);
                state.budget = state.budget.with_reserve(state.reserve);
            }
        }
    }

    /// Requests a second to a service over all hosts, as guessed from this host's own.
    #[must_use]
    pub fn fleet_rate(&self, service: &ServiceName, now: Timestamp) -> f64 {
        let hosts = self.hosts() as f64;
        lock(&self.services).get(service).map_or(0.0, |state| {
            let span = state.since.map_or(0.0, |since| now.since(since).as_secs_f64());
            state.rate.max(state.requests as f64 / span.max(1.0)) * hosts
        })
    }

    /// Spends one retry of a service's budget; `false` when it has none.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        let mut services = lock(&self.services);
        services.get_mut(service).is_some_and(|state| state.budget.try_spend())
    }

    /// Spends one retry on giving a weak answer up, unless only what is kept for faults is left.
    pub fn try_escalate(&self, service: &ServiceName) -> bool {
        self.may_escalate(service) && self.try_retry(service)
    }

    /// Whether a weak answer may be given up now.
    #[must_use]
    pub fn may_escalate(&self, service: &ServiceName) -> bool {
        let services = lock(&self.services);
        let state = services.get(service);
        state.is_some_and(|state| state.budget.balance() >= state.reserve * FAULT_SHARE + 1.0)
    }

    /// Whether a service's budget has a retry.
    #[must_use]
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        let services = lock(&self.services);
        services.get(service).is_some_and(|state| state.budget.balance() >= 1.0)
    }

    /// Notes a good answer of an upstream.
    pub fn note_success(&self, entry: &UpstreamEntry) {
        if let Some(state) = lock(&self.services).get_mut(&entry.service) {
            state.ejection.record_success(&entry.name);
        }
    }

    /// Notes a fault of an upstream; `true` when it is ejected for that.
    pub fn note_fault(&self, entry: &UpstreamEntry, fault: &AttemptFault, now: Timestamp) -> bool {
        let weight = fault.weight();
        let mut services = lock(&self.services);
        let state = services.get_mut(&entry.service).filter(|_| weight > 0);
        state.is_some_and(|state| state.ejection.record_failures(&entry.name, weight, now))
    }

    /// Requests that wait at an upstream of a service, in the mean over those that told their load
    /// lately.
    #[must_use]
    pub fn pressure(&self, service: &ServiceName, now: Timestamp) -> f64 {
        let cells = lock(&self.cells);
        let news = cells.values().filter(|cell| cell.entry.service == *service);
        let waiting: Vec<f64> = news
            .filter_map(|cell| cell.news(now))
            .map(|news| f64::from(news.load(0).waiting))
            .collect();
        waiting.iter().sum::<f64>() / waiting.len().max(1) as f64
    }

    /// Loads of upstreams that were told lately, the latest first, for other hosts.
    #[must_use]
    pub fn load_news(&self, now: Timestamp) -> Vec<LoadNews> {
        let cells = lock(&self.cells);
        let mut news: Vec<LoadNews> = cells.values().filter_map(|cell| cell.news(now)).collect();
        news.sort_unstable_by_key(LoadNews::age);
        news.truncate(MAX_LOAD_NEWS);
        news
    }

    /// Takes in loads that another host told; upstreams that are not known here are left out.
    pub fn take_load_news(&self, news: &[LoadNews], now: Timestamp) {
        let told: HashMap<UpstreamMark, &LoadNews> =
            news.iter().map(|news| (news.upstream, news)).collect();
        for cell in lock(&self.cells).values() {
            if let Some(news) = told.get(&cell.mark) {
                let at = Timestamp::from_millis(
                    now.as_millis().saturating_sub(news.age().as_millis() as u64),
                );
                cell.note_load(news.load(cell.entry.slots), news.lag(), at);
            }
        }
    }

    /// Chooses an upstream; `None` when there is none that may be used.
    #[must_use]
    pub fn choose(&self, input: &ChoiceInput<'_>) -> Option<UpstreamPermit> {
        self.note_read(input);
        let untried = |entry: &&Arc<UpstreamEntry>| !input.tried.contains(&entry.name);
        let usable: Vec<&Arc<UpstreamEntry>> = input
            .entries
            .iter()
            .filter(untried)
            .filter(|entry| input.rule.permits(&entry.version))
            .collect();
        let preferred: Vec<&Arc<UpstreamEntry>> =
            usable.iter().copied().filter(|entry| input.rule.prefers(&entry.version)).collect();
        let chosen = self.choose_among(&preferred, input);
        chosen.or_else(|| self.choose_among(&usable, input))
    }

    fn note_read(&self, input: &ChoiceInput<'_>) {
        let Some(service) = input.entries.first().map(|entry| &entry.service) else { return };
        if let Some(state) = lock(&self.services).get_mut(service) {
            state.read = state.read.mul_f64(1.0 - READ_GAIN) + input.read.mul_f64(READ_GAIN);
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
        let cells: Vec<Arc<UpstreamCell>> = entries.iter().map(|entry| self.cell(entry)).collect();
        let mut views: Vec<UpstreamView> =
            cells.iter().map(|cell| self.view(cell, input.now)).collect();
        if !views.iter().any(UpstreamView::is_available) {
            // All of them failed lately: any one is better than none.
            views.iter_mut().for_each(|view| {
                view.ejected = false;
                view.limit = u32::MAX;
            });
        }
        let holder = holder(&views, input);
        for (index, view) in views.iter_mut().enumerate() {
            let transfer = if view.delay.get() > 0 { input.prices.transfer } else { Money::ZERO };
            let is_holder = holder.is_none_or(|holder| holder == index);
            let read = if is_holder { Money::ZERO } else { input.prices.read_again };
            view.region_price = transfer + read;
        }
        if let Some(holder) = holder {
            // Half of it, since the cache may have dropped it.
            views[holder].cached = TokenCount::new(input.size.prompt / 2);
        }
        let work = attempt_work(input);
        let index = choose_upstream(UpstreamRule::ExpectedCost, &views, &work, input.random)?;
        let clock = Arc::clone(&self.clock);
        Some(UpstreamPermit::new(Arc::clone(&cells[index]), input.read, clock))
    }

    /// Whether an upstream that was not tried would read the prompt within `limit`, as far as is
    /// known here.
    #[must_use]
    pub fn has_quick(&self, input: &ChoiceInput<'_>, limit: Duration) -> bool {
        let open = input.entries.iter().filter(|entry| {
            !input.tried.contains(&entry.name) && input.rule.permits(&entry.version)
        });
        open.map(|entry| self.view(&self.cell(entry), input.now)).any(|view| {
            let wait = view.backlog.as_duration() + view.delay.as_duration() + input.read;
            view.is_available() && has_room(&view) && wait <= limit
        })
    }

    fn view(&self, cell: &UpstreamCell, now: Timestamp) -> UpstreamView {
        let services = lock(&self.services);
        let state = services.get(&cell.entry.service);
        let mut view = cell.view(state.map_or(Duration::ZERO, |state| state.read), now);
        let name = &cell.entry.name;
        if let Some(state) = state {
            view.ejected = state.ejection.is_ejected(name, now);
            view.failure_rate = state.ejection.failure_rate(name, now);
            if state.ejection.is_half_open(name, now) {
                view.limit = 1;
            }
        }
        if !self.is_local(cell) {
            view.delay = REGION_DELAY;
        }
        view
    }

    fn is_local(&self, cell: &UpstreamCell) -> bool {
        let settings = self.settings.load();
        settings.region_of(&cell.entry.domain) == Some(&settings.region)
    }

    fn cell(&self, entry: &Arc<UpstreamEntry>) -> Arc<UpstreamCell> {
        let mut cells = lock(&self.cells);
        let known = cells.get(&entry.name);
        let same = known.filter(|cell| {
            cell.entry.address == entry.address
                && cell.entry.born == entry.born
                && cell.entry.version == entry.version
        });
        if let Some(cell) = same {
            return Arc::clone(cell);
        }
        let cell = Arc::new(UpstreamCell::new(Arc::clone(entry)));
        cells.insert(entry.name.clone(), Arc::clone(&cell));
        cell
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Retries that a host may save up: its part of the extra retries, and of what hosts leave of
/// the share that they earn within the platform's window.
fn reserve(bounds: &GatewayBounds, hosts: usize, rate: f64) -> f64 {
    let window = Duration::from_millis(bounds.retry_window_ms).as_secs_f64();
    let unused = rate * window * bounds.retry_share * (1.0 - BUDGET_USED);
    let extra = bounds.retry_extra / hosts.max(1) as f64;
    ((extra + unused) * BUDGET_USED).max(LEAST_RESERVE)
}
