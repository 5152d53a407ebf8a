//! Rate limits of client accounts, enforced on this host's share of each rate.

use crate::refusal::Refusal;
use crate::state::EntryState;
use oleander_core::ids::AccountName;
use oleander_core::reason::Reason;
use oleander_core::token_bucket::TokenBucket;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Token buckets by client account. Accounts come from the catalog, so their number is bounded.
#[derive(Default)]
pub struct AccountLimits {
    buckets: Mutex<HashMap<AccountName, TokenBucket>>,
}

impl AccountLimits {
    /// Takes one token from the account's bucket.
    ///
    /// # Errors
    ///
    /// A refusal with [`Reason::RateLimited`] and the time after which to retry.
    pub fn admit(&self, state: &EntryState, account: &AccountName) -> Result<(), Refusal> {
        state.parts.shares.record_demand(account);
        let Some(share) = state.parts.shares.share(account) else {
            let message = format!("client account {account} has no rate here yet");
            let wait = Duration::from_secs(1);
            return Err(Refusal::new(Reason::RateLimited, message).with_retry_after(wait));
        };
        let now = state.parts.clock.now();
        let (rate, burst) = (share.requests_per_second, share.burst.max(1.0));
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket =
            buckets.entry(account.clone()).or_insert_with(|| TokenBucket::new(rate, burst, now));
        bucket.set(rate, burst, now);
        bucket.try_take(now).map_err(|wait| {
            let message = format!("client account {account} is over its rate");
            Refusal::new(Reason::RateLimited, message).with_retry_after(wait)
        })
    }
}
