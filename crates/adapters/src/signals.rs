//! Signals that stop a process or make it reload its settings.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT, either of which asks the process to stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs handlers for both signals.
    ///
    /// # Errors
    ///
    /// When the operating system refuses a handler.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of either signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
    }
}

/// SIGHUP, which asks the process to reload its settings file.
pub struct ReloadSignals(Signal);

impl ReloadSignals {
    /// Installs a handler for the signal.
    ///
    /// # Errors
    ///
    /// When the operating system refuses the handler.
    pub fn new() -> io::Result<Self> {
        signal(SignalKind::hangup()).map(Self)
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        self.0.recv().await;
    }
}
