//! Model of the router: the state that the entry keeps for its decisions.

use super::settings::SimulationSettings;
use crate::arrival_trace::TraceRequest;
use crate::deployment::DeploymentModel;
use oleander_core::admission::PoolAdmission;
use oleander_core::catalog::Snapshot;
use oleander_core::catalog::objects::ClientAccount;
use oleander_core::chain::{ChainCandidate, ChainError, ChainGoal, ChainPlan, ChainPlanner};
use oleander_core::chain_input::{CandidateHints, RequestSize, candidates};
use oleander_core::confidence::ConfidenceTable;
use oleander_core::ejection::OutlierEjection;
use oleander_core::ids::{AccountName, CascadeName, Revision, UpstreamName, VersionName};
use oleander_core::prefix_hints::{PrefixDigest, PrefixHints};
use oleander_core::quality::QualityTable;
use oleander_core::retry_budget::RetryBudget;
use oleander_core::units::{Millis, Money, Quality, Timestamp, TokenCount};
use oleander_core::upstream_choice::{
    AttemptWork, ReportedLoad, UpstreamRule, UpstreamView, choose_upstream,
};
use std::time::Duration;

const HINT_CAPACITY: usize = 4_096;
const EJECTION_SHARE: f64 = 0.34;
const RETRY_SHARE: f64 = 0.08;
const PRICE_PER_SECOND: Money = Money::from_micros(500);
/// Round-trip time to an engine in the region of the router and in another region.
const LOCAL_DELAY: Millis = Millis::new(2);
const REMOTE_DELAY: Millis = Millis::new(60);
/// Price of sending a request to another region and its answer back.
const REMOTE_PRICE: Money = Money::from_micros(20);
/// One in this many engines is in another region.
const REMOTE_EVERY: usize = 3;

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    running: u32,
    queued: u32,
    own: u32,
    reported_at: u64,
}

/// The state of one engine, as known to the router.
#[derive(Debug)]
struct EngineView {
    view: UpstreamView,
    report: Option<ReceivedReport>,
}

/// The state of one pool.
#[derive(Debug)]
struct PoolState {
    engines: Vec<EngineView>,
    admission: PoolAdmission,
    ejection: OutlierEjection,
    budget: RetryBudget,
}

/// The state of the router.
pub struct RouterModel {
    snapshot: Snapshot,
    account: ClientAccount,
    /// Name of the client account.
    pub account_name: AccountName,
    cascades: Vec<CascadeName>,
    versions: Vec<VersionName>,
    pools: Vec<PoolState>,
    hints: PrefixHints,
    ratings: QualityTable,
    confidence: Vec<Vec<ConfidenceTable>>,
    planner: ChainPlanner,
    upstream: UpstreamRule,
    use_ejection: bool,
    use_hints: bool,
}

/// Converts simulated time in microseconds to a timestamp for the decisions.
#[must_use]
pub const fn timestamp(micros: u64) -> Timestamp {
    Timestamp::from_millis(micros / 1_000)
}

impl RouterModel {
    /// Creates a router without any observations.
    ///
    /// # Errors
    ///
    /// When the deployment's catalog is not valid.
    pub fn new(
        deployment: &DeploymentModel,
        settings: &SimulationSettings,
    ) -> anyhow::Result<Self> {
        let tiers = deployment.tiers.len();
        let names = deployment.classes.iter().map(|class| CascadeName::new(class.name));
        let versions = deployment.tiers.iter().map(|tier| VersionName::new(tier.name));
        let pools =
            deployment.tiers.iter().map(|tier| pool(tier.name, tier.engine_count, tier.slots));
        Ok(Self {
            snapshot: Snapshot::new(Revision::new(1), deployment.catalog()?),
            account: deployment.account()?,
            account_name: AccountName::new("members")?,
            cascades: names.collect::<Result<_, _>>()?,
            versions: versions.collect::<Result<_, _>>()?,
            pools: pools.collect::<anyhow::Result<_>>()?,
            hints: PrefixHints::new(HINT_CAPACITY),
            ratings: QualityTable::default(),
            confidence: vec![vec![ConfidenceTable::default(); tiers]; deployment.classes.len()],
            planner: ChainPlanner::new(settings.chain)
                .with_exploration(settings.exploration)
                .with_latency_price(Money::from_micros(settings.latency_price)),
            upstream: settings.upstream,
            use_ejection: settings.ejection,
            use_hints: settings.prefix_hints,
        })
    }

