//! Identifies requests that are the same but for their id.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Hash of all of a request that its caller repeats: account, method, target and body. Nobody can
/// make another request that has the same one.
///
/// ```
/// use oleander_core::request_hash::RequestHash;
///
/// let hash = |account: &[u8], target: &[u8]| RequestHash::new(&[account, b"GET", target, b""]);
/// assert_eq!(hash(b"vans", b"/stock/"), hash(b"vans", b"/stock/"));
/// assert_ne!(hash(b"vans", b"/stock/"), hash(b"van", b"s/stock/"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestHash(u64);

impl RequestHash {
    /// Hashes the fields of a request in order.
    #[must_use]
    pub fn new(fields: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for field in fields {
            digest.update((field.len() as u64).to_le_bytes());
            digest.update(field);
        }
        let digest = digest.finalize();
        let (first, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
        Self(u64::from_le_bytes(*first))
    }

    /// The hash as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
