//! Identities of requests and random draws.

use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use oleander_core::stable_hash::{hash_parts, mix};
use oleander_core::units::Timestamp;
use sha2::{Digest, Sha256};
use std::sync::atomic::{AtomicU64, Ordering};

const STREAM_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Random words from a seed; no lock.
#[derive(Debug)]
pub struct SeededWords {
    state: AtomicU64,
}

impl SeededWords {
    /// Words of one seed and the name of the process.
    pub fn new(seed: u64, host: &str) -> Self {
        Self { state: AtomicU64::new(mix(seed ^ hash_parts(&[host]))) }
    }

    /// The next word.
    pub fn next(&self) -> u64 {
        mix(self.state.fetch_add(STREAM_STEP, Ordering::Relaxed))
    }

    /// Mints the id of a request.
    pub fn mint(&self, now: Timestamp) -> RequestId {
        let word = (u128::from(self.next()) << 64) | u128::from(self.next());
        RequestId::new(now, word)
    }
}

/// Identities of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Minted for this request; its attempts carry it.
    pub run: RequestId,
    /// What is billed once. Repeats under one key share it.
    pub billed: RequestId,
}

impl RequestIdentity {
    /// The identity of a request without a key.
    pub const fn new(run: RequestId) -> Self {
        Self { run, billed: run }
    }

    /// The identity of a request with a key: a digest of account, key and body, so that a
    /// repeat is billed as the same request and another body as another one.
    pub fn with_key(
        self,
        account: &AccountName,
        key: &IdempotencyKey,
        body_digest: &[u8; 32],
    ) -> Self {
        let mut digest = Sha256::new();
        for part in [account.as_str(), key.as_str()] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part.as_bytes());
        }
        digest.update(body_digest);
        let digest = digest.finalize();
        let word = digest.iter().take(16).fold(0u128, |word, &byte| (word << 8) | u128::from(byte));
        Self { billed: RequestId::new(Timestamp::from_millis(0), word), ..self }
    }
}

/// SHA-256 of an operation and its body.
pub fn body_digest(operation: &str, body: &[u8]) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update((operation.len() as u64).to_be_bytes());
    digest.update(operation.as_bytes());
    digest.update(body);
    digest.finalize().into()
}
