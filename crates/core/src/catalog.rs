//! The catalog: named objects that refer to each other by name.
//!
//! [`objects`] holds the objects as operators write them, [`snapshot`] what the data path reads.

pub mod objects;
pub mod snapshot;

pub use objects::Catalog;
pub use snapshot::Snapshot;
