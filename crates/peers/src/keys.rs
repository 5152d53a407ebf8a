//! Shared keys that authenticate the processes to each other.

use hmac::digest::KeyInit;
use hmac::{Hmac, Mac};
use oleander_core::ids::KeyId;
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

/// Size of an authentication tag, half of HMAC-SHA256. A forged message is accepted with
/// probability 2^-128.
pub const TAG_BYTES: usize = 16;

/// An authentication tag.
pub type Tag = [u8; TAG_BYTES];

/// A secret shared by the peers, with its id. Debug output hides the secret.
#[derive(Clone)]
pub struct PeerKey {
    /// The id, sent along with the tag.
    pub id: KeyId,
    secret: Arc<str>,
}

impl PeerKey {
    /// Creates a key.
    #[must_use]
    pub const fn new(id: KeyId, secret: Arc<str>) -> Self {
        Self { id, secret }
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// An HMAC key that is ready for use.
#[derive(Clone)]
pub struct MacKey(Hmac<Sha256>);

impl fmt::Debug for MacKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MacKey(..)")
    }
}

const HMAC_BLOCK_BYTES: usize = 64;

impl MacKey {
    /// Creates a key from a secret of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mut block = [0u8; HMAC_BLOCK_BYTES];
        let digest = Sha256::digest(secret);
        block[..digest.len()].copy_from_slice(&digest);
        Self(Hmac::new(&block.into()))
    }

    /// Derives a key for one purpose.
    #[must_use]
    pub fn derive(&self, purpose: &[&[u8]]) -> Self {
        Self::new(&self.compute(purpose).finalize().into_bytes())
    }

    /// Returns the tag of the parts. Their lengths are signed too, so that bytes cannot move from
    /// one part to the next.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> Tag {
        let full = self.compute(parts).finalize().into_bytes();
        let mut tag = Tag::default();
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }

    /// Returns whether the tag matches the parts, in constant time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], tag: &Tag) -> bool {
        self.compute(parts).verify_truncated_left(tag).is_ok()
    }

    fn compute(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

/// The keys of a process for one protocol. Every key verifies; the first one signs.
///
/// ```
/// use oleander_peers::keys::KeyRing;
/// use oleander_peers::PeerKey;
///
/// let old = PeerKey::new("k1".parse().unwrap(), "an old shared secret".into());
/// let new = PeerKey::new("k2".parse().unwrap(), "a new shared secret".into());
/// let ring = KeyRing::new(&[new, old], "udp").unwrap();
/// assert_eq!(ring.signer().0.as_str(), "k2");
/// assert!(ring.find("k1").is_some());
/// ```
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: Arc<[(KeyId, MacKey)]>,
}

impl KeyRing {
    /// Derives the keys of one protocol. `None` if `keys` is empty.
    #[must_use]
    pub fn new(keys: &[PeerKey], protocol: &str) -> Option<Self> {
        if keys.is_empty() {
            return None;
        }
        let derive = |key: &PeerKey| {
            let derived = MacKey::new(key.secret.as_bytes()).derive(&[protocol.as_bytes()]);
            (key.id.clone(), derived)
        };
        Some(Self { keys: keys.iter().map(derive).collect() })
    }

    /// The signing key and its id.
    #[must_use]
    pub fn signer(&self) -> &(KeyId, MacKey) {
        &self.keys[0]
    }

    /// The key with this id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<&MacKey> {
        self.keys.iter().find(|(known, _)| known.as_str() == id).map(|(_, key)| key)
    }
}
