//! Signed session tokens. They carry the version that a session is pinned to, so that hosts keep
//! no session state.
//!
//! A token has the form `os1.CLAIMS.MAC.KEY`: the claims encoded with postcard and their
//! HMAC-SHA256, both in hex, and the id of the signing key.

use crate::ids::{AccountName, KeyId, SessionId, TargetName, VersionName};
use crate::units::Timestamp;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt::{self, Write};
use std::sync::Arc;

/// Prefix of every token. Session names chosen by callers must not start with it.
pub const TOKEN_PREFIX: &str = "os1.";
/// Maximum token length in bytes; longer tokens are malformed.
pub const MAX_TOKEN_BYTES: usize = 2_048;

/// The claims of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionClaims {
    /// The client account.
    pub account: AccountName,
    /// The value of `model` in the request.
    pub target: TargetName,
    /// The version that the session is pinned to.
    pub version: VersionName,
    /// The session id.
    pub session: SessionId,
    /// When the session ends.
    pub expires_at: Timestamp,
}

/// Why a token could not be signed or was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The token does not have the expected form.
    #[error("the session token is malformed")]
    Malformed,
    /// No key has the key id of the token.
    #[error("the session token was signed with a key that is not known here")]
    UnknownKey,
    /// The signature does not match the claims.
    #[error("the session token was forged or damaged")]
    Forged,
    /// The session has expired.
    #[error("the session has expired; start a new one")]
    Expired,
    /// The session belongs to another client account.
    #[error("the session belongs to another client account")]
    OtherAccount,
    /// No signing key is configured.
    #[error("no session key is configured")]
    NoKey,
}

/// A key that signs tokens.
#[derive(Clone)]
pub struct SessionKey {
    id: KeyId,
    secret: Arc<[u8]>,
}

impl SessionKey {
    /// A key with its id.
    #[must_use]
    pub fn new(id: KeyId, secret: &[u8]) -> Self {
        Self { id, secret: Arc::from(secret) }
    }

    fn mac(&self, claims: &[u8]) -> Result<Hmac<Sha256>, SessionError> {
        let mac = Hmac::<Sha256>::new_from_slice(&self.secret);
        let mut mac = mac.map_err(|_| SessionError::NoKey)?;
        mac.update(self.id.as_str().as_bytes());
        mac.update(&[0]);
        mac.update(claims);
        Ok(mac)
    }
}

impl fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SessionKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// Signs and verifies tokens. The first key signs and all keys verify, for key rotation.
///
/// ```
/// use oleander_core::session::{SessionClaims, SessionError, SessionKey, SessionSigner};
/// use oleander_core::units::Timestamp;
///
/// let key = SessionKey::new("k1".parse().unwrap(), b"a secret of sixteen bytes");
/// let signer = SessionSigner::new(vec![key]);
/// let claims = SessionClaims {
///     account: "vans".parse().unwrap(),
///     target: "menu-plan".parse().unwrap(),
///     version: "menu-writer-2".parse().unwrap(),
///     session: "s-1".parse().unwrap(),
///     expires_at: Timestamp::from_millis(1_000),
/// };
/// let token = signer.sign(&claims).unwrap();
/// let now = Timestamp::from_millis(999);
/// assert_eq!(signer.verify(&token, &claims.account, now), Ok(claims.clone()));
/// let late = Timestamp::from_millis(1_000);
/// assert_eq!(signer.verify(&token, &claims.account, late), Err(SessionError::Expired));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SessionSigner {
    keys: Vec<SessionKey>,
}

impl SessionSigner {
    /// A signer with its keys; the first one signs.
    #[must_use]
    pub const fn new(keys: Vec<SessionKey>) -> Self {
        Self { keys }
    }

    /// Signs claims.
    ///
    /// # Errors
    ///
    /// [`SessionError::NoKey`] when there is no key.
    pub fn sign(&self, claims: &SessionClaims) -> Result<String, SessionError> {
        let key = self.keys.first().ok_or(SessionError::NoKey)?;
        let body = postcard::to_stdvec(claims).map_err(|_| SessionError::Malformed)?;
        let mac = key.mac(&body)?.finalize().into_bytes();
        Ok(format!("{TOKEN_PREFIX}{}.{}.{}", to_hex(&body), to_hex(&mac), key.id))
    }

    /// Verifies a token of a client account and returns its claims.
    ///
    /// # Errors
    ///
    /// [`SessionError`]. The signature is verified before the claims are decoded.
    pub fn verify(
        &self,
        token: &str,
        account: &AccountName,
        now: Timestamp,
    ) -> Result<SessionClaims, SessionError> {
        let parts = TokenParts::split(token)?;
        let key = self.keys.iter().find(|key| key.id.as_str() == parts.key);
        let key = key.ok_or(SessionError::UnknownKey)?;
        let body = from_hex(parts.claims).ok_or(SessionError::Malformed)?;
        let mac = from_hex(parts.mac).ok_or(SessionError::Malformed)?;
        key.mac(&body)?.verify_slice(&mac).map_err(|_| SessionError::Forged)?;
        let claims: SessionClaims =
            postcard::from_bytes(&body).map_err(|_| SessionError::Malformed)?;
        if claims.account != *account {
            return Err(SessionError::OtherAccount);
        }
        if now >= claims.expires_at {
            return Err(SessionError::Expired);
        }
        Ok(claims)
    }
}

struct TokenParts<'a> {
    claims: &'a str,
    mac: &'a str,
    key: &'a str,
}

impl<'a> TokenParts<'a> {
    fn split(token: &'a str) -> Result<Self, SessionError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(SessionError::Malformed);
        }
        let rest = token.strip_prefix(TOKEN_PREFIX).ok_or(SessionError::Malformed)?;
        let mut parts = rest.splitn(3, '.');
        let mut next = || parts.next().ok_or(SessionError::Malformed);
        Ok(Self { claims: next()?, mac: next()?, key: next()? })
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

fn from_hex(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes();
    let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits.chunks_exact(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()
}
