//! Command line of `oleander-local`.

use clap::Parser;
use oleander_core::choice_mode::ChoiceMode;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Starts the whole system in one process: the router, and stand-ins for the platform and for
/// every upstream of a catalog
///
/// All state is kept in memory and lost when the process exits.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Catalog file to publish
    pub catalog: PathBuf,

    /// Address for callers
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub callers: SocketAddr,

    /// Address for operators; the default is the one that oleander-ctl uses
    #[arg(long, default_value = "127.0.0.1:8090")]
    pub operators: SocketAddr,

    /// Key for operators, at least 16 bytes long
    #[arg(long, default_value = "local-operator-key")]
    pub operator_key: String,

    /// Address for health checks, metrics and request traces
    #[arg(long, default_value = "127.0.0.1:8081")]
    pub admin: SocketAddr,

    /// Address of the stand-ins' control port, which sets faults
    #[arg(long, default_value = "127.0.0.1:8082")]
    pub control: SocketAddr,

    /// Policy for choosing versions and upstreams: model_aware, always_costly,
    /// cheap_then_escalate, uniform_random or least_reported
    #[arg(long, default_value_t)]
    pub mode: ChoiceMode,

    /// Minimum log level
    #[arg(long, default_value = "warn")]
    pub log_level: String,
}
