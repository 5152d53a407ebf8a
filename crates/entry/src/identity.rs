//! Request ids and the random numbers that they are made of.

use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use oleander_core::stable_hash::{hash_parts, mix};
use oleander_core::units::Timestamp;
use sha2::{Digest, Sha256};
use std::sync::atomic::{AtomicU64, Ordering};

/// Increment of the generator: 2^64 divided by the golden ratio, as in SplitMix64.
const STREAM_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Lock-free generator of random 64-bit numbers from a seed.
#[derive(Debug)]
pub struct SeededRandom {
    state: AtomicU64,
}

impl SeededRandom {
    /// Creates a generator from a seed and the host id, so that hosts with one seed differ.
    pub fn new(seed: u64, host: &str) -> Self {
        Self { state: AtomicU64::new(mix(seed ^ hash_parts(&[host]))) }
    }

    /// Returns the next random number.
    pub fn next(&self) -> u64 {
        mix(self.state.fetch_add(STREAM_STEP, Ordering::Relaxed))
    }

    /// Generates a request id.
    pub fn new_request_id(&self, now: Timestamp) -> RequestId {
        let random = (u128::from(self.next()) << 64) | u128::from(self.next());
        RequestId::new(now, random)
    }
}

/// The ids of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Generated for this request and carried by its attempts.
    pub run: RequestId,
    /// Id that is billed once. Repeats under one idempotency key share it.
    pub billed: RequestId,
}

impl RequestIdentity {
    /// Ids of a request without an idempotency key.
    pub const fn new(run: RequestId) -> Self {
        Self { run, billed: run }
    }

    /// Ids of a request with an idempotency key. The billed id is a digest of account, key and
    /// body, so that a repeat is billed as the same request and another body as another one.
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
        let bits = digest.iter().take(16).fold(0u128, |bits, &byte| (bits << 8) | u128::from(byte));
        Self { billed: RequestId::new(Timestamp::from_millis(0), bits), ..self }
    }
}

/// Returns the SHA-256 of an operation name and a body.
pub fn body_digest(operation: &str, body: &[u8]) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update((operation.len() as u64).to_be_bytes());
    digest.update(operation.as_bytes());
    digest.update(body);
    digest.finalize().into()
}
