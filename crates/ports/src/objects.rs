//! The platform's object store.
//!
//! Objects are immutable: a name is written once. Reads see every acknowledged write.

use crate::{PlatformError, PortFuture};
use std::sync::Arc;

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The object was written.
    Written,
    /// The name was taken; the object there is unchanged.
    Exists,
}

/// The object store.
pub trait ObjectPort: Send + Sync {
    /// Writes an object unless its name is taken.
    fn put_if_absent<'a>(
        &'a self,
        name: &'a str,
        body: Vec<u8>,
    ) -> PortFuture<'a, Result<PutOutcome, PlatformError>>;

    /// Reads an object.
    fn get<'a>(&'a self, name: &'a str) -> PortFuture<'a, Result<Option<Vec<u8>>, PlatformError>>;

    /// Names of the objects that start with `prefix`, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Result<Vec<Arc<str>>, PlatformError>>;
}
