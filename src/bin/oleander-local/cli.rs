//! Flags of `oleander-local`.

use clap::Parser;
use oleander_core::choice_mode::ChoiceMode;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Starts the whole system in one process: stand-ins for the platform and for every upstream
/// of a catalog, and the router before them
///
/// Nothing is kept: all state is gone when the process ends.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Catalog to publish
    pub catalog: PathBuf,

    /// Where callers are served
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub callers: SocketAddr,

    /// Where operators are served; the default of oleander-ctl
    #[arg(long, default_value = "127.0.0.1:8090")]
    pub operators: SocketAddr,

    /// The operators' key, at least 16 bytes long
    #[arg(long, default_value = "local-operator-key")]
    pub operator_key: String,

    /// Where health, metrics and records of requests are served
    #[arg(long, default_value = "127.0.0.1:8081")]
    pub admin: SocketAddr,

    /// Where faults of the stand-ins are set
    #[arg(long, default_value = "127.0.0.1:8082")]
    pub control: SocketAddr,

    /// How versions and upstreams are chosen: model_aware, always_costly,
    /// cheap_then_escalate, uniform_random or least_reported
    #[arg(long, default_value_t)]
    pub mode: ChoiceMode,

    /// Least level that is logged
    #[arg(long, default_value = "warn")]
    pub log_level: String,
}
