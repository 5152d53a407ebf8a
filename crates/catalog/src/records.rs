//! Table rows and peer messages of the catalog.

use oleander_core::catalog::Catalog;
use oleander_core::head::CatalogHead;
use oleander_core::ids::{IdError, Revision};
use oleander_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Key of the head row.
pub const HEAD_KEY: &str = "catalog/head";
/// Prefix of the history rows.
pub const HISTORY_PREFIX: &str = "catalog/history/";
/// Maximum size of a catalog body, in bytes. A body must fit into one peer reply.
pub const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Key of the history row of a revision.
#[must_use]
pub fn history_key(revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{:020}", revision.get())
}

/// Name of the object that holds a body.
#[must_use]
pub fn body_name(digest: &str) -> String {
    format!("catalog/{digest}")
}

/// SHA-256 of a body, in hex.
#[must_use]
pub fn body_digest(body: &[u8]) -> Arc<str> {
    let digits = Sha256::digest(body).iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    Arc::from(digits)
}

/// Encodes a catalog as JSON. Equal catalogs have equal bodies.
///
/// # Errors
///
/// If a number cannot be represented in JSON.
pub fn encode_body(catalog: &Catalog) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(catalog)
}

/// Why a body was rejected.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The digest of the bytes is not the expected one.
    #[error("the body has the digest {found}, not {expected}")]
    WrongDigest {
        /// The requested digest.
        expected: Arc<str>,
        /// The digest of the bytes.
        found: Arc<str>,
    },
    /// The bytes do not decode to a catalog.
    #[error("the body is no catalog: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Verifies the digest of a body and decodes it.
///
/// # Errors
///
/// [`BodyError`] if the digest differs or the bytes do not decode to a catalog.
pub fn decode_body(digest: &str, body: &[u8]) -> Result<Catalog, BodyError> {
    let found = body_digest(body);
    if *found != *digest {
        return Err(BodyError::WrongDigest { expected: Arc::from(digest), found });
    }
    Ok(serde_json::from_slice(body)?)
}

/// Id of a publication. After a lost reply, reading it back shows whether the publication took
/// effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PublishId(u128);

impl PublishId {
    /// Creates an id from random bits.
    #[must_use]
    pub const fn new(random: u128) -> Self {
        Self(random)
    }
}

impl fmt::Display for PublishId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "pub-{:032x}", self.0)
    }
}

impl FromStr for PublishId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let wrong = || IdError::NotANumber { kind: "publish id", text: Arc::from(text) };
        let digits = text.strip_prefix("pub-").ok_or_else(wrong)?;
        u128::from_str_radix(digits, 16).map(Self).map_err(|_| wrong())
    }
}

impl Serialize for PublishId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PublishId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A published revision, as stored in the head row and in each history row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// The revision.
    pub revision: Revision,
    /// SHA-256 of the body, in hex.
    pub digest: Arc<str>,
    /// The publication that created the revision.
    pub publish_id: PublishId,
    /// The author.
    pub author: Arc<str>,
    /// The reason, as given by the author.
    pub note: Arc<str>,
    /// Time of the publication, by the publisher's clock.
    pub published_at: Timestamp,
    /// Paths of the objects that differ from the previous revision. Truncated if there are many.
    pub objects: Vec<Arc<str>>,
    /// Whether one of the differing objects restricts callers.
    pub restricts: bool,
}

impl RevisionRecord {
    /// The head for this record.
    #[must_use]
    pub fn head(&self) -> CatalogHead {
        CatalogHead { revision: self.revision, digest: Arc::clone(&self.digest) }
    }
}

/// A call on the catalog channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogCall {
    /// Requests the head that the peer has in force.
    Head,
    /// Requests the body with this digest.
    Body(Arc<str>),
}

/// The reply to a [`CatalogCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogReply {
    /// The head in force; `None` when there is none.
    Head(Option<CatalogHead>),
    /// The body; `None` when the peer does not have it.
    Body(Option<Vec<u8>>),
}
