//! Admission control of a pool.
//!
//! A request is admitted when its answer is expected before its deadline, given the requests in
//! flight. The queue is bounded by time, not by length. A request that cannot meet its deadline
//! is refused at once with an estimated time to retry. When the pool is saturated, an account
//! above its fair share is refused before one below it, and low priority before high.

use crate::catalog::objects::Priority;
use crate::ids::AccountName;
use crate::upstream_choice::BATCH_SLOWDOWN;
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the spare time before the deadline that a request of this priority may spend
/// waiting. The queue beyond the share of a lower priority is reserved for higher ones.
const fn waiting_share(priority: Priority) -> f64 {
    match priority {
        Priority::Low => 0.5,
        Priority::Normal => 0.8,
        Priority::High => 1.0,
    }
}

/// Weight of one sample in the moving average of service times.
const SERVICE_TIME_GAIN: f64 = 0.05;
/// Service time that is assumed before the first sample, in seconds.
const INITIAL_SERVICE_SECONDS: f64 = 1.0;
/// Maximum expected wait in the queue of a pool. Slots free up continuously, so a longer queue
/// does not raise utilization and only adds latency.
pub const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

/// A request for admission to a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The client account.
    pub account: AccountName,
    /// Weight of the account in the fair shares of the pool.
    pub weight: u32,
    /// Priority of the request.
    pub priority: Priority,
    /// Time until the deadline.
    pub left: Duration,
    /// Expected time to the complete answer without queueing.
    pub needed: Duration,
}

/// The admission decision for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admit {
        /// Expected wait for a slot.
        wait: Duration,
    },
    /// The deadline is too close even without queueing.
    DeadlineTooShort {
        /// Shortest time to the deadline with which a retry could succeed.
        needed: Duration,
    },
    /// The pool has no free capacity before the deadline.
    Overloaded {
        /// Estimated time until there is free capacity.
        retry_after: Duration,
    },
    /// The account is above its fair share of a saturated pool.
    OverFairShare {
        /// Estimated time until the account falls below its share.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountLoad {
    weight: u32,
    in_flight: u32,
}

/// Admission to one pool, based on this host's requests in flight there.
#[derive(Clone, Debug)]
pub struct PoolAdmission {
    slots: f64,
    in_flight: u32,
    service_seconds: f64,
    accounts: BTreeMap<AccountName, AccountLoad>,
}

impl PoolAdmission {
    /// Admission to a pool in which this host may use `slots`.
    #[must_use]
    pub const fn new(slots: f64) -> Self {
        Self {
            slots,
            in_flight: 0,
            service_seconds: INITIAL_SERVICE_SECONDS,
            accounts: BTreeMap::new(),
        }
    }

    /// Updates the slots when upstreams join, leave, warm up or receive load from other hosts.
    pub const fn set_slots(&mut self, slots: f64) {
        self.slots = slots;
    }

    /// Requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Decides on one request. The caller calls [`PoolAdmission::start`] when it is admitted.
    #[must_use]
    pub fn decide(&self, request: &AdmissionRequest) -> AdmissionDecision {
        if request.needed > request.left {
            return AdmissionDecision::DeadlineTooShort { needed: request.needed };
        }
        let wait = self.expected_wait();
        let max_wait = self.max_wait(request);
        if wait > max_wait {
            return AdmissionDecision::Overloaded {
                retry_after: clamp_retry_after(wait - max_wait),
            };
        }
        match self.over_fair_share(request) {
            Some(retry_after) if !wait.is_zero() => {
                AdmissionDecision::OverFairShare { retry_after }
            }
            _ => AdmissionDecision::Admit { wait },
        }
    }

    /// The longest wait that a request may be admitted with: the time that its deadline leaves
    /// at the pool's present load, capped at [`MAX_QUEUE_WAIT`]; less for a lower priority. The
    /// first request in the queue may always wait for the next slot, even if the pool is so small
    /// that this takes longer than the cap.
    fn max_wait(&self, request: &AdmissionRequest) -> Duration {
        let load = (f64::from(self.in_flight) / self.slots.max(1.0)).min(1.0);
        let needed = request.needed.mul_f64(1.0 + BATCH_SLOWDOWN * load);
        let spare = request.left.saturating_sub(needed);
        let share = waiting_share(request.priority);
        let bound = MAX_QUEUE_WAIT.mul_f64(share).max(self.next_slot_wait());
        spare.mul_f64(share).min(bound)
    }

    /// Expected time until the next slot of a busy pool is free.
    fn next_slot_wait(&self) -> Duration {
        let seconds = self.service_seconds / self.slots.max(1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER)
    }

    /// Records that a request of an account was sent to the pool.
    pub fn start(&mut self, account: &AccountName, weight: u32) {
        self.in_flight += 1;
        let load = self.accounts.entry(account.clone()).or_default();
        load.weight = weight;
        load.in_flight += 1;
    }

    /// Records that a request ended. `service` is its time at the upstream without queueing, or
    /// `None` when it ended early.
    pub fn finish(&mut self, account: &AccountName, service: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = self.accounts.get_mut(account) {
            load.in_flight = load.in_flight.saturating_sub(1);
            if load.in_flight == 0 {
                self.accounts.remove(account);
            }
        }
        if let Some(service) = service {
            self.service_seconds +=
                (service.as_secs_f64() - self.service_seconds) * SERVICE_TIME_GAIN;
        }
    }

    /// Expected wait of a new request for a slot.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        if self.slots <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        let ahead = (f64::from(self.in_flight) + 1.0 - self.slots).max(0.0);
        let seconds = ahead / self.slots * self.service_seconds;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER)
    }

    /// Estimated time until the account falls below its fair share; `None` when it is below.
    fn over_fair_share(&self, request: &AdmissionRequest) -> Option<Duration> {
        let own = self.accounts.get(&request.account).copied().unwrap_or_default();
        let weight = f64::from(request.weight.max(1));
        let others = self.accounts.iter().filter(|(name, _)| **name != request.account);
        let (other_weight, other_count) = others
            .fold((0.0, 0u32), |(weights, count), (_, load)| {
                (weights + f64::from(load.weight.max(1)), count + 1)
            });
        if other_count == 0 {
            return None;
        }
        let total = f64::from(self.in_flight).max(self.slots);
        let share = total * weight / (weight + other_weight);
        let over = f64::from(own.in_flight) + 1.0 - share.max(1.0);
        if over <= 0.0 {
            return None;
        }
        let seconds = over / f64::from(own.in_flight.max(1)) * self.service_seconds;
        Some(clamp_retry_after(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER)))
    }
}

fn clamp_retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
