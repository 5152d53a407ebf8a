//! The tasks of a node: sending and receiving datagrams, syncs, ticks and polls of the host list.

use crate::calls::PeerCaller;
use crate::counters::SharedCounters;
use crate::datagram::{DatagramError, DatagramOpener, DatagramSealer, MAX_DATAGRAM_BYTES};
use crate::membership_actor::{
    AnswerSync, DatagramReceived, FinishSync, MembershipActor, Outbound, SetBootstrapAddresses,
    Tick,
};
use kameo::actor::ActorRef;
use oleander_core::membership::message::{SyncCall, SyncReply};
use oleander_ports::clock::ClockPort;
use oleander_ports::hosts::{HostListPort, ListedRole};
use oleander_ports::peers::{PeerChannel, PeerError, PeerHandler, PeerPort};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Semaphore, mpsc};

/// Interval between ticks of the membership.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reads of the platform's host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(15);

/// Timeout of one call of a sync.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles the sync requests of other processes.
pub(crate) fn sync_handler(actor: ActorRef<MembershipActor>) -> PeerHandler {
    Arc::new(move |body| {
        let actor = actor.clone();
        Box::pin(async move {
            let call: SyncCall = postcard::from_bytes(&body)
                .map_err(|_| PeerError::Refused("the comparison is malformed".into()))?;
            let reply = actor.ask(AnswerSync { call }).await;
            let reply = reply.map_err(|_| PeerError::Unknown("the process stops".into()))?;
            postcard::to_stdvec(&reply).map_err(|error| PeerError::Unknown(error.to_string()))
        })
    })
}

/// Signs and sends datagrams.
pub(crate) struct DatagramSender {
    pub(crate) sealer: DatagramSealer,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) clock: Arc<dyn ClockPort>,
    pub(crate) counters: SharedCounters,
}

impl DatagramSender {
    async fn send(
        &mut self,
        to: SocketAddr,
        message: &oleander_core::membership::message::Message,
    ) {
        let Some(bytes) = self.sealer.seal(message, to, self.clock.now()) else { return };
        if self.socket.send_to(&bytes, to).await.is_ok() {
            self.counters.datagrams_out.increment();
            self.counters.datagram_bytes_out.add(bytes.len());
        }
    }
}

/// Sends the outgoing messages of the membership actor.
pub(crate) async fn send_outbound(
    mut sender: DatagramSender,
    syncer: SyncRunner,
    mut queue: mpsc::Receiver<Outbound>,
) {
    while let Some(outbound) = queue.recv().await {
        match outbound {
            Outbound::Datagram { to, message } => sender.send(to, &message).await,
            Outbound::Sync { with, call } => syncer.start(with, call),
        }
    }
}

/// Receives and verifies datagrams and passes them to the membership actor.
pub(crate) struct DatagramReceiver {
    pub(crate) opener: DatagramOpener,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) clock: Arc<dyn ClockPort>,
    pub(crate) counters: SharedCounters,
    pub(crate) actor: ActorRef<MembershipActor>,
}

impl DatagramReceiver {
    pub(crate) async fn run(mut self) {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            self.counters.datagrams_in.increment();
            self.counters.datagram_bytes_in.add(length);
            match self.opener.open(&buffer[..length], self.clock.now()) {
                Ok(message) => {
                    let _ = self.actor.ask(DatagramReceived { from, message }).await;
                }
                Err(error) => self.count(error),
            }
        }
    }

    fn count(&self, error: DatagramError) {
        match error {
            DatagramError::Malformed => self.counters.malformed.increment(),
            DatagramError::Forged => self.counters.forged.increment(),
            DatagramError::Replayed => self.counters.replayed.increment(),
            DatagramError::Skewed => self.counters.skewed.increment(),
        }
    }
}

/// Runs membership syncs with peers.
pub(crate) struct SyncRunner {
    pub(crate) caller: Arc<PeerCaller>,
    pub(crate) actor: ActorRef<MembershipActor>,
    pub(crate) running: Arc<Semaphore>,
    pub(crate) counters: SharedCounters,
}

impl SyncRunner {
    fn start(&self, with: SocketAddr, call: SyncCall) {
        let Ok(permit) = Arc::clone(&self.running).try_acquire_owned() else { return };
        self.counters.syncs.increment();
        let (caller, actor) = (Arc::clone(&self.caller), self.actor.clone());
        tokio::spawn(async move {
            run_sync(&caller, &actor, with, &call).await;
            drop(permit);
        });
    }
}

async fn run_sync(
    caller: &PeerCaller,
    actor: &ActorRef<MembershipActor>,
    with: SocketAddr,
    call: &SyncCall,
) -> Option<()> {
    let reply = send_sync(caller, with, call).await??;
    let push = actor.ask(FinishSync { reply }).await.ok()??;
    send_sync(caller, with, &push).await.map(|_| ())
}

async fn send_sync(
    caller: &PeerCaller,
    with: SocketAddr,
    call: &SyncCall,
) -> Option<Option<SyncReply>> {
    let body = postcard::to_stdvec(call).ok()?;
    let reply = caller.call(with, PeerChannel::Members, body, SYNC_TIMEOUT).await.ok()?;
    postcard::from_bytes(&reply).ok()
}

/// Sends periodic ticks to the membership actor.
pub(crate) async fn tick(actor: ActorRef<MembershipActor>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let _ = actor.ask(Tick {}).await;
    }
}

/// Polls the platform's host list for bootstrap addresses.
pub(crate) async fn poll_host_list(
    actor: ActorRef<MembershipActor>,
    hosts: Option<Arc<dyn HostListPort>>,
    seeds: Vec<SocketAddr>,
) {
    let Some(hosts) = hosts else { return };
    loop {
        if let Ok(listed) = hosts.hosts().await {
            let system = listed.iter().filter(|host| matches!(host.role, ListedRole::System(_)));
            let mut addresses: Vec<SocketAddr> = system.map(|host| host.address).collect();
            addresses.extend(&seeds);
            let _ = actor.tell(SetBootstrapAddresses { addresses }).try_send();
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}
