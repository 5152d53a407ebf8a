//! Endpoint of the peer protocols in one process.

use crate::calls::PeerCaller;
use crate::counters::{PeerCounters, SharedCounters};
use crate::datagram::{DatagramOpener, DatagramSealer};
use crate::handlers::HandlerTable;
use crate::keys::{KeyRing, PeerKey};
use crate::limits::PeerLimits;
use crate::members::{PeerMembers, SharedView};
use crate::membership_actor::{Depart, MembershipActor, Outbound, initial_view};
use crate::node_tasks::{
    DatagramReceiver, DatagramSender, SyncRunner, poll_host_list, send_outbound, sync_handler, tick,
};
use crate::server::PeerServer;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use oleander_core::ids::Incarnation;
use oleander_core::membership::{Member, MemberMachine, MembershipConfig};
use oleander_ports::clock::ClockPort;
use oleander_ports::hosts::HostListPort;
use oleander_ports::members::MembershipPort;
use oleander_ports::peers::{PeerChannel, PeerHandler, PeerPort};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;

/// Maximum number of concurrent membership syncs.
const MAX_CONCURRENT_SYNCS: usize = 4;

/// Length of the queue of outgoing datagrams and syncs.
const OUTBOUND_QUEUE_LENGTH: usize = 1_024;

/// Number of attempts to find a port that is free for both UDP and TCP.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Time for the last datagrams to be sent when the process stops.
const SHUTDOWN_FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Settings of a [`PeerNode`].
#[derive(Clone)]
pub struct PeerSettings {
    /// This process. With port 0 in its address, a free port is chosen.
    pub me: Member,
    /// Peer addresses to join through.
    pub seeds: Vec<SocketAddr>,
    /// The shared keys. Every key verifies; the first one signs.
    pub keys: Vec<PeerKey>,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
    /// Seed of the random choices of the membership.
    pub seed: u64,
    /// The host list of the platform, if any.
    pub hosts: Option<Arc<dyn HostListPort>>,
    /// Timing of the membership.
    pub membership: MembershipConfig,
    /// Limits and timeouts of the protocols.
    pub limits: PeerLimits,
}

impl fmt::Debug for PeerSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("PeerSettings");
        debug.field("me", &self.me).field("seeds", &self.seeds).finish_non_exhaustive()
    }
}

impl PeerSettings {
    /// Creates settings with the default timing and limits and without seeds.
    #[must_use]
    pub fn new(me: Member, keys: Vec<PeerKey>, clock: Arc<dyn ClockPort>) -> Self {
        Self {
            me,
            seeds: Vec::new(),
            keys,
            clock,
            seed: 0,
            hosts: None,
            membership: MembershipConfig::default(),
            limits: PeerLimits::default(),
        }
    }

    /// Sets the peer addresses to join through.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the seed of the random choices of the membership.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Also joins through peer addresses from the host list of the platform.
    #[must_use]
    pub fn with_hosts(mut self, hosts: Arc<dyn HostListPort>) -> Self {
        self.hosts = Some(hosts);
        self
    }

    /// Sets the timing of the membership.
    #[must_use]
    pub const fn with_membership(mut self, membership: MembershipConfig) -> Self {
        self.membership = membership;
        self
    }

