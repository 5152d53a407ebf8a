//! Demand of client accounts over all hosts, and which of them are above their fair share.
//!
//! Load it addresses: one account at several times its usual rate, which would take the room of all
//! others. Each host tells others its largest accounts. What a host has heard of others lately is a sample of
//! all hosts; only the proportions between accounts count, so hosts that are not heard and datagrams
//! that are lost make them less exact, and no account larger.
//!
//! The fair share is the level at which the demand of all accounts, each cut to it, is what can be
//! served, but at least twice what the others have in the mean: where all accounts ask for about as
//! much, none is above its share, and priorities decide. The part of an account's demand that is above
//! is refused first.

use crate::host_view::HostHash;
use crate::stable_hash::hash_parts;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of accounts that a host tells of.
const MAX_REPORTED: usize = 8;
/// Maximum age of what other hosts told. In this time a host hears all hosts of its region and some
/// of the others.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Time over which a rate is measured: requests count half after this time.
const RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Maximum numbers of accounts and hosts that are remembered.
const MAX_ACCOUNTS: usize = 1_024;
const MAX_HOSTS: usize = 1_024;
/// Part of the share in which all requests are served that each account keeps: a quarter is required,
/// and the rest allows for what a host does not hear of.
const FLOOR_SHARE: f64 = 0.35;
/// Multiple of the mean of other accounts up to which none is above its fair share.
const USUAL_FACTOR: f64 = 2.0;
/// Units of a reported rate in a request a second.
const UNITS: f64 = 10.0;

/// Compact id of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountHash(u32);

impl AccountHash {
    /// Hashes an account's name.
    #[must_use]
    pub fn new(account: &str) -> Self {
        Self(hash_parts(&["account", account]) as u32)
    }
}

/// What a host tells others of an account's demand for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedDemand {
    /// The account.
    pub account: AccountHash,
    /// Requests a second that the host gets from it, in tenths.
    pub rate: u16,
}

/// Demand above the fair shares of accounts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareExcess {
    /// Share of the account's own demand that is above.
    pub account: f64,
    /// Share of the demand of all accounts that is above.
    pub total: f64,
}

/// Number of requests of an account at this host, each halved per half-life.
#[derive(Clone, Copy, Debug)]
struct OwnDemand {
    count: f64,
    at: Timestamp,
}

impl OwnDemand {
    fn count_at(&self, now: Timestamp) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.count * 0.5f64.powf(halves)
    }

    /// The rate that keeps up this count.
    fn rate(&self, now: Timestamp) -> f64 {
        self.count_at(now) * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64()
    }
}

/// The demand of client accounts as known to one host.
///
/// ```
/// use oleander_core::account_share::{AccountHash, AccountShare};
/// use oleander_core::units::Timestamp;
///
/// let [large, small] = ["large", "small"].map(AccountHash::new);
/// let mut share = AccountShare::new();
/// let now = Timestamp::from_millis(1_000);
/// (0..90).for_each(|_| share.record(large, now));
/// (0..10).for_each(|_| share.record(small, now));
/// assert_eq!(share.excess(large, 1.0, now).account, 0.0, "all can be served");
/// // Half of 100 can be served: 10 of one and 40 of the other.
/// assert!((share.excess(large, 0.5, now).account - 50.0 / 90.0).abs() < 0.01);
/// assert_eq!(share.excess(small, 0.5, now).account, 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountShare {
    own: BTreeMap<AccountHash, OwnDemand>,
    heard: BTreeMap<HostHash, (Vec<ReportedDemand>, Timestamp)>,
}

impl AccountShare {
    /// Knows of no demand yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request of an account at this host.
    pub fn record(&mut self, account: AccountHash, now: Timestamp) {
        if self.own.len() >= MAX_ACCOUNTS && !self.own.contains_key(&account) {
            // What has less than one request left is hardly any demand.
            self.own.retain(|_, demand| demand.count_at(now) >= 1.0);
            if self.own.len() >= MAX_ACCOUNTS {
                return;
            }
        }
        let count = self.own.get(&account).map_or(0.0, |demand| demand.count_at(now)) + 1.0;
        self.own.insert(account, OwnDemand { count, at: now });
    }

    /// The largest accounts of this host, for other hosts.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> Vec<ReportedDemand> {
        let reported = |(account, demand): (&AccountHash, &OwnDemand)| ReportedDemand {
            account: *account,
            rate: (demand.rate(now) * UNITS).round().min(f64::from(u16::MAX)) as u16,
        };
        let mut all: Vec<ReportedDemand> =
            self.own.iter().map(reported).filter(|demand| demand.rate > 0).collect();
        all.sort_by_key(|demand| std::cmp::Reverse(demand.rate));
        all.truncate(MAX_REPORTED);
        all
    }

    /// Takes over what another host told; it replaces what that host told before.
    pub fn merge(&mut self, host: HostHash, report: &[ReportedDemand], now: Timestamp) {
        self.heard.retain(|_, (_, at)| now.since(*at) <= MAX_REPORT_AGE);
        if self.heard.len() < MAX_HOSTS || self.heard.contains_key(&host) {
            let report = report.iter().copied().take(MAX_REPORTED).collect();
            self.heard.insert(host, (report, now));
        }
    }

    /// Requests a second of each account, at this host and those that it has heard lately.
    fn rates(&self, now: Timestamp) -> BTreeMap<AccountHash, f64> {
        let mut rates: BTreeMap<AccountHash, f64> =
            self.own.iter().map(|(account, demand)| (*account, demand.rate(now))).collect();
        let recent = self.heard.values().filter(|(_, at)| now.since(*at) <= MAX_REPORT_AGE);
        for demand in recent.flat_map(|(report, _)| report) {
            *rates.entry(demand.account).or_default() += f64::from(demand.rate) / UNITS;
        }
        rates
    }

    /// What is above the fair shares of accounts, where `served` is the share of all demand that can be
    /// served. The demand of an account that is not known is within its share.
    #[must_use]
    pub fn excess(&self, account: AccountHash, served: f64, now: Timestamp) -> ShareExcess {
        let (rates, served) = (self.rates(now), served.clamp(0.0, 1.0));
        let all: f64 = rates.values().sum();
        let level = fair_level(rates.values().copied().collect(), all * served);
        let others = rates.len().saturating_sub(1) as f64;
        let above = |rate: f64| {
            let usual = if others > 0.0 { (all - rate) / others * USUAL_FACTOR } else { rate };
            let most = rate * (1.0 - FLOOR_SHARE * served);
            (rate - level.max(usual)).clamp(0.0, most)
        };
        let share = |above: f64, of: f64| if of > 0.0 { above / of } else { 0.0 };
        let rate = rates.get(&account).copied().unwrap_or_default();
        ShareExcess {
            account: share(above(rate), rate),
            total: share(rates.values().map(|rate| above(*rate)).sum(), all),
        }
    }
}

/// The level at which rates, each cut to it, add up to `room`; infinite if they do not exceed it.
fn fair_level(mut rates: Vec<f64>, room: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut left = room;
    for (index, rate) in rates.iter().enumerate() {
        // What each of those that are left gets if all get the same.
        let equal = left / (rates.len() - index) as f64;
        // Rounding must not cut an account where all can be served.
        if equal < *rate * (1.0 - f64::EPSILON * 1_024.0) {
            return equal;
        }
        left -= rate;
    }
    f64::INFINITY
}
