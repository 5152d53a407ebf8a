//! Which datagrams of a sender were seen already.

use oleander_core::ids::{HostId, Incarnation};
use std::collections::HashMap;

/// How many counters below the highest are still told apart.
pub const REPLAY_WINDOW: u64 = 256;

/// Most senders that are remembered.
pub const MAX_SENDERS: usize = 4_096;

const WORD_BITS: u64 = 64;
const WORDS: usize = (REPLAY_WINDOW / WORD_BITS) as usize;

/// The counters of one sender's incarnation that were seen.
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
    seen: [u64; WORDS],
}

impl ReplayWindow {
    /// Whether a counter is new; it counts as seen from now on. Counters begin at 1.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            self.advance(counter);
            return true;
        }
        if counter == 0 || self.highest - counter >= REPLAY_WINDOW {
            return false;
        }
        let (word, bit) = place(counter);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    fn advance(&mut self, counter: u64) {
        let steps = (counter - self.highest).min(REPLAY_WINDOW);
        for passed in (counter - steps + 1)..=counter {
            let (word, bit) = place(passed);
            self.seen[word] &= !bit;
        }
        self.highest = counter;
        let (word, bit) = place(counter);
        self.seen[word] |= bit;
    }
}

const fn place(counter: u64) -> (usize, u64) {
    let slot = counter % REPLAY_WINDOW;
    ((slot / WORD_BITS) as usize, 1 << (slot % WORD_BITS))
}

/// The windows of every sender that was heard.
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
    /// Whether a datagram is new. One of an older incarnation than the newest heard is not.
    pub fn accept(
        &mut self,
        sender: &HostId,
        incarnation: Incarnation,
        counter: u64,
        now: u64,
    ) -> bool {
        if !self.windows.contains_key(sender) {
            self.make_room();
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

    fn make_room(&mut self) {
        if self.windows.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.windows.iter().min_by_key(|(_, known)| known.last_used);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.windows.remove(&id);
        }
    }
}
