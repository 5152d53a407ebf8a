//! Values in postcard encoding, prefixed with one version byte.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why bytes cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionedError {
    /// The version byte differs.
    #[error("version {found} instead of {expected}")]
    Version {
        /// The expected version.
        expected: u8,
        /// The version that was found.
        found: u8,
    },
    /// The bytes cannot be decoded, or trailing bytes remain.
    #[error("damaged bytes")]
    Damaged,
}

/// Encodes a value.
///
/// ```
/// use oleander_core::versioned::{decode, encode};
///
/// let bytes = encode(1, &"text");
/// assert_eq!(decode::<String>(1, &bytes).unwrap(), "text");
/// assert!(decode::<String>(2, &bytes).is_err());
/// ```
#[must_use]
pub fn encode<T: Serialize>(version: u8, value: &T) -> Vec<u8> {
    // Serializing plain data into memory cannot fail; if it did, the empty result would not decode.
    postcard::to_extend(value, vec![version]).unwrap_or_default()
}

/// Decodes a value.
///
/// # Errors
///
/// [`VersionedError`] when the version differs, the bytes are damaged, or trailing bytes remain.
pub fn decode<T: DeserializeOwned>(expected: u8, bytes: &[u8]) -> Result<T, VersionedError> {
    let (&found, body) = bytes.split_first().ok_or(VersionedError::Damaged)?;
    if found != expected {
        return Err(VersionedError::Version { expected, found });
    }
    let (value, rest) = postcard::take_from_bytes(body).map_err(|_| VersionedError::Damaged)?;
    if rest.is_empty() { Ok(value) } else { Err(VersionedError::Damaged) }
}
