//! One budget of bytes and descriptors for all connections of clients.
//!
//! Load it addresses: clients that hold memory without asking for anything, such as bodies that stop just short of
//! their end, unfinished headers, and crowds of idle connections. Without a common budget each of them is within the
//! limits of a request, and all of them together end the process.
//!
//! When the budget is used up, the least valuable connections are closed first: unfinished headers, the oldest first;
//! then the connections that are idle for longest; then unfinished bodies without progress. A request that is being
//! served is never closed. What still does not fit is refused.

use crate::units::{ByteCount, Timestamp};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Descriptors for files, among them the standard streams, the settings and the log.
const FILE_DESCRIPTORS: u32 = 200;
/// Parts (1/n) of the memory for connections. The rest is for the configuration, upstreams and what the allocator
/// cannot give back at once.
const MEMORY_DIVISOR: u64 = 2;
/// Connections that do not read requests, such as those to upstreams, may use one of this many descriptors.
const OTHER_SOCKETS_DIVISOR: u32 = 4;
/// Probes may use one of this many connections and bytes in any case, up to [`MAX_PROBES`].
const PROBES_DIVISOR: u32 = 16;
/// A balancer and a collector of metrics need a few connections.
const MAX_PROBES: u32 = 64;
/// Large requests may use one of this many bytes, so that small ones still fit beside them.
const LARGE_DIVISOR: u64 = 2;
/// Maximum size of what connections hold that is small.
pub const MAX_SMALL: ByteCount = ByteCount::new(64 * 1024);
/// What an open connection costs in any case: its task, timers and the smallest read buffer.
pub const CONNECTION_COST: ByteCount = ByteCount::new(12 * 1024);
/// Parts (1/n) of the budget that are freed at once, so that not each arrival searches for a connection to close.
const FREED_DIVISOR: u64 = 16;
/// Time without a byte after which an unfinished body makes no progress. Senders on long paths pause for a round trip.
const STALL_TIME: Duration = Duration::from_millis(250);
/// The same for the sake of a large request, which can wait rather than small ones. Only connections that do nothing
/// for this long are closed for it.
const LONG_STALL_TIME: Duration = Duration::from_secs(1);
/// Time for which the rate of a body is not compared.
const RATE_GRACE: Duration = Duration::from_secs(1);
/// Minimum size of a socket's receive buffer: an ordinary request fits.
const MIN_SOCKET_BUFFER: u64 = 16 * 1024;
/// Receive buffers that the operating system chooses are about this large; larger ones are left to it.
pub const USUAL_SOCKET_BUFFER: ByteCount = ByteCount::new(128 * 1024);
/// Just less than the smallest buffer of the parser.
const MAX_SMALL_READ: ByteCount = ByteCount::new(8 * 1024 - 1);
/// Minimum rate of a body that makes progress, in bytes a second.
const MIN_BODY_RATE: u64 = 16 * 1024;

/// Identifies a connection within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Who connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientClass {
    /// Callers of routes.
    Caller,
    /// Clients of the readiness and metrics endpoints.
    Probe,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It waits for a request.
    Idle,
    /// The headers of a request are arriving.
    Headers,
    /// The body of a request is arriving.
    Body,
    /// A request is being served.
    Served,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CloseReason {
    /// The headers of its request were not complete.
    UnfinishedHeaders,
    /// It was idle.
    Idle,
    /// The body of its request made no progress.
    StalledBody,
}

impl CloseReason {
    /// Name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::UnfinishedHeaders => "unfinished_headers",
            Self::Idle => "idle",
            Self::StalledBody => "stalled_body",
        }
    }
}

/// How much all connections may use together.
///
/// ```
/// use oleander_core::connection_budget::BudgetLimits;
///
/// let limits = BudgetLimits::new("120 MB".parse().unwrap(), 3_075);
/// assert_eq!(limits.bytes.to_string(), "60 MB");
/// assert_eq!(limits.connections, 2_157);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that connections may hold.
    pub bytes: ByteCount,
    /// Connections of clients.
    pub connections: u32,
}

impl BudgetLimits {
    /// Derives the limits from the memory and the descriptors of the process.
    #[must_use]
    pub const fn new(memory: ByteCount, descriptors: u32) -> Self {
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = sockets - sockets / OTHER_SOCKETS_DIVISOR;
        Self { bytes: ByteCount::new(memory.get() / MEMORY_DIVISOR), connections }
    }

    /// Size of the receive buffer of each connection, where the usual one is too large for so many: bytes that
    /// were received but not read count as memory of the process.
    #[must_use]
    pub const fn socket_buffer(&self) -> Option<ByteCount> {
        let share =
            self.bytes.get() / if self.connections == 0 { 1 } else { self.connections as u64 };
        let size = if share < MIN_SOCKET_BUFFER { MIN_SOCKET_BUFFER } else { share };
        if size < USUAL_SOCKET_BUFFER.get() { Some(ByteCount::new(size)) } else { None }
    }

