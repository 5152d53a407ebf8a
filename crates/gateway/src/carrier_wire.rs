//! How a host hands a request to another one that carries it to an upstream.
//!
//! A connection begins with the handshake of `oleander_peers`, by a key that hosts read from the
//! store, and with a proof by the opening host that it is not a repeated one. It then speaks HTTP/1.1:
//! the caller's request with one more header, and the upstream's answer unchanged. A host that could
//! not get an answer states why in a header.

use crate::attempt::OutgoingRequest;
use crate::fault::AttemptFault;
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::UpstreamHead;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use oleander_core::attempt_retry::FaultKind;
use oleander_core::ids::UpstreamName;
use oleander_peers::handshake::{ConnectionKeys, client_handshake, server_handshake};
use oleander_peers::keys::{KeyRing, TAG_BYTES, Tag};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Carries a [`CarriedHead`].
const CARRIED_HEAD: HeaderName = HeaderName::from_static("oleander-carried");
/// Carries a [`CarrierFault`].
const CARRIER_FAULT: HeaderName = HeaderName::from_static("oleander-carrier-fault");
/// Signed by the opening host with a key that depends on the nonces of both.
const PROOF: &[u8] = b"open";

/// What the carrying host needs beside the request itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedHead {
    /// The upstream to send it to, and the start of its process.
    pub upstream: UpstreamName,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether the request may be sent on a pooled connection.
    pub may_reuse: bool,
    time_left_ms: u64,
    account: Option<Arc<str>>,
    model: Option<Arc<str>>,
    resume_after: Option<Vec<u8>>,
    priority: Option<u8>,
}

impl CarriedHead {
    /// Describes an attempt at an upstream.
    #[must_use]
    pub fn new(entry: &UpstreamEntry, request: &OutgoingRequest, head: &UpstreamHead) -> Self {
        Self {
            upstream: entry.name.clone(),
            started_ms: entry.started_ms,
            may_reuse: request.may_reuse,
            time_left_ms: u64::try_from(head.time_left.as_millis()).unwrap_or(u64::MAX),
            account: head.account.clone(),
            model: head.model.clone(),
            resume_after: head.resume_after.as_ref().map(|id| id.as_bytes().to_vec()),
            priority: head.priority,
        }
    }

    /// Time until the deadline, when the request was handed over.
    #[must_use]
    pub const fn time_left(&self) -> Duration {
        Duration::from_millis(self.time_left_ms)
    }

    /// The fields for the upstream, `time_left` before the deadline.
    #[must_use]
    pub fn upstream_head(&self, time_left: Duration) -> UpstreamHead {
        let resume_after = self.resume_after.as_deref();
        UpstreamHead {
            time_left,
            upstream: Some(Arc::from(self.upstream.as_str())),
            account: self.account.clone(),
            model: self.model.clone(),
            resume_after: resume_after.and_then(|id| HeaderValue::from_bytes(id).ok()),
            priority: self.priority,
        }
    }

    /// Adds it to the headers of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        write(headers, CARRIED_HEAD, self);
    }

    /// Takes it out of the headers of a request.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        take(headers, CARRIED_HEAD)
    }
}

/// Why a host did not get an answer for a request that it was handed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CarrierFault {
    /// It does not take the request; nothing was sent.
    Refused(Arc<str>),
    /// It could not connect to the upstream; nothing was sent.
    Connect(Arc<str>),
    /// The connection to the upstream broke; the request may have run.
    Lost(Arc<str>),
    /// The upstream was silent; the request may have run.
    Silent(Arc<str>),
}

impl CarrierFault {
    /// States the fault of an attempt.
    #[must_use]
    pub fn of_attempt(fault: &AttemptFault) -> Self {
        let text = Arc::from(fault.message.as_str());
        match fault.kind {
            FaultKind::Connect => Self::Connect(text),
            FaultKind::Silent => Self::Silent(text),
            _ if fault.may_have_run() => Self::Lost(text),
            _ => Self::Refused(text),
        }
    }

    /// The fault as one of an attempt at the upstream, unless the host did not take the request.
    ///
    /// # Errors
    ///
    /// The reason of a refusal.
    pub fn into_attempt(self) -> Result<AttemptFault, Arc<str>> {
        let (kind, text) = match self {
            Self::Refused(reason) => return Err(reason),
            Self::Connect(text) => (FaultKind::Connect, text),
            Self::Lost(text) => (FaultKind::Lost, text),
            Self::Silent(text) => (FaultKind::Silent, text),
        };
        Ok(AttemptFault::new(kind, &*text))
    }

    /// Adds it to the headers of an answer.
    pub fn write(&self, headers: &mut HeaderMap) {
        write(headers, CARRIER_FAULT, self);
    }

    /// Takes it out of the headers of an answer.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        take(headers, CARRIER_FAULT)
    }
}

fn write<T: Serialize>(headers: &mut HeaderMap, name: HeaderName, value: &T) {
    // Plain data is always encoded, and base64 is text.
    let text = STANDARD_NO_PAD.encode(postcard::to_allocvec(value).unwrap_or_default());
    if let Ok(text) = HeaderValue::from_str(&text) {
        headers.insert(name, text);
    }
}

fn take<T: for<'a> Deserialize<'a>>(headers: &mut HeaderMap, name: HeaderName) -> Option<T> {
    let value = headers.remove(name)?;
    postcard::from_bytes(&STANDARD_NO_PAD.decode(value.as_bytes()).ok()?).ok()
}

/// Performs the handshake as the host that opened a connection to `to`.
///
/// # Errors
///
/// When the connection ends or the other end does not hold the key.
pub async fn open_link(
    socket: &mut TcpStream,
    ring: &KeyRing,
    to: SocketAddr,
) -> anyhow::Result<()> {
    let keys: ConnectionKeys = client_handshake(socket, ring, to).await?;
    socket.write_all(&keys.client_to_server.sign(&[PROOF])).await?;
    Ok(())
}

/// Performs the handshake as the host at `me` that accepted a connection.
///
/// # Errors
///
/// When the connection ends or the other end does not hold the key.
pub async fn accept_link(
    socket: &mut TcpStream,
    ring: &KeyRing,
    me: SocketAddr,
) -> anyhow::Result<()> {
    let keys: ConnectionKeys = server_handshake(socket, ring, me).await?;
    let mut proof: Tag = [0; TAG_BYTES];
    socket.read_exact(&mut proof).await?;
    anyhow::ensure!(keys.client_to_server.verify(&[PROOF], &proof), "a repeated opening");
    Ok(())
}
