//! The first exchange on a connection: both ends prove that they hold a key, and derive a key
//! for each direction from a nonce of each end.

use crate::datagram::address_bytes;
use crate::keys::{KeyRing, MacKey, TAG_BYTES, Tag};
use oleander_core::ids::KeyId;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the connection's format.
pub const CONNECTION_VERSION: u8 = 1;

/// Largest greeting, in bytes.
const MAX_GREETING: usize = 256;

type Nonce = [u8; 16];

/// Why a connection was not made.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The connection failed.
    #[error("the connection ended: {0}")]
    Ended(#[from] std::io::Error),
    /// A greeting cannot be decoded or has another version.
    #[error("a greeting is malformed or of another version")]
    Malformed,
    /// The key is not known, the tag is wrong, or the greeting was meant for another process.
    #[error("the other end did not prove that it holds a key")]
    Forged,
}

#[derive(Debug, Serialize, Deserialize)]
struct Greeting {
    version: u8,
    key: KeyId,
    nonce: Nonce,
}

/// Keys of the two directions of a connection.
#[derive(Debug)]
pub struct ConnectionKeys {
    /// From the process that called to the other.
    pub outward: MacKey,
    /// Back to the process that called.
    pub backward: MacKey,
}

/// Greets as the process that made the connection.
///
/// # Errors
///
/// [`HandshakeError`] when the connection ends or the other end proves nothing.
pub async fn greet<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    ring: &KeyRing,
    to: SocketAddr,
) -> Result<ConnectionKeys, HandshakeError> {
    let (id, key) = ring.signer();
    let address = address_bytes(to);
    let nonce: Nonce = rand::rng().random();
    let hello = Greeting { version: CONNECTION_VERSION, key: id.clone(), nonce };
    send(stream, &hello, |body| key.sign(&[b"hello", &address, body])).await?;
    let (answer, body, tag) = receive(stream).await?;
    if !key.verify(&[b"welcome", &address, &nonce, &body], &tag) {
        return Err(HandshakeError::Forged);
    }
    Ok(connection_keys(key, &address, &nonce, &answer.nonce))
}

/// Answers a greeting as the process at `me`.
///
/// # Errors
///
/// [`HandshakeError`] when the connection ends or the other end proves nothing.
pub async fn welcome<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    ring: &KeyRing,
    me: SocketAddr,
) -> Result<ConnectionKeys, HandshakeError> {
    let (hello, body, tag) = receive(stream).await?;
    let key = ring.find(hello.key.as_str()).ok_or(HandshakeError::Forged)?;
    let address = address_bytes(me);
    if !key.verify(&[b"hello", &address, &body], &tag) {
        return Err(HandshakeError::Forged);
    }
    let nonce: Nonce = rand::rng().random();
    let answer = Greeting { version: CONNECTION_VERSION, key: hello.key.clone(), nonce };
    let sign = |body: &[u8]| key.sign(&[b"welcome", &address, &hello.nonce, body]);
    send(stream, &answer, sign).await?;
    Ok(connection_keys(key, &address, &hello.nonce, &nonce))
}

fn connection_keys(key: &MacKey, address: &[u8], caller: &Nonce, called: &Nonce) -> ConnectionKeys {
    ConnectionKeys {
        outward: key.derive(&[b"outward", address, caller, called]),
        backward: key.derive(&[b"backward", address, caller, called]),
    }
}

async fn send<S: AsyncWrite + Unpin>(
    stream: &mut S,
    greeting: &Greeting,
    sign: impl FnOnce(&[u8]) -> Tag,
) -> Result<(), HandshakeError> {
    let body = postcard::to_stdvec(greeting).map_err(|_| HandshakeError::Malformed)?;
    let mut bytes = (body.len() as u16).to_le_bytes().to_vec();
    bytes.extend_from_slice(&sign(&body));
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await?;
    Ok(())
}

async fn receive<S: AsyncRead + Unpin>(
    stream: &mut S,
) -> Result<(Greeting, Vec<u8>, Tag), HandshakeError> {
    let length = usize::from(stream.read_u16_le().await?);
    if length > MAX_GREETING {
        return Err(HandshakeError::Malformed);
    }
    let mut tag: Tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    let greeting: Greeting = postcard::from_bytes(&body).map_err(|_| HandshakeError::Malformed)?;
    match greeting.version == CONNECTION_VERSION {
        true => Ok((greeting, body, tag)),
        false => Err(HandshakeError::Malformed),
    }
}
