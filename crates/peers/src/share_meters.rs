//! Request counts and shares of the client accounts, read and updated by the data path without
//! waiting.

use arc_swap::ArcSwap;
use oleander_core::ids::AccountName;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::shares::{AccountShare, SharePort};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// One account: the number of requests, and the share in force.
#[derive(Debug, Default)]
pub struct AccountMeter {
    requests: AtomicU64,
    rate_bits: AtomicU64,
    burst_bits: AtomicU64,
}

impl AccountMeter {
    /// Returns the number of requests since the previous call and resets it.
    pub fn take_requests(&self) -> u64 {
        self.requests.swap(0, Ordering::Relaxed)
    }

    /// Sets the share in force.
    pub fn set(&self, share: AccountShare) {
        self.rate_bits.store(share.requests_per_second.to_bits(), Ordering::Relaxed);
        self.burst_bits.store(share.burst.to_bits(), Ordering::Relaxed);
    }

    fn share(&self) -> AccountShare {
        AccountShare {
            requests_per_second: f64::from_bits(self.rate_bits.load(Ordering::Relaxed)),
            burst: f64::from_bits(self.burst_bits.load(Ordering::Relaxed)),
        }
    }
}

/// The meters of all accounts in the catalog.
pub type MeterMap = HashMap<AccountName, Arc<AccountMeter>>;

/// The shares as read by the data path.
pub struct ShareMeters {
    meters: ArcSwap<MeterMap>,
    catalog: Arc<dyn CatalogPort>,
    entries: AtomicU64,
}

impl fmt::Debug for ShareMeters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShareMeters").finish_non_exhaustive()
    }
}

impl ShareMeters {
    /// Creates an empty table, before any share is known.
    #[must_use]
    pub fn new(catalog: Arc<dyn CatalogPort>) -> Self {
        Self { meters: ArcSwap::default(), catalog, entries: AtomicU64::new(1) }
    }

    /// Publishes the meters, and the number of entries that share the rates.
    pub fn publish(&self, meters: MeterMap, entries: usize) {
        self.meters.store(Arc::new(meters));
        self.entries.store(entries.max(1) as u64, Ordering::Relaxed);
    }

    /// The published meters.
    #[must_use]
    pub fn meters(&self) -> Arc<MeterMap> {
        self.meters.load_full()
    }

    /// The equal share of an account that has no meter yet, because a catalog that contains it has
    /// just come into force.
    fn new_account(&self, name: &AccountName) -> Option<AccountShare> {
        let snapshot = self.catalog.snapshot();
        let account = snapshot.catalog().client_accounts.get(name)?;
        let entries = self.entries.load(Ordering::Relaxed) as f64;
        Some(share_of(
            account.requests_per_second / entries,
            account.requests_per_second,
            account.burst,
        ))
    }
}

/// A share of `amount` requests per second with its proportional part of the account's burst. A
/// burst of one request is always allowed.
#[must_use]
pub fn share_of(amount: f64, rate: f64, burst: u32) -> AccountShare {
    let fraction = if rate > 0.0 { (amount / rate).min(1.0) } else { 0.0 };
    AccountShare { requests_per_second: amount, burst: (f64::from(burst) * fraction).max(1.0) }
}

impl SharePort for ShareMeters {
    fn share(&self, account: &AccountName) -> Option<AccountShare> {
        match self.meters.load().get(account) {
            Some(meter) => Some(meter.share()),
            None => self.new_account(account),
        }
    }

    fn record_demand(&self, account: &AccountName) {
        if let Some(meter) = self.meters.load().get(account) {
            meter.requests.fetch_add(1, Ordering::Relaxed);
        }
    }
}
