//! Slots of an engine and the queue of requests for them, ordered by priority.

use oleander_core::catalog::objects::Priority;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

#[derive(Default)]
struct QueueState {
    running: u32,
    last_number: u64,
    waiting: BTreeMap<(Reverse<Priority>, u64), oneshot::Sender<SlotPermit>>,
}

/// A semaphore with a bounded priority queue. Clones share the state.
#[derive(Clone)]
pub(super) struct SlotQueue {
    slots: u32,
    queue_limit: u32,
    state: Arc<Mutex<QueueState>>,
}

/// An acquired slot; released on drop.
pub(super) struct SlotPermit {
    queue: SlotQueue,
}

impl SlotQueue {
    pub(super) fn new(slots: u32, queue_limit: u32) -> Self {
        Self { slots, queue_limit, state: Arc::default() }
    }

    /// Numbers of running and of queued requests.
    pub(super) fn load(&self) -> (u32, u32) {
        let mut state = self.lock();
        state.waiting.retain(|_, sender| !sender.is_closed());
        (state.running, state.waiting.len() as u32)
    }

    /// Waits for a slot; returns `None` immediately if the queue is full.
    pub(super) async fn acquire(&self, priority: Priority) -> Option<SlotPermit> {
        let receiver = {
            let mut state = self.lock();
            if state.running < self.slots {
                state.running += 1;
                return Some(SlotPermit { queue: self.clone() });
            }
            state.waiting.retain(|_, sender| !sender.is_closed());
            if state.waiting.len() as u32 >= self.queue_limit {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            state.last_number += 1;
            let key = (Reverse(priority), state.last_number);
            state.waiting.insert(key, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Passes the slot to the first request that still waits, or frees it if there is none.
    fn release(&self) {
        loop {
            let sender = {
                let mut state = self.lock();
                match state.waiting.pop_first() {
                    Some((_, sender)) => sender,
                    None => {
                        state.running -= 1;
                        return;
                    }
                }
            };
            if sender.is_closed() {
                continue;
            }
            // If the receiver is gone, the permit is dropped and releases the slot.
            let _ = sender.send(SlotPermit { queue: self.clone() });
            return;
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.release();
    }
}
