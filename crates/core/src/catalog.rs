//! The catalog: named objects that refer to each other by name.
//!
//! [`objects`] defines the objects as operators write them, [`snapshot`] the indexed form for the
//! data path. [`parse`] reads catalog files, [`check`] validates a catalog, [`diff`] lists the
//! changes between two catalogs and [`edit`] applies single operator commands.

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
