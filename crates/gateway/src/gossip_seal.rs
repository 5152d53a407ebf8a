//! Authenticates datagrams between hosts by a key that all of them read from the store.
//!
//! A datagram without a valid tag may rank upstreams, but not keep requests from them.

use oleander_core::ids::{HostId, Incarnation};
use oleander_core::units::Timestamp;
use oleander_peers::PeerKey;
use oleander_peers::datagram::{MAX_CLOCK_SKEW, address_bytes};
use oleander_peers::keys::{KeyRing, MacKey, TAG_BYTES, Tag};
use oleander_peers::replay::ReplayGuard;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Size of the key, in bytes.
const KEY_BYTES: usize = 32;
/// Purpose of the derived key.
const KEY_PURPOSE: &[u8] = b"gossip";
/// Protocol and id of the key of connections between hosts.
const LINK_PROTOCOL: &str = "carrier";
const LINK_KEY_ID: &str = "hosts";

/// The key that hosts share. Debug output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct GossipKey([u8; KEY_BYTES]);

impl GossipKey {
    /// A new random key.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::rng().random())
    }

    /// The key with these bytes; `None` if their number is wrong.
    ///
    /// ```
    /// use oleander_gateway::gossip_seal::GossipKey;
    ///
    /// let key = GossipKey::random();
    /// assert_eq!(GossipKey::from_bytes(key.as_bytes()), Some(key));
    /// assert_eq!(GossipKey::from_bytes(b"short"), None);
    /// ```
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Its bytes, as written to the store.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for GossipKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GossipKey(..)")
    }
}

/// Which datagram of which host this is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipOrigin {
    /// The sender.
    pub host: HostId,
    incarnation: Incarnation,
    counter: u64,
    sent_at: Timestamp,
}

/// Seals the datagrams of this host and verifies those of others.
#[derive(Debug)]
pub struct GossipSeal {
    host: HostId,
    incarnation: Incarnation,
    key: Mutex<Option<(GossipKey, MacKey)>>,
    counter: AtomicU64,
    guard: Mutex<ReplayGuard>,
    unverified: Notify,
}

impl GossipSeal {
    /// Creates the seal of a host that knows no key yet; `incarnation` is the start of its process.
    #[must_use]
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        let (key, guard) = (Mutex::default(), Mutex::default());
        let (counter, unverified) = (AtomicU64::new(0), Notify::new());
        Self { host, incarnation, key, counter, guard, unverified }
    }

    /// Sets the key.
    pub fn set_key(&self, key: GossipKey) {
        let derived = MacKey::new(key.as_bytes()).derive(&[KEY_PURPOSE]);
        *lock(&self.key) = Some((key, derived));
    }

    /// The key, once known.
    #[must_use]
    pub fn key(&self) -> Option<GossipKey> {
        lock(&self.key).as_ref().map(|(key, _)| key.clone())
    }

    /// The keys of connections between hosts, once known.
    #[must_use]
    pub fn link_keys(&self) -> Option<KeyRing> {
        let key = self.key()?;
        let secret: String = key.as_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        let key = PeerKey::new(LINK_KEY_ID.parse().ok()?, secret.into());
        KeyRing::new(&[key], LINK_PROTOCOL)
    }

    /// The origin of the next datagram, sent at `now` in time since the Unix epoch.
    #[must_use]
    pub fn next_origin(&self, now: Timestamp) -> GossipOrigin {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        let (host, incarnation) = (self.host.clone(), self.incarnation);
        GossipOrigin { host, incarnation, counter, sent_at: now }
    }

    /// Appends the tag for a receiver; nothing before the key is known.
    pub fn append_tag(&self, bytes: &mut Vec<u8>, to: SocketAddr) {
        if let Some((_, key)) = &*lock(&self.key) {
            let tag = key.sign(&[&address_bytes(to), bytes]);
            bytes.extend_from_slice(&tag);
        }
    }

    /// The content of a datagram to `own` whose tag is valid.
    #[must_use]
    pub fn verify<'a>(&self, bytes: &'a [u8], own: SocketAddr) -> Option<&'a [u8]> {
        let (content, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_BYTES)?)?;
        let tag = Tag::try_from(tag).ok()?;
        let key = lock(&self.key);
        let (_, key) = key.as_ref()?;
        key.verify(&[&address_bytes(own), content], &tag).then_some(content)
    }

    /// Records that a host sealed a datagram with another key than this host knows: one of them may
    /// have read it before the store came back from an older copy.
    pub fn record_unverified(&self) {
        self.unverified.notify_one();
    }

    /// Resolves when a datagram was sealed with another key.
    pub async fn next_unverified(&self) {
        self.unverified.notified().await;
    }

    /// Whether a verified datagram is neither repeated nor old, by this host's time since the Unix
    /// epoch.
    #[must_use]
    pub fn accept(&self, origin: &GossipOrigin, now: Timestamp) -> bool {
        let skew = now.since(origin.sent_at).max(origin.sent_at.since(now));
        skew <= MAX_CLOCK_SKEW
            && lock(&self.guard).accept(
                &origin.host,
                origin.incarnation,
                origin.counter,
                now.as_millis(),
            )
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