    /// Index of the tier of a version.
    #[must_use]
    pub fn tier(&self, version: &VersionName) -> usize {
        self.versions.iter().position(|name| name == version).unwrap_or(0)
    }

    /// Admission control of the pool of a tier.
    pub fn admission(&mut self, tier: usize) -> &mut PoolAdmission {
        &mut self.pools[tier].admission
    }

    /// Retry budget of the pool of a tier.
    pub fn budget(&mut self, tier: usize) -> &mut RetryBudget {
        &mut self.pools[tier].budget
    }

    /// Plans the chain of a request; `answer` is the expected length of the answer in tokens.
    ///
    /// # Errors
    ///
    /// [`ChainError`] if no chain meets the request's goal.
    pub fn plan(
        &self,
        request: &TraceRequest,
        answer: u32,
        left: Duration,
        random: u64,
    ) -> Result<ChainPlan, ChainError> {
        let cascade = &self.cascades[request.class];
        let candidates = self.candidates(request, answer);
        let target =
            self.snapshot.cascade(cascade).map_or(Quality::default(), |c| c.quality_target);
        self.planner.plan(&candidates, &ChainGoal { quality: target, left }, random)
    }

    /// The candidates for the chain of a request.
    #[must_use]
    pub fn candidates(&self, request: &TraceRequest, answer: u32) -> Vec<ChainCandidate> {
        let wait = |version: &VersionName| self.pools[self.tier(version)].admission.expected_wait();
        let confidence =
            |version: &VersionName| self.confidence[request.class][self.tier(version)].clone();
        let hints = CandidateHints { ratings: &self.ratings, wait: &wait, confidence: &confidence };
        let size = RequestSize {
            prompt: TokenCount::new(request.prompt),
            answer: TokenCount::new(answer),
        };
        let cascade = &self.cascades[request.class];
        candidates(&self.snapshot, &self.account, cascade, size, 0.5, &hints)
    }

    /// Chooses an engine of the pool of a tier, other than `excluded`, which was tried before.
    pub fn choose(
        &mut self,
        tier: usize,
        request: &TraceRequest,
        answer: u32,
        excluded: Option<usize>,
        (now, random): (u64, u64),
    ) -> Option<usize> {
        let work = self.work(tier, request, answer);
        let views = self.views(tier, request, excluded, now);
        choose_upstream(self.upstream, &views, &work, random)
    }

    fn work(&self, tier: usize, request: &TraceRequest, answer: u32) -> AttemptWork {
        let version = self.snapshot.version(&self.versions[tier]);
        AttemptWork {
            prompt: TokenCount::new(request.prompt),
            answer: TokenCount::new(answer),
            first_token: version.map_or(Millis::default(), |version| version.first_token),
            token_gap: version.map_or(Millis::default(), |version| version.token_gap),
            price_per_second: PRICE_PER_SECOND,
        }
    }

    fn views(
        &self,
        tier: usize,
        request: &TraceRequest,
        excluded: Option<usize>,
        now: u64,
    ) -> Vec<UpstreamView> {
        let pool = &self.pools[tier];
        let prefix = digest(request.prefix);
        let view = |(index, engine): (usize, &EngineView)| {
            let mut view = engine.view.clone();
            view.ejected =
                Some(index) == excluded || pool.ejection.is_ejected(&view.name, timestamp(now));
            view.failure_rate = pool.ejection.failure_rate(&view.name, timestamp(now));
            view.report = engine.report.map(|report| ReportedLoad {
                running: report.running,
                queued: report.queued,
                own: report.own,
                age: Duration::from_micros(now - report.reported_at),
            });
            if self.use_hints {
                let tokens = TokenCount::new(request.prefix_tokens);
                let name = &engine.view.name;
                view.cached = self.hints.expected_saving(name, prefix, tokens, timestamp(now));
            }
            view
        };
        pool.engines.iter().enumerate().map(view).collect()
    }

