//! The actor that brings the versions on the upstreams to what the catalog wants.
//!
//! Level-triggered: each look asks every upstream what it holds and orders the difference, under
//! a fenced lease, a few loads at a time and never a whole pool. An upstream that takes a stale
//! order from someone else is put right at the next look; no routing depends on it, since an
//! entry checks the version in each answer.

use crate::lease_actor::LeaseHandle;
use crate::ticker::{Tick, spawn_ticks};
use bytes::Bytes;
use futures_util::StreamExt;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use oleander_adapters::http_client::HttpClient;
use oleander_catalog::store::with_deadline;
use oleander_core::catalog::Snapshot;
use oleander_core::catalog::objects::Upstream;
use oleander_core::ids::{PoolName, UpstreamName, VersionName};
use oleander_core::order_book::{OrderBook, VersionReport, demands_of_pool};
use oleander_core::placement::{PlacementOrder, PlacementPlanner};
use oleander_core::pool_rotation::PoolRotation;
use oleander_core::units::Timestamp;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::clock::ClockPort;
use oleander_ports::upstream::{LoadReport, Order, OrderAction};
use oleander_ports::weights::{WeightGrant, WeightPort};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name of the reconciler's lease.
pub const ORDER_LEASE: &str = "orders";
/// Time between two looks.
const TICK: Duration = Duration::from_secs(2);
/// Longest time for one call to an upstream.
const CALL_DEADLINE: Duration = Duration::from_secs(1);
/// Largest answer of an upstream, in bytes.
const MAX_ANSWER: usize = 64 * 1024;
/// Upstreams that are asked at the same time.
const CALLS_AT_ONCE: usize = 16;
/// Upstreams that are asked at each look, on average.
const ASKS_PER_LOOK: u32 = 60;
/// Versions that one upstream holds at once.
const VERSIONS_PER_UPSTREAM: usize = 4;
/// Most loads that are ordered in one look at a pool.
const LOADS_PER_LOOK: usize = 2;

/// What the reconciler needs.
#[derive(Clone)]
pub struct ReconcilerParts {
    /// The catalog in force.
    pub catalog: Arc<dyn CatalogPort>,
    /// The weight store.
    pub weights: Arc<dyn WeightPort>,
    /// The lease under which orders are given.
    pub lease: LeaseHandle,
    /// Tells the time.
    pub clock: Arc<dyn ClockPort>,
}

/// Starts the reconciler; needs a running tokio runtime.
#[must_use]
pub fn start_reconciler(parts: ReconcilerParts) -> ActorRef<OrderReconciler> {
    let actor = OrderReconciler::spawn(OrderReconciler {
        parts,
        client: Arc::new(HttpClient::new()),
        book: OrderBook::new(),
        rotation: PoolRotation::new(ASKS_PER_LOOK),
        weights_after: Timestamp::default(),
    });
    spawn_ticks(&actor, TICK);
    actor
}

/// Gives orders to upstreams.
#[derive(Actor)]
pub struct OrderReconciler {
    parts: ReconcilerParts,
    client: Arc<HttpClient>,
    book: OrderBook,
    rotation: PoolRotation,
    weights_after: Timestamp,
}

impl OrderReconciler {
    async fn look(&mut self) {
        if self.parts.lease.guard().is_none() {
            self.book = OrderBook::new();
            return;
        }
        let snapshot = self.parts.catalog.snapshot();
        for pool in self.rotation.take(&model_pools(&snapshot)) {
            self.reconcile(&snapshot, &pool).await;
        }
    }

    async fn reconcile(&mut self, snapshot: &Snapshot, pool: &PoolName) {
        let Some(object) = snapshot.pool(pool) else { return };
        let reports = self.ask_all(snapshot, &object.upstreams).await;
        let hosts = self.book.hosts(&reports, self.parts.clock.now());
        let demands = demands_of_pool(snapshot.catalog(), pool);
        let planner = PlacementPlanner::new(VERSIONS_PER_UPSTREAM);
        for order in planner.orders(&hosts, &demands, LOADS_PER_LOOK) {
            self.carry_out(snapshot, &object.upstreams, order).await;
        }
    }

