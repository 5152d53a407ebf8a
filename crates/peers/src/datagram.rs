//! Authenticated datagrams: version, key id, tag and body.
//!
//! The tag covers the receiver's address, so that a datagram cannot be redirected to another
//! process. The body holds the sender's incarnation, a counter and the send time.

use crate::keys::{KeyRing, TAG_BYTES, Tag};
use crate::replay::ReplayGuard;
use oleander_core::ids::{HostId, Incarnation};
use oleander_core::membership::message::Message;
use oleander_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Version of the datagram format.
pub const DATAGRAM_VERSION: u8 = 1;

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Maximum difference between the send time and the receiver's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram cannot be decoded.
    #[error("datagram is malformed")]
    Malformed,
    /// The key is unknown or the tag is wrong.
    #[error("authentication tag of the datagram does not match a known key")]
    Forged,
    /// The datagram is a duplicate or older than the replay window.
    #[error("datagram is a duplicate or older than the replay window")]
    Replayed,
    /// The send time is too far from this process's clock.
    #[error("send time of the datagram is too far from the local clock")]
    Skewed,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    incarnation: Incarnation,
    counter: u64,
    sent_at: Timestamp,
    message: Message,
}

/// Authenticates the outgoing datagrams of a process.
#[derive(Debug)]
pub struct DatagramSealer {
    ring: KeyRing,
    incarnation: Incarnation,
    counter: u64,
}

impl DatagramSealer {
    /// Creates a sealer for the process with this incarnation.
    #[must_use]
    pub const fn new(ring: KeyRing, incarnation: Incarnation) -> Self {
        Self { ring, incarnation, counter: 0 }
    }

    /// Encodes and signs a message. `None` if it is larger than [`MAX_DATAGRAM_BYTES`].
    pub fn seal(&mut self, message: &Message, to: SocketAddr, now: Timestamp) -> Option<Vec<u8>> {
        self.counter += 1;
        let envelope = Envelope {
            incarnation: self.incarnation,
            counter: self.counter,
            sent_at: now,
            message: message.clone(),
        };
        let body = postcard::to_stdvec(&envelope).ok()?;
        let (id, key) = self.ring.signer();
        let name = id.as_str().as_bytes();
        let tag = key.sign(&[&address_bytes(to), &body]);
        let mut bytes = Vec::with_capacity(2 + name.len() + TAG_BYTES + body.len());
        bytes.push(DATAGRAM_VERSION);
        bytes.push(u8::try_from(name.len()).ok()?);
        bytes.extend_from_slice(name);
        bytes.extend_from_slice(&tag);
        bytes.extend_from_slice(&body);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }
}

/// Verifies the incoming datagrams of a process.
#[derive(Debug)]
pub struct DatagramOpener {
    ring: KeyRing,
    address: SocketAddr,
    guard: ReplayGuard,
}

impl DatagramOpener {
    /// Creates an opener for the process that peers reach at `address`.
    #[must_use]
    pub fn new(ring: KeyRing, address: SocketAddr) -> Self {
        Self { ring, address, guard: ReplayGuard::default() }
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`DatagramError`]; the caller must drop the datagram.
    pub fn open(&mut self, bytes: &[u8], now: Timestamp) -> Result<Message, DatagramError> {
        let body = self.authenticate(bytes)?;
        let (envelope, rest) =
            postcard::take_from_bytes::<Envelope>(body).map_err(|_| DatagramError::Malformed)?;
        if !rest.is_empty() {
            return Err(DatagramError::Malformed);
        }
        let too_old = now.since(envelope.sent_at) > MAX_CLOCK_SKEW;
        if too_old || envelope.sent_at.since(now) > MAX_CLOCK_SKEW {
            return Err(DatagramError::Skewed);
        }
        let sender: &HostId = &envelope.message.sender.id;
        let fresh =
            self.guard.accept(sender, envelope.incarnation, envelope.counter, now.as_millis());
        match fresh {
            true => Ok(envelope.message),
            false => Err(DatagramError::Replayed),
        }
    }

    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        let (&version, rest) = bytes.split_first().ok_or(DatagramError::Malformed)?;
        if version != DATAGRAM_VERSION {
            return Err(DatagramError::Malformed);
        }
        let (&name_bytes, rest) = rest.split_first().ok_or(DatagramError::Malformed)?;
        let (name, rest) =
            rest.split_at_checked(name_bytes.into()).ok_or(DatagramError::Malformed)?;
        let (tag, body) = rest.split_at_checked(TAG_BYTES).ok_or(DatagramError::Malformed)?;
        let name = std::str::from_utf8(name).map_err(|_| DatagramError::Malformed)?;
        let key = self.ring.find(name).ok_or(DatagramError::Forged)?;
        let tag = Tag::try_from(tag).map_err(|_| DatagramError::Malformed)?;
        match key.verify(&[&address_bytes(self.address), body], &tag) {
            true => Ok(body),
            false => Err(DatagramError::Forged),
        }
    }
}

/// Encodes an address for signing, the same on both ends.
#[must_use]
pub fn address_bytes(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets().to_vec(),
        std::net::IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_le_bytes());
    bytes
}
