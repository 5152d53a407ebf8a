//! Signals that stop a process.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT, each of which asks the process to stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes over both signals.
    ///
    /// # Errors
    ///
    /// When the system refuses a handler.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of them.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
    }
}

/// SIGHUP, which says that the settings file has changed.
pub struct ReloadSignals(Signal);

impl ReloadSignals {
    /// Takes over the signal.
    ///
    /// # Errors
    ///
    /// When the system refuses a handler.
    pub fn new() -> io::Result<Self> {
        signal(SignalKind::hangup()).map(Self)
    }

    /// Waits for the next one.
    pub async fn next(&mut self) {
        self.0.recv().await;
    }
}
