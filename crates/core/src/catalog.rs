//! The catalog: named objects that refer to each other by name.
//!
//! [`objects`] holds the objects as operators write them, [`snapshot`] what the data path reads.
//! [`parse`] reads catalog files, [`check`] checks the whole, [`diff`] names what changed and
//! [`edit`] makes the changes that operators ask for by name.

pub mod check;
mod decode;
pub mod diff;
pub mod edit;
pub mod objects;
pub mod parse;
pub mod place;
pub mod snapshot;

pub use check::check_catalog;
pub use objects::Catalog;
pub use parse::{CatalogFile, parse_catalog};
pub use place::{CatalogFinding, Place, PlaceIndex};
pub use snapshot::Snapshot;
