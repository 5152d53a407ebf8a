//! Command line of `oleander-ctl`.

use crate::arguments::{BillTime, RolloutSteps};
use clap::{Args, Parser, Subcommand};
use oleander_catalog::records::PublishId;
use oleander_core::ids::{
    AccountName, ModelName, RequestId, Revision, RolloutName, UpstreamName, VersionName,
};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Checks and publishes the catalog; shows its status, statements and routing decisions
///
/// `check` works offline; every other command calls a steward's admin port. Exit codes: 0 done,
/// 1 findings, 2 invalid arguments, 3 conflict with another publication, 4 refused,
/// 5 unreachable, 6 outcome unknown, 7 published but not in force on every member.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Addresses of stewards, comma-separated; the next one is tried when one is unreachable
    #[arg(
        long,
        global = true,
        value_delimiter = ',',
        env = "OLEANDER_STEWARD",
        default_value = "127.0.0.1:8090"
    )]
    pub steward: Vec<SocketAddr>,

    /// File with the operator's key; without it, the key is read from OLEANDER_OPERATOR_KEY
    #[arg(long, global = true, env = "OLEANDER_OPERATOR_KEY_FILE")]
    pub key_file: Option<PathBuf>,

    /// Print JSON
    #[arg(long, global = true)]
    pub json: bool,

    /// The command
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of `oleander-ctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check catalog files together, offline, and print every finding
    Check {
        /// Catalog files, in JSON with comments
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Check catalog files and publish them as one change
    Publish(PublishArgs),
    /// Show the latest published revision and the revision in force on each member
    Status,
    /// Show the differences between two revisions, or between the head and files
    ///
    /// `diff FILE…` compares the head with the files, `diff REV REV` compares two revisions, and
    /// `diff` compares the head with the revision before it.
    Diff {
        /// Catalog files, or two revision numbers
        items: Vec<String>,
    },
    /// List the latest revisions, newest last
    History {
        /// Maximum number of revisions to list
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Start, pause, resume, abort or show roll-outs
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Withdraw a version: it gets no new requests, and its roll-outs and sessions end
    Withdraw {
        /// The version
        version: VersionName,
        /// Reason, stored in the history
        #[arg(long)]
        reason: String,
        /// Version that becomes current if the withdrawn version is current
        #[arg(long)]
        replacement: Option<VersionName>,
        /// Options of the publication
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Drain an upstream: it gets no new requests and finishes those in flight
    Drain {
        /// The upstream
        upstream: UpstreamName,
        /// Reason, stored in the history
        #[arg(long, required_unless_present = "undo")]
        reason: Option<String>,
        /// End the drain
        #[arg(long)]
        undo: bool,
        /// Options of the publication
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Print a client account's statement
    Bill {
        /// The client account
        account: AccountName,
        /// Start of the period: YYYY-MM-DD (UTC) or milliseconds since 1970
        #[arg(long)]
        from: Option<BillTime>,
        /// End of the period, exclusive
        #[arg(long)]
        to: Option<BillTime>,
    },
    /// Explain how a request was routed, which attempts were retried and what it cost
    Explain {
        /// Request id from the response header x-oleander-request-id
        request: RequestId,
        /// Admin address of the entry that served it; without it, every entry is asked
        #[arg(long)]
        entry: Option<SocketAddr>,
    },
}

/// Options of commands that publish a change.
#[derive(Clone, Debug, Args)]
pub struct ChangeArgs {
    /// Wait until the change is in force on every member
    #[arg(long)]
    pub wait: bool,
    /// Maximum wait, in seconds
    #[arg(long, default_value_t = 15)]
    pub wait_seconds: u64,
    /// Id of an earlier attempt whose outcome is unknown; the change takes effect at most once
    #[arg(long)]
    pub publish_id: Option<PublishId>,
}

/// Arguments of `publish`.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// Catalog files, in JSON with comments
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Revision that the files are based on; refused when it is not the head
    #[arg(long)]
    pub base: Option<Revision>,
    /// Reason, stored in the history
    #[arg(long, default_value = "")]
    pub note: String,
    /// Options of the publication
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Commands for roll-outs.
#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Start to replace a model's current version with another version
    Start {
        /// Name of the roll-out
        name: RolloutName,
        /// The model
        #[arg(long)]
        model: ModelName,
        /// The version to roll out
        #[arg(long)]
        to: VersionName,
        /// Steps as SHARE:RATINGS or SHARE:RATINGS:HOLD_MS, comma-separated
        #[arg(long, default_value = "0.02:20,0.1:50,0.5:100,1:100")]
        steps: RolloutSteps,
        /// Options of the publication
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Pause a roll-out at its current step
    Pause(NamedRollout),
    /// Resume a paused roll-out
    Resume(NamedRollout),
    /// Abort a roll-out; new sessions get the old version
    Abort(NamedRollout),
    /// Show roll-outs and their steps
    Status {
        /// Name of a roll-out; all roll-outs are shown without it
        name: Option<RolloutName>,
    },
}

/// Arguments of commands on an existing roll-out.
#[derive(Debug, Args)]
pub struct NamedRollout {
    /// Name of the roll-out
    pub name: RolloutName,
    /// Options of the publication
    #[command(flatten)]
    pub change: ChangeArgs,
}