    /// Size of the receive buffer of a connection to a server. The system's own choice grows with what the server
    /// sends, to many times the usual size, and nothing counts how many such connections there are.
    ///
    /// ```
    /// use oleander_core::connection_budget::{BudgetLimits, USUAL_SOCKET_BUFFER};
    /// use oleander_core::units::ByteCount;
    ///
    /// let limits = BudgetLimits::new(ByteCount::new(8_000_000_000), 4_100);
    /// assert_eq!(limits.receive_buffer(), USUAL_SOCKET_BUFFER);
    /// let limits = BudgetLimits::new(ByteCount::new(110_000_000), 4_100);
    /// assert!(limits.receive_buffer() < USUAL_SOCKET_BUFFER);
    /// ```
    #[must_use]
    pub const fn receive_buffer(&self) -> ByteCount {
        match self.socket_buffer() {
            Some(size) => size,
            None => USUAL_SOCKET_BUFFER,
        }
    }

    /// Maximum size of one read from a connection, where connections have small buffers. The parser doubles its buffer
    /// after each read that fills it, and keeps it.
    #[must_use]
    pub const fn max_read(&self) -> Option<ByteCount> {
        if self.socket_buffer().is_some() { Some(MAX_SMALL_READ) } else { None }
    }

    /// Connections of a class that may be open.
    const fn connections(&self, class: ClientClass) -> u32 {
        let share = self.connections / PROBES_DIVISOR;
        let probes = if share < MAX_PROBES { share } else { MAX_PROBES };
        match class {
            ClientClass::Probe => probes,
            ClientClass::Caller => self.connections - probes,
        }
    }

    /// Bytes that all connections may hold after one of a class holds more.
    const fn bytes(&self, class: ClientClass, is_large: bool) -> u64 {
        let bytes = self.bytes.get();
        match class {
            ClientClass::Probe => bytes,
            ClientClass::Caller if is_large => bytes / LARGE_DIVISOR,
            ClientClass::Caller => bytes - bytes / PROBES_DIVISOR as u64,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    class: ClientClass,
    phase: ConnectionPhase,
    /// When the phase began.
    since: Timestamp,
    /// When bytes of the body arrived last.
    last_received: Timestamp,
    /// Bytes of the body that arrived.
    received: u64,
    /// Bytes held, without those that every connection costs.
    held: u64,
}

impl ConnectionEntry {
    const fn cost(&self) -> u64 {
        CONNECTION_COST.get() + self.held
    }

    /// Why the connection may be closed, and since when; `None` if it may not.
    fn closable(&self, for_large: bool, now: Timestamp) -> Option<(CloseReason, Timestamp)> {
        let is_fresh = for_large && now.since(self.since) < LONG_STALL_TIME;
        match self.phase {
            _ if is_fresh => None,
            ConnectionPhase::Headers => Some((CloseReason::UnfinishedHeaders, self.since)),
            ConnectionPhase::Idle => Some((CloseReason::Idle, self.since)),
            ConnectionPhase::Body if self.is_stalled(for_large, now) => {
                Some((CloseReason::StalledBody, self.last_received))
            }
            ConnectionPhase::Body | ConnectionPhase::Served => None,
        }
    }

    fn is_stalled(&self, for_large: bool, now: Timestamp) -> bool {
        let stall_time = if for_large { LONG_STALL_TIME } else { STALL_TIME };
        let age = now.since(self.since).saturating_sub(RATE_GRACE);
        let expected = MIN_BODY_RATE.saturating_mul(age.as_millis() as u64) / 1_000;
        now.since(self.last_received) >= stall_time || self.received < expected
    }
}

/// What all connections hold, and which of them are to be closed.
///
/// ```
/// use oleander_core::connection_budget::{
///     BudgetLimits, ClientClass, CloseReason, ConnectionBudget,
/// };
/// use oleander_core::units::{ByteCount, Timestamp};
///
/// let limits = BudgetLimits { bytes: ByteCount::new(1_000_000), connections: 17 };
/// let mut budget = ConnectionBudget::new(limits);
/// let at = Timestamp::from_millis;
/// let first = budget.open(ClientClass::Caller, at(0)).unwrap();
/// for time in 1..=16 {
///     budget.open(ClientClass::Caller, at(time)).unwrap();
/// }
/// assert_eq!(budget.take_closing(), [(first, CloseReason::Idle)]);
/// ```
#[derive(Debug)]
pub struct ConnectionBudget {
    limits: BudgetLimits,
    /// Open connections, without those that are to be closed.
    entries: HashMap<ConnectionId, ConnectionEntry>,
    closing: Vec<(ConnectionId, CloseReason)>,
    /// What the entries cost.
    used: u64,
    callers: u32,
    probes: u32,
    last_id: u64,
}

impl ConnectionBudget {
    /// Creates the budget of a process without connections.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            closing: Vec::new(),
            used: 0,
            callers: 0,
            probes: 0,
            last_id: 0,
        }
    }

    /// Takes over changed limits; what is above them is closed when more is asked for.
    pub const fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// The limits in force.
    #[must_use]
    pub const fn limits(&self) -> &BudgetLimits {
        &self.limits
    }

