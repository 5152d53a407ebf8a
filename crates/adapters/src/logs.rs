//! Logs as JSON lines on standard error, through log4rs.

use anyhow::Context;
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Starts logging to standard error at `level`.
///
/// # Errors
///
/// When `level` is not a log level, or a logger is already installed.
pub fn start_logs(level: &str) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse().with_context(|| {
        format!("invalid log level {level:?}: expected error, warn, info, debug or trace")
    })?;
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
