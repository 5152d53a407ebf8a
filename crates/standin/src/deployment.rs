//! Stand-ins for every upstream of a catalog, and the platform beside them.

use crate::control::{self, ControlTargets};
use crate::engine::{DEFAULT_BATCH_SLOWDOWN, EngineSettings, EngineStandin};
use crate::platform::{PlatformStandin, any_port};
use crate::service::ServiceStandin;
use oleander_adapters::settings::PlatformSettings;
use oleander_core::catalog::Catalog;
use oleander_core::catalog::objects::Version;
use oleander_core::ids::{PoolName, UpstreamName, VersionName};
use oleander_history::HistoryRecorder;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Confidence of engines whose versions have no expected quality.
const DEFAULT_CONFIDENCE: f64 = 0.8;

/// Where the stand-ins of a catalog listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressPlan {
    /// Where the catalog says.
    Configured,
    /// On free ports of the loopback interface; the catalog is changed to match.
    FreePort,
}

/// How stand-ins are started.
#[derive(Clone)]
pub struct DeploymentPlan {
    /// Where upstreams listen.
    pub addresses: AddressPlan,
    /// Where the platform listens; on free ports when left out.
    pub platform: Option<PlatformSettings>,
    /// Where faults are set.
    pub control: SocketAddr,
    /// Records what upstreams run.
    pub recorder: HistoryRecorder,
    /// Tokens of every answer; drawn by its prompt when left out.
    pub answer_tokens: Option<u32>,
    /// Share of the gap between tokens that each further running request adds.
    pub batch_slowdown: f64,
}

impl DeploymentPlan {
    /// Everything on free ports of the loopback interface, nothing recorded.
    #[must_use]
    pub fn on_free_ports() -> Self {
        Self {
            addresses: AddressPlan::FreePort,
            platform: None,
            control: any_port(),
            recorder: HistoryRecorder::off(),
            answer_tokens: None,
            batch_slowdown: DEFAULT_BATCH_SLOWDOWN,
        }
    }

    /// Upstreams where the catalog says, the platform where `platform` says.
    #[must_use]
    pub fn on_configured_addresses(platform: PlatformSettings) -> Self {
        Self {
            addresses: AddressPlan::Configured,
            platform: Some(platform),
            ..Self::on_free_ports()
        }
    }

    /// Sets where faults are set.
    #[must_use]
    pub const fn with_control(mut self, control: SocketAddr) -> Self {
        self.control = control;
        self
    }

    /// Records what upstreams run.
    #[must_use]
    pub fn with_recorder(mut self, recorder: &HistoryRecorder) -> Self {
        self.recorder = recorder.clone();
        self
    }
}

/// Running stand-ins.
pub struct StandinDeployment {
    /// The platform.
    pub platform: PlatformStandin,
    /// Where the platform listens.
    pub platform_addresses: PlatformSettings,
    /// The engines, by name.
    pub engines: BTreeMap<UpstreamName, EngineStandin>,
    /// The instances of plain services, by name.
    pub services: BTreeMap<UpstreamName, ServiceStandin>,
    /// The catalog with the addresses at which the upstreams really listen.
    pub catalog: Catalog,
    /// Where faults are set.
    pub control_address: SocketAddr,
}

impl StandinDeployment {
    /// Starts the platform and an upstream for each one in the catalog.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start(mut catalog: Catalog, plan: DeploymentPlan) -> anyhow::Result<Self> {
        let platform = PlatformStandin::new();
        set_true_quality(&platform, &catalog);
        let platform_addresses = match &plan.platform {
            Some(wanted) => platform.start(wanted).await?,
            None => platform.start_on_free_ports().await?,
        };
        let engines = start_engines(&mut catalog, &plan).await?;
        let services = start_services(&mut catalog, &plan).await?;
        let targets = ControlTargets::new(&platform, &engines, &services);
        let control_address = control::start(plan.control, targets).await?;
        Ok(Self { platform, platform_addresses, engines, services, catalog, control_address })
    }
}

fn set_true_quality(platform: &PlatformStandin, catalog: &Catalog) {
    for (name, version) in &catalog.versions {
        for (cascade, quality) in &version.quality {
            platform.ratings.set_quality(cascade, name, quality.get());
        }
    }
}

/// Versions that each pool runs.
fn versions_by_pool(catalog: &Catalog) -> BTreeMap<PoolName, Vec<VersionName>> {
    let mut pools: BTreeMap<PoolName, Vec<VersionName>> = BTreeMap::new();
    for (name, version) in &catalog.versions {
        pools.entry(version.pool.clone()).or_default().push(name.clone());
    }
    pools
}

fn bind_address(plan: AddressPlan, written: SocketAddr) -> SocketAddr {
    match plan {
        AddressPlan::Configured => written,
        AddressPlan::FreePort => any_port(),
    }
}

async fn start_engines(
    catalog: &mut Catalog,
    plan: &DeploymentPlan,
) -> anyhow::Result<BTreeMap<UpstreamName, EngineStandin>> {
    let mut engines = BTreeMap::new();
    for (pool, versions) in versions_by_pool(catalog) {
        let first = catalog.versions[&versions[0]].clone();
        let Some(pool) = catalog.pools.get_mut(&pool) else { continue };
        for (name, upstream) in &mut pool.upstreams {
            let mut settings = engine_settings(name, &versions, &first);
            settings.slots = upstream.slots;
            settings.checks_fencing = upstream.checks_fencing;
            settings.recorder = plan.recorder.clone();
            settings.answer_tokens = plan.answer_tokens;
            settings.batch_slowdown = plan.batch_slowdown;
            let engine = EngineStandin::new(settings);
            upstream.address = engine.start(bind_address(plan.addresses, upstream.address)).await?;
            engines.insert(name.clone(), engine);
        }
    }
    Ok(engines)
}

fn engine_settings(
    name: &UpstreamName,
    versions: &[VersionName],
    first: &Version,
) -> EngineSettings {
    let mut settings = EngineSettings::new(name.clone(), versions.to_vec());
    settings.first_token = first.first_token.as_duration();
    settings.token_gap = first.token_gap.as_duration();
    settings.load_time = Duration::from_millis(u64::from(first.weight_megabytes / 10));
    let qualities = first.quality.values().map(|quality| quality.get());
    settings.confidence = qualities.fold(f64::NAN, f64::max);
    if settings.confidence.is_nan() {
        settings.confidence = DEFAULT_CONFIDENCE;
    }
    settings
}

fn non_idempotent_paths(catalog: &Catalog) -> Arc<[Arc<str>]> {
    let operations = catalog.services.values().flat_map(|service| service.operations.values());
    operations.filter(|one| !one.idempotent).map(|one| Arc::clone(&one.path)).collect()
}

async fn start_services(
    catalog: &mut Catalog,
    plan: &DeploymentPlan,
) -> anyhow::Result<BTreeMap<UpstreamName, ServiceStandin>> {
    let pools: BTreeSet<PoolName> =
        catalog.services.values().map(|service| service.pool.clone()).collect();
    let paths = non_idempotent_paths(catalog);
    let mut services = BTreeMap::new();
    for pool in pools {
        let Some(pool) = catalog.pools.get_mut(&pool) else { continue };
        for (name, upstream) in &mut pool.upstreams {
            let service = ServiceStandin::new(name.clone())
                .with_recorder(plan.recorder.clone(), Arc::clone(&paths));
            upstream.address =
                service.start(bind_address(plan.addresses, upstream.address)).await?;
            services.insert(name.clone(), service);
        }
    }
    Ok(services)
}
