//! Source places of objects and fields in catalog files, and findings about them.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// A place in a catalog file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// File name.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One problem in a catalog.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogFinding {
    /// Source place; `None` when the object does not come from a file.
    pub place: Option<Place>,
    /// Path of the object or field (`versions/menu-writer-large@3`).
    pub object: Arc<str>,
    /// The problem.
    pub problem: Arc<str>,
    /// How to fix it.
    pub advice: Arc<str>,
}

impl fmt::Display for CatalogFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = &self.place {
            write!(f, "{place}: ")?;
        }
        if !self.object.is_empty() {
            write!(f, "{}: ", self.object)?;
        }
        write!(f, "{}; {}", self.problem, self.advice)
    }
}

/// Places of objects and fields by path.
///
/// ```
/// use oleander_core::catalog::place::{Place, PlaceIndex};
///
/// let mut places = PlaceIndex::default();
/// let place = Place { file: "a.jsonc".into(), line: 3, column: 5 };
/// places.insert("models/m", place.clone());
/// assert_eq!(places.find("models/m/current"), Some(&place));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlaceIndex {
    places: HashMap<Arc<str>, Place>,
}

impl PlaceIndex {
    /// Records the place of a path. The first place of a path is kept.
    pub fn insert(&mut self, path: &str, place: Place) {
        self.places.entry(Arc::from(path)).or_insert(place);
    }

    /// Whether exactly this path has a place.
    #[must_use]
    pub fn contains(&self, path: &str) -> bool {
        self.places.contains_key(path)
    }

    /// The place of a path, or of its nearest parent that has one.
    #[must_use]
    pub fn find(&self, path: &str) -> Option<&Place> {
        let mut path = path;
        loop {
            if let Some(place) = self.places.get(path) {
                return Some(place);
            }
            path = path.rsplit_once('/')?.0;
        }
    }
}

/// Collects findings and looks up the place of each.
pub struct FindingCollector<'a> {
    places: &'a PlaceIndex,
    findings: Vec<CatalogFinding>,
}

impl<'a> FindingCollector<'a> {
    /// Starts without findings.
    #[must_use]
    pub const fn new(places: &'a PlaceIndex) -> Self {
        Self { places, findings: Vec::new() }
    }

    /// Adds a finding about the object or field at `path`.
    pub fn add(&mut self, path: &str, problem: impl Into<Arc<str>>, advice: impl Into<Arc<str>>) {
        let place = self.places.find(path).cloned();
        let (problem, advice) = (problem.into(), advice.into());
        self.findings.push(CatalogFinding { place, object: Arc::from(path), problem, advice });
    }

    /// Adds a finding that `section` has no object named `name`, unless the object is present but
    /// could not be decoded, which is reported separately.
    pub fn add_missing(&mut self, path: &str, section: &str, kind: &str, name: &dyn fmt::Display) {
        if self.places.contains(&format!("{section}/{name}")) {
            return;
        }
        let problem = format!("no {kind} is named {name}");
        self.add(path, problem, format!("add it to {section} or correct the name"));
    }

    /// The findings, ordered by place.
    #[must_use]
    pub fn finish(mut self) -> Vec<CatalogFinding> {
        sort_findings(&mut self.findings);
        self.findings
    }
}

/// Sorts findings by place, those without a place last.
pub fn sort_findings(findings: &mut [CatalogFinding]) {
    findings.sort_by(|a, b| {
        let key = |finding: &CatalogFinding| (finding.place.is_none(), finding.place.clone());
        key(a).cmp(&key(b)).then_with(|| a.object.cmp(&b.object))
    });
}
