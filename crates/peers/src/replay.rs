//! Replay protection: remembers which datagrams of each sender were accepted.

use oleander_core::ids::{HostId, Incarnation};
use std::collections::HashMap;

/// Size of the window: duplicates are recognized among this many counters, up to and including the
/// highest accepted one. Older counters are rejected.
pub const REPLAY_WINDOW: u64 = 256;

/// Maximum number of senders that are remembered. After the eviction of a sender its protection
/// starts anew: its datagrams could be accepted again.
pub const MAX_SENDERS: usize = 4_096;

const WORD_BITS: u64 = 64;
const WORDS: usize = (REPLAY_WINDOW / WORD_BITS) as usize;

/// The accepted counters of one incarnation of a sender.
///
/// ```
/// use oleander_peers::replay::ReplayWindow;
///
/// let mut window = ReplayWindow::default();
/// assert!(window.accept(7));
/// assert!(!window.accept(7));
/// assert!(window.accept(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    received: [u64; WORDS],
}

impl ReplayWindow {
    /// Returns whether the counter is accepted, and records it if so. Counters start at 1; 0,
    /// duplicates and counters older than the window are rejected.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            self.advance(counter);
            return true;
        }
        if counter == 0 || self.highest - counter >= REPLAY_WINDOW {
            return false;
        }
        let (word, bit) = bit_position(counter);
        let fresh = self.received[word] & bit == 0;
        self.received[word] |= bit;
        fresh
    }

    fn advance(&mut self, counter: u64) {
        let steps = (counter - self.highest).min(REPLAY_WINDOW);
        for skipped in (counter - steps + 1)..=counter {
            let (word, bit) = bit_position(skipped);
            self.received[word] &= !bit;
        }
        self.highest = counter;
        let (word, bit) = bit_position(counter);
        self.received[word] |= bit;
    }
}

const fn bit_position(counter: u64) -> (usize, u64) {
    let slot = counter % REPLAY_WINDOW;
    ((slot / WORD_BITS) as usize, 1 << (slot % WORD_BITS))
}

/// The replay windows of all known senders.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    windows: HashMap<HostId, SenderWindow>,
}

#[derive(Debug, Default)]
struct SenderWindow {
    incarnation: Incarnation,
    window: ReplayWindow,
    last_used: u64,
}

impl ReplayGuard {
    /// Returns whether a datagram is accepted, and records its counter if so. The datagram must
    /// have been authenticated, since a forged one could make the sender's own be rejected. An
    /// incarnation is one start of the sender; a later start has a higher one. Datagrams of an
    /// older incarnation than the newest known one are rejected. `now` is the receiver's clock in
    /// milliseconds and only decides which sender is evicted.
    pub fn accept(
        &mut self,
        sender: &HostId,
        incarnation: Incarnation,
        counter: u64,
        now: u64,
    ) -> bool {
        if !self.windows.contains_key(sender) {
            self.evict_least_recent();
        }
        let known = self.windows.entry(sender.clone()).or_default();
        if incarnation < known.incarnation {
            return false;
        }
        if incarnation > known.incarnation {
            *known = SenderWindow { incarnation, ..SenderWindow::default() };
        }
        known.last_used = now;
        known.window.accept(counter)
    }

    fn evict_least_recent(&mut self) {
        if self.windows.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.windows.iter().min_by_key(|(_, known)| known.last_used);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.windows.remove(&id);
        }
    }
}
