//! Flags and commands of `oleander-ctl`.

use crate::arguments::{BillTime, RolloutSteps};
use clap::{Args, Parser, Subcommand};
use oleander_catalog::records::PublishId;
use oleander_core::ids::{
    AccountName, ModelName, RequestId, Revision, RolloutName, UpstreamName, VersionName,
};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Checks and publishes the catalog, and shows what is in force, billed and decided
///
/// `check` works offline; every other command calls a steward's admin port. Exit codes: 0 done,
/// 1 findings, 2 wrong arguments, 3 another publication came first, 4 refused, 5 unreachable,
/// 6 outcome not known, 7 published but not in force everywhere.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Stewards to call, tried in turn; comma-separated
    #[arg(
        long,
        global = true,
        value_delimiter = ',',
        env = "OLEANDER_STEWARD",
        default_value = "127.0.0.1:8090"
    )]
    pub steward: Vec<SocketAddr>,

    /// File that holds the operator's key; else OLEANDER_OPERATOR_KEY holds the key itself
    #[arg(long, global = true, env = "OLEANDER_OPERATOR_KEY_FILE")]
    pub key_file: Option<PathBuf>,

    /// Print JSON for scripts
    #[arg(long, global = true)]
    pub json: bool,

    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check catalog files as one whole, offline; every finding is printed
    Check {
        /// Catalog files: JSON with comments
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Check catalog files and publish them as one change
    Publish(PublishArgs),
    /// Show the published head and which revision is in force where
    Status,
    /// Show what files, or one revision, change against another
    ///
    /// `diff FILE…` compares the head with the files, `diff REV REV` two revisions, `diff` the
    /// head with the revision before it.
    Diff {
        /// Files, or two revision numbers
        items: Vec<String>,
    },
    /// List the latest revisions, newest last
    History {
        /// Most revisions to list
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Start, hold, end or show roll-outs
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Withdraw a version: it gets no new work, its roll-outs end, its sessions end
    Withdraw {
        /// The version
        version: VersionName,
        /// Why; kept in the history
        #[arg(long)]
        reason: String,
        /// Version that becomes current when the withdrawn one is
        #[arg(long)]
        replacement: Option<VersionName>,
        /// How to publish
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Drain an upstream: it gets no new work and finishes what it has
    Drain {
        /// The upstream
        upstream: UpstreamName,
        /// Why; kept in the history
        #[arg(long, required_unless_present = "undo")]
        reason: Option<String>,
        /// Let the upstream take work again
        #[arg(long)]
        undo: bool,
        /// How to publish
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Print a client account's statement
    Bill {
        /// The client account
        account: AccountName,
        /// First instant: YYYY-MM-DD (UTC) or milliseconds since 1970
        #[arg(long)]
        from: Option<BillTime>,
        /// First instant after the period
        #[arg(long)]
        to: Option<BillTime>,
    },
    /// Tell why a request went where it went, what was retried and what it cost
    Explain {
        /// The request, as in the response header x-oleander-request-id
        request: RequestId,
        /// Admin port of the entry that served it; else every entry is asked
        #[arg(long)]
        entry: Option<SocketAddr>,
    },
}

/// How a change is published.
#[derive(Clone, Debug, Args)]
pub struct ChangeArgs {
    /// Wait until the change is in force on every member
    #[arg(long)]
    pub wait: bool,
    /// Longest wait, in seconds
    #[arg(long, default_value_t = 15)]
    pub wait_seconds: u64,
    /// Id of an earlier try whose outcome is not known
    #[arg(long)]
    pub publish_id: Option<PublishId>,
}

/// What to publish.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// Catalog files: JSON with comments
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Revision that the files were written against; refused when the head is another one
    #[arg(long)]
    pub base: Option<Revision>,
    /// Why; kept in the history
    #[arg(long, default_value = "")]
    pub note: String,
    /// How to publish
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// What to do with roll-outs.
#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Start to replace a model's current version by another one
    Start {
        /// Name of the roll-out
        name: RolloutName,
        /// The model
        #[arg(long)]
        model: ModelName,
        /// The version that is rolled out
        #[arg(long)]
        to: VersionName,
        /// Steps as SHARE:RATINGS or SHARE:RATINGS:HOLD_MS, comma-separated
        #[arg(long, default_value = "0.02:20,0.1:50,0.5:100,1:100")]
        steps: RolloutSteps,
        /// How to publish
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Hold a roll-out at its step
    Pause(NamedRollout),
    /// Let a held roll-out go on
    Resume(NamedRollout),
    /// End a roll-out; new sessions get the old version
    Abort(NamedRollout),
    /// Show roll-outs and their steps
    Status {
        /// The roll-out; all of them when left out
        name: Option<RolloutName>,
    },
}

/// A roll-out that exists.
#[derive(Debug, Args)]
pub struct NamedRollout {
    /// Name of the roll-out
    pub name: RolloutName,
    /// How to publish
    #[command(flatten)]
    pub change: ChangeArgs,
}
