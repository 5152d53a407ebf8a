//! Demand of client accounts over all hosts.

use crate::stable_hash::hash_parts;
use serde::{Deserialize, Serialize};

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
