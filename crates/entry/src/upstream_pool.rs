//! A pool of upstreams as this host uses it.

use crate::upstream_handle::{UpstreamHandle, UpstreamPermit};
use oleander_core::admission::{AdmissionDecision, AdmissionRequest, PoolAdmission};
use oleander_core::catalog::objects::{Pool, Region, Upstream};
use oleander_core::ejection::OutlierEjection;
use oleander_core::ids::{AccountName, PoolName, RegionName, UpstreamName};
use oleander_core::retry_budget::RetryBudget;
use oleander_core::units::{Millis, Money, Timestamp, TokenCount};
use oleander_core::upstream_choice::{AttemptWork, UpstreamRule, UpstreamView, choose_upstream};
use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Initial retry budget of a pool, before any attempt has added to it.
const INITIAL_RETRIES: f64 = 5.0;
/// Estimated size of a token's text.
const BYTES_PER_TOKEN: u64 = 4;
const BYTES_PER_GIGABYTE: u64 = 1_000_000_000;

/// An upstream of this host's subset of the pool, with its distance.
pub struct PoolMember {
    /// The upstream.
    pub handle: Arc<UpstreamHandle>,
    /// Price of a gigabyte between this host and the upstream.
    pub price_per_gigabyte: Money,
    /// Network round-trip time.
    pub delay: Millis,
}

impl PoolMember {
    /// Creates a member as seen from `region`.
    pub fn new(
        handle: Arc<UpstreamHandle>,
        upstream: &Upstream,
        region: &RegionName,
        regions: &BTreeMap<RegionName, Region>,
    ) -> Self {
        if upstream.region == *region {
            return Self { handle, price_per_gigabyte: Money::ZERO, delay: Millis::new(0) };
        }
        let ends = [regions.get(region), regions.get(&upstream.region)];
        let price = ends.iter().flatten().map(|region| region.price_per_gigabyte).sum();
        let delay = ends.iter().flatten().map(|region| region.delay.get()).max().unwrap_or(0);
        Self { handle, price_per_gigabyte: price, delay: Millis::new(2 * delay) }
    }

    fn traffic_price(&self, work: &AttemptWork) -> Money {
        let bytes = u64::from((work.prompt + work.answer).get()) * BYTES_PER_TOKEN;
        let micros = self.price_per_gigabyte.as_micros().saturating_mul(bytes);
        Money::from_micros(micros / BYTES_PER_GIGABYTE)
    }
}

struct PoolState {
    ejection: OutlierEjection,
    budget: RetryBudget,
    admission: PoolAdmission,
}

/// State of a pool that carries over to the next catalog revision.
pub struct SharedPoolState {
    state: Mutex<PoolState>,
}

