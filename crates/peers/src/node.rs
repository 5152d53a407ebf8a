//! One process's end of the peer protocols.

use crate::calls::PeerCaller;
use crate::counters::{PeerCounters, SharedCounters};
use crate::datagram::{DatagramOpener, DatagramSealer};
use crate::handlers::HandlerTable;
use crate::keeper::{Depart, MembershipKeeper, Outbound, first_view};
use crate::keys::{KeyRing, PeerKey};
use crate::limits::PeerLimits;
use crate::members::{PeerMembers, SharedView};
use crate::node_tasks::{
    DatagramReceiver, DatagramSender, SyncRunner, read_list, send_outbound, sync_handler, tick,
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

/// Comparisons that this process has under way at once.
const SYNCS_AT_ONCE: usize = 4;

/// Datagrams and comparisons that wait to be sent.
const QUEUED_OUTBOUND: usize = 1_024;

/// How often a free port for UDP and TCP together is sought.
const BIND_ATTEMPTS: usize = 16;

/// Time for the last datagrams of a stopping process to leave.
const FAREWELL_PAUSE: Duration = Duration::from_millis(20);

/// What a node needs.
#[derive(Clone)]
pub struct PeerSettings {
    /// This process. Port 0 of its address takes a free port.
    pub me: Member,
    /// Peer ports asked for the membership at the start.
    pub seeds: Vec<SocketAddr>,
    /// Keys: each verifies, the first signs.
    pub keys: Vec<PeerKey>,
    /// Tells the time.
    pub clock: Arc<dyn ClockPort>,
    /// Seed of the membership's random choices.
    pub seed: u64,
    /// The platform's list of hosts, if any.
    pub hosts: Option<Arc<dyn HostListPort>>,
    /// Timing of the membership.
    pub membership: MembershipConfig,
    /// Bounds and times of the protocols.
    pub limits: PeerLimits,
}

impl fmt::Debug for PeerSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("PeerSettings");
        debug.field("me", &self.me).field("seeds", &self.seeds).finish_non_exhaustive()
    }
}

impl PeerSettings {
    /// Settings of a process with the default timing and bounds and no seeds.
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

    /// Asks these peer ports for the membership.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Seeds the membership's random choices.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Reads the platform's list for further peers.
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

    /// Sets the bounds and times of the protocols.
    #[must_use]
    pub const fn with_limits(mut self, limits: PeerLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum PeerStartError {
    /// No key was given.
    #[error("no peer key is set; give at least one in peer_keys")]
    NoKey,
    /// The address is not one that others can send to.
    #[error("peer_address {0} is not an address of this host; write out its IP number")]
    NoAddress(SocketAddr),
    /// The port cannot be bound.
    #[error("peer_address {address} cannot be bound: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
}

/// One process's end of the peer protocols: membership and calls on one port, UDP and TCP.
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
    keeper: ActorRef<MembershipKeeper>,
    view: SharedView,
    counters: SharedCounters,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl PeerNode {
    /// Binds the port and starts the membership and the calls. More handlers may be set later.
    ///
    /// # Errors
    ///
    /// [`PeerStartError`] when there is no key or the port cannot be bound.
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
        let (outbound, queue) = mpsc::channel(QUEUED_OUTBOUND);
        let view = first_view(&settings.me);
        let keeper = spawn_keeper(&settings, outbound, &view);
        table.set(PeerChannel::Members, sync_handler(keeper.clone()));

        let node = Self {
            address,
            members: Arc::new(PeerMembers::new(Arc::clone(&view), keeper.clone())),
            caller,
            handlers: Arc::clone(&table),
            keeper,
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
            keeper: self.keeper.clone(),
        };
        let syncer = SyncRunner {
            caller: Arc::clone(&self.caller),
            keeper: self.keeper.clone(),
            running: Arc::new(Semaphore::new(SYNCS_AT_ONCE)),
            counters: Arc::clone(&self.counters),
        };
        self.spawn(receiver.run());
        self.spawn(send_outbound(sender, syncer, queue));
        self.spawn(tick(self.keeper.clone()));
        let seeds = settings.seeds.clone();
        self.spawn(read_list(self.keeper.clone(), settings.hosts.clone(), seeds));
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let handle = tokio::spawn(task);
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push(handle);
    }

    /// Sets the handler of a channel, in place of an earlier one.
    pub fn handle(&self, channel: PeerChannel, handler: PeerHandler) {
        self.handlers.set(channel, handler);
    }

    /// The membership.
    #[must_use]
    pub fn members(&self) -> Arc<dyn MembershipPort> {
        Arc::clone(&self.members) as Arc<dyn MembershipPort>
    }

    /// Calls to other processes.
    #[must_use]
    pub fn calls(&self) -> Arc<dyn PeerPort> {
        Arc::clone(&self.caller) as Arc<dyn PeerPort>
    }

    /// The address that is bound, UDP and TCP alike.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the protocols counted.
    #[must_use]
    pub fn counters(&self) -> SharedCounters {
        Arc::clone(&self.counters)
    }

    /// The newer incarnation that uses this process's id, if any. This process should stop.
    #[must_use]
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.view.superseded_by()
    }

    /// Says that this process is gone, and closes the port and every connection.
    pub async fn stop(&self) {
        let _ = self.keeper.ask(Depart {}).await;
        tokio::time::sleep(FAREWELL_PAUSE).await;
        for task in self.abort_tasks() {
            let _ = task.await;
        }
        self.caller.close().await;
    }

    /// Closes the port at once and says nothing, as a crash would.
    pub fn abort(&self) {
        self.abort_tasks();
    }

    fn abort_tasks(&self) -> Vec<JoinHandle<()>> {
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.iter().for_each(JoinHandle::abort);
        self.keeper.kill();
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

/// Binds TCP and UDP on one port. For port 0, tries until a port is free for both.
async fn bind(address: SocketAddr) -> Result<(TcpListener, UdpSocket), PeerStartError> {
    let mut last = None;
    for _ in 0..BIND_ATTEMPTS {
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

fn spawn_keeper(
    settings: &PeerSettings,
    outbound: mpsc::Sender<Outbound>,
    view: &SharedView,
) -> ActorRef<MembershipKeeper> {
    let now = settings.clock.now();
    let mut machine = MemberMachine::new(&settings.me, settings.membership, settings.seed, now);
    machine.set_bootstrap_addresses(settings.seeds.clone());
    let clock = Arc::clone(&settings.clock);
    let keeper = MembershipKeeper::new(machine, clock, outbound, Arc::clone(view));
    // Unbounded for the few messages of this process itself; datagrams come one at a time.
    MembershipKeeper::spawn_with_mailbox(keeper, mailbox::unbounded())
}
