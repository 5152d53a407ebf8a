//! Keeps this process on the newest published catalog.
//!
//! A few readers in each failure domain poll the head row; everyone else hears of a new head by
//! rumor and fetches its body along a tree of the domain's members, the store being the last
//! resort. [`actor`] owns the state, [`schedule`] decides what is due, [`tree`] who reads and
//! from whom to fetch, [`fetch`] carries the calls.

mod actor;
pub mod fetch;
pub mod schedule;
pub mod tree;

use crate::records::{CatalogCall, CatalogReply};
use crate::store::CatalogStore;
use actor::{FollowActor, HeadHeard, Tick};
use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::actor::{ActorRef, Spawn};
use oleander_core::catalog::Snapshot;
use oleander_core::head::{CatalogHead, ContactKeeper};
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

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// What the follower reads from and tells.
#[derive(Clone)]
pub struct FollowerPorts {
    /// Holds the head row.
    pub table: Arc<dyn TablePort>,
    /// Holds the bodies.
    pub objects: Arc<dyn ObjectPort>,
    /// Calls other processes.
    pub peers: Arc<dyn PeerPort>,
    /// Tells of new heads and of the members.
    pub members: Arc<dyn MembershipPort>,
    /// Tells the time.
    pub clock: Arc<dyn ClockPort>,
}

/// A body in force, as served to peers.
struct HeldBody {
    head: CatalogHead,
    body: Vec<u8>,
}

/// What the data path and the peers read, written by the actor only.
struct FollowState {
    snapshot: ArcSwap<Snapshot>,
    held: ArcSwapOption<HeldBody>,
    ready: AtomicBool,
    last_contact: AtomicU64,
    clock: Arc<dyn ClockPort>,
}

impl FollowState {
    fn new(clock: Arc<dyn ClockPort>) -> Self {
        Self {
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            held: ArcSwapOption::empty(),
            ready: AtomicBool::new(false),
            last_contact: AtomicU64::new(clock.now().as_millis()),
            clock,
        }
    }

    fn note_contact(&self, now: Timestamp) {
        self.last_contact.fetch_max(now.as_millis(), Ordering::AcqRel);
    }

    fn answer(&self, call: &CatalogCall) -> CatalogReply {
        let held = self.held.load();
        match call {
            CatalogCall::Head => CatalogReply::Head(held.as_ref().map(|held| held.head.clone())),
            CatalogCall::Body(digest) => {
                let same = held.as_ref().filter(|held| held.head.digest == *digest);
                CatalogReply::Body(same.map(|held| held.body.clone()))
            }
        }
    }
}

/// Follows the published catalog.
pub struct CatalogFollower {
    state: Arc<FollowState>,
    actor: ActorRef<FollowActor>,
}

impl CatalogFollower {
    /// Starts to follow; needs a running tokio runtime. `host` and `domain` say where this
    /// process stands, `seed` gives the jitter.
    #[must_use]
    pub fn new(ports: FollowerPorts, host: HostId, domain: DomainName, seed: u64) -> Self {
        let state = Arc::new(FollowState::new(Arc::clone(&ports.clock)));
        let store = CatalogStore::new(Arc::clone(&ports.table), Arc::clone(&ports.objects));
        let members = Arc::clone(&ports.members);
        let place = tree::TreePlace::new(host, domain);
        let actor =
            FollowActor::spawn(FollowActor::new(Arc::clone(&state), store, ports, place, seed));
        listen_for_heads(members.as_ref(), &actor);
        spawn_ticks(&actor);
        Self { state, actor }
    }

    /// Answers the peers' calls on the catalog channel.
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
        self.state.held.load().as_ref().map(|held| held.head.clone())
    }

    /// Stops following; what is in force stays.
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

    /// Judged against the clock at each call: a process that was paused for long finds itself
    /// cut off before it admits anything.
    fn status(&self) -> CatalogStatus {
        if !self.state.ready.load(Ordering::Acquire) {
            return CatalogStatus::Missing;
        }
        let last = Timestamp::from_millis(self.state.last_contact.load(Ordering::Acquire));
        let snapshot = self.state.snapshot.load();
        let policy = &snapshot.catalog().policy;
        let now = self.state.clock.now();
        if ContactKeeper::new(last).refuses(policy.cut_off, policy.cut_off_after, now) {
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
        // A full mailbox loses nothing for good: the members' revisions tell of the head too.
        let _ = actor.tell(HeadHeard(head)).try_send();
    }));
}

fn spawn_ticks(actor: &ActorRef<FollowActor>) {
    let actor = actor.downgrade();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK);
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
