//! Publishes the catalog and keeps each process on the latest published revision.
//!
//! [`publish`] updates the head in one conditional transaction, [`follow`] keeps a process on the
//! latest head, [`quality`] polls the quality estimates, [`store`] reads the table and the object
//! store, and [`records`] defines the stored rows and the peer messages.

#![warn(clippy::unwrap_used)]

pub mod fixed;
pub mod follow;
pub mod publish;
pub mod quality;
pub mod records;
pub mod store;

pub use fixed::FixedCatalog;
pub use follow::{CatalogFollower, FollowerPorts};
pub use oleander_core::catalog::parse::{CatalogFile, parse_catalog};
pub use oleander_core::catalog::place::CatalogFinding;
pub use publish::{CatalogPublisher, PublishError, PublishRequest, Published};
pub use quality::QualityFollower;
