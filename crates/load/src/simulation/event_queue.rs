//! Event queue ordered by time. Events with equal times keep the order in which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SimulationEvent {
    /// A request of the trace arrives.
    Arrive(usize),
    /// An attempt reaches its engine.
    ReachEngine(usize),
    /// An engine's step ends.
    StepEnd(usize),
    /// The router sees an attempt's first token.
    FirstToken(usize),
    /// The router sees an attempt's end.
    Finished(usize),
    /// The router sees that an attempt failed.
    Failed(usize),
    /// A request's next attempt starts after a backoff.
    Retry(usize),
    /// A request's deadline passes.
    Deadline(usize),
    /// An engine creates a load report.
    MakeReport(usize),
    /// A load report arrives at the router: engine; running, queued and own requests at the time of
    /// the report; that time.
    Report(usize, u32, u32, u32, u64),
    /// A cache event arrives at the router: engine, event number, prefix, cached.
    Cache(usize, u64, u64, bool),
    /// A rating arrives at the router: class, tier, confidence, score.
    Rating(usize, usize, f64, f64),
    /// Engines start or stop failing: tier, engines, failing.
    Fault(usize, usize, bool),
}

#[derive(Clone, Copy, Debug)]
struct QueuedEvent {
    key: Reverse<(u64, u64)>,
    event: SimulationEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

/// The events that are still to be handled.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<QueuedEvent>,
    added: u64,
}

impl EventQueue {
    /// Adds an event at a time in microseconds.
    pub fn push(&mut self, at: u64, event: SimulationEvent) {
        self.added += 1;
        self.heap.push(QueuedEvent { key: Reverse((at, self.added)), event });
    }

    /// Removes the earliest event and returns it with its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, SimulationEvent)> {
        let queued = self.heap.pop()?;
        Some((queued.key.0.0, queued.event))
    }
}
