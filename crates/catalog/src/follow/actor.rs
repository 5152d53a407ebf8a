//! The actor that owns the catalog state of this process. Its handlers never block: calls run in
//! tasks that report their result as a message.

use crate::follow::fetch::{FetchSources, FetchedBody, ask_heads, fetch_body};
use crate::follow::schedule::{
    BACKSTOP_POLL_INTERVAL, MAX_BACKOFF, READER_POLL_INTERVAL, RetrySchedule,
};
use crate::follow::tree::TreePosition;
use crate::follow::{ActiveBody, FollowState, FollowerPorts};
use crate::store::{CatalogStore, StoreError, StoredHead};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use oleander_core::catalog::Snapshot;
use oleander_core::head::{CatalogHead, HeadTracker, HeadUpdate, StartGate};
use oleander_core::ids::Revision;
use oleander_core::units::Timestamp;
use oleander_ports::members::{Member, MemberState, Rumor};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Number of peers that are asked for their head in one round.
const PEERS_PER_ROUND: usize = 5;
/// Number of peers that are asked for a body if neither the tree nor the store has it.
const FALLBACK_PEERS: usize = 3;
/// Delay before the second attempt to fetch a body, doubled before each further one.
const FIRST_FETCH_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay between attempts to fetch a body.
const MAX_FETCH_DELAY: Duration = Duration::from_secs(2);
/// Maximum delay of the first read of the head row when a process starts to poll it frequently.
const MAX_FIRST_POLL_DELAY: Duration = Duration::from_secs(2);
/// Interval between rounds of head requests to peers during start-up.
const STARTUP_ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the operations that are due.
pub(super) struct Tick;
/// A head was received from a peer.
pub(super) struct HeadReceived(pub(super) CatalogHead);
/// A read of the head row finished.
struct StoreAnswered(Result<StoredHead, StoreError>);
/// A round of head requests to peers finished; holds the heads of those that answered.
struct PeersAnswered(Vec<Option<CatalogHead>>);
/// A fetch of the body of this head finished; `None` if neither peers nor the store had it.
struct BodyFetched(CatalogHead, Option<Box<FetchedBody>>);

/// Keeps the latest published catalog in force.
#[derive(Actor)]
pub(super) struct FollowActor {
    state: Arc<FollowState>,
    store: CatalogStore,
    ports: FollowerPorts,
    position: TreePosition,
    tracker: HeadTracker,
    gate: StartGate,
    store_polls: RetrySchedule,
    peer_rounds: RetrySchedule,
    fetches: RetrySchedule,
    rng: StdRng,
    store_down: bool,
}

impl FollowActor {
    pub(super) fn new(
        state: Arc<FollowState>,
        store: CatalogStore,
        ports: FollowerPorts,
        position: TreePosition,
        seed: u64,
    ) -> Self {
        Self {
            state,
            store,
            ports,
            position,
            tracker: HeadTracker::new(),
            gate: StartGate::new(),
            store_polls: RetrySchedule::new(seed),
            peer_rounds: RetrySchedule::new(seed.wrapping_add(1)),
            fetches: RetrySchedule::new(seed.wrapping_add(2)),
            rng: StdRng::seed_from_u64(seed.wrapping_add(3)),
            store_down: false,
        }
    }

    fn tick(&mut self, actor: &ActorRef<Self>) {
        let now = self.state.clock.now();
        let members = self.ports.members.members();
        self.position.update(&members);
        let in_contact = self.has_others(&members) && self.ports.members.in_contact();
        if in_contact {
            self.state.record_contact(now);
        }
        self.poll_store(in_contact, now, actor);
        self.ask_peers(&members, now, actor);
        self.fetch(now, actor);
    }

    fn has_others(&self, members: &[Member]) -> bool {
        members.len() > 1
    }

    fn poll_store(&mut self, in_contact: bool, now: Timestamp, actor: &ActorRef<Self>) {
        if !in_contact {
            // Without peers, only the store can show that this process is not cut off.
            self.store_polls.expedite(now, MAX_BACKOFF);
        }
        if !in_contact || self.polls_frequently() {
            self.store_polls.expedite_unless_failing(now, MAX_FIRST_POLL_DELAY);
        }
        if !self.store_polls.start(now) {
            return;
        }
        let (store, actor) = (self.store.clone(), actor.clone());
        tokio::spawn(async move {
            let answer = store.head().await;
            let _ = actor.tell(StoreAnswered(answer)).await;
        });
    }

    /// Whether this process polls the head row at the reader interval: it is a reader or has no
    /// catalog in force yet.
    fn polls_frequently(&self) -> bool {
        self.position.is_reader() || self.tracker.head_in_force().is_none()
    }

    fn ask_peers(&mut self, members: &[Member], now: Timestamp, actor: &ActorRef<Self>) {
        let ahead = self.members_ahead(members);
        let starting = !self.is_ready();
        if (ahead.is_empty() && !starting) || !self.peer_rounds.start(now) {
            return;
        }
        let asked = if ahead.is_empty() { self.other_members(members) } else { ahead };
        let asked: Vec<SocketAddr> =
            asked.sample(&mut self.rng, PEERS_PER_ROUND).copied().collect();
        let (peers, actor) = (Arc::clone(&self.ports.peers), actor.clone());
        tokio::spawn(async move {
            let heads = ask_heads(peers.as_ref(), &asked).await;
            let _ = actor.tell(PeersAnswered(heads)).await;
        });
    }