    /// Sets the limits and timeouts of the protocols.
    #[must_use]
    pub const fn with_limits(mut self, limits: PeerLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum PeerStartError {
    /// No key is configured.
    #[error("peer_keys is empty: expected at least one key")]
    NoKey,
    /// The address is unspecified, so that peers cannot send to it.
    #[error("peer_address is {0}: expected the IP address of this host, which peers can reach")]
    NoAddress(SocketAddr),
    /// The port cannot be bound.
    #[error("cannot bind peer_address {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: std::io::Error,
    },
}

/// Endpoint of the peer protocols: membership over UDP and calls over TCP, on one port.
///
/// ```
/// use oleander_core::ids::{Incarnation, Revision};
/// use oleander_core::membership::{Member, MemberRole, MemberState};
/// use oleander_peers::{PeerKey, PeerNode, PeerSettings};
/// use oleander_ports::clock::SystemClock;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let me = Member {
///     id: "host-1.entry".parse().unwrap(),
///     incarnation: Incarnation::new(1),
///     role: MemberRole::Entry,
///     region: "dakar".parse().unwrap(),
///     domain: "dakar-1".parse().unwrap(),
///     address: "127.0.0.1:0".parse().unwrap(),
///     state: MemberState::Alive,
///     revision: Revision::default(),
/// };
/// let key = PeerKey::new("k1".parse().unwrap(), "a shared secret of peers".into());
/// let settings = PeerSettings::new(me, vec![key], SystemClock::shared());
/// let node = PeerNode::start(settings, Vec::new()).await.unwrap();
/// assert_ne!(node.address().port(), 0);
/// assert_eq!(node.members().members().len(), 1);
/// node.stop().await;
/// # });
/// ```
#[derive(Debug)]
pub struct PeerNode {
    address: SocketAddr,
    members: Arc<PeerMembers>,
    caller: Arc<PeerCaller>,
    handlers: Arc<HandlerTable>,
    actor: ActorRef<MembershipActor>,
    view: SharedView,
    counters: SharedCounters,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl PeerNode {
    /// Binds the port and starts the membership and the calls. Handlers can also be set later.
    ///
    /// # Errors
    ///
    /// [`PeerStartError`] if there is no key, or the address is unspecified or cannot be bound.
    pub async fn start(
        mut settings: PeerSettings,
        handlers: Vec<(PeerChannel, PeerHandler)>,
    ) -> Result<Self, PeerStartError> {
        if settings.me.address.ip().is_unspecified() {
            return Err(PeerStartError::NoAddress(settings.me.address));
        }
        let datagram_ring = KeyRing::new(&settings.keys, "udp").ok_or(PeerStartError::NoKey)?;
        let call_ring = KeyRing::new(&settings.keys, "tcp").ok_or(PeerStartError::NoKey)?;
        let (listener, socket) = bind(settings.me.address).await?;
        let address = listener.local_addr().map_err(|error| bind_error(&settings, error))?;
        settings.me.address = address;

        let counters: SharedCounters = Arc::new(PeerCounters::default());
        let table = Arc::new(HandlerTable::new(&settings.limits, Arc::clone(&counters)));
        for (channel, handler) in handlers {
            table.set(channel, handler);
        }
        let caller =
            Arc::new(PeerCaller::new(call_ring.clone(), settings.limits, Arc::clone(&counters)));
        let (outbound, queue) = mpsc::channel(OUTBOUND_QUEUE_LENGTH);
        let view = initial_view(&settings.me);
        let actor = spawn_membership_actor(&settings, outbound, &view);
        table.set(PeerChannel::Members, sync_handler(actor.clone()));

        let node = Self {
            address,
            members: Arc::new(PeerMembers::new(Arc::clone(&view), actor.clone())),
            caller,
            handlers: Arc::clone(&table),
            actor,
            view,
            counters: Arc::clone(&counters),
            tasks: Mutex::default(),
        };
        let server = PeerServer {
            me: address,
            ring: call_ring,
            limits: settings.limits,
            handlers: table,
            counters,
        };
        node.spawn(server.serve(listener));
        node.spawn_membership(&settings, &datagram_ring, Arc::new(socket), queue);
        Ok(node)
    }

    fn spawn_membership(
        &self,
        settings: &PeerSettings,
        ring: &KeyRing,
        socket: Arc<UdpSocket>,
        queue: mpsc::Receiver<Outbound>,
    ) {
        let sender = DatagramSender {
            sealer: DatagramSealer::new(ring.clone(), settings.me.incarnation),
            socket: Arc::clone(&socket),
            clock: Arc::clone(&settings.clock),
            counters: Arc::clone(&self.counters),
        };
        let receiver = DatagramReceiver {
            opener: DatagramOpener::new(ring.clone(), self.address),
            socket,
            clock: Arc::clone(&settings.clock),
            counters: Arc::clone(&self.counters),
            actor: self.actor.clone(),
        };
        let syncer = SyncRunner {
            caller: Arc::clone(&self.caller),
            actor: self.actor.clone(),
            running: Arc::new(Semaphore::new(MAX_CONCURRENT_SYNCS)),
            counters: Arc::clone(&self.counters),
        };
        self.spawn(receiver.run());
        self.spawn(send_outbound(sender, syncer, queue));
        self.spawn(tick(self.actor.clone()));
        let seeds = settings.seeds.clone();
        self.spawn(poll_host_list(self.actor.clone(), settings.hosts.clone(), seeds));
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let handle = tokio::spawn(task);
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push(handle);
    }

    /// Sets the handler of a channel and replaces an earlier one.
    pub fn handle(&self, channel: PeerChannel, handler: PeerHandler) {
        self.handlers.set(channel, handler);
    }

    /// The membership port.
    #[must_use]
    pub fn members(&self) -> Arc<dyn MembershipPort> {
        Arc::clone(&self.members) as Arc<dyn MembershipPort>
    }

    /// The port for calls to other processes.
    #[must_use]
    pub fn calls(&self) -> Arc<dyn PeerPort> {
        Arc::clone(&self.caller) as Arc<dyn PeerPort>
    }

    /// The bound address, the same for UDP and TCP.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The counters of the protocols.
    #[must_use]
    pub fn counters(&self) -> SharedCounters {
        Arc::clone(&self.counters)
    }

    /// The newer incarnation that uses the id of this process, if any; this process should then
    /// stop.
    #[must_use]
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.view.superseded_by()
    }

