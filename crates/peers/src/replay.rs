//! Replay protection: remembers which datagrams of each sender were received.

use oleander_core::ids::{HostId, Incarnation};
use std::collections::HashMap;

/// Number of counters up to the highest one for which duplicates are recognized; older counters
/// are rejected.
pub const REPLAY_WINDOW: u64 = 256;

/// Maximum number of senders that are remembered.
pub const MAX_SENDERS: usize = 4_096;

const WORD_BITS: u64 = 64;
const WORDS: usize = (REPLAY_WINDOW / WORD_BITS) as usize;

/// The received counters of one incarnation of a sender.
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
    /// Records a counter and returns whether it is new. Counters start at 1.
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
    /// Records a datagram and returns whether it is new. Datagrams of an older incarnation than the
    /// newest known one are rejected. `now` is in milliseconds.
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
