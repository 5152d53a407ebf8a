//! Metrics of a steward.

use crate::lease_actor::LeaseHandle;
use oleander_ports::catalog::CatalogPort;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt;
use std::sync::Arc;

/// Collects the revision in force and the held leases on each scrape.
struct StewardCollector {
    catalog: Arc<dyn CatalogPort>,
    leases: Vec<LeaseHandle>,
}

impl fmt::Debug for StewardCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StewardCollector")
    }
}

impl Collector for StewardCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let revision = ConstGauge::new(self.catalog.snapshot().revision().get() as i64);
        let (name, help) = ("oleander_steward_revision", "Catalog revision in force");
        let metric = encoder.encode_descriptor(name, help, None, revision.metric_type())?;
        revision.encode(metric)?;
        let (name, help) = ("oleander_steward_lease_fencing", "Fencing number held, 0 for none");
        let kind = ConstGauge::new(0i64).metric_type();
        let mut family = encoder.encode_descriptor(name, help, None, kind)?;
        for lease in &self.leases {
            let fencing = lease.guard().map_or(0, |guard| guard.fencing.get());
            let labels = [("lease", lease.name().to_string())];
            ConstGauge::new(fencing as i64).encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }
}

/// A registry with the metrics of a steward that uses this catalog and these leases.
#[must_use]
pub fn steward_registry(catalog: Arc<dyn CatalogPort>, leases: Vec<LeaseHandle>) -> Registry {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(StewardCollector { catalog, leases }));
    registry
}
