//! One pool of upstreams as this host uses it.

use crate::upstream_cell::{UpstreamCell, UpstreamPermit};
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

/// Retries that a pool has before any attempt earned one.
const FIRST_RETRIES: f64 = 5.0;
const BYTES_PER_TOKEN: u64 = 4;
const BYTES_PER_GIGABYTE: u64 = 1_000_000_000;

/// An upstream of the pool's subset and how far away it is.
pub struct PoolMember {
    /// The upstream.
    pub cell: Arc<UpstreamCell>,
    /// Price of a gigabyte to and from it.
    pub price_per_gigabyte: Money,
    /// Delay there and back.
    pub delay: Millis,
}

impl PoolMember {
    /// A member as seen from `region`.
    pub fn new(
        cell: Arc<UpstreamCell>,
        upstream: &Upstream,
        region: &RegionName,
        regions: &BTreeMap<RegionName, Region>,
    ) -> Self {
        if upstream.region == *region {
            return Self { cell, price_per_gigabyte: Money::ZERO, delay: Millis::new(0) };
        }
        let ends = [regions.get(region), regions.get(&upstream.region)];
        let price = ends.iter().flatten().map(|region| region.price_per_gigabyte).sum();
        let delay = ends.iter().flatten().map(|region| region.delay.get()).max().unwrap_or(0);
        Self { cell, price_per_gigabyte: price, delay: Millis::new(2 * delay) }
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

/// What is kept of a pool from one catalog revision to the next.
pub struct PoolLedger {
    state: Mutex<PoolState>,
}

impl PoolLedger {
    fn new(pool: &Pool, ejection_share: f64) -> Self {
        let state = PoolState {
            ejection: OutlierEjection::new(ejection_share),
            budget: RetryBudget::new(pool.retry_share).with_balance(FIRST_RETRIES),
            admission: PoolAdmission::new(1.0),
        };
        Self { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A pool under one catalog revision.
pub struct UpstreamPool {
    /// Its name.
    pub name: PoolName,
    /// The upstreams that this host uses.
    pub members: Vec<PoolMember>,
    ledger: Arc<PoolLedger>,
}

impl UpstreamPool {
    /// A pool with the members that this host uses. `old` is the pool under the revision before.
    pub fn new(
        name: PoolName,
        object: &Pool,
        members: Vec<PoolMember>,
        ejection_share: f64,
        old: Option<&Self>,
    ) -> Self {
        let ledger = old.map_or_else(
            || Arc::new(PoolLedger::new(object, ejection_share)),
            |old| Arc::clone(&old.ledger),
        );
        {
            let mut state = ledger.lock();
            state.ejection.set_share(ejection_share);
            state.ejection.set_pool(members.iter().map(|member| &member.cell.name));
            state.budget.set_share(object.retry_share);
        }
        Self { name, members, ledger }
    }

    /// Estimates the slots that this host may fill, when `entries` hosts share the pool.
    pub fn update_slots(&self, entries: usize, is_leaving: impl Fn(&UpstreamName) -> bool) {
        let open = self.members.iter().filter(|member| !is_leaving(&member.cell.name));
        let free = |cell: &UpstreamCell| {
            let slots = f64::from(cell.slots());
            (slots - f64::from(cell.others())).max(slots / entries.max(1) as f64)
        };
        let slots = open.map(|member| free(&member.cell)).sum();
        self.ledger.lock().admission.set_slots(slots);
    }

    /// Decides whether a request is let in; an admitted one holds the place that is returned.
    pub fn admit(&self, request: &AdmissionRequest) -> Result<PoolPlace, AdmissionDecision> {
        let mut state = self.ledger.lock();
        match state.admission.decide(request) {
            AdmissionDecision::Admit { .. } => {
                state.admission.start(&request.account, request.weight);
                let ledger = Arc::clone(&self.ledger);
                Ok(PoolPlace { ledger, account: request.account.clone(), service: None })
            }
            denied => Err(denied),
        }
    }

    /// Time that a new request is expected to wait for a slot.
    pub fn expected_wait(&self) -> Duration {
        self.ledger.lock().admission.expected_wait()
    }

    /// Chooses an upstream for an attempt; `not` are left out.
    pub fn choose(
        &self,
        rule: UpstreamRule,
        work: &AttemptWork,
        not: &HashSet<UpstreamName>,
        draw: &UpstreamDraw<'_>,
    ) -> Option<UpstreamPermit> {
        let views: Vec<UpstreamView> =
            self.members.iter().map(|member| self.view(member, work, not, draw)).collect();
        let chosen = choose_upstream(rule, &views, work, draw.random)?;
        Some(UpstreamPermit::new(Arc::clone(&self.members[chosen].cell)))
    }

    fn view(
        &self,
        member: &PoolMember,
        work: &AttemptWork,
        not: &HashSet<UpstreamName>,
        draw: &UpstreamDraw<'_>,
    ) -> UpstreamView {
        let name = &member.cell.name;
        let mut view = member.cell.view(draw.now);
        view.region_price = member.traffic_price(work);
        view.delay = member.delay;
        view.cached = (draw.cached)(name);
        let ledger = self.ledger.lock();
        view.ejected = ledger.ejection.is_ejected(name, draw.now);
        view.failure_rate = ledger.ejection.failure_rate(name, draw.now);
        drop(ledger);
        view.leaving = not.contains(name) || (draw.is_leaving)(name);
        view
    }

    /// Notes a first attempt; it earns a share of a retry.
    pub fn note_attempt(&self) {
        self.ledger.lock().budget.record_attempt();
    }

    /// Spends one retry of the pool's budget.
    pub fn try_retry(&self) -> bool {
        self.ledger.lock().budget.try_spend()
    }

    /// Notes a whole answer of an upstream.
    pub fn note_success(&self, upstream: &UpstreamName) {
        self.ledger.lock().ejection.record_success(upstream);
    }

    /// Blames an upstream; tells whether it is ejected for that.
    pub fn note_failure(&self, upstream: &UpstreamName, now: Timestamp) -> bool {
        self.ledger.lock().ejection.record_failure(upstream, now)
    }
}

/// What a choice depends on beside the pool.
pub struct UpstreamDraw<'a> {
    /// The time.
    pub now: Timestamp,
    /// Decides the draws.
    pub random: u64,
    /// Prompt tokens that an upstream's prefix cache is expected to save.
    pub cached: &'a dyn Fn(&UpstreamName) -> TokenCount,
    /// Whether an upstream is leaving.
    pub is_leaving: &'a dyn Fn(&UpstreamName) -> bool,
}

/// A place in a pool; given back when it is dropped.
pub struct PoolPlace {
    ledger: Arc<PoolLedger>,
    account: AccountName,
    service: Option<Duration>,
}

impl PoolPlace {
    /// Notes the time that the answer took at the upstream.
    pub const fn note_service(&mut self, service: Duration) {
        self.service = Some(service);
    }
}

impl Drop for PoolPlace {
    fn drop(&mut self) {
        self.ledger.lock().admission.finish(&self.account, self.service);
    }
}
