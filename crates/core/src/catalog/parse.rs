//! Parses catalog files: JSON with comments, several files are merged into one catalog.

use crate::catalog::check::check_catalog;
use crate::catalog::decode::decode_value;
use crate::catalog::objects::Catalog;
use crate::catalog::place::{CatalogFinding, Place, PlaceIndex, sort_findings};
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum size of a catalog file, in bytes.
pub const MAX_FILE_BYTES: usize = 2 * 1024 * 1024;

/// One catalog file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CatalogFile {
    /// The name that findings refer to.
    pub name: Arc<str>,
    /// The content, JSON with comments.
    pub text: Arc<str>,
}

impl CatalogFile {
    /// Creates a file from its name and text.
    #[must_use]
    pub fn new(name: &str, text: &str) -> Self {
        Self { name: Arc::from(name), text: Arc::from(text) }
    }
}

/// Parses and merges files, then validates the whole catalog.
///
/// ```
/// use oleander_core::catalog::parse::{CatalogFile, parse_catalog};
///
/// let file = CatalogFile::new("a.jsonc", "{\n  // the rest is missing\n  \"modles\": {}\n}");
/// let findings = parse_catalog(&[file]).unwrap_err();
/// assert!(findings[0].to_string().starts_with("a.jsonc:3:3: modles: "));
/// ```
///
/// # Errors
///
/// All [`CatalogFinding`]s, ordered by place.
pub fn parse_catalog(files: &[CatalogFile]) -> Result<(Catalog, PlaceIndex), Vec<CatalogFinding>> {
    let (catalog, places, mut findings) = read_files(files);
    findings.extend(check_catalog(&catalog, &places));
    if findings.is_empty() {
        return Ok((catalog, places));
    }
    sort_findings(&mut findings);
    Err(findings)
}

/// Parses and merges files without validating the catalog. Objects with findings are omitted.
#[must_use]
pub fn read_files(files: &[CatalogFile]) -> (Catalog, PlaceIndex, Vec<CatalogFinding>) {
    let mut merge = FileMerge::default();
    files.iter().for_each(|file| merge.add_file(file));
    (merge.catalog, merge.places, merge.findings)
}

fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Converts byte offsets of a file to places.
struct PlaceFinder<'a> {
    file: &'a CatalogFile,
    line_starts: Vec<usize>,
}

impl<'a> PlaceFinder<'a> {
    fn new(file: &'a CatalogFile) -> Self {
        let breaks = file.text.match_indices('\n').map(|(index, _)| index + 1);
        Self { file, line_starts: std::iter::once(0).chain(breaks).collect() }
    }

