//! Rows of the table and messages between peers that carry the catalog.

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
/// Prefix of history rows.
pub const HISTORY_PREFIX: &str = "catalog/history/";
/// Largest body of a catalog, in bytes; it fits into one call between peers.
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

/// The body of a catalog: JSON, the same for the same objects.
///
/// # Errors
///
/// When a number cannot be written as JSON.
pub fn encode_body(catalog: &Catalog) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(catalog)
}

/// Why a body is not the catalog that was asked for.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The bytes have another digest.
    #[error("the body has the digest {found}, not {wanted}")]
    WrongDigest {
        /// The digest that was asked for.
        wanted: Arc<str>,
        /// The digest of the bytes.
        found: Arc<str>,
    },
    /// The bytes are no catalog.
    #[error("the body is no catalog: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Verifies the digest of a body and decodes it.
///
/// # Errors
///
/// [`BodyError`] when the digest differs or the bytes are no catalog.
pub fn decode_body(digest: &str, body: &[u8]) -> Result<Catalog, BodyError> {
    let found = body_digest(body);
    if *found != *digest {
        return Err(BodyError::WrongDigest { wanted: Arc::from(digest), found });
    }
    Ok(serde_json::from_slice(body)?)
}

/// Names one publication, so that a lost reply can be settled by reading back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PublishId(u128);

impl PublishId {
    /// An id from random bits.
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

/// One published revision: the head row and each history row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// The revision.
    pub revision: Revision,
    /// SHA-256 of the body, in hex.
    pub digest: Arc<str>,
    /// The publication that made it.
    pub publish_id: PublishId,
    /// Who published it.
    pub author: Arc<str>,
    /// Why, in the author's words.
    pub note: Arc<str>,
    /// When, by the publisher's clock.
    pub published_at: Timestamp,
    /// Paths of the objects that differ from the revision before; the first ones when many do.
    pub objects: Vec<Arc<str>>,
    /// Whether it takes something away from callers.
    pub restricts: bool,
}

impl RevisionRecord {
    /// The head that the record stands for.
    #[must_use]
    pub fn head(&self) -> CatalogHead {
        CatalogHead { revision: self.revision, digest: Arc::clone(&self.digest) }
    }
}

/// A call on the catalog channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogCall {
    /// Asks for the head that the peer has in force.
    Head,
    /// Asks for the body with this digest.
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
