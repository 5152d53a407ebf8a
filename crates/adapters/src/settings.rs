//! Settings of a process, read from JSON with comments.
//!
//! Parsing stops at the first problem, which is reported with its line and column.

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

/// Settings common to all processes of the system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Id of the process, unique in the system (`host-3.entry`).
    pub id: HostId,
    /// Region of the host.
    pub region: RegionName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Peer port: TCP and UDP.
    pub peer_address: SocketAddr,
    /// Admin port: metrics, health and, on a steward, the operators' API.
    pub admin_address: SocketAddr,
    /// Callers' port; used by entries only.
    #[serde(default)]
    pub caller_address: Option<SocketAddr>,
    /// Peer ports contacted to join the membership, in addition to the platform's list of hosts.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Keys that authenticate peers; the first one signs.
    pub peer_keys: Vec<SecretKey>,
    /// Keys of session tokens; the first one signs.
    #[serde(default)]
    pub session_keys: Vec<SecretKey>,
    /// Keys of operators, used by stewards only; the id identifies the operator in the history.
    #[serde(default)]
    pub operator_keys: Vec<SecretKey>,
    /// OTLP/HTTP collector of traces; traces are not exported when left out.
    #[serde(default)]
    pub trace_collector: Option<SocketAddr>,
    /// Minimum level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: Arc<str>,
    /// Seconds for which a stopping process keeps serving after its health check starts to fail.
    #[serde(default = "default_drain_seconds")]
    pub drain_seconds: u64,
}

fn default_log_level() -> Arc<str> {
    Arc::from("info")
}

const fn default_drain_seconds() -> u64 {
    5
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The rating service.
    pub ratings: SocketAddr,
    /// The host list service.
    pub hosts: SocketAddr,
}

/// A secret key with its id. Debug output hides the secret.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretKey {
    /// The id, sent along with signatures of the key.
    pub id: KeyId,
    /// The secret, at least [`MIN_SECRET_BYTES`] long.
    pub secret: Arc<str>,
}

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SecretKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFinding {
    /// The file.
    pub file: Arc<str>,
    /// Line, from 1; 0 when the position is unknown.
    pub line: usize,
    /// Column, from 1; 0 when the position is unknown.
    pub column: usize,
    /// What is wrong and how to fix it.
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

/// The problems found in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError {
    /// The findings, sorted by position.
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
/// [`SettingsError`] when the file cannot be read or does not contain a valid `T`.
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
/// let error = parse_settings::<Vec<u32>>("x.jsonc", "[1,\n  oops]").unwrap_err();
/// assert_eq!((error.findings[0].line, error.findings[0].column), (2, 3));
/// ```
///
/// # Errors
///
/// [`SettingsError`] with the position of the first problem.
pub fn parse_settings<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let file: Arc<str> = Arc::from(file);
    let stripped = blank_comments(text).map_err(|error| {
        let (line, column) = (error.line_display(), error.column_display());
        one_finding(&file, line, column, error.kind().to_string())
    })?;
    serde_json::from_str(&stripped).map_err(|error| {
        let message = error.to_string();
        let position = format!(" at line {} column {}", error.line(), error.column());
        let message = message.strip_suffix(&position).unwrap_or(&message).to_owned();
        one_finding(&file, error.line(), error.column(), message)
    })
}

/// Replaces comments by spaces, so that lines and columns do not change.
fn blank_comments(text: &str) -> Result<String, ParseError> {
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
