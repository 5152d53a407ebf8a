//! The platform's object store.
//!
//! Objects are immutable and written at most once. Reads see every acknowledged write.

use crate::{PlatformError, PortFuture};
use std::sync::Arc;

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The object was written.
    Written,
    /// An object with this name already exists and is unchanged.
    Exists,
}

/// The object store.
pub trait ObjectPort: Send + Sync {
    /// Writes an object unless one with this name already exists.
    fn put_if_absent<'a>(
        &'a self,
        name: &'a str,
        body: Vec<u8>,
    ) -> PortFuture<'a, Result<PutOutcome, PlatformError>>;

    /// Reads an object; `None` when it does not exist.
    fn get<'a>(&'a self, name: &'a str) -> PortFuture<'a, Result<Option<Vec<u8>>, PlatformError>>;

    /// Names of the objects that start with `prefix`, sorted.
    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Result<Vec<Arc<str>>, PlatformError>>;
}
