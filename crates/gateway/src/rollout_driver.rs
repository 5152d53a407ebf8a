//! Drives roll-outs together with all other hosts, without a leader.
//!
//! Every host writes its sums; each looks at all sums now and then and writes the next phase
//! over the one that it knows, on the condition that nobody else did. The more hosts there are,
//! the more seldom each looks, so that the store gets the same number of calls.

use crate::control_cache::RolloutState;
use crate::control_port::{ControlPort, WriteOutcome};
use crate::rollout_plan::{
    ExposureBound, FINISH_MARGIN, RolloutDecision, RolloutPhase, canary_share, next_phase,
};
use crate::rollout_sums::{HostSums, RolloutJudge};
use crate::snapshot_publisher::SharedSnapshot;
use crate::state::GatewayState;
use oleander_core::ids::ServiceName;
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two writes of a host's sums: a tenth of the 5 s within which a bad
/// version has to be taken back, and some.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Time between writes of sums that one more host adds: at 370 hosts 67 writes a second.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(15);
/// Longest time between two writes while only the old version answers.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(8);
/// What each host adds to it, up to the most: there is more of the old version's answers.
const FULL_REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(50);
const MAX_ADDED_REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Least time between two looks of a host at all sums.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(600);
/// Time between looks that one more host adds: eight looks a second over all hosts.
const EVALUATION_INTERVAL_PER_HOST: Duration = Duration::from_millis(120);

/// Span over which hosts spread their writes when a roll-out begins; more hosts write at once
/// in it, and all but the first find that another one was sooner.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Span over which hosts spread their looks at the end of a roll-out.
const FINISH_SPREAD: Duration = Duration::from_millis(500);

#[derive(Default)]
struct ServiceSchedule {
    judge: Option<RolloutJudge>,
    phase: Option<RolloutPhase>,
    span: Duration,
    reported: Option<HostSums>,
    report_at: Timestamp,
    full_report_at: Timestamp,
    evaluate_at: Timestamp,
}

/// Drives the roll-outs of all services.
pub struct RolloutDriver {
    state: Arc<GatewayState>,
    port: Arc<dyn ControlPort>,
    schedules: BTreeMap<ServiceName, ServiceSchedule>,
}

impl RolloutDriver {
    /// A driver on one host.
    #[must_use]
    pub fn new(state: Arc<GatewayState>, port: Arc<dyn ControlPort>) -> Self {
        Self { state, port, schedules: BTreeMap::new() }
    }