impl SharedPoolState {
    fn new(pool: &Pool, ejection_share: f64) -> Self {
        let state = PoolState {
            ejection: OutlierEjection::new(ejection_share),
            budget: RetryBudget::new(pool.retry_share).with_balance(INITIAL_RETRIES),
            admission: PoolAdmission::new(1.0),
        };
        Self { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A pool as of one catalog revision.
pub struct UpstreamPool {
    /// Name.
    pub name: PoolName,
    /// This host's subset of the upstreams.
    pub members: Vec<PoolMember>,
    shared: Arc<SharedPoolState>,
}

impl UpstreamPool {
    /// Creates a pool with this host's members. `old` is the pool of the previous revision.
    pub fn new(
        name: PoolName,
        object: &Pool,
        members: Vec<PoolMember>,
        ejection_share: f64,
        old: Option<&Self>,
    ) -> Self {
        let shared = old.map_or_else(
            || Arc::new(SharedPoolState::new(object, ejection_share)),
            |old| Arc::clone(&old.shared),
        );
        {
            let mut state = shared.lock();
            state.ejection.set_share(ejection_share);
            state.ejection.set_pool(members.iter().map(|member| &member.handle.name));
            state.budget.set_share(object.retry_share);
        }
        Self { name, members, shared }
    }

    /// Updates the estimate of the slots that this host may fill when `entries` hosts share the
    /// pool.
    pub fn update_slots(&self, entries: usize, is_leaving: impl Fn(&UpstreamName) -> bool) {
        let available = self.members.iter().filter(|member| !is_leaving(&member.handle.name));
        let free_slots = |handle: &UpstreamHandle| {
            let slots = f64::from(handle.slots());
            (slots - f64::from(handle.other_hosts_load())).max(slots / entries.max(1) as f64)
        };
        let slots = available.map(|member| free_slots(&member.handle)).sum();
        self.shared.lock().admission.set_slots(slots);
    }

    /// Decides whether to admit a request; an admitted one keeps the returned permit while it runs.
    pub fn admit(&self, request: &AdmissionRequest) -> Result<AdmissionPermit, AdmissionDecision> {
        let mut state = self.shared.lock();
        match state.admission.decide(request) {
            AdmissionDecision::Admit { .. } => {
                state.admission.start(&request.account, request.weight);
                let shared = Arc::clone(&self.shared);
                Ok(AdmissionPermit { shared, account: request.account.clone(), service_time: None })
            }
            denied => Err(denied),
        }
    }

    /// Returns the time that a new request is expected to wait for a slot.
    pub fn expected_wait(&self) -> Duration {
        self.shared.lock().admission.expected_wait()
    }

    /// Chooses an upstream for an attempt, other than those in `excluded`.
    pub fn choose(
        &self,
        rule: UpstreamRule,
        work: &AttemptWork,
        excluded: &HashSet<UpstreamName>,
        input: &ChoiceInput<'_>,
    ) -> Option<UpstreamPermit> {
        let views: Vec<UpstreamView> =
            self.members.iter().map(|member| self.view(member, work, excluded, input)).collect();
        let chosen = choose_upstream(rule, &views, work, input.random)?;
        Some(UpstreamPermit::new(Arc::clone(&self.members[chosen].handle)))
    }

    fn view(
        &self,
        member: &PoolMember,
        work: &AttemptWork,
        excluded: &HashSet<UpstreamName>,
        input: &ChoiceInput<'_>,
    ) -> UpstreamView {
        let name = &member.handle.name;
        let mut view = member.handle.view(input.now);
        view.region_price = member.traffic_price(work);
        view.delay = member.delay;
        view.cached = (input.cached)(name);
        let shared = self.shared.lock();
        view.ejected = shared.ejection.is_ejected(name, input.now);
        view.failure_rate = shared.ejection.failure_rate(name, input.now);
        drop(shared);
        view.leaving = excluded.contains(name) || (input.is_leaving)(name);
        view
    }

    /// Records a first attempt, which adds to the retry budget.
    pub fn record_attempt(&self) {
        self.shared.lock().budget.record_attempt();
    }

    /// Takes one retry from the pool's budget; returns `false` when the budget is used up.
    pub fn try_retry(&self) -> bool {
        self.shared.lock().budget.try_spend()
    }

    /// Records a complete answer of an upstream.
    pub fn record_success(&self, upstream: &UpstreamName) {
        self.shared.lock().ejection.record_success(upstream);
    }

    /// Records a failure of an upstream; returns whether the upstream is ejected because of it.
    pub fn record_failure(&self, upstream: &UpstreamName, now: Timestamp) -> bool {
        self.shared.lock().ejection.record_failure(upstream, now)
    }
}

/// Inputs of a choice that do not depend on the pool.
pub struct ChoiceInput<'a> {
    /// Current time.
    pub now: Timestamp,
    /// Random number for the choice.
    pub random: u64,
    /// Prompt tokens that an upstream's prefix cache is expected to save.
    pub cached: &'a dyn Fn(&UpstreamName) -> TokenCount,
    /// Whether an upstream is leaving.
    pub is_leaving: &'a dyn Fn(&UpstreamName) -> bool,
}

/// Admission to a pool; ends when it is dropped.
pub struct AdmissionPermit {
    shared: Arc<SharedPoolState>,
    account: AccountName,
    service_time: Option<Duration>,
}

impl AdmissionPermit {
    /// Sets the time that the upstream took for the complete answer.
    pub const fn set_service_time(&mut self, service_time: Duration) {
        self.service_time = Some(service_time);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.shared.lock().admission.finish(&self.account, self.service_time);
    }
}
