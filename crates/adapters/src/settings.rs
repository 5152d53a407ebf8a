//! Settings of a process, read from JSON with comments.
//!
//! All findings of a file are reported together, each with its line and column.

use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, parse_to_ast};
use oleander_core::ids::{DomainName, HostId, KeyId, RegionName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Settings that every process of the system has.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Id of the process, unique over the system (`host-3.entry`).
    pub id: HostId,
    /// Region of the host.
    pub region: RegionName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Peer port: TCP and UDP.
    pub peer_address: SocketAddr,
    /// Metrics, health and, on a steward, the operators' interface.
    pub admin_address: SocketAddr,
    /// Callers' port; on an entry only.
    #[serde(default)]
    pub caller_address: Option<SocketAddr>,
    /// Peer ports asked for the membership at the start, beside the platform's list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where the platform listens.
    pub platform: PlatformSettings,
    /// Keys by which peers prove who they are; the first one signs.
    pub peer_keys: Vec<SecretKey>,
    /// Keys that sign session tokens; the first one signs.
    #[serde(default)]
    pub session_keys: Vec<SecretKey>,
    /// Keys of operators, on a steward only; the id names the operator in the history.
    #[serde(default)]
    pub operator_keys: Vec<SecretKey>,
    /// Where traces go (an OTLP collector over HTTP); none when left out.
    #[serde(default)]
    pub trace_collector: Option<SocketAddr>,
    /// Least level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: Arc<str>,
    /// Seconds that a stopping process keeps serving after its health check fails.
    #[serde(default = "default_drain_seconds")]
    pub drain_seconds: u64,
}

fn default_log_level() -> Arc<str> {
    Arc::from("info")
}

const fn default_drain_seconds() -> u64 {
    5
}

/// Where the platform's services listen.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The service that rates answers.
    pub ratings: SocketAddr,
    /// The list of hosts.
    pub hosts: SocketAddr,
}

/// A secret key with its id. Debug output hides the secret.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretKey {
    /// The id, sent with what the key signs.
    pub id: KeyId,
    /// The secret, at least [`MIN_SECRET_BYTES`] long.
    pub secret: Arc<str>,
}

/// Shortest secret that is accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SecretKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFinding {
    /// The file.
    pub file: Arc<str>,
    /// Line, from 1; 0 when the finding has no place.
    pub line: usize,
    /// Column, from 1; 0 when the finding has no place.
    pub column: usize,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for SettingsFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}: {}", self.file, self.message);
        }
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.message)
    }
}

/// Everything that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError {
    /// The findings, in order of place.
    pub findings: Vec<SettingsFinding>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.findings.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// [`SettingsError`] when the file cannot be read or does not hold `T`.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file: Arc<str> = Arc::from(path.display().to_string());
    let text = std::fs::read_to_string(path)
        .map_err(|error| one_finding(&file, 0, 0, format!("cannot be read: {error}")))?;
    parse_settings(&file, &text)
}

/// Parses settings from JSON with comments.
///
/// ```
/// use oleander_adapters::settings::parse_settings;
///
/// let wrong = parse_settings::<Vec<u32>>("x.jsonc", "[1,\n  oops]").unwrap_err();
/// assert_eq!((wrong.findings[0].line, wrong.findings[0].column), (2, 3));
/// ```
///
/// # Errors
///
/// [`SettingsError`] with the place of what is wrong.
pub fn parse_settings<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let file: Arc<str> = Arc::from(file);
    let plain = without_comments(text).map_err(|error| {
        let (line, column) = (error.line_display(), error.column_display());
        one_finding(&file, line, column, error.kind().to_string())
    })?;
    serde_json::from_str(&plain).map_err(|error| {
        let message = error.to_string();
        let place = format!(" at line {} column {}", error.line(), error.column());
        let message = message.strip_suffix(&place).unwrap_or(&message).to_owned();
        one_finding(&file, error.line(), error.column(), message)
    })
}

/// The text with its comments blanked out, so that every place stays what it was.
fn without_comments(text: &str) -> Result<String, ParseError> {
    let collect = CollectOptions {
        comments: CommentCollectionStrategy::Separate,
        ..CollectOptions::default()
    };
    let options = ParseOptions {
        allow_missing_commas: false,
        allow_trailing_commas: false,
        allow_loose_object_property_names: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        ..ParseOptions::default()
    };
    let parsed = parse_to_ast(text, &collect, &options)?;
    let mut bytes = text.as_bytes().to_vec();
    for comment in
        parsed.comments.iter().flat_map(|comments| comments.values()).flat_map(|c| c.iter())
    {
        let range = comment.range();
        let blanked = bytes[range.start..range.end].iter_mut().filter(|byte| **byte != b'\n');
        blanked.for_each(|byte| *byte = b' ');
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn one_finding(file: &Arc<str>, line: usize, column: usize, message: String) -> SettingsError {
    SettingsError {
        findings: vec![SettingsFinding { file: Arc::clone(file), line, column, message }],
    }
}
