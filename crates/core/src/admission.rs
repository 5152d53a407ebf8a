//! Whether a request is let into a pool now.
//!
//! A request is let in when its answer can be there before its deadline, given the work that is
//! in flight. The queue is bounded by time, not by length, and what cannot be met is refused at
//! once with an honest time to come back. When the pool is short, an account above its fair
//! share is refused before one below it, and low priority before high.

use crate::catalog::objects::Priority;
use crate::ids::AccountName;
use crate::upstream_choice::BATCH_SLOWDOWN;
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the time to spare that a request's priority may spend waiting. What a lower
/// priority leaves is room that only a higher one gets.
const fn waiting_share(priority: Priority) -> f64 {
    match priority {
        Priority::Low => 0.5,
        Priority::Normal => 0.8,
        Priority::High => 1.0,
    }
}

/// Weight of one answer in the moving mean of service times.
const SERVICE_GAIN: f64 = 0.05;
/// Service time that is assumed before answers are in, in seconds.
const FIRST_SERVICE_SECONDS: f64 = 1.0;
/// Longest queue in front of a pool. Slots free up all the time, so a longer queue keeps no
/// slot busier and only adds latency.
pub const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(120);

/// A request that asks to be let into a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The client account.
    pub account: AccountName,
    /// Its weight when the pool is shared out.
    pub weight: u32,
    /// How urgent the request is.
    pub priority: Priority,
    /// Time until its deadline.
    pub left: Duration,
    /// Expected time to the whole answer without any queue.
    pub needed: Duration,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It goes on.
    Admit {
        /// Time that it is expected to wait for a slot.
        wait: Duration,
    },
    /// The answer could not be there in time even without a queue.
    DeadlineTooShort {
        /// Least time from which a repeat could succeed.
        needed: Duration,
    },
    /// The pool has no room for it before its deadline.
    Overloaded {
        /// When there is room again, as estimated.
        retry_after: Duration,
    },
    /// The account is above its fair share of a pool that is short.
    OverFairShare {
        /// When the account falls below its share, as estimated.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountLoad {
    weight: u32,
    in_flight: u32,
}

/// Admission to one pool, from what this host has in flight there.
#[derive(Clone, Debug)]
pub struct PoolAdmission {
    slots: f64,
    in_flight: u32,
    service_seconds: f64,
    accounts: BTreeMap<AccountName, AccountLoad>,
}

impl PoolAdmission {
    /// Admission to a pool of which this host may fill `slots`.
    #[must_use]
    pub const fn new(slots: f64) -> Self {
        Self {
            slots,
            in_flight: 0,
            service_seconds: FIRST_SERVICE_SECONDS,
            accounts: BTreeMap::new(),
        }
    }

    /// Changes the slots, as upstreams come, go, warm up or get loaded by other hosts.
    pub const fn set_slots(&mut self, slots: f64) {
        self.slots = slots;
    }

    /// Requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Decides for one request. When it is admitted, [`PoolAdmission::start`] follows.
    #[must_use]
    pub fn decide(&self, request: &AdmissionRequest) -> AdmissionDecision {
        if request.needed > request.left {
            return AdmissionDecision::DeadlineTooShort { needed: request.needed };
        }
        let wait = self.expected_wait();
        let room = self.room(request);
        if wait > room {
            return AdmissionDecision::Overloaded { retry_after: bounded(wait - room) };
        }
        match self.over_share(request) {
            Some(retry_after) if !wait.is_zero() => {
                AdmissionDecision::OverFairShare { retry_after }
            }
            _ => AdmissionDecision::Admit { wait },
        }
    }

    /// The longest wait that a request can stand: what its deadline leaves at the speed of the
    /// pool's present load, and no more than [`MAX_QUEUE_WAIT`]; less for a lower priority. The
    /// first in the queue may always wait for the next slot, also in a pool so small that this
    /// takes longer than the bound.
    fn room(&self, request: &AdmissionRequest) -> Duration {
        let load = (f64::from(self.in_flight) / self.slots.max(1.0)).min(1.0);
        let needed = request.needed.mul_f64(1.0 + BATCH_SLOWDOWN * load);
        let spare = request.left.saturating_sub(needed);
        let share = waiting_share(request.priority);
        let bound = MAX_QUEUE_WAIT.mul_f64(share).max(self.next_slot());
        spare.mul_f64(share).min(bound)
    }

    /// Time in which the next slot of a busy pool is expected to be free.
    fn next_slot(&self) -> Duration {
        let seconds = self.service_seconds / self.slots.max(1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_RETRY_AFTER)
    }

    /// Notes that a request of an account went on to the pool.
    pub fn start(&mut self, account: &AccountName, weight: u32) {
        self.in_flight += 1;
        let load = self.accounts.entry(account.clone()).or_default();
        load.weight = weight;
        load.in_flight += 1;
    }

    /// Notes that a request ended. `service` is its time at the upstream after any queueing,
    /// or `None` when it ended early.
    pub fn finish(&mut self, account: &AccountName, service: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = self.accounts.get_mut(account) {
            load.in_flight = load.in_flight.saturating_sub(1);
            if load.in_flight == 0 {
                self.accounts.remove(account);
            }
        }
        if let Some(service) = service {
            self.service_seconds += (service.as_secs_f64() - self.service_seconds) * SERVICE_GAIN;
        }
    }

    /// Time that a new request is expected to wait for a slot.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        if self.slots <= 0.0 {
            return LONGEST_RETRY_AFTER;
        }
        let ahead = (f64::from(self.in_flight) + 1.0 - self.slots).max(0.0);
        let seconds = ahead / self.slots * self.service_seconds;
        Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_RETRY_AFTER)
    }

    /// The time until an account above its fair share falls below it; `None` when it is below.
    fn over_share(&self, request: &AdmissionRequest) -> Option<Duration> {
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
        Some(bounded(Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_RETRY_AFTER)))
    }
}

fn bounded(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, LONGEST_RETRY_AFTER)
}
