//! Looks up the client account of a bearer key.

use crate::refusal::Refusal;
use http::HeaderMap;
use oleander_core::catalog::Snapshot;
use oleander_core::catalog::objects::ClientAccount;
use oleander_core::ids::AccountName;
use oleander_core::reason::Reason;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::sync::Arc;

/// A client account as of one catalog revision.
#[derive(Clone, Debug)]
pub struct AccountView {
    /// Account name.
    pub name: AccountName,
    /// Snapshot of the catalog that the request runs under.
    pub snapshot: Arc<Snapshot>,
}

impl AccountView {
    /// Returns the account's catalog object.
    pub fn object(&self) -> Option<&ClientAccount> {
        self.snapshot.catalog().client_accounts.get(&self.name)
    }

    /// Whether the account may use a version.
    pub fn allows(&self, version: &oleander_core::ids::VersionName) -> bool {
        self.object().is_some_and(|account| self.snapshot.allows(account, version))
    }
}

/// Finds the client account of a request.
///
/// # Errors
///
/// A refusal with [`Reason::BadKey`] when the key is missing or unknown.
pub fn find_account(headers: &HeaderMap, snapshot: Arc<Snapshot>) -> Result<AccountView, Refusal> {
    let key = bearer_key(headers).ok_or_else(|| {
        Refusal::new(Reason::BadKey, "send your key as `Authorization: Bearer KEY`")
            .with_param("authorization")
    })?;
    let found = snapshot.account_by_digest(&key_digest(key)).map(|(name, _)| name.clone());
    let name = found.ok_or_else(|| {
        Refusal::new(Reason::BadKey, "this key names no client account").with_param("authorization")
    })?;
    Ok(AccountView { name, snapshot })
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Returns the SHA-256 of a bearer key, in hex.
pub fn key_digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().fold(String::with_capacity(64), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}