    /// Members that report a newer revision than the newest head known to this process.
    fn members_ahead(&self, members: &[Member]) -> Vec<SocketAddr> {
        let known = self.tracker.newest().map_or(Revision::new(0), |head| head.revision);
        let ahead = members.iter().filter(|member| member.revision > known);
        ahead.map(|member| member.address).collect()
    }

    fn other_members(&self, members: &[Member]) -> Vec<SocketAddr> {
        let own = self.position.host();
        let answers = |member: &&Member| member.state == MemberState::Alive && member.id != *own;
        members.iter().filter(answers).map(|member| member.address).collect()
    }

    fn fetch(&mut self, now: Timestamp, actor: &ActorRef<Self>) {
        let Some(head) = self.tracker.pending().cloned() else { return };
        if !self.fetches.start(now) {
            return;
        }
        let (peers, store) = (Arc::clone(&self.ports.peers), self.store.clone());
        let others = self.other_members(&self.ports.members.members());
        let fallbacks = others.sample(&mut self.rng, FALLBACK_PEERS).copied().collect();
        let sources = FetchSources { ancestors: self.position.ancestors(), fallbacks };
        let actor = actor.clone();
        tokio::spawn(async move {
            let fetched = fetch_body(peers.as_ref(), &store, &sources, &head).await;
            let _ = actor.tell(BodyFetched(head, fetched.map(Box::new))).await;
        });
    }

    fn observe_head(&mut self, head: CatalogHead, from_store: bool, actor: &ActorRef<Self>) {
        let now = self.state.clock.now();
        match self.tracker.observe(head.clone()) {
            HeadUpdate::Newer => {
                log::info!("catalog.head_heard revision={} from_store={from_store}", head.revision);
                if from_store {
                    let (revision, digest) = (head.revision, head.digest);
                    self.ports.members.announce(Rumor::Head { revision, digest });
                }
                self.fetches.expedite(now, Duration::ZERO);
                self.fetch(now, actor);
            }
            HeadUpdate::Conflicting => {
                log::error!(
                    "catalog.head_conflicts revision={} digest={}",
                    head.revision,
                    head.digest
                );
            }
            HeadUpdate::Older if from_store => {
                log::warn!("catalog.store_is_stale revision={}", head.revision);
            }
            HeadUpdate::Older | HeadUpdate::Known => {}
        }
    }

    fn activate_head(&mut self, head: &CatalogHead, fetched: FetchedBody) {
        if !self.tracker.activate(head) {
            return;
        }
        let snapshot = Snapshot::new(head.revision, fetched.catalog);
        self.state.snapshot.store(Arc::new(snapshot));
        let active = ActiveBody { head: head.clone(), body: fetched.body };
        self.state.active.store(Some(Arc::new(active)));
        self.ports.members.set_revision(head.revision);
        log::info!("catalog.in_force revision={}", head.revision);
    }

    /// Marks this process as ready, permanently, once the start gate is open and the newest known
    /// head is in force.
    fn update_readiness(&self) {
        let others = self.ports.members.members().len().saturating_sub(1);
        if !self.is_ready()
            && self.gate.is_open(others)
            && self.tracker.head_in_force().is_some()
            && self.tracker.pending().is_none()
        {
            self.state.ready.store(true, Ordering::Release);
        }
    }

    fn is_ready(&self) -> bool {
        self.state.ready.load(Ordering::Acquire)
    }

    fn set_store_down(&mut self, down: bool, reason: &str) {
        if down != self.store_down {
            log::warn!("catalog.store_reachable reachable={} reason={reason:?}", !down);
        }
        self.store_down = down;
    }
}

impl Message<Tick> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        self.tick(context.actor_ref());
    }
}

impl Message<HeadReceived> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, message: HeadReceived, context: &mut Context<Self, ()>) {
        self.observe_head(message.0, false, context.actor_ref());
    }
}

impl Message<StoreAnswered> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, answer: StoreAnswered, context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        match answer.0 {
            Ok(stored) => {
                let interval = if self.polls_frequently() {
                    READER_POLL_INTERVAL
                } else {
                    BACKSTOP_POLL_INTERVAL
                };
                self.store_polls.record_success(now, interval);
                self.set_store_down(false, "");
                self.gate.record_store_answer();
                self.state.record_contact(now);
                if let Some(record) = stored.record {
                    self.observe_head(record.head(), true, context.actor_ref());
                }
                self.update_readiness();
            }
            Err(error) => {
                let urgent = self.polls_frequently() || !self.ports.members.in_contact();
                let (first, max) = if urgent {
                    (READER_POLL_INTERVAL, MAX_BACKOFF)
                } else {
                    (BACKSTOP_POLL_INTERVAL, BACKSTOP_POLL_INTERVAL)
                };
                self.store_polls.record_failure(now, first, max);
                self.set_store_down(true, &error.to_string());
            }
        }
    }
}

impl Message<PeersAnswered> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, answer: PeersAnswered, context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        self.peer_rounds.record_success(now, STARTUP_ROUND_INTERVAL);
        self.gate.record_peer_answers(answer.0.len());
        for head in answer.0.into_iter().flatten() {
            self.observe_head(head, false, context.actor_ref());
        }
        self.update_readiness();
    }
}

impl Message<BodyFetched> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, answer: BodyFetched, context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        let BodyFetched(head, fetched) = answer;
        match fetched {
            Some(fetched) => {
                self.fetches.record_success(now, Duration::ZERO);
                self.activate_head(&head, *fetched);
                self.update_readiness();
            }
            None => self.fetches.record_failure(now, FIRST_FETCH_DELAY, MAX_FETCH_DELAY),
        }
        self.fetch(now, context.actor_ref());
    }
}
