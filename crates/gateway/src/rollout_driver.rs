//! Drives rollouts together with all other hosts, without a leader.
//!
//! Every host publishes its own sums, periodically evaluates the sums of all hosts, and writes the
//! next phase with a compare-and-set on the decision it knows. The interval grows with the number
//! of hosts, so that the load on the store stays constant.

use crate::control_cache::RolloutState;
use crate::control_port::{ControlPort, WriteOutcome};
use crate::rollout_plan::{
    ExposureBound, MIN_MOVE_TIME, RolloutDecision, RolloutPhase, canary_share, finish_margin,
    next_phase,
};
use crate::rollout_sums::{HostSums, RolloutJudge};
use crate::snapshot_publisher::SharedSnapshot;
use crate::state::GatewayState;
use oleander_core::ids::ServiceName;
use oleander_core::store_era::StoreEra;
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between checks for due work.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two writes of a host's sums: about a tenth of the 5 s within which a bad
/// version has to be reverted.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Added to the write interval per host: 67 writes per second at 370 hosts.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(15);
/// The same while all work goes to the new version, until completion or an alarm.
const MOVE_REPORT_INTERVAL: Duration = Duration::from_millis(300);
const MOVE_REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(5);
/// Maximum time between two writes while only the old version answers.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(8);
/// Added to that interval per host, up to a maximum: with more hosts there are more answers of the
/// old version.
const FULL_REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(50);
const MAX_ADDED_REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Minimum time between two evaluations on a host.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(600);
/// Added to the evaluation interval per host: eight evaluations per second over all hosts.
const EVALUATION_INTERVAL_PER_HOST: Duration = Duration::from_millis(120);

/// Time over which hosts spread their first write of a rollout. If several hosts write at once,
/// all but the first get a conflict.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Time over which hosts spread their evaluations at the end of a rollout.
const FINISH_SPREAD: Duration = Duration::from_millis(500);

#[derive(Default)]
struct ServiceSchedule {
    judge: Option<RolloutJudge>,
    phase: Option<RolloutPhase>,
    interval: Duration,
    reported: Option<HostSums>,
    report_at: Timestamp,
    full_report_at: Timestamp,
    evaluate_at: Timestamp,
    /// Era of the store in which the sums were last written.
    era: StoreEra,
    /// When a decision is written again that the store has lost.
    restore_at: Option<Timestamp>,
}

/// Drives the rollouts of all services.
pub struct RolloutDriver {
    state: Arc<GatewayState>,
    control: Arc<dyn ControlPort>,
    schedules: BTreeMap<ServiceName, ServiceSchedule>,
}

impl RolloutDriver {
    /// Creates the driver of one host.
    #[must_use]
    pub fn new(state: Arc<GatewayState>, control: Arc<dyn ControlPort>) -> Self {
        Self { state, control, schedules: BTreeMap::new() }
    }