    fn place(&self, offset: usize) -> Place {
        let line = self.line_starts.partition_point(|&start| start <= offset).max(1);
        let start = self.line_starts[line - 1];
        let before = self.file.text.get(start..offset).unwrap_or_default();
        let column = before.chars().count() + 1;
        let file = Arc::clone(&self.file.name);
        Place { file, line: saturating_u32(line), column: saturating_u32(column) }
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// The files merged so far.
#[derive(Default)]
struct FileMerge {
    catalog: Catalog,
    places: PlaceIndex,
    findings: Vec<CatalogFinding>,
}

impl FileMerge {
    fn add_file(&mut self, file: &CatalogFile) {
        let finder = PlaceFinder::new(file);
        if file.text.len() > MAX_FILE_BYTES {
            let problem = format!("the file is larger than {MAX_FILE_BYTES} bytes");
            return self.report(finder.place(0), "", problem, "split it into several files");
        }
        let parsed = parse_to_ast(&file.text, &CollectOptions::default(), &strict_options());
        match parsed.map(|result| result.value) {
            Ok(Some(Value::Object(root))) => self.add_root(&finder, &root),
            Ok(Some(other)) => {
                let place = finder.place(other.range().start);
                self.report(
                    place,
                    "",
                    "the top-level value is not an object",
                    "write the sections in { }",
                );
            }
            Ok(None) => {}
            Err(error) => {
                let place = finder.place(error.range().start);
                self.report(place, "", error.kind().to_string(), "correct the syntax");
            }
        }
    }

    fn add_root(&mut self, finder: &PlaceFinder<'_>, root: &Object<'_>) {
        for prop in &root.properties {
            let name = prop.name.as_str();
            self.record_places(finder, name, prop);
            self.add_section(finder, name, prop);
        }
    }

    fn add_section(&mut self, finder: &PlaceFinder<'_>, name: &str, prop: &ObjectProp<'_>) {
        macro_rules! sections {
            ($($section:ident),*) => {
                match name {
                    $(stringify!($section) => {
                        let mut objects = std::mem::take(&mut self.catalog.$section);
                        self.add_objects(finder, name, prop, &mut objects);
                        self.catalog.$section = objects;
                    })*
                    "policy" => self.add_policy(finder, prop),
                    _ => self.report_section(finder, name, prop, &[$(stringify!($section)),*]),
                }
            };
        }
        sections!(
            regions,
            client_accounts,
            models,
            versions,
            pools,
            services,
            cascades,
            rollouts,
            withdrawals,
            drains
        );
    }

    fn report_section(
        &mut self,
        finder: &PlaceFinder<'_>,
        name: &str,
        prop: &ObjectProp<'_>,
        known: &[&str],
    ) {
        let place = finder.place(prop.range.start);
        let advice = format!("use one of {}, policy", known.join(", "));
        self.report(place, name, "unknown section", advice);
    }

    fn add_objects<K, T>(
        &mut self,
        finder: &PlaceFinder<'_>,
        section: &str,
        prop: &ObjectProp<'_>,
        objects: &mut BTreeMap<K, T>,
    ) where
        K: FromStr<Err = crate::ids::IdError> + Ord,
        T: DeserializeOwned,
    {
        let Value::Object(body) = &prop.value else {
            let place = finder.place(prop.value.range().start);
            return self.report(place, section, "the section is not an object", "write it in { }");
        };
        for entry in &body.properties {
            let path = format!("{section}/{}", entry.name.as_str());
            let place = finder.place(entry.range.start);
            let name = match entry.name.as_str().parse::<K>() {
                Ok(name) => name,
                Err(error) => {
                    self.report(place, &path, error.to_string(), "choose another name");
                    continue;
                }
            };
            let Some(object) = self.decode(finder, &path, &entry.value) else { continue };
            match objects.entry(name) {
                Entry::Vacant(vacant) => drop(vacant.insert(object)),
                Entry::Occupied(_) => self.report_duplicate(place, &path),
            }
        }
    }

    fn add_policy(&mut self, finder: &PlaceFinder<'_>, prop: &ObjectProp<'_>) {
        let place = finder.place(prop.range.start);
        if self.places.find("policy").is_some_and(|first| *first != place) {
            return self.report_duplicate(place, "policy");
        }
        if let Some(policy) = self.decode(finder, "policy", &prop.value) {
            self.catalog.policy = policy;
        }
    }

    fn decode<T: DeserializeOwned>(
        &mut self,
        finder: &PlaceFinder<'_>,
        path: &str,
        value: &Value<'_>,
    ) -> Option<T> {
        let problems = match decode_value(value) {
            Ok(object) => return Some(object),
            Err(problems) => problems,
        };
        for problem in problems {
            let range = problem.range.unwrap_or_else(|| value.range());
            self.report(
                finder.place(range.start),
                path,
                problem.message.as_str(),
                problem.advice(),
            );
        }
        None
    }

    /// Records the place of a property and of everything in it, and reports duplicate names.
    fn record_places(&mut self, finder: &PlaceFinder<'_>, path: &str, prop: &ObjectProp<'_>) {
        self.places.insert(path, finder.place(prop.range.start));
        self.record_value_places(finder, path, &prop.value);
    }

    fn record_value_places(&mut self, finder: &PlaceFinder<'_>, path: &str, value: &Value<'_>) {
        match value {
            Value::Object(object) => {
                let mut seen = std::collections::HashSet::new();
                // Duplicate objects of a section are reported when the files are merged.
                let is_section = !path.contains('/') && path != "policy";
                for prop in &object.properties {
                    let name = prop.name.as_str();
                    let child = format!("{path}/{name}");
                    if !seen.insert(name) && !is_section {
                        self.report_duplicate(finder.place(prop.range.start), &child);
                    }
                    self.record_places(finder, &child, prop);
                }
            }
            Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let child = format!("{path}/{index}");
                    self.places.insert(&child, finder.place(element.range().start));
                    self.record_value_places(finder, &child, element);
                }
            }
            _ => {}
        }
    }

    fn report_duplicate(&mut self, place: Place, path: &str) {
        let first = self.places.find(path).map(ToString::to_string).unwrap_or_default();
        self.report(
            place,
            path,
            format!("it is already defined at {first}"),
            "keep one of the definitions",
        );
    }

    fn report(
        &mut self,
        place: Place,
        path: &str,
        problem: impl Into<Arc<str>>,
        advice: impl Into<Arc<str>>,
    ) {
        let (problem, advice) = (problem.into(), advice.into());
        let object = Arc::from(path);
        self.findings.push(CatalogFinding { place: Some(place), object, problem, advice });
    }
}
