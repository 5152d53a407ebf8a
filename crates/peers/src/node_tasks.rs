//! The tasks of a node: datagrams in and out, comparisons, time, the platform's list.

use crate::calls::PeerCaller;
use crate::counters::SharedCounters;
use crate::datagram::{DatagramError, DatagramOpener, DatagramSealer, MAX_DATAGRAM};
use crate::keeper::{AnswerSync, FinishSync, Listed, MembershipKeeper, Outbound, Received, Tick};
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

/// Time from one tick of the membership to the next.
const TICK: Duration = Duration::from_millis(100);

/// Time from one reading of the platform's list to the next.
const LIST_INTERVAL: Duration = Duration::from_secs(15);

/// Deadline of one call of a comparison.
const SYNC_DEADLINE: Duration = Duration::from_secs(2);

/// Answers comparisons that other processes begin.
pub(crate) fn sync_handler(keeper: ActorRef<MembershipKeeper>) -> PeerHandler {
    Arc::new(move |body| {
        let keeper = keeper.clone();
        Box::pin(async move {
            let call: SyncCall = postcard::from_bytes(&body)
                .map_err(|_| PeerError::Refused("the comparison is malformed".into()))?;
            let reply = keeper.ask(AnswerSync { call }).await;
            let reply = reply.map_err(|_| PeerError::Unknown("the process stops".into()))?;
            postcard::to_stdvec(&reply).map_err(|error| PeerError::Unknown(error.to_string()))
        })
    })
}

/// Sends datagrams.
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

/// Sends what the keeper wants sent.
pub(crate) async fn send_outbound(
    mut sender: DatagramSender,
    syncer: SyncRunner,
    mut queue: mpsc::Receiver<Outbound>,
) {
    while let Some(outbound) = queue.recv().await {
        match outbound {
            Outbound::Datagram { to, message } => sender.send(to, &message).await,
            Outbound::Sync { with, call } => syncer.begin(with, call),
        }
    }
}

/// Opens datagrams and hands them to the keeper.
pub(crate) struct DatagramReceiver {
    pub(crate) opener: DatagramOpener,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) clock: Arc<dyn ClockPort>,
    pub(crate) counters: SharedCounters,
    pub(crate) keeper: ActorRef<MembershipKeeper>,
}

impl DatagramReceiver {
    pub(crate) async fn run(mut self) {
        let mut buffer = [0u8; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            self.counters.datagrams_in.increment();
            self.counters.datagram_bytes_in.add(length);
            match self.opener.open(&buffer[..length], self.clock.now()) {
                Ok(message) => {
                    let _ = self.keeper.ask(Received { from, message }).await;
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

/// Compares tables with peers.
pub(crate) struct SyncRunner {
    pub(crate) caller: Arc<PeerCaller>,
    pub(crate) keeper: ActorRef<MembershipKeeper>,
    pub(crate) running: Arc<Semaphore>,
    pub(crate) counters: SharedCounters,
}

impl SyncRunner {
    fn begin(&self, with: SocketAddr, call: SyncCall) {
        let Ok(permit) = Arc::clone(&self.running).try_acquire_owned() else { return };
        self.counters.syncs.increment();
        let (caller, keeper) = (Arc::clone(&self.caller), self.keeper.clone());
        tokio::spawn(async move {
            compare(&caller, &keeper, with, &call).await;
            drop(permit);
        });
    }
}

async fn compare(
    caller: &PeerCaller,
    keeper: &ActorRef<MembershipKeeper>,
    with: SocketAddr,
    call: &SyncCall,
) -> Option<()> {
    let reply = send_sync(caller, with, call).await??;
    let push = keeper.ask(FinishSync { reply }).await.ok()??;
    send_sync(caller, with, &push).await.map(|_| ())
}

async fn send_sync(
    caller: &PeerCaller,
    with: SocketAddr,
    call: &SyncCall,
) -> Option<Option<SyncReply>> {
    let body = postcard::to_stdvec(call).ok()?;
    let reply = caller.call(with, PeerChannel::Members, body, SYNC_DEADLINE).await.ok()?;
    postcard::from_bytes(&reply).ok()
}

/// Moves the membership's time on.
pub(crate) async fn tick(keeper: ActorRef<MembershipKeeper>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let _ = keeper.ask(Tick {}).await;
    }
}

/// Reads the platform's list.
pub(crate) async fn read_list(
    keeper: ActorRef<MembershipKeeper>,
    hosts: Option<Arc<dyn HostListPort>>,
    seeds: Vec<SocketAddr>,
) {
    let Some(hosts) = hosts else { return };
    loop {
        if let Ok(listed) = hosts.hosts().await {
            let system = listed.iter().filter(|host| matches!(host.role, ListedRole::System(_)));
            let mut addresses: Vec<SocketAddr> = system.map(|host| host.address).collect();
            addresses.extend(&seeds);
            let _ = keeper.tell(Listed { addresses }).try_send();
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}
