//! A catalog that never changes, for embedded use and for tests.

use oleander_core::catalog::{Catalog, Snapshot};
use oleander_core::ids::Revision;
use oleander_ports::catalog::{CatalogPort, CatalogStatus};
use std::sync::Arc;

/// A constant catalog, in force as revision 1.
///
/// ```
/// use oleander_catalog::FixedCatalog;
/// use oleander_ports::catalog::{CatalogPort, CatalogStatus};
///
/// let catalog = FixedCatalog::new(Default::default());
/// assert_eq!(catalog.snapshot().revision().get(), 1);
/// assert_eq!(catalog.status(), CatalogStatus::InForce);
/// ```
pub struct FixedCatalog {
    snapshot: Arc<Snapshot>,
}

impl FixedCatalog {
    /// Creates the port with `catalog` in force.
    #[must_use]
    pub fn new(catalog: Catalog) -> Self {
        Self { snapshot: Arc::new(Snapshot::new(Revision::new(1), catalog)) }
    }
}

impl CatalogPort for FixedCatalog {
    fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot)
    }

    fn status(&self) -> CatalogStatus {
        CatalogStatus::InForce
    }
}
