//! Publishes the catalog and follows the one in force.
//!
//! [`publish`] moves the head by one conditional transaction, [`follow`] keeps every process on
//! the newest head, [`quality`] keeps the estimates of quality. [`store`] reads both stores,
//! [`records`] are the rows and messages.

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
