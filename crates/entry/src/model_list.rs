//! `GET /v1/models`: the names that a client account may use as `model`.

use crate::account::AccountView;
use oleander_core::catalog::objects::Cascade;
use oleander_core::ids::ModelName;
use serde::Serialize;
use std::collections::BTreeSet;

/// The list in the JSON shape that chat clients expect.
#[derive(Debug, Serialize)]
pub struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl ModelEntry {
    fn new(id: &str, owned_by: &'static str) -> Self {
        Self { id: id.to_owned(), object: "model", created: 0, owned_by }
    }
}

/// Lists the cascades, models and versions that the account may use, in this order.
pub fn list_models(account: &AccountView) -> ModelList {
    let catalog = account.snapshot.catalog();
    let versions = catalog.versions.keys().filter(|version| account.allows(version));
    let versions: Vec<_> = versions.collect();
    let models: BTreeSet<_> = versions
        .iter()
        .filter_map(|name| account.snapshot.version(name))
        .map(|v| &v.model)
        .collect();
    let usable = |cascade: &Cascade| cascade.steps.iter().any(|m: &ModelName| models.contains(m));
    let cascades = catalog.cascades.iter().filter(|(_, cascade)| usable(cascade));
    let cascades = cascades.map(|(name, _)| ModelEntry::new(name.as_str(), "cascade"));
    let models = models.iter().map(|name| ModelEntry::new(name.as_str(), "model"));
    let versions = versions.iter().map(|name| ModelEntry::new(name.as_str(), "version"));
    ModelList { object: "list", data: cascades.chain(models).chain(versions).collect() }
}
