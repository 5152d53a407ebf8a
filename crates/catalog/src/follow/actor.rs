//! The actor that owns what this process knows of the catalog. Its handlers never wait: calls
//! run in tasks that report back by message.

use crate::follow::fetch::{FetchSources, FetchedBody, ask_heads, fetch_body};
use crate::follow::schedule::{BACKSTOP_POLL, LONGEST_BACKOFF, READER_POLL, RetrySchedule};
use crate::follow::tree::TreePlace;
use crate::follow::{FollowState, FollowerPorts, HeldBody};
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

/// Peers that are asked for their head in one round.
const PEERS_ASKED: usize = 5;
/// Peers that are asked for a body when neither the tree nor the store has it.
const FALLBACK_PEERS: usize = 3;
/// Wait before the second try to fetch a body; it doubles with each further one.
const FIRST_FETCH_WAIT: Duration = Duration::from_millis(200);
/// Longest wait between tries to fetch a body.
const LONGEST_FETCH_WAIT: Duration = Duration::from_secs(2);
/// Longest wait of a process that has come to read the head row often.
const SOON: Duration = Duration::from_secs(2);
/// Time between rounds of questions to peers while starting.
const START_ROUND: Duration = Duration::from_millis(500);

/// Looks at what is due.
pub(super) struct Tick;
/// A head was heard of from a peer.
pub(super) struct HeadHeard(pub(super) CatalogHead);
/// The store answered a read of the head row.
struct StoreAnswered(Result<StoredHead, StoreError>);
/// Peers answered a round of questions.
struct PeersAnswered(Vec<Option<CatalogHead>>);
/// A body was fetched, or nobody has it now.
struct BodyFetched(CatalogHead, Option<Box<FetchedBody>>);

