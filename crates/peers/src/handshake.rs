//! Handshake of a connection: both ends prove that they hold a shared key and derive one key per
//! direction from both nonces.

use crate::datagram::address_bytes;
use crate::keys::{KeyRing, MacKey, TAG_BYTES, Tag};
use oleander_core::ids::KeyId;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the connection format.
pub const CONNECTION_VERSION: u8 = 1;

/// Maximum size of a greeting, in bytes.
const MAX_GREETING_BYTES: usize = 256;

type Nonce = [u8; 16];

/// Why a handshake failed.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The connection failed or was closed.
    #[error("the connection ended: {0}")]
    Ended(#[from] std::io::Error),
    /// A greeting cannot be decoded or has another version.
    #[error("a greeting is malformed or of another version")]
    Malformed,
    /// The key is unknown, the tag is wrong, or the greeting is addressed to another process.
    #[error("the other end did not prove that it holds a key")]
    Forged,
}

#[derive(Debug, Serialize, Deserialize)]
struct Greeting {
    version: u8,
    key: KeyId,
    nonce: Nonce,
}

/// The keys of a connection, one per direction.
#[derive(Debug)]
pub struct ConnectionKeys {
    /// From the process that opened the connection to the one that accepted it.
    pub client_to_server: MacKey,
    /// From the process that accepted the connection to the one that opened it.
    pub server_to_client: MacKey,
}

/// Performs the handshake as the process that opened the connection to `to`.
///
/// # Errors
///
/// [`HandshakeError`] if the connection ends or the other end does not authenticate.
pub async fn client_handshake<S: AsyncRead + AsyncWrite + Unpin>(
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

/// Performs the handshake as the process at `me` that accepted the connection.
///
/// # Errors
///
/// [`HandshakeError`] if the connection ends or the other end does not authenticate.
pub async fn server_handshake<S: AsyncRead + AsyncWrite + Unpin>(
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

fn connection_keys(key: &MacKey, address: &[u8], client: &Nonce, server: &Nonce) -> ConnectionKeys {
    ConnectionKeys {
        client_to_server: key.derive(&[b"outward", address, client, server]),
        server_to_client: key.derive(&[b"backward", address, client, server]),
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
    if length > MAX_GREETING_BYTES {
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