    /// Records that an attempt was sent to an engine; returns the round-trip time.
    pub fn record_dispatch(
        &mut self,
        tier: usize,
        engine: usize,
        request: &TraceRequest,
        now: u64,
    ) -> Millis {
        let state = &mut self.pools[tier].engines[engine];
        state.view.in_flight += 1;
        let tokens = TokenCount::new(request.prefix_tokens);
        let name = state.view.name.clone();
        self.hints.record_dispatch(&name, digest(request.prefix), tokens, timestamp(now));
        state.view.delay
    }

    /// Records that an attempt ended.
    pub fn record_end(&mut self, tier: usize, engine: usize) {
        let view = &mut self.pools[tier].engines[engine].view;
        view.in_flight = view.in_flight.saturating_sub(1);
    }

    /// Records the success or failure of an attempt on an engine.
    pub fn record_result(&mut self, tier: usize, engine: usize, ok: bool, now: u64) {
        if !self.use_ejection {
            return;
        }
        let pool = &mut self.pools[tier];
        let name = pool.engines[engine].view.name.clone();
        if ok {
            pool.ejection.record_success(&name);
        } else {
            pool.ejection.record_failure(&name, timestamp(now));
        }
        let ejected = pool.ejection.ejected(timestamp(now));
        let slots = pool.engines.first().map_or(0, |engine| engine.view.slots);
        pool.admission.set_slots(f64::from(slots) * (pool.engines.len() - ejected) as f64);
    }

    /// Number of in-flight requests of the router on an engine.
    #[must_use]
    pub fn in_flight(&self, tier: usize, engine: usize) -> u32 {
        self.pools[tier].engines[engine].view.in_flight
    }

    /// Records a load report: running, queued and own requests, and the time of the report.
    pub fn record_report(
        &mut self,
        tier: usize,
        engine: usize,
        load: (u32, u32, u32),
        reported_at: u64,
    ) {
        let (running, queued, own) = load;
        let report = ReceivedReport { running, queued, own, reported_at };
        self.pools[tier].engines[engine].report = Some(report);
    }

    /// Records a cache event.
    pub fn record_cache_event(
        &mut self,
        (tier, engine): (usize, usize),
        number: u64,
        prefix: u64,
        cached: bool,
        now: u64,
    ) {
        let name = &self.pools[tier].engines[engine].view.name;
        self.hints.record_event(name, number, digest(prefix), cached, timestamp(now));
    }

    /// Records the confidence of an answer.
    pub fn record_confidence(&mut self, class: usize, tier: usize, confidence: f64) {
        self.confidence[class][tier].record_answer(confidence);
    }

    /// Records a rating.
    pub fn record_rating(&mut self, class: usize, tier: usize, confidence: f64, score: f64) {
        self.confidence[class][tier].record_rating(confidence, score);
        self.ratings.add(&self.cascades[class], &self.versions[tier], score);
    }
}

fn digest(prefix: u64) -> PrefixDigest {
    PrefixDigest::new(&prefix.to_string())
}

fn pool(name: &str, engine_count: usize, slots: u32) -> anyhow::Result<PoolState> {
    let engine = |index: usize| -> anyhow::Result<EngineView> {
        let mut view = UpstreamView::new(UpstreamName::new(&format!("{name}-{index}"))?, slots);
        let remote = index % REMOTE_EVERY == REMOTE_EVERY - 1;
        view.delay = if remote { REMOTE_DELAY } else { LOCAL_DELAY };
        view.region_price = if remote { REMOTE_PRICE } else { Money::ZERO };
        Ok(EngineView { view, report: None })
    };
    let engines: Vec<EngineView> = (0..engine_count).map(engine).collect::<Result<_, _>>()?;
    let mut ejection = OutlierEjection::new(EJECTION_SHARE);
    ejection.set_pool(engines.iter().map(|engine| &engine.view.name));
    Ok(PoolState {
        admission: PoolAdmission::new(f64::from(slots) * engine_count as f64),
        engines,
        ejection,
        budget: RetryBudget::new(RETRY_SHARE),
    })
}
