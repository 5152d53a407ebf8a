//! Records events, in memory or as JSON lines.

use crate::event::{HistoryEvent, SeenEvent};
use crate::history::History;
use oleander_core::units::Timestamp;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

/// Records events. Clones record into the same history; a disabled recorder does nothing.
///
/// ```
/// use oleander_core::units::Timestamp;
/// use oleander_history::{HistoryRecorder, SeenEvent};
///
/// let recorder = HistoryRecorder::in_memory();
/// recorder.record(Timestamp::from_millis(1), "reader", SeenEvent::BillingRead);
/// assert_eq!(recorder.history().events.len(), 1);
/// ```
#[derive(Clone, Default)]
pub struct HistoryRecorder {
    sink: Option<Arc<Mutex<RecorderSink>>>,
}

enum RecorderSink {
    Memory(Vec<HistoryEvent>),
    Lines(Box<dyn Write + Send>),
}

impl HistoryRecorder {
    /// Creates a disabled recorder.
    #[must_use]
    pub fn off() -> Self {
        Self::default()
    }

    /// Creates a recorder that keeps the events in memory.
    #[must_use]
    pub fn in_memory() -> Self {
        Self::with_sink(RecorderSink::Memory(Vec::new()))
    }

    /// Creates a recorder that appends JSON lines to a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be opened.
    pub fn to_file(path: &Path) -> io::Result<Self> {
        let file = std::fs::File::options().create(true).append(true).open(path)?;
        Ok(Self::to_writer(Box::new(file)))
    }

    /// Creates a recorder that writes JSON lines.
    #[must_use]
    pub fn to_writer(writer: Box<dyn Write + Send>) -> Self {
        Self::with_sink(RecorderSink::Lines(writer))
    }

    fn with_sink(sink: RecorderSink) -> Self {
        Self { sink: Some(Arc::new(Mutex::new(sink))) }
    }

    /// Records one event. An event that cannot be written is dropped, like one that the recording
    /// process loses.
    pub fn record(&self, at: Timestamp, by: &str, seen: SeenEvent) {
        let Some(sink) = &self.sink else { return };
        let event = HistoryEvent { at, by: Arc::from(by), seen };
        match &mut *sink.lock().unwrap_or_else(PoisonError::into_inner) {
            RecorderSink::Memory(events) => events.push(event),
            RecorderSink::Lines(writer) => {
                if let Ok(mut line) = serde_json::to_vec(&event) {
                    line.push(b'\n');
                    let _ = writer.write_all(&line);
                }
            }
        }
    }

    /// The events recorded in memory so far; empty for other recorders.
    #[must_use]
    pub fn history(&self) -> History {
        let Some(sink) = &self.sink else { return History::default() };
        match &*sink.lock().unwrap_or_else(PoisonError::into_inner) {
            RecorderSink::Memory(events) => History::new(events.clone()),
            RecorderSink::Lines(_) => History::default(),
        }
    }
}