/// Follows the published catalog.
#[derive(Actor)]
pub(super) struct FollowActor {
    state: Arc<FollowState>,
    store: CatalogStore,
    ports: FollowerPorts,
    place: TreePlace,
    keeper: HeadTracker,
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
        place: TreePlace,
        seed: u64,
    ) -> Self {
        Self {
            state,
            store,
            ports,
            place,
            keeper: HeadTracker::new(),
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
        self.place.update(&members);
        let in_contact = self.has_others(&members) && self.ports.members.in_contact();
        if in_contact {
            self.state.note_contact(now);
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
            // Without peers the store alone tells whether this process is cut off.
            self.store_polls.hasten(now, LONGEST_BACKOFF);
        }
        if !in_contact || self.reads_often() {
            self.store_polls.hasten_if_well(now, SOON);
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

    /// Whether this process reads the head row often: a reader, or one that just started.
    fn reads_often(&self) -> bool {
        self.place.is_reader() || self.keeper.head_in_force().is_none()
    }

    fn ask_peers(&mut self, members: &[Member], now: Timestamp, actor: &ActorRef<Self>) {
        let ahead = self.members_ahead(members);
        let starting = !self.is_ready();
        if (ahead.is_empty() && !starting) || !self.peer_rounds.start(now) {
            return;
        }
        let asked = if ahead.is_empty() { self.other_members(members) } else { ahead };
        let asked: Vec<SocketAddr> = asked.sample(&mut self.rng, PEERS_ASKED).copied().collect();
        let (peers, actor) = (Arc::clone(&self.ports.peers), actor.clone());
        tokio::spawn(async move {
            let heads = ask_heads(peers.as_ref(), &asked).await;
            let _ = actor.tell(PeersAnswered(heads)).await;
        });
    }

    /// Members that said to have a revision in force which this process has not heard of.
    fn members_ahead(&self, members: &[Member]) -> Vec<SocketAddr> {
        let known = self.keeper.newest().map_or(Revision::new(0), |head| head.revision);
        let ahead = members.iter().filter(|member| member.revision > known);
        ahead.map(|member| member.address).collect()
    }

    fn other_members(&self, members: &[Member]) -> Vec<SocketAddr> {
        let own = self.place.host();
        let answers = |member: &&Member| member.state == MemberState::Alive && member.id != *own;
        members.iter().filter(answers).map(|member| member.address).collect()
    }

    fn fetch(&mut self, now: Timestamp, actor: &ActorRef<Self>) {
        let Some(head) = self.keeper.pending().cloned() else { return };
        if !self.fetches.start(now) {
            return;
        }
        let (peers, store) = (Arc::clone(&self.ports.peers), self.store.clone());
        let others = self.other_members(&self.ports.members.members());
        let fallbacks = others.sample(&mut self.rng, FALLBACK_PEERS).copied().collect();
        let sources = FetchSources { ancestors: self.place.ancestors(), fallbacks };
        let actor = actor.clone();
        tokio::spawn(async move {
            let fetched = fetch_body(peers.as_ref(), &store, &sources, &head).await;
            let _ = actor.tell(BodyFetched(head, fetched.map(Box::new))).await;
        });
    }

    fn hear(&mut self, head: CatalogHead, from_store: bool, actor: &ActorRef<Self>) {
        let now = self.state.clock.now();
        match self.keeper.observe(head.clone()) {
            HeadUpdate::Newer => {
                log::info!("catalog.head_heard revision={} from_store={from_store}", head.revision);
                if from_store {
                    let (revision, digest) = (head.revision, head.digest);
                    self.ports.members.announce(Rumor::Head { revision, digest });
                }
                self.fetches.hasten(now, Duration::ZERO);
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

    fn adopt(&mut self, head: &CatalogHead, fetched: FetchedBody) {
        if !self.keeper.activate(head) {
            return;
        }
        let snapshot = Snapshot::new(head.revision, fetched.catalog);
        self.state.snapshot.store(Arc::new(snapshot));
        let held = HeldBody { head: head.clone(), body: fetched.body };
        self.state.held.store(Some(Arc::new(held)));
        self.ports.members.set_revision(head.revision);
        log::info!("catalog.in_force revision={}", head.revision);
    }

    /// Opens for work, for good, once enough was heard and the newest head is in force.
    fn open(&self) {
        let others = self.ports.members.members().len().saturating_sub(1);
        if !self.is_ready()
            && self.gate.is_open(others)
            && self.keeper.head_in_force().is_some()
            && self.keeper.pending().is_none()
        {
            self.state.ready.store(true, Ordering::Release);
        }
    }

    fn is_ready(&self) -> bool {
        self.state.ready.load(Ordering::Acquire)
    }

    fn note_store_down(&mut self, down: bool, reason: &str) {
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

impl Message<HeadHeard> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, heard: HeadHeard, context: &mut Context<Self, ()>) {
        self.hear(heard.0, false, context.actor_ref());
    }
}

impl Message<StoreAnswered> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, answer: StoreAnswered, context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        match answer.0 {
            Ok(stored) => {
                let period = if self.reads_often() { READER_POLL } else { BACKSTOP_POLL };
                self.store_polls.succeed(now, period);
                self.note_store_down(false, "");
                self.gate.record_store_answer();
                self.state.note_contact(now);
                if let Some(record) = stored.record {
                    self.hear(record.head(), true, context.actor_ref());
                }
                self.open();
            }
            Err(error) => {
                let urgent = self.reads_often() || !self.ports.members.in_contact();
                let (first, longest) = if urgent {
                    (READER_POLL, LONGEST_BACKOFF)
                } else {
                    (BACKSTOP_POLL, BACKSTOP_POLL)
                };
                self.store_polls.fail(now, first, longest);
                self.note_store_down(true, &error.to_string());
            }
        }
    }
}

impl Message<PeersAnswered> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, answer: PeersAnswered, context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        self.peer_rounds.succeed(now, START_ROUND);
        self.gate.record_peer_answers(answer.0.len());
        for head in answer.0.into_iter().flatten() {
            self.hear(head, false, context.actor_ref());
        }
        self.open();
    }
}

impl Message<BodyFetched> for FollowActor {
    type Reply = ();

    async fn handle(&mut self, answer: BodyFetched, context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        let BodyFetched(head, fetched) = answer;
        match fetched {
            Some(fetched) => {
                self.fetches.succeed(now, Duration::ZERO);
                self.adopt(&head, *fetched);
                self.open();
            }
            None => self.fetches.fail(now, FIRST_FETCH_WAIT, LONGEST_FETCH_WAIT),
        }
        self.fetch(now, context.actor_ref());
    }
}
