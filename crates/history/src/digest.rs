//! Digests of texts, which keep histories small.

use crate::event::TextDigest;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::sync::Arc;

/// The SHA-256 of a text, in hex.
///
/// ```
/// use oleander_history::text_digest;
///
/// assert!(text_digest("").starts_with("e3b0c442"));
/// ```
#[must_use]
pub fn text_digest(text: &str) -> TextDigest {
    let mut hex = String::new();
    for byte in Sha256::digest(text.as_bytes()) {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
    }
    Arc::from(hex)
}
