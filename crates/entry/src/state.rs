//! What every request of an entry shares.

use crate::parts::EntryParts;
use std::sync::atomic::{AtomicBool, Ordering};

/// State shared by every request.
pub struct EntryState {
    /// The ports and settings.
    pub parts: EntryParts,
    draining: AtomicBool,
}

impl EntryState {
    /// State of an entry that has served nothing yet.
    pub fn new(parts: EntryParts) -> Self {
        Self { parts, draining: AtomicBool::new(false) }
    }

    /// Lets the health check fail from now on.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the entry is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
