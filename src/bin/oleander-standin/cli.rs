//! Command line of `oleander-standin`.

use clap::Parser;
use oleander_standin::engine::DEFAULT_BATCH_SLOWDOWN;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Serves stand-ins for the platform and for every upstream of a catalog
///
/// Upstreams listen on their addresses in the catalog. The platform's five services listen on
/// consecutive ports: table, objects, weights, ratings, hosts. Faults are set on the control
/// port; see `GET /targets` there.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Catalog file whose upstreams are replaced by stand-ins
    pub catalog: PathBuf,

    /// Address of the table service; the other services use the next four ports
    #[arg(long, default_value = "127.0.0.1:17000")]
    pub platform: SocketAddr,

    /// Address of the control port
    #[arg(long, default_value = "127.0.0.1:17010")]
    pub control: SocketAddr,

    /// Delay of the host list, in milliseconds
    #[arg(long, default_value_t = 2000)]
    pub host_list_lag: u64,

    /// Fraction of answers that are rated, from 0 to 1
    #[arg(long, default_value_t = 0.2)]
    pub rated_share: f64,

    /// Delay of ratings, in milliseconds
    #[arg(long, default_value_t = 1000)]
    pub rating_lag: u64,

    /// Tokens per answer; derived from the prompt by default
    #[arg(long)]
    pub answer_tokens: Option<u32>,

    /// Fraction by which each additional running request increases the gap between tokens
    #[arg(long, default_value_t = DEFAULT_BATCH_SLOWDOWN)]
    pub batch_slowdown: f64,

    /// Minimum log level
    #[arg(long, default_value = "info")]
    pub log_level: String,
}