    /// Drives rollouts for as long as it is polled.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.tick().await;
        }
    }

    /// Performs the work that is due.
    pub async fn tick(&mut self) {
        let snapshot: SharedSnapshot = Arc::clone(&self.state.snapshot);
        let snapshot = snapshot.load_full();
        let current = snapshot.rollouts.iter().filter(|(_, rollout)| !rollout.is_superseded);
        for (service, rollout) in current {
            self.enter_era(service, snapshot.era());
            self.restore(service, rollout).await;
            let phase = rollout.decision.as_ref().map(|decision| decision.phase);
            match phase {
                None => self.start(service, rollout).await,
                Some(phase) if phase.is_over() => {
                    if !rollout.is_unsaved() {
                        self.schedules.remove(service);
                    }
                }
                Some(phase) => {
                    self.spread_calls(service, rollout, phase);
                    self.report(service, rollout, phase).await;
                    self.evaluate(service, rollout).await;
                }
            }
        }
    }

    /// Has the sums written again when the store came back from an older copy. Hosts spread their
    /// writes as they do usually.
    fn enter_era(&mut self, service: &ServiceName, era: StoreEra) {
        let interval = REPORT_INTERVAL + REPORT_INTERVAL_PER_HOST * self.host_count();
        let at = self.state.clock.now() + interval.mul_f64(self.state.random.next_unit());
        let schedule = self.schedule(service);
        if schedule.era < era {
            schedule.era = era;
            if schedule.reported.take().is_some() {
                (schedule.report_at, schedule.full_report_at) = (at, at);
            }
        }
    }

    /// Writes a decision again that the store has lost. Each host that knows it waits a random time
    /// first, so that usually only one of them writes.
    async fn restore(&mut self, service: &ServiceName, rollout: &RolloutState) {
        let now = self.state.clock.now();
        let Some(decision) = rollout.decision.as_ref().filter(|_| rollout.is_unsaved()) else {
            self.schedule(service).restore_at = None;
            return;
        };
        let wait = START_SPREAD.mul_f64(self.state.random.next_unit());
        let at = *self.schedule(service).restore_at.get_or_insert(now + wait);
        if now < at {
            return;
        }
        self.schedule(service).restore_at = Some(now + START_SPREAD + wait);
        self.write(rollout, decision.clone(), "the store came back without it").await;
    }

    /// Whether rows of the store may still be missing since it came back from an older copy.
    fn is_settling(&self) -> bool {
        let hold_time = self.state.settings.load().bounds.hold_time();
        let restored_at = self.state.snapshot.load().restored_at;
        restored_at.is_some_and(|at| self.state.clock.now().since(at) < hold_time)
    }

    /// Spreads the writes and evaluations of all hosts evenly when a phase begins. Hosts learn of a
    /// phase at the same time and would otherwise all call at once, followed by a long gap.
    fn spread_calls(&mut self, service: &ServiceName, rollout: &RolloutState, phase: RolloutPhase) {
        let until_end = self.time_until_end(rollout);
        let interval = self.evaluation_interval();
        let at = self.state.clock.now() + interval.mul_f64(self.state.random.next_unit());
        let report_interval = self.report_interval(phase);
        let report_at =
            self.state.clock.now() + report_interval.mul_f64(self.state.random.next_unit());
        let schedule = self.schedule(service);
        // The interval also changes when hosts are counted for the first time.
        if schedule.phase != Some(phase) || schedule.interval != interval {
            (schedule.phase, schedule.interval) = (Some(phase), interval);
            schedule.evaluate_at = at;
            schedule.report_at = schedule.report_at.min(report_at);
            if phase == RolloutPhase::Moving {
                self.schedule_final_evaluation(service, until_end);
            }
        }
    }

    /// Time until a rollout is due to complete.
    fn time_until_end(&self, rollout: &RolloutState) -> Duration {
        let Some(decision) = &rollout.decision else { return Duration::ZERO };
        let store_now = self.state.snapshot.load().store_time(self.state.clock.now());
        let until_end = rollout
            .order
            .duration
            .saturating_sub(finish_margin(rollout.order.duration))
            .saturating_sub(store_now.since(decision.began));
        let since_move = store_now.since(decision.moved.unwrap_or(decision.began));
        until_end.max(MIN_MOVE_TIME.saturating_sub(since_move))
    }

    /// Begins a rollout once the new version has an upstream.
    async fn start(&mut self, service: &ServiceName, rollout: &RolloutState) {
        let snapshot = self.state.snapshot.load_full();
        let entries = snapshot.upstreams.get(service);
        let has_new = entries
            .is_some_and(|entries| entries.iter().any(|entry| entry.version == rollout.order.to));
        let now = self.state.clock.now();
        if !has_new || self.is_settling() || now < self.schedule(service).evaluate_at {
            return;
        }
        // Hosts wait a random time before the first write, so that usually only one of them writes.
        let first = self.schedule(service).evaluate_at == Timestamp::default();
        let wait = START_SPREAD.mul_f64(self.state.random.next_unit());
        self.schedule(service).evaluate_at = now + wait;
        if !first {
            self.count_hosts().await;
            let text = "the new version has an upstream";
            let rate = self.state.pool.fleet_rate(service, now);
            let canary = canary_share(rate, rollout.order.duration, &self.exposure_bound());
            let decision = RolloutDecision {
                service: rollout.order.service.clone(),
                to: Arc::clone(&rollout.order.to),
                order: rollout.id(),
                phase: RolloutPhase::Canary,
                began: rollout.ordered_at,
                moved: None,
                canary,
                withdrawn: rollout.withdrawn.iter().chain(&rollout.replaced).cloned().collect(),
            };
            self.write(rollout, decision, text).await;
        }
    }

    /// Counts the hosts if they are not counted yet: the canary's share of sessions follows from the
    /// request rate over all of them.
    async fn count_hosts(&self) {
        if self.state.pool.counted_hosts().is_some() {
            return;
        }
        match self.control.hosts().await {
            Ok(hosts) => self.state.pool.set_hosts(hosts.len()),
            Err(error) => log::warn!(
                target: "dependency", error:%;
                "cannot read the list of hosts from the store"
            ),
        }
    }

    /// Time between two writes of this host's sums.
    fn report_interval(&self, phase: RolloutPhase) -> Duration {
        let hosts = self.host_count();
        if phase == RolloutPhase::Moving {
            MOVE_REPORT_INTERVAL + MOVE_REPORT_INTERVAL_PER_HOST * hosts
        } else {
            REPORT_INTERVAL + REPORT_INTERVAL_PER_HOST * hosts
        }
    }

    async fn report(&mut self, service: &ServiceName, rollout: &RolloutState, phase: RolloutPhase) {
        let now = self.state.clock.now();
        let interval = self.report_interval(phase);
        let sums =
            self.state.rollout_counters.sums(service).filter(|sums| sums.order == rollout.id());
        let added = FULL_REPORT_INTERVAL_PER_HOST.saturating_mul(self.host_count());
        let added = added.min(MAX_ADDED_REPORT_INTERVAL);
        let schedule = self.schedule(service);
        let Some(sums) = sums else { return };
        if now < schedule.report_at {
            return;
        }
        // Answers of the old version can wait: they only form the baseline, and there are many.
        let is_due = now >= schedule.full_report_at;
        let reported = schedule.reported.as_ref();
        if !is_due && reported.is_some_and(|reported| !sums.has_new_answers(reported)) {
            return;
        }
        schedule.full_report_at = now + FULL_REPORT_INTERVAL + added;
        schedule.report_at = now + interval;
        schedule.reported = Some(sums.clone());
        if let Err(error) = self.control.write_sums(sums).await {
            self.schedule(service).reported = None;
            log::warn!(
                target: "rollout", service:%, error:%;
                "cannot write this host's rollout sums"
            );
        }
    }

    async fn evaluate(&mut self, service: &ServiceName, rollout: &RolloutState) {
        let now = self.state.clock.now();
        if now < self.schedule(service).evaluate_at {
            return;
        }
        let interval = self.evaluation_interval().mul_f64(0.5 + self.state.random.next_unit());
        self.schedule(service).evaluate_at = now + interval;
        let Some(decision) = &rollout.decision else { return };
        let sums = match self.control.read_sums(service.clone()).await {
            Ok(sums) => sums,
            Err(error) => {
                log::warn!(
                    target: "rollout", service:%, error:%;
                    "cannot read the rollout sums of all hosts"
                );
                return;
            }
        };
        let order = rollout.id();
        let store_now = self.state.snapshot.load().store_time(self.state.clock.now());
        let elapsed = store_now.since(decision.began);
        let judge = &mut self.schedule(service).judge;
        let judge = match judge {
            Some(judge) if judge.order() == order => judge,
            _ => judge.insert(RolloutJudge::new(order)),
        };
        judge.evaluate(&sums);
        // Earlier releases do not state when all work moved.
        let moved = decision.moved.unwrap_or(decision.began);
        let has_moved = decision.phase == RolloutPhase::Moving;
        let since_move = has_moved.then(|| store_now.since(moved));
        let evidence = judge.evidence(&sums, elapsed, since_move);
        let bound = self.exposure_bound();
        let next = next_phase(decision.phase, rollout.order.duration, &evidence, &bound);
        if has_moved {
            let until_end = self.time_until_end(rollout);
            self.schedule_final_evaluation(service, until_end);
        }
        // Counts that are missing would let all work move too early.
        let next = next.filter(|(phase, _)| *phase != RolloutPhase::Moving || !self.is_settling());
        if let Some((phase, reason)) = next {
            let text = format!("{reason}; {evidence:?}");
            let moved = decision.moved.or((phase == RolloutPhase::Moving).then_some(store_now));
            let decision = RolloutDecision { phase, moved, ..decision.clone() };
            self.write(rollout, decision, &text).await;
        }
    }

    /// Schedules an evaluation for the time at which a moving rollout is due to complete, so that
    /// it is not late when hosts evaluate rarely.
    fn schedule_final_evaluation(&mut self, service: &ServiceName, until_end: Duration) {
        let spread = FINISH_SPREAD.mul_f64(self.state.random.next_unit());
        let at = self.state.clock.now() + until_end + spread;
        let schedule = self.schedule(service);
        schedule.evaluate_at = schedule.evaluate_at.min(at);
    }

    async fn write(&self, rollout: &RolloutState, decision: RolloutDecision, reason: &str) {
        let (service, to) = (&rollout.order.service, &rollout.order.to);
        let (phase, canary) = (decision.phase, decision.canary);
        match self.control.write_decision(decision, rollout.decision_row).await {
            Ok(WriteOutcome::Applied) => {
                log::info!(
                    target: "rollout", service:%, to:%, phase:%, canary, reason;
                    "rollout decision written"
                );
            }
            Ok(WriteOutcome::Conflict) => {
                log::info!(
                    target: "rollout", service:%, to:%, phase:%;
                    "rollout decision not written, another host wrote one first"
                );
            }
            Err(error) => {
                log::warn!(
                    target: "rollout", service:%, to:%, phase:%, error:%;
                    "cannot write rollout decision"
                );
            }
        }
    }

    fn schedule(&mut self, service: &ServiceName) -> &mut ServiceSchedule {
        self.schedules.entry(service.clone()).or_default()
    }

    fn exposure_bound(&self) -> ExposureBound {
        let bounds = self.state.settings.load().bounds;
        ExposureBound { share: bounds.exposure_share, slack: bounds.exposure_slack }
    }

    fn host_count(&self) -> u32 {
        u32::try_from(self.state.pool.hosts()).unwrap_or(u32::MAX)
    }

    fn evaluation_interval(&self) -> Duration {
        EVALUATION_INTERVAL + EVALUATION_INTERVAL_PER_HOST * self.host_count()
    }
}
