//! The parts of the system, put together in one process.

use crate::cli::Cli;
use anyhow::{Context, anyhow};
use oleander_adapters::settings::{HostSettings, PlatformSettings, SecretKey};
use oleander_catalog::parse_catalog;
use oleander_catalog::records::PublishId;
use oleander_catalog::{CatalogFile, CatalogPublisher, PublishRequest, QualityFollower};
use oleander_core::catalog::Catalog;
use oleander_core::ids::{DomainName, HostId, KeyId, RegionName, Revision};
use oleander_entry::{EntryParts, EntryServer};
use oleander_host::RunningHost;
use oleander_ledger::local::LocalLedger;
use oleander_ledger::node::{LedgerNode, LedgerPorts, NodeConfig};
use oleander_ports::catalog::{CatalogPort, CatalogStanding};
use oleander_ports::clock::SystemClock;
use oleander_ports::members::MemberRole;
use oleander_standin::deployment::{AddressPlan, StandinDeployment};
use oleander_standin::platform::any_port;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at whether the catalog is in force.
const START_POLL: Duration = Duration::from_millis(20);
/// Longest time for the catalog to come into force.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Everything that runs.
pub struct EmbeddedSystem {
    /// The stand-ins.
    pub standins: StandinDeployment,
    /// The process as its peers would see it.
    pub host: RunningHost,
    /// The ledger.
    pub ledger: Arc<LedgerNode>,
    /// The callers' server, not yet serving.
    pub entry: EntryServer,
}

impl EmbeddedSystem {
    /// Starts the stand-ins, publishes the catalog, and binds the callers' port.
    ///
    /// # Errors
    ///
    /// When the catalog has findings or an address is taken.
    pub async fn start(cli: &Cli) -> anyhow::Result<Self> {
        let catalog = read_catalog(cli)?;
        let standins =
            StandinDeployment::start(catalog, AddressPlan::AnyPort, None, cli.control).await?;
        let settings = local_settings(cli, &standins.catalog, &standins.platform_addresses)?;
        let host = RunningHost::start(settings, MemberRole::Entry).await?;
        publish(&host, &standins.catalog).await?;
        wait_in_force(&host).await?;
        let ledger = start_ledger(&host);
        let entry = EntryServer::bind(entry_parts(cli, &host, &ledger), cli.callers).await?;
        Ok(Self { standins, host, ledger, entry })
    }
}

fn read_catalog(cli: &Cli) -> anyhow::Result<Catalog> {
    let name = cli.catalog.display().to_string();
    let text = std::fs::read_to_string(&cli.catalog);
    let text = text.with_context(|| format!("cannot read {name}"))?;
    let (catalog, _) = parse_catalog(&[CatalogFile::new(&name, &text)]).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        anyhow!("the catalog has {} findings:\n{}", lines.len(), lines.join("\n"))
    })?;
    Ok(catalog)
}

/// The process stands in the first region of the catalog.
fn first_place(catalog: &Catalog) -> anyhow::Result<(RegionName, DomainName)> {
    let (region, object) =
        catalog.regions.first_key_value().context("the catalog has no region")?;
    let domain = object.domains.first().context("a region has no failure domain")?;
    Ok((region.clone(), domain.clone()))
}

/// A key that only this process knows.
fn fresh_key(id: &str) -> anyhow::Result<SecretKey> {
    let secret = format!("{:032x}", rand::random::<u128>());
    Ok(SecretKey { id: KeyId::new(id)?, secret: Arc::from(secret) })
}

fn local_settings(
    cli: &Cli,
    catalog: &Catalog,
    platform: &PlatformSettings,
) -> anyhow::Result<HostSettings> {
    let (region, domain) = first_place(catalog)?;
    Ok(HostSettings {
        id: HostId::new("local.entry")?,
        region,
        domain,
        peer_address: any_port(),
        admin_address: cli.admin,
        caller_address: Some(cli.callers),
        seeds: Vec::new(),
        platform: platform.clone(),
        peer_keys: vec![fresh_key("peer-1")?],
        session_keys: vec![fresh_key("session-1")?],
        operator_keys: Vec::new(),
        trace_collector: None,
        log_level: Arc::from(cli.log_level.as_str()),
        drain_seconds: 0,
    })
}

async fn publish(host: &RunningHost, catalog: &Catalog) -> anyhow::Result<()> {
    let (table, objects) = (Arc::clone(&host.platform.table), Arc::clone(&host.platform.objects));
    let publisher = CatalogPublisher::new(table, objects, Arc::clone(&host.clock));
    let publisher = publisher.with_members(host.members());
    let id = PublishId::new(rand::random());
    let request = PublishRequest::new(id, "oleander-local", Revision::default());
    publisher.publish(catalog, request).await?;
    Ok(())
}

async fn wait_in_force(host: &RunningHost) -> anyhow::Result<()> {
    let in_force = async {
        while host.catalog.standing() != CatalogStanding::InForce {
            tokio::time::sleep(START_POLL).await;
        }
    };
    let waited = tokio::time::timeout(START_TIMEOUT, in_force).await;
    waited.context("the catalog did not come into force")
}

fn start_ledger(host: &RunningHost) -> Arc<LedgerNode> {
    let HostSettings { id, region, domain, .. } = host.settings.clone();
    let ports = LedgerPorts {
        table: Arc::clone(&host.platform.table),
        objects: Arc::clone(&host.platform.objects),
        peers: host.calls(),
        members: host.members(),
        clock: SystemClock::shared(),
    };
    LedgerNode::new(NodeConfig::new(id, region, domain, host.incarnation), ports)
}

fn entry_parts(cli: &Cli, host: &RunningHost, ledger: &Arc<LedgerNode>) -> EntryParts {
    let local = Arc::new(LocalLedger::new(Arc::clone(ledger)));
    EntryParts {
        id: host.settings.id.clone(),
        region: host.settings.region.clone(),
        domain: host.settings.domain.clone(),
        incarnation: host.incarnation,
        catalog: Arc::clone(&host.catalog) as Arc<dyn CatalogPort>,
        usage: Arc::clone(&local) as _,
        claims: local,
        members: host.members(),
        ratings: Arc::clone(&host.platform.ratings),
        shares: Arc::new(crate::whole_share::WholeShare::new(Arc::clone(&host.catalog) as _)),
        quality: Arc::new(QualityFollower::new(host.calls(), host.members(), host.seed)),
        table: Arc::clone(&host.platform.table),
        clock: Arc::clone(&host.clock),
        session_keys: host.settings.session_keys.clone(),
        seed: host.seed,
        mode: cli.mode,
    }
}
