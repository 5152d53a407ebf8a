//! Values as postcard behind one byte that tells their version.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why bytes are not the expected value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionedError {
    /// The version is another one.
    #[error("version {found} instead of {expected}")]
    Version {
        /// The version that is understood.
        expected: u8,
        /// The version that was found.
        found: u8,
    },
    /// The bytes do not decode, or bytes are left over.
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
    // Serialising plain data into memory has no way to fail; an empty body would not decode.
    postcard::to_extend(value, vec![version]).unwrap_or_default()
}

/// Decodes a value.
///
/// # Errors
///
/// [`VersionedError`] when the version differs, or the bytes are damaged or too many.
pub fn decode<T: DeserializeOwned>(expected: u8, bytes: &[u8]) -> Result<T, VersionedError> {
    let (&found, body) = bytes.split_first().ok_or(VersionedError::Damaged)?;
    if found != expected {
        return Err(VersionedError::Version { expected, found });
    }
    let (value, rest) = postcard::take_from_bytes(body).map_err(|_| VersionedError::Damaged)?;
    if rest.is_empty() { Ok(value) } else { Err(VersionedError::Damaged) }
}