    /// Opens an idle connection; `None` if there is no room for it.
    pub fn open(&mut self, class: ClientClass, now: Timestamp) -> Option<ConnectionId> {
        let limit = self.limits.connections(class);
        if self.count(class) >= limit {
            self.close_one(class, now)?;
        }
        if !self.make_room(class, None, CONNECTION_COST.get(), false, now) {
            return None;
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let phase = ConnectionPhase::Idle;
        let entry =
            ConnectionEntry { class, phase, since: now, last_received: now, received: 0, held: 0 };
        self.entries.insert(id, entry);
        self.used += entry.cost();
        *self.count_mut(class) += 1;
        Some(id)
    }

    /// Records what a connection does from now on.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = phase;
            entry.since = now;
            entry.last_received = now;
            entry.received = 0;
        }
    }

    /// Records that bytes of a body arrived.
    pub fn receive(&mut self, id: ConnectionId, bytes: ByteCount, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.received += bytes.get();
            entry.last_received = now;
        }
    }

    /// Lets a connection hold more bytes. Returns whether they fit, after other connections were closed if necessary;
    /// if not, it holds as much as before. A connection that is to be closed may not hold more.
    #[must_use]
    pub fn hold(&mut self, id: ConnectionId, added: ByteCount, now: Timestamp) -> bool {
        let Some(entry) = self.entries.get(&id) else { return false };
        let (class, held) = (entry.class, entry.held + added.get());
        let is_large = held > MAX_SMALL.get();
        if !self.make_room(class, Some(id), added.get(), is_large, now) {
            return false;
        }
        self.add(id, added);
        true
    }

    /// Lets a connection hold more bytes if they fit into the part for large requests, without closing others.
    #[must_use]
    pub fn hold_spare(&mut self, id: ConnectionId, added: ByteCount) -> bool {
        let Some(entry) = self.entries.get(&id) else { return false };
        let fits = self.used + added.get() <= self.limits.bytes(entry.class, true);
        if fits {
            self.add(id, added);
        }
        fits
    }

    /// Records that a connection holds more bytes, whether they fit or not.
    pub fn add(&mut self, id: ConnectionId, added: ByteCount) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.held += added.get();
            self.used += added.get();
        }
    }

    /// Records that a connection holds fewer bytes.
    pub fn release(&mut self, id: ConnectionId, bytes: ByteCount) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let released = bytes.get().min(entry.held);
            entry.held -= released;
            self.used -= released;
        }
    }

    /// Records that a connection was closed.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.used -= entry.cost();
            *self.count_mut(entry.class) -= 1;
        }
    }

    /// Takes the connections that are to be closed now.
    pub fn take_closing(&mut self) -> Vec<(ConnectionId, CloseReason)> {
        std::mem::take(&mut self.closing)
    }

    /// Bytes in use.
    #[must_use]
    pub const fn used(&self) -> ByteCount {
        ByteCount::new(self.used)
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    const fn count(&self, class: ClientClass) -> u32 {
        match class {
            ClientClass::Caller => self.callers,
            ClientClass::Probe => self.probes,
        }
    }

    const fn count_mut(&mut self, class: ClientClass) -> &mut u32 {
        match class {
            ClientClass::Caller => &mut self.callers,
            ClientClass::Probe => &mut self.probes,
        }
    }

    /// Closes the least valuable connection of a class.
    fn close_one(&mut self, class: ClientClass, now: Timestamp) -> Option<()> {
        let of_class = self.entries.iter().filter(|(_, entry)| entry.class == class);
        let closable = of_class.filter_map(|(id, entry)| Some((entry.closable(false, now)?, *id)));
        let ((reason, _), id) = closable.min()?;
        self.begin_close(id, reason);
        Some(())
    }

    /// Closes connections other than `asking` until `added` bytes fit. Returns whether they fit.
    fn make_room(
        &mut self,
        class: ClientClass,
        asking: Option<ConnectionId>,
        added: u64,
        is_large: bool,
        now: Timestamp,
    ) -> bool {
        let limit = self.limits.bytes(class, is_large);
        if self.used + added <= limit {
            return true;
        }
        let (mut closable, mut most) = (Vec::new(), 0);
        for (id, entry) in self.entries.iter().filter(|(id, _)| Some(**id) != asking) {
            if let Some(found) = entry.closable(is_large, now) {
                closable.push((found, *id));
                most += entry.cost();
            }
        }
        // Nothing is closed in vain.
        if self.used - most + added > limit {
            return false;
        }
        closable.sort_unstable_by_key(|found| Reverse(*found));
        let target = limit - limit / FREED_DIVISOR;
        while self.used + added > target
            && let Some(((reason, _), id)) = closable.pop()
        {
            self.begin_close(id, reason);
        }
        true
    }

    fn begin_close(&mut self, id: ConnectionId, reason: CloseReason) {
        self.close(id);
        self.closing.push((id, reason));
    }
}
