//! Non-blocking logs as JSON lines on standard output.
//!
//! Lines go through a bounded queue to a writer thread. A line that finds the queue full or exceeds
//! the rate limit is dropped and counted; the next line that is written is followed by a line with
//! that count.

use anyhow::Context;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use std::fmt;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Capacity of the queue; at 400 bytes per line, less than half a megabyte.
const QUEUE_LINES: usize = 1_024;
/// Rate limit: one line per request of a host at 40 times the users' request rate.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Maximum wait for the queue to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

enum LogItem {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

struct RateWindow {
    since: Instant,
    lines: u32,
}

/// The fields of a line. Integers and booleans keep their JSON type; other values become strings.
struct LineFields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for LineFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Encodes one line: time in milliseconds since the Unix epoch, level, target, message, fields.
fn encode_line(record: &Record<'_>) -> anyhow::Result<Vec<u8>> {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = LineFields(serde_json::Map::new());
    fields.0.insert("time".to_owned(), (elapsed.as_millis() as u64).into());
    fields.0.insert("level".to_owned(), record.level().as_str().into());
    fields.0.insert("target".to_owned(), record.target().into());
    fields.0.insert("message".to_owned(), record.args().to_string().into());
    record.key_values().visit(&mut fields)?;
    let mut line = serde_json::to_vec(&fields.0)?;
    line.push(b'\n');
    Ok(line)
}

/// A log4rs appender that puts lines into a bounded queue.
struct BoundedAppender {
    items: SyncSender<LogItem>,
    dropped: Arc<AtomicU64>,
    window: Mutex<RateWindow>,
}

impl fmt::Debug for BoundedAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BoundedAppender")
    }
}

impl BoundedAppender {
    /// Counts a line and returns whether it is within the rate limit.
    fn admit_line(&self) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.since.elapsed() >= Duration::from_secs(1) {
            *window = RateWindow { since: Instant::now(), lines: 0 };
        }
        window.lines += 1;
        window.lines <= MAX_LINES_PER_SECOND
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.admit_line() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let line = encode_line(record)?;
        if self.items.try_send(LogItem::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (written, wait) = sync_channel(1);
        if self.items.try_send(LogItem::Flush(written)).is_ok() {
            // A reader of standard output that has stalled must not block the process.
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_items(items: &Receiver<LogItem>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(item) = items.recv() {
        // Write errors are ignored: without a reader they cannot be reported either.
        match item {
            LogItem::Line(line) => {
                let _ = out.write_all(&line);
                let count = dropped.swap(0, Ordering::Relaxed);
                if count > 0 {
                    let _ = writeln!(out, "{{\"target\":\"log\",\"dropped\":{count}}}");
                }
                let _ = out.flush();
            }
            LogItem::Flush(written) => {
                let _ = written.send(());
            }
        }
    }
}

/// Starts logging to standard output at `level`.
///
/// # Errors
///
/// When `level` is not a log level, or a logger is already installed.
pub fn start_bounded_logs(level: &str) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse().with_context(|| {
        format!("invalid log level {level:?}: expected error, warn, info, debug or trace")
    })?;
    let (items, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    let writer = std::thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || write_items(&queue, &counter))
        .context("cannot start the log writer thread")?;
    let appender = BoundedAppender {
        items,
        dropped,
        window: Mutex::new(RateWindow { since: Instant::now(), lines: 0 }),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .build(Root::builder().appender("stdout").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
