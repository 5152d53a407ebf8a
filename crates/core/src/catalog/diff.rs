//! Differences between two catalogs, by object and field.

use crate::catalog::objects::Catalog;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// Sections in which an added object restricts callers.
const RESTRICTING_WHEN_ADDED: [&str; 2] = ["withdrawals", "drains"];
/// Sections in which a removed object restricts callers.
const RESTRICTING_WHEN_REMOVED: [&str; 5] =
    ["client_accounts", "models", "versions", "cascades", "services"];
/// Sections in which a changed object may restrict callers.
const RESTRICTING_WHEN_CHANGED: [&str; 1] = ["client_accounts"];

/// Kind of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiffKind {
    /// The object was added.
    Added,
    /// The object was removed.
    Removed,
    /// Fields of the object differ.
    Changed,
}

/// One object that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffEntry {
    /// Path of the object (`models/menu-writer-large`).
    pub object: Arc<str>,
    /// Kind of the difference.
    pub kind: DiffKind,
    /// The fields that differ, each as `name: before -> after`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<Arc<str>>,
    /// Whether the change restricts callers, so that each host enforces it on receipt.
    pub restricts: bool,
}

impl fmt::Display for DiffEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            DiffKind::Added => '+',
            DiffKind::Removed => '-',
            DiffKind::Changed => '~',
        };
        write!(f, "{sign} {}", self.object)?;
        if self.restricts {
            f.write_str(" (restricts)")?;
        }
        self.fields.iter().try_for_each(|field| write!(f, "\n    {field}"))
    }
}

/// The objects that differ between two catalogs, ordered by path.
///
/// ```
/// use oleander_core::catalog::diff::diff_catalogs;
/// use oleander_core::catalog::objects::Catalog;
///
/// assert!(diff_catalogs(&Catalog::default(), &Catalog::default()).is_empty());
/// ```
#[must_use]
pub fn diff_catalogs(before: &Catalog, after: &Catalog) -> Vec<DiffEntry> {
    let (before, after) = (to_sections(before), to_sections(after));
    let mut entries = Vec::new();
    for name in before.keys().chain(after.keys()).collect::<BTreeSet<_>>() {
        let (old, new) = (before.get(name), after.get(name));
        if name == "policy" {
            entries.extend(diff_object("policy", "policy", old, new));
            continue;
        }
        let (old, new) = (objects_of(old), objects_of(new));
        for object in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
            let path = format!("{name}/{object}");
            entries.extend(diff_object(name, &path, old.get(object), new.get(object)));
        }
    }
    entries
}

/// The paths of the objects in both lists, that is, the objects that both changes affect.
#[must_use]
pub fn common_objects(one: &[DiffEntry], other: &[DiffEntry]) -> Vec<Arc<str>> {
    let paths: BTreeSet<&Arc<str>> = other.iter().map(|entry| &entry.object).collect();
    let common = one.iter().filter(|entry| paths.contains(&entry.object));
    common.map(|entry| Arc::clone(&entry.object)).collect()
}

fn to_sections(catalog: &Catalog) -> Map<String, Value> {
    match serde_json::to_value(catalog) {
        Ok(Value::Object(sections)) => sections,
        _ => Map::new(),
    }
}

fn objects_of(section: Option<&Value>) -> Map<String, Value> {
    section.and_then(Value::as_object).cloned().unwrap_or_default()
}

fn diff_object(
    section: &str,
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
) -> Option<DiffEntry> {
    let (kind, restricting): (_, &[&str]) = match (before, after) {
        (None, None) => return None,
        (None, Some(_)) => (DiffKind::Added, &RESTRICTING_WHEN_ADDED),
        (Some(_), None) => (DiffKind::Removed, &RESTRICTING_WHEN_REMOVED),
        (Some(old), Some(new)) if old == new => return None,
        (Some(_), Some(_)) => (DiffKind::Changed, &RESTRICTING_WHEN_CHANGED),
    };
    let fields = match (before, after) {
        (Some(old), Some(new)) => diff_fields(old, new),
        _ => Vec::new(),
    };
    let restricts = restricting.contains(&section);
    Some(DiffEntry { object: Arc::from(path), kind, fields, restricts })
}

fn diff_fields(before: &Value, after: &Value) -> Vec<Arc<str>> {
    let (old, new) = (objects_of(Some(before)), objects_of(Some(after)));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let changed = names.into_iter().filter(|name| old.get(*name) != new.get(*name));
    let text = |value: Option<&Value>| value.map_or("nothing".to_owned(), ToString::to_string);
    changed
        .map(|name| format!("{name}: {} -> {}", text(old.get(name)), text(new.get(name))).into())
        .collect()
}