    /// Drives roll-outs for as long as it is polled.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.tick().await;
        }
    }

    /// Does what is due now.
    pub async fn tick(&mut self) {
        let snapshot: SharedSnapshot = Arc::clone(&self.state.snapshot);
        for (service, rollout) in &snapshot.load().rollouts {
            let phase = rollout.decision.as_ref().map(|decision| decision.phase);
            match phase {
                None => self.begin(service, rollout).await,
                Some(phase) if phase.is_over() => {
                    self.schedules.remove(service);
                }
                Some(phase) => {
                    self.spread_evaluations(service, phase);
                    self.report(service, rollout).await;
                    self.judge(service, rollout).await;
                }
            }
        }
    }

    /// Spreads the looks of all hosts evenly when a phase begins: they learn of it together, and
    /// would otherwise all look at once and then for a long time not at all.
    fn spread_evaluations(&mut self, service: &ServiceName, phase: RolloutPhase) {
        let span = self.evaluation_interval();
        let at = self.state.clock.now() + span.mul_f64(self.state.random.next_unit());
        let schedule = self.schedule(service);
        // The span also changes when hosts are counted for the first time.
        if schedule.phase != Some(phase) || schedule.span != span {
            (schedule.phase, schedule.span) = (Some(phase), span);
            schedule.evaluate_at = at;
        }
    }

    /// Begins a roll-out once the new version has an upstream.
    async fn begin(&mut self, service: &ServiceName, rollout: &RolloutState) {
        let snapshot = self.state.snapshot.load_full();
        let entries = snapshot.upstreams.get(service);
        let has_new = entries
            .is_some_and(|entries| entries.iter().any(|entry| entry.version == rollout.order.to));
        let now = self.state.clock.now();
        if !has_new || now < self.schedule(service).evaluate_at {
            return;
        }
        // Hosts begin at unlike times, so that mostly one of them writes.
        let first = self.schedule(service).evaluate_at == Timestamp::default();
        let wait = START_SPREAD.mul_f64(self.state.random.next_unit());
        self.schedule(service).evaluate_at = now + wait;
        if !first {
            let text = "the new version has an upstream";
            let canary = canary_share(self.state.pool.fleet_rate(service, now));
            self.decide(rollout, RolloutPhase::Canary, (rollout.ordered, canary), text).await;
        }
    }

    async fn report(&mut self, service: &ServiceName, rollout: &RolloutState) {
        let now = self.state.clock.now();
        let span = REPORT_INTERVAL + REPORT_INTERVAL_PER_HOST * self.host_count();
        let sums = self
            .state
            .rollout_counters
            .sums(service)
            .filter(|sums| sums.order == rollout.order.order);
        let added = FULL_REPORT_INTERVAL_PER_HOST.saturating_mul(self.host_count());
        let added = added.min(MAX_ADDED_REPORT_INTERVAL);
        let schedule = self.schedule(service);
        let Some(sums) = sums else { return };
        if now < schedule.report_at {
            return;
        }
        // What the old version did can wait: it is the yardstick, and there is much of it.
        let is_due = now >= schedule.full_report_at;
        let reported = schedule.reported.as_ref();
        if !is_due && reported.is_some_and(|reported| !sums.has_new_answers(reported)) {
            return;
        }
        schedule.full_report_at = now + FULL_REPORT_INTERVAL + added;
        schedule.report_at = now + span;
        schedule.reported = Some(sums.clone());
        if let Err(error) = self.port.write_sums(sums).await {
            self.schedule(service).reported = None;
            log::warn!(target: "rollout", service:%, error:%; "sums were not written");
        }
    }

    async fn judge(&mut self, service: &ServiceName, rollout: &RolloutState) {
        let now = self.state.clock.now();
        if now < self.schedule(service).evaluate_at {
            return;
        }
        let span = self.evaluation_interval().mul_f64(0.5 + self.state.random.next_unit());
        self.schedule(service).evaluate_at = now + span;
        let Some(decision) = &rollout.decision else { return };
        let sums = match self.port.read_sums(service.clone()).await {
            Ok(sums) => sums,
            Err(error) => {
                log::warn!(target: "rollout", service:%, error:%; "sums were not read");
                return;
            }
        };
        let order = rollout.order.order;
        let store_now = self.state.snapshot.load().store_time(self.state.clock.now());
        let elapsed = store_now.since(decision.began);
        let judge = &mut self.schedule(service).judge;
        let judge = match judge {
            Some(judge) if judge.order() == order => judge,
            _ => judge.insert(RolloutJudge::new(order)),
        };
        judge.evaluate(&sums);
        let evidence = judge.evidence(&sums, elapsed);
        let bounds = self.state.settings.load().bounds;
        let bound = ExposureBound { share: bounds.exposure_share, slack: bounds.exposure_slack };
        let next = next_phase(decision.phase, rollout.order.duration, &evidence, &bound);
        self.schedule_final_evaluation(service, decision.phase, rollout.order.duration, elapsed);
        if let Some((phase, reason)) = next {
            let text = format!("{reason}; {evidence:?}");
            self.decide(rollout, phase, (decision.began, decision.canary), &text).await;
        }
    }

    /// Looks again when a roll-out that moves is due to end, so that it does not end late where
    /// few hosts look now and then.
    fn schedule_final_evaluation(
        &mut self,
        service: &ServiceName,
        phase: RolloutPhase,
        duration: Duration,
        elapsed: Duration,
    ) {
        if phase != RolloutPhase::Moving {
            return;
        }
        let left = duration.saturating_sub(FINISH_MARGIN).saturating_sub(elapsed);
        let spread = FINISH_SPREAD.mul_f64(self.state.random.next_unit());
        let at = self.state.clock.now() + left + spread;
        let schedule = self.schedule(service);
        schedule.evaluate_at = schedule.evaluate_at.min(at);
    }

    async fn decide(
        &self,
        rollout: &RolloutState,
        phase: RolloutPhase,
        (began, canary): (Timestamp, u16),
        reason: &str,
    ) {
        let decision = RolloutDecision {
            service: rollout.order.service.clone(),
            to: Arc::clone(&rollout.order.to),
            order: rollout.order.order,
            phase,
            began,
            canary,
        };
        let (service, to) = (&rollout.order.service, &rollout.order.to);
        match self.port.write_decision(decision, rollout.decision_version).await {
            Ok(WriteOutcome::Applied) => {
                log::info!(target: "rollout", service:%, to:%, phase:%, canary, reason; "decided");
            }
            Ok(WriteOutcome::Conflict) => {
                log::info!(target: "rollout", service:%, to:%, phase:%; "another host decided");
            }
            Err(error) => {
                log::warn!(target: "rollout", service:%, to:%, phase:%, error:%; "not decided");
            }
        }
    }

    fn schedule(&mut self, service: &ServiceName) -> &mut ServiceSchedule {
        self.schedules.entry(service.clone()).or_default()
    }

    fn host_count(&self) -> u32 {
        u32::try_from(self.state.pool.hosts()).unwrap_or(u32::MAX)
    }

    fn evaluation_interval(&self) -> Duration {
        EVALUATION_INTERVAL + EVALUATION_INTERVAL_PER_HOST * self.host_count()
    }
}