    /// Announces that this process has left, then closes the port and all connections.
    pub async fn stop(&self) {
        let _ = self.actor.ask(Depart {}).await;
        tokio::time::sleep(SHUTDOWN_FLUSH_DELAY).await;
        for task in self.abort_tasks() {
            let _ = task.await;
        }
        self.caller.close().await;
    }

    /// Closes the port at once without an announcement, like a crash.
    pub fn abort(&self) {
        self.abort_tasks();
    }

    fn abort_tasks(&self) -> Vec<JoinHandle<()>> {
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.iter().for_each(JoinHandle::abort);
        self.actor.kill();
        tasks
    }
}

impl Drop for PeerNode {
    fn drop(&mut self) {
        self.abort();
    }
}

fn bind_error(settings: &PeerSettings, error: std::io::Error) -> PeerStartError {
    PeerStartError::Bind { address: settings.me.address, error }
}

/// Binds TCP and UDP on one port. With port 0, retries until it finds a port that is free for
/// both.
async fn bind(address: SocketAddr) -> Result<(TcpListener, UdpSocket), PeerStartError> {
    let mut last = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        match bind_once(address).await {
            Ok(bound) => return Ok(bound),
            Err(error) if address.port() == 0 => last = Some(error),
            Err(error) => return Err(PeerStartError::Bind { address, error }),
        }
    }
    let error = last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(PeerStartError::Bind { address, error })
}

async fn bind_once(address: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let listener = TcpListener::bind(address).await?;
    let socket = UdpSocket::bind(listener.local_addr()?).await?;
    Ok((listener, socket))
}

fn spawn_membership_actor(
    settings: &PeerSettings,
    outbound: mpsc::Sender<Outbound>,
    view: &SharedView,
) -> ActorRef<MembershipActor> {
    let now = settings.clock.now();
    let mut machine = MemberMachine::new(&settings.me, settings.membership, settings.seed, now);
    machine.set_bootstrap_addresses(settings.seeds.clone());
    let clock = Arc::clone(&settings.clock);
    let actor = MembershipActor::new(machine, clock, outbound, Arc::clone(view));
    // Unbounded: the receiver handles one datagram at a time, and this process itself sends only a
    // few messages.
    MembershipActor::spawn_with_mailbox(actor, mailbox::unbounded())
}
