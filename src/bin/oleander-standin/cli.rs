//! Flags of `oleander-standin`.

use clap::Parser;
use oleander_standin::engine::DEFAULT_BATCH_SLOWDOWN;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Serves stand-ins for the platform and for every upstream of a catalog
///
/// Upstreams listen where the catalog says. The platform's five services listen on
/// consecutive ports: table, objects, weights, ratings, hosts. Faults are set on the control
/// port; see `GET /targets` there.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Catalog whose upstreams are stood in for
    pub catalog: PathBuf,

    /// Where the table service listens; the other services take the next four ports
    #[arg(long, default_value = "127.0.0.1:17000")]
    pub platform: SocketAddr,

    /// Where the control port listens
    #[arg(long, default_value = "127.0.0.1:17010")]
    pub control: SocketAddr,

    /// Milliseconds that the list of hosts lags behind
    #[arg(long, default_value_t = 2000)]
    pub host_list_lag: u64,

    /// Share of answers that are rated, from 0 to 1
    #[arg(long, default_value_t = 0.2)]
    pub rated_share: f64,

    /// Milliseconds that ratings are late
    #[arg(long, default_value_t = 1000)]
    pub rating_lag: u64,

    /// Tokens of every answer; drawn by its prompt when left out
    #[arg(long)]
    pub answer_tokens: Option<u32>,

    /// Share of the gap between tokens that each further running request adds
    #[arg(long, default_value_t = DEFAULT_BATCH_SLOWDOWN)]
    pub batch_slowdown: f64,

    /// Least level that is logged
    #[arg(long, default_value = "info")]
    pub log_level: String,
}
