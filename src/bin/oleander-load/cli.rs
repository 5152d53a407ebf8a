//! Command line of `oleander-load`.

use anyhow::Context;
use clap::{Args, Parser, Subcommand, ValueEnum};
use oleander_load::deployment::DeploymentKind;
use oleander_load::experiments::choice::{self, ChoiceSettings};
use oleander_load::experiments::cost::{self, CostSettings};
use oleander_load::experiments::exposure::{self, ExposureSettings};
use oleander_load::experiments::failure::{self, FailureSettings};
use oleander_load::live::{self, LiveSettings};
use oleander_load::plot::write_plot;
use oleander_load::report::ExperimentReport;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Runs simulated experiments on routing decisions and load tests against entries.
#[derive(Debug, Parser)]
#[command(version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: LoadCommand,
}

#[derive(Debug, Subcommand)]
enum LoadCommand {
    /// Simulate routing decisions against models of the engines, without traffic.
    #[command(subcommand)]
    Decide(DecideCommand),
    /// Send load over HTTP to a running entry.
    Run(RunArgs),
}

#[derive(Debug, Subcommand)]
enum DecideCommand {
    /// Cost of an answer at the quality target, for each method of choosing the chain.
    Cost(CostArgs),
    /// Time to first token at 80% and 150% of capacity, for each method of choosing the upstream.
    Choice(ChoiceArgs),
    /// Failure of a third of a pool, then of the whole pool.
    Failure(FailureArgs),
    /// Requests that a bad version serves before its withdrawal, for each detection test.
    Exposure(ExposureArgs),
}

/// Deployment whose arrivals are simulated.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum TraceName {
    /// Food vans, with a burst of requests in the morning.
    Curbside,
    /// Data centres: contract drafts, tenants' questions and ticket tags.
    Teranga,
}

impl TraceName {
    const fn kind(self) -> DeploymentKind {
        match self {
            Self::Curbside => DeploymentKind::Curbside,
            Self::Teranga => DeploymentKind::Teranga,
        }
    }
}

#[derive(Debug, Args)]
struct OutputArgs {
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print JSON instead of a text table.
    #[arg(long)]
    json: bool,
    /// Write an SVG plot to this file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct RunArgs {
    #[command(flatten)]
    output: OutputArgs,
    /// Caller address of the entry.
    #[arg(long)]
    target: SocketAddr,
    /// Bearer key of a client account.
    #[arg(long)]
    key: String,
    /// Deployment whose arrivals are sent.
    #[arg(long, value_enum, default_value = "curbside")]
    trace: TraceName,
    /// Mean requests per second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Duration of the arrivals, in seconds.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    /// Version to request instead of the trace's task classes.
    #[arg(long = "model-version")]
    model_version: Option<String>,
    /// Tokens per answer instead of the trace's.
    #[arg(long)]
    tokens: Option<u32>,
    /// Engine to which every second request is sent directly, bypassing the entry.
    #[arg(long)]
    direct: Option<SocketAddr>,
}

#[derive(Debug, Args)]
struct CostArgs {
    #[command(flatten)]
    output: OutputArgs,
    /// Mean requests per second.
    #[arg(long, default_value_t = 3.0)]
    rate: f64,
    /// Duration of the arrivals, in seconds.
    #[arg(long, default_value_t = 7_200.0)]
    seconds: f64,
    /// Seconds at the start that are excluded from the results.
    #[arg(long, default_value_t = 1_200.0)]
    warm_up: f64,
    /// Price of one second of latency when chains are planned, in millionths.
    #[arg(long, default_value_t = 0)]
    latency_price: u64,
}

#[derive(Debug, Args)]
struct ChoiceArgs {
    #[command(flatten)]
    output: OutputArgs,
    /// Deployment to simulate.
    #[arg(long, value_enum, default_value = "curbside")]
    trace: TraceName,
    /// Duration of the arrivals, in seconds.
    #[arg(long, default_value_t = 1_800.0)]
    seconds: f64,
    /// Delay of load reports, in seconds.
    #[arg(long, default_value_t = 1.0)]
    report_lag: f64,
}

#[derive(Debug, Args)]
struct FailureArgs {
    #[command(flatten)]
    output: OutputArgs,
    /// Deployment to simulate.
    #[arg(long, value_enum, default_value = "curbside")]
    trace: TraceName,
    /// Duration of the arrivals, in seconds.
    #[arg(long, default_value_t = 1_800.0)]
    seconds: f64,
    /// Load as a fraction of the healthy pool's capacity.
    #[arg(long, default_value_t = 0.6)]
    load: f64,
}

#[derive(Debug, Args)]
struct ExposureArgs {
    #[command(flatten)]
    output: OutputArgs,
    /// Runs per scenario and detection test.
    #[arg(long, default_value_t = 2_000)]
    runs: u32,
    /// Mean number of healthy ratings between false alarms.
    #[arg(long, default_value_t = 10_000.0)]
    false_alarm_ratings: f64,
}

/// Runs the command.
///
/// # Errors
///
/// When the measurement fails or its result cannot be written.
pub fn run(line: &CommandLine) -> anyhow::Result<()> {
    match &line.command {
        LoadCommand::Decide(command) => decide(command),
        LoadCommand::Run(args) => run_load(args),
    }
}

fn run_load(args: &RunArgs) -> anyhow::Result<()> {
    let settings = LiveSettings {
        seed: args.output.seed,
        target: args.target,
        key: args.key.clone(),
        kind: args.trace.kind(),
        rate: args.rate,
        seconds: args.seconds,
        version: args.model_version.clone(),
        tokens: args.tokens,
        direct: args.direct,
    };
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    let report = runtime.block_on(live::run(&settings))?;
    show(&report, &args.output)
}

fn decide(command: &DecideCommand) -> anyhow::Result<()> {
    match command {
        DecideCommand::Cost(args) => {
            let settings = CostSettings {
                seed: args.output.seed,
                rate: args.rate,
                seconds: args.seconds,
                warm_up: args.warm_up,
                latency_price: args.latency_price,
            };
            let report = cost::run(&settings)?;
            show(&report, &args.output)
        }
        DecideCommand::Choice(args) => {
            let (seed, seconds) = (args.output.seed, args.seconds);
            let (kind, report_lag) = (args.trace.kind(), args.report_lag);
            let report = choice::run(&ChoiceSettings { seed, seconds, kind, report_lag })?;
            show(&report, &args.output)
        }
        DecideCommand::Failure(args) => {
            let (seed, seconds) = (args.output.seed, args.seconds);
            let (kind, load) = (args.trace.kind(), args.load);
            let report = failure::run(&FailureSettings { seed, seconds, kind, load })?;
            show(&report, &args.output)
        }
        DecideCommand::Exposure(args) => {
            let settings = ExposureSettings {
                seed: args.output.seed,
                runs: args.runs,
                false_alarm_ratings: args.false_alarm_ratings,
                ..ExposureSettings::default()
            };
            show(&exposure::run(&settings), &args.output)
        }
    }
}

fn show(report: &ExperimentReport, output: &OutputArgs) -> anyhow::Result<()> {
    if output.json {
        let text = serde_json::to_string_pretty(report).context("cannot write JSON")?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    output.plot.as_ref().map_or(Ok(()), |path| write_plot(report, path))
}