    async fn ask_all(
        &self,
        snapshot: &Snapshot,
        upstreams: &BTreeMap<UpstreamName, Upstream>,
    ) -> Vec<VersionReport> {
        let drains = &snapshot.catalog().drains;
        let targets: Vec<(UpstreamName, SocketAddr, bool)> = upstreams
            .iter()
            .map(|(name, upstream)| (name.clone(), upstream.address, drains.contains_key(name)))
            .collect();
        let calls = targets.into_iter().map(|(upstream, address, drained)| {
            let client = Arc::clone(&self.client);
            async move {
                let report = ask_load(&client, address).await;
                let open = report.as_ref().is_some_and(|report| !report.leaving) && !drained;
                let versions = report.map(|report| report.versions).unwrap_or_default();
                VersionReport { upstream, versions, open }
            }
        });
        futures_util::stream::iter(calls).buffered(CALLS_AT_ONCE).collect().await
    }

    async fn carry_out(
        &mut self,
        snapshot: &Snapshot,
        upstreams: &BTreeMap<UpstreamName, Upstream>,
        order: PlacementOrder,
    ) {
        let (name, action) = match order {
            PlacementOrder::Load(name, version) => {
                if !self.may_load(snapshot, &name, &version).await {
                    return;
                }
                (name, OrderAction::Load(version))
            }
            PlacementOrder::Unload(name, version) => (name, OrderAction::Unload(version)),
        };
        let Some(upstream) = upstreams.get(&name) else { return };
        // The lease is judged once more: reserving may have taken long.
        let Some(guard) = self.parts.lease.guard() else { return };
        let order = Order { fencing: guard.fencing, action };
        let answer = send_order(&self.client, upstream.address, &order).await;
        match answer {
            Some(status) if status.is_success() => {
                log::info!("orders.given upstream={name} order={:?}", order.action);
                if let OrderAction::Load(version) = order.action {
                    self.book.note_load(name, version, self.parts.clock.now());
                }
            }
            other => log::warn!("orders.not_taken upstream={name} status={other:?}"),
        }
    }

    /// Asks the weight store, which limits loads over all pools.
    async fn may_load(
        &mut self,
        snapshot: &Snapshot,
        name: &UpstreamName,
        version: &VersionName,
    ) -> bool {
        let now = self.parts.clock.now();
        if now < self.weights_after {
            return false;
        }
        let megabytes = snapshot.version(version).map_or(0, |object| object.weight_megabytes);
        match with_deadline(self.parts.weights.reserve(name, version, megabytes)).await {
            Ok(WeightGrant::Granted) => true,
            Ok(WeightGrant::RetryAfter(wait)) => {
                self.weights_after = now + wait;
                false
            }
            Err(error) => {
                log::warn!("orders.weights_not_reserved upstream={name} error={error}");
                false
            }
        }
    }
}

/// The pools that run versions of models, with their numbers of upstreams.
fn model_pools(snapshot: &Snapshot) -> Vec<(PoolName, usize)> {
    let versions = snapshot.catalog().versions.values();
    let pools: BTreeSet<&PoolName> = versions.map(|version| &version.pool).collect();
    let size = |pool| snapshot.pool(pool).map_or(0, |object| object.upstreams.len());
    pools.into_iter().map(|pool| (pool.clone(), size(pool))).collect()
}

async fn ask_load(client: &HttpClient, address: SocketAddr) -> Option<LoadReport> {
    let uri = format!("http://{address}/load");
    let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
    let answer = client.send_buffered(request, CALL_DEADLINE, MAX_ANSWER).await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}

async fn send_order(client: &HttpClient, address: SocketAddr, order: &Order) -> Option<StatusCode> {
    let body = serde_json::to_vec(order).ok()?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/orders"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let answer = client.send_buffered(request, CALL_DEADLINE, MAX_ANSWER).await.ok()?;
    Some(answer.status())
}

impl Message<Tick> for OrderReconciler {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.look().await;
    }
}
