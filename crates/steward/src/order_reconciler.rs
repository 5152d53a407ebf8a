//! The actor that reconciles the versions loaded on the upstreams with the catalog.
//!
//! Level-triggered: each pass asks the upstreams which versions they have loaded and sends orders
//! for the difference, under a fenced lease, a few loads at a time and never to a whole pool at
//! once. An upstream that
//! executes a stale order from another sender is corrected in the next pass; routing does not
//! depend on it, since an entry checks the version in each answer.

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
use oleander_catalog::store::with_timeout;
use oleander_core::catalog::Snapshot;
use oleander_core::catalog::objects::Upstream;
use oleander_core::ids::{PoolName, UpstreamName, VersionName};
use oleander_core::pending_loads::{PendingLoads, VersionReport, demands_of_pool};
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
/// Interval between two passes.
const TICK_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for one call to an upstream.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer of an upstream, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Maximum number of upstreams that are called concurrently.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Average number of upstreams that are polled in one pass.
const POLLS_PER_PASS: u32 = 60;
/// Maximum number of versions that one upstream has loaded at once.
const VERSIONS_PER_UPSTREAM: usize = 4;
/// Maximum number of loads that are ordered for one pool in one pass.
const MAX_LOADS_PER_PASS: usize = 2;

/// The parts that the reconciler is built from.
#[derive(Clone)]
pub struct ReconcilerParts {
    /// Source of the catalog in force.
    pub catalog: Arc<dyn CatalogPort>,
    /// The weight store.
    pub weights: Arc<dyn WeightPort>,
    /// The lease under which orders are sent.
    pub lease: LeaseHandle,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
}

/// Starts the reconciler; needs a running tokio runtime.
#[must_use]
pub fn start_reconciler(parts: ReconcilerParts) -> ActorRef<OrderReconciler> {
    let actor = OrderReconciler::spawn(OrderReconciler {
        parts,
        client: Arc::new(HttpClient::new()),
        pending_loads: PendingLoads::new(),
        rotation: PoolRotation::new(POLLS_PER_PASS),
        next_reservation_at: Timestamp::default(),
    });
    spawn_ticks(&actor, TICK_INTERVAL);
    actor
}

/// Sends load and unload orders to upstreams.
#[derive(Actor)]
pub struct OrderReconciler {
    parts: ReconcilerParts,
    client: Arc<HttpClient>,
    pending_loads: PendingLoads,
    rotation: PoolRotation,
    next_reservation_at: Timestamp,
}

impl OrderReconciler {
    async fn run_pass(&mut self) {
        if self.parts.lease.guard().is_none() {
            self.pending_loads = PendingLoads::new();
            return;
        }
        let snapshot = self.parts.catalog.snapshot();
        for pool in self.rotation.next_pools(&model_pools(&snapshot)) {
            self.reconcile(&snapshot, &pool).await;
        }
    }

    async fn reconcile(&mut self, snapshot: &Snapshot, pool: &PoolName) {
        let Some(object) = snapshot.pool(pool) else { return };
        let reports = self.fetch_reports(snapshot, &object.upstreams).await;
        let states = self.pending_loads.upstreams(&reports, self.parts.clock.now());
        let demands = demands_of_pool(snapshot.catalog(), pool);
        let planner = PlacementPlanner::new(VERSIONS_PER_UPSTREAM);
        for order in planner.orders(&states, &demands, MAX_LOADS_PER_PASS) {
            self.execute(snapshot, &object.upstreams, order).await;
        }
    }

    async fn fetch_reports(
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
                let report = fetch_load_report(&client, address).await;
                let available = report.as_ref().is_some_and(|report| !report.leaving) && !drained;
                let versions = report.map(|report| report.versions).unwrap_or_default();
                VersionReport { upstream, versions, available }
            }
        });
        futures_util::stream::iter(calls).buffered(MAX_CONCURRENT_CALLS).collect().await
    }

    async fn execute(
        &mut self,
        snapshot: &Snapshot,
        upstreams: &BTreeMap<UpstreamName, Upstream>,
        order: PlacementOrder,
    ) {
        let (name, action) = match order {
            PlacementOrder::Load(name, version) => {
                if !self.reserve_load(snapshot, &name, &version).await {
                    return;
                }
                (name, OrderAction::Load(version))
            }
            PlacementOrder::Unload(name, version) => (name, OrderAction::Unload(version)),
        };
        let Some(upstream) = upstreams.get(&name) else { return };
        // Check the lease again: the reservation may have taken long.
        let Some(guard) = self.parts.lease.guard() else { return };
        let order = Order { fencing: guard.fencing, action };
        let answer = send_order(&self.client, upstream.address, &order).await;
        match answer {
            Some(status) if status.is_success() => {
                log::info!("orders.given upstream={name} order={:?}", order.action);
                if let OrderAction::Load(version) = order.action {
                    self.pending_loads.record(name, version, self.parts.clock.now());
                }
            }
            other => log::warn!("orders.not_taken upstream={name} status={other:?}"),
        }
    }

    /// Reserves a load at the weight store, which limits the loads of all pools together.
    async fn reserve_load(
        &mut self,
        snapshot: &Snapshot,
        name: &UpstreamName,
        version: &VersionName,
    ) -> bool {
        let now = self.parts.clock.now();
        if now < self.next_reservation_at {
            return false;
        }
        let megabytes = snapshot.version(version).map_or(0, |object| object.weight_megabytes);
        match with_timeout(self.parts.weights.reserve(name, version, megabytes)).await {
            Ok(WeightGrant::Granted) => true,
            Ok(WeightGrant::RetryAfter(wait)) => {
                self.next_reservation_at = now + wait;
                false
            }
            Err(error) => {
                log::warn!("orders.weights_not_reserved upstream={name} error={error}");
                false
            }
        }
    }
}

/// The pools that serve model versions, with their numbers of upstreams.
fn model_pools(snapshot: &Snapshot) -> Vec<(PoolName, usize)> {
    let versions = snapshot.catalog().versions.values();
    let pools: BTreeSet<&PoolName> = versions.map(|version| &version.pool).collect();
    let size = |pool| snapshot.pool(pool).map_or(0, |object| object.upstreams.len());
    pools.into_iter().map(|pool| (pool.clone(), size(pool))).collect()
}

async fn fetch_load_report(client: &HttpClient, address: SocketAddr) -> Option<LoadReport> {
    let uri = format!("http://{address}/load");
    let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
    let answer = client.send_buffered(request, CALL_TIMEOUT, MAX_ANSWER_BYTES).await.ok()?;
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
    let answer = client.send_buffered(request, CALL_TIMEOUT, MAX_ANSWER_BYTES).await.ok()?;
    Some(answer.status())
}

impl Message<Tick> for OrderReconciler {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.run_pass().await;
    }
}
