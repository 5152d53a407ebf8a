//! Keeps this process on the latest published catalog.
//!
//! A few readers per failure domain poll the head row. All other processes learn of a new head by
//! rumor and fetch its body from their ancestors in a tree of the domain's members, or from the
//! store if no ancestor has it. [`actor`] owns the state, [`schedule`] decides when to poll and
//! retry, [`tree`] selects the readers and the ancestors, and [`fetch`] makes the calls.

mod actor;
pub mod fetch;
pub mod schedule;
pub mod tree;

use crate::records::{CatalogCall, CatalogReply};
use crate::store::CatalogStore;
use actor::{FollowActor, HeadReceived, Tick};
use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::actor::{ActorRef, Spawn};
use oleander_core::catalog::Snapshot;
use oleander_core::head::{CatalogHead, ContactTracker};
use oleander_core::ids::{DomainName, HostId};
use oleander_core::units::Timestamp;
use oleander_ports::catalog::{CatalogPort, CatalogStatus};
use oleander_ports::clock::ClockPort;
use oleander_ports::members::{MembershipPort, Rumor};
use oleander_ports::objects::ObjectPort;
use oleander_ports::peers::{PeerError, PeerHandler, PeerPort};
use oleander_ports::table::TablePort;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Interval between ticks of the actor.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The ports of a [`CatalogFollower`].
#[derive(Clone)]
pub struct FollowerPorts {
    /// The table with the head row.
    pub table: Arc<dyn TablePort>,
    /// The object store with the bodies.
    pub objects: Arc<dyn ObjectPort>,
    /// Calls to other processes.
    pub peers: Arc<dyn PeerPort>,
    /// The membership, which also spreads new heads.
    pub members: Arc<dyn MembershipPort>,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
}

/// The body in force, as served to peers.
struct ActiveBody {
    head: CatalogHead,
    body: Vec<u8>,
}

/// State that the data path and the peer handler read. Only the actor writes it.
struct FollowState {
    snapshot: ArcSwap<Snapshot>,
    active: ArcSwapOption<ActiveBody>,
    ready: AtomicBool,
    last_contact: AtomicU64,
    clock: Arc<dyn ClockPort>,
}

impl FollowState {
    fn new(clock: Arc<dyn ClockPort>) -> Self {
        Self {
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            active: ArcSwapOption::empty(),
            ready: AtomicBool::new(false),
            last_contact: AtomicU64::new(clock.now().as_millis()),
            clock,
        }
    }

    fn record_contact(&self, now: Timestamp) {
        self.last_contact.fetch_max(now.as_millis(), Ordering::AcqRel);
    }

    fn answer(&self, call: &CatalogCall) -> CatalogReply {
        let active = self.active.load();
        match call {
            CatalogCall::Head => {
                CatalogReply::Head(active.as_ref().map(|active| active.head.clone()))
            }
            CatalogCall::Body(digest) => {
                let same = active.as_ref().filter(|active| active.head.digest == *digest);
                CatalogReply::Body(same.map(|active| active.body.clone()))
            }
        }
    }
}

/// Keeps the latest published catalog in force.
pub struct CatalogFollower {
    state: Arc<FollowState>,
    actor: ActorRef<FollowActor>,
}

impl CatalogFollower {
    /// Starts following. Must be called within a tokio runtime. `host` and `domain` determine the
    /// position of this process in the tree; `seed` seeds the jitter.
    #[must_use]
    pub fn new(ports: FollowerPorts, host: HostId, domain: DomainName, seed: u64) -> Self {
        let state = Arc::new(FollowState::new(Arc::clone(&ports.clock)));
        let store = CatalogStore::new(Arc::clone(&ports.table), Arc::clone(&ports.objects));
        let members = Arc::clone(&ports.members);
        let position = tree::TreePosition::new(host, domain);
        let actor =
            FollowActor::spawn(FollowActor::new(Arc::clone(&state), store, ports, position, seed));
        listen_for_heads(members.as_ref(), &actor);
        spawn_ticks(&actor);
        Self { state, actor }
    }

    /// The handler for peer calls on the catalog channel.
    #[must_use]
    pub fn peer_handler(&self) -> PeerHandler {
        let state = Arc::clone(&self.state);
        Arc::new(move |call| {
            let answer = answer_call(&state, &call);
            Box::pin(async move { answer })
        })
    }

    /// The head in force.
    #[must_use]
    pub fn head(&self) -> Option<CatalogHead> {
        self.state.active.load().as_ref().map(|active| active.head.clone())
    }

    /// Stops following; the catalog in force remains.
    pub fn stop(&self) {
        self.actor.kill();
    }
}

impl Drop for CatalogFollower {
    fn drop(&mut self) {
        self.stop();
    }
}

impl CatalogPort for CatalogFollower {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.state.snapshot.load_full()
    }

    /// Compares the last contact with the clock at each call, so that a process that was paused for
    /// a long time is cut off before it admits a request.
    fn status(&self) -> CatalogStatus {
        if !self.state.ready.load(Ordering::Acquire) {
            return CatalogStatus::Missing;
        }
        let last = Timestamp::from_millis(self.state.last_contact.load(Ordering::Acquire));
        let snapshot = self.state.snapshot.load();
        let policy = &snapshot.catalog().policy;
        let now = self.state.clock.now();
        if ContactTracker::new(last).refuses(policy.cut_off, policy.cut_off_after, now) {
            return CatalogStatus::CutOff;
        }
        CatalogStatus::InForce
    }
}

fn answer_call(state: &FollowState, call: &[u8]) -> Result<Vec<u8>, PeerError> {
    let refused = |error: postcard::Error| PeerError::Refused(error.to_string());
    let call: CatalogCall = postcard::from_bytes(call).map_err(refused)?;
    postcard::to_stdvec(&state.answer(&call)).map_err(refused)
}

fn listen_for_heads(members: &dyn MembershipPort, actor: &ActorRef<FollowActor>) {
    let actor = actor.downgrade();
    members.listen(Arc::new(move |rumor| {
        let Rumor::Head { revision, digest } = rumor else { return };
        let Some(actor) = actor.upgrade() else { return };
        let head = CatalogHead { revision: *revision, digest: Arc::clone(digest) };
        // A head lost to a full mailbox is learned later from the revisions of the members.
        let _ = actor.tell(HeadReceived(head)).try_send();
    }));
}

fn spawn_ticks(actor: &ActorRef<FollowActor>) {
    let actor = actor.downgrade();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let Some(actor) = actor.upgrade() else { return };
            if actor.tell(Tick).await.is_err() {
                return;
            }
        }
    });
}
