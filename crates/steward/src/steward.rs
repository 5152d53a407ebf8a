//! One steward, the process role that drives rollouts, reconciles the versions loaded on upstreams
//! by load and unload orders, watches the list of hosts and serves the operators' API.

use crate::host_watcher::{HostWatcher, start_watcher};
use crate::lease_actor::LeaseHandle;
use crate::operators::handler::operator_handler;
use crate::operators::service::{OperatorService, ServiceParts};
use crate::order_reconciler::{ORDER_LEASE, OrderReconciler, ReconcilerParts, start_reconciler};
use crate::rollout_driver::{DriverParts, ROLLOUT_LEASE, RolloutDriver, start_driver};
use crate::statistics_table::StatisticsTable;
use kameo::actor::ActorRef;
use oleander_adapters::http_server::HttpHandler;
use oleander_adapters::settings::SecretKey;
use oleander_catalog::CatalogPublisher;
use oleander_core::ids::HostId;
use oleander_core::stable_hash::mix;
use oleander_ledger::StatementReader;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::clock::ClockPort;
use oleander_ports::hosts::HostListPort;
use oleander_ports::members::MembershipPort;
use oleander_ports::objects::ObjectPort;
use oleander_ports::peers::{PeerHandler, PeerPort};
use oleander_ports::ratings::RatingPort;
use oleander_ports::table::TablePort;
use oleander_ports::weights::WeightPort;
use std::sync::Arc;

/// The ports that a steward is built from.
#[derive(Clone)]
pub struct StewardParts {
    /// The table service.
    pub table: Arc<dyn TablePort>,
    /// The object store.
    pub objects: Arc<dyn ObjectPort>,
    /// The rating service, which rates some of the answers to requests.
    pub ratings: Arc<dyn RatingPort>,
    /// The store of model weights, which grants loads.
    pub weights: Arc<dyn WeightPort>,
    /// The list of hosts.
    pub hosts: Arc<dyn HostListPort>,
    /// The membership.
    pub members: Arc<dyn MembershipPort>,
    /// Calls to other processes.
    pub peers: Arc<dyn PeerPort>,
    /// Source of the catalog in force on this process.
    pub catalog: Arc<dyn CatalogPort>,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
}

/// A running steward.
pub struct StewardNode {
    rollout_lease: LeaseHandle,
    order_lease: LeaseHandle,
    statistics: StatisticsTable,
    operator_service: Arc<OperatorService>,
    driver: ActorRef<RolloutDriver>,
    reconciler: ActorRef<OrderReconciler>,
    watcher: ActorRef<HostWatcher>,
}

/// Seeds of the three parts of a steward that generate ids. Stewards that start together may have
/// seeds close to each other, so the derived ones must not be.
///
/// ```
/// use oleander_steward::steward::write_seeds;
///
/// let (one, two) = (write_seeds(7), write_seeds(8));
/// assert!(one.iter().all(|seed| !two.contains(seed)));
/// ```
#[must_use]
pub fn write_seeds(seed: u64) -> [u64; 3] {
    [1, 2, 3].map(|part| mix(mix(seed) ^ part))
}

impl StewardNode {
    /// Starts a steward; needs a running tokio runtime. `host` is the holder of its leases. `seed`
    /// must differ on every start: the rollout lease, the order lease and the rollout driver
    /// generate the ids of their writes from seeds derived from it.
    #[must_use]
    pub fn start(parts: StewardParts, host: &HostId, seed: u64) -> Self {
        let lease = |name, seed| {
            let (table, clock) = (Arc::clone(&parts.table), Arc::clone(&parts.clock));
            LeaseHandle::start(table, clock, name, host.clone(), seed)
        };
        let [rollout_seed, order_seed, driver_seed] = write_seeds(seed);
        let rollout_lease = lease(ROLLOUT_LEASE, rollout_seed);
        let order_lease = lease(ORDER_LEASE, order_seed);
        let statistics = StatisticsTable::new(Arc::clone(&parts.table));
        let publisher = CatalogPublisher::new(
            Arc::clone(&parts.table),
            Arc::clone(&parts.objects),
            Arc::clone(&parts.clock),
        )
        .with_members(Arc::clone(&parts.members));
        let driver_parts = DriverParts {
            publisher: publisher.clone(),
            ratings: Arc::clone(&parts.ratings),
            statistics: statistics.clone(),
            lease: rollout_lease.clone(),
            clock: Arc::clone(&parts.clock),
        };
        let reconciler_parts = ReconcilerParts {
            catalog: Arc::clone(&parts.catalog),
            weights: Arc::clone(&parts.weights),
            lease: order_lease.clone(),
            clock: Arc::clone(&parts.clock),
        };
        let operator_service = OperatorService::new(ServiceParts {
            publisher,
            statements: StatementReader::new(parts.table, parts.objects),
            members: Arc::clone(&parts.members),
            peers: parts.peers,
            leases: vec![rollout_lease.clone(), order_lease.clone()],
        });
        Self {
            driver: start_driver(driver_parts, driver_seed),
            reconciler: start_reconciler(reconciler_parts),
            watcher: start_watcher(parts.hosts, parts.members),
            operator_service: Arc::new(operator_service),
            rollout_lease,
            order_lease,
            statistics,
        }
    }

    /// Handler of the peer calls on the statistics channel; serves the rating statistics.
    #[must_use]
    pub fn statistics_handler(&self) -> PeerHandler {
        self.statistics.peer_handler()
    }

    /// HTTP handler of the operators' API, for callers with one of `keys`.
    #[must_use]
    pub fn operator_handler(&self, keys: &[SecretKey]) -> HttpHandler {
        operator_handler(Arc::clone(&self.operator_service), keys)
    }

    /// The leases that the steward tries to hold.
    #[must_use]
    pub fn leases(&self) -> Vec<LeaseHandle> {
        vec![self.rollout_lease.clone(), self.order_lease.clone()]
    }

    /// The implementation of the operators' calls, for use in the same process.
    #[must_use]
    pub fn operator_service(&self) -> Arc<OperatorService> {
        Arc::clone(&self.operator_service)
    }

    /// Stops the actors and releases the leases, so that another steward can take over immediately.
    pub async fn stop(&self) {
        self.driver.kill();
        self.reconciler.kill();
        self.watcher.kill();
        tokio::join!(self.rollout_lease.release(), self.order_lease.release());
    }

    /// Stops the actors without releasing the leases, as a crash would; another steward can take
    /// over only after the leases have expired.
    pub fn kill(&self) {
        self.driver.kill();
        self.reconciler.kill();
        self.watcher.kill();
        self.rollout_lease.kill();
        self.order_lease.kill();
    }
}
