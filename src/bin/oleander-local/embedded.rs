//! One entry, one ledger and one steward in one process, with stand-ins as back ends.

use crate::cli::Cli;
use anyhow::{Context, anyhow};
use oleander_adapters::settings::{HostSettings, PlatformSettings, SecretKey};
use oleander_catalog::records::PublishId;
use oleander_catalog::{CatalogFile, CatalogPublisher, PublishRequest, parse_catalog};
use oleander_core::catalog::Catalog;
use oleander_core::ids::{DomainName, HostId, KeyId, RegionName, Revision};
use oleander_entry::EntryProcess;
use oleander_history::HistoryRecorder;
use oleander_host::RunningHost;
use oleander_ledger::{LedgerNode, LedgerPorts, NodeConfig};
use oleander_ports::catalog::{CatalogPort, CatalogStatus};
use oleander_ports::members::MemberRole;
use oleander_standin::deployment::{DeploymentPlan, StandinDeployment};
use oleander_standin::platform::any_port;
use oleander_steward::steward_process::StewardProcess;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which readiness is polled at the start.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time until the members and the catalog are ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Expected number of members: entry, ledger and steward.
const EXPECTED_MEMBERS: usize = 3;

/// The running system.
pub struct EmbeddedSystem {
    /// Stand-ins for the platform and the upstreams.
    pub standins: StandinDeployment,
    /// The running steward.
    pub steward: StewardProcess,
    /// Host on which the ledger runs.
    pub ledger_host: RunningHost,
    /// The running ledger.
    pub ledger: Arc<LedgerNode>,
    /// The entry, not yet serving.
    pub entry: EntryProcess,
}

impl EmbeddedSystem {
    /// Starts the stand-ins, publishes the catalog, and binds every port.
    ///
    /// # Errors
    ///
    /// When the catalog has findings or an address is in use.
    pub async fn start(cli: &Cli) -> anyhow::Result<Self> {
        let catalog = read_catalog(cli)?;
        let plan = DeploymentPlan::on_free_ports().with_control(cli.control);
        let standins = StandinDeployment::start(catalog, plan).await?;
        let common = CommonSettings::new(cli, &standins.catalog, &standins.platform_addresses)?;
        let steward_host =
            RunningHost::start(common.settings("steward", cli.operators)?, MemberRole::Steward)
                .await?;
        publish(&steward_host, &standins.catalog).await?;
        let common = common.with_seed(steward_host.peers.address());
        let steward = StewardProcess::start(steward_host).await?;
        let ledger_host =
            RunningHost::start(common.settings("ledger", any_port())?, MemberRole::Ledger).await?;
        let ledger = start_ledger(&ledger_host);
        let entry_host =
            RunningHost::start(common.settings("entry", cli.admin)?, MemberRole::Entry).await?;
        wait_until_ready(&entry_host).await?;
        let entry = EntryProcess::start(entry_host, cli.mode, HistoryRecorder::off()).await?;
        Ok(Self { standins, steward, ledger_host, ledger, entry })
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

/// Settings that the embedded processes share.
struct CommonSettings {
    region: RegionName,
    domain: DomainName,
    platform: PlatformSettings,
    callers: SocketAddr,
    seeds: Vec<SocketAddr>,
    peer_key: SecretKey,
    session_key: SecretKey,
    operator_key: SecretKey,
    log_level: Arc<str>,
}

impl CommonSettings {
    /// Places every process in the first region of the catalog.
    fn new(cli: &Cli, catalog: &Catalog, platform: &PlatformSettings) -> anyhow::Result<Self> {
        let (region, object) =
            catalog.regions.first_key_value().context("the catalog has no region")?;
        let domain = object.domains.first().context("a region has no failure domain")?;
        Ok(Self {
            region: region.clone(),
            domain: domain.clone(),
            platform: platform.clone(),
            callers: cli.callers,
            seeds: Vec::new(),
            peer_key: random_key("peer-1")?,
            session_key: random_key("session-1")?,
            operator_key: SecretKey {
                id: KeyId::new("operator-1")?,
                secret: Arc::from(cli.operator_key.as_str()),
            },
            log_level: Arc::from(cli.log_level.as_str()),
        })
    }

    fn with_seed(mut self, seed: SocketAddr) -> Self {
        self.seeds.push(seed);
        self
    }

    fn settings(&self, role: &str, admin_address: SocketAddr) -> anyhow::Result<HostSettings> {
        Ok(HostSettings {
            id: HostId::new(&format!("local.{role}"))?,
            region: self.region.clone(),
            domain: self.domain.clone(),
            peer_address: any_port(),
            admin_address,
            caller_address: Some(self.callers),
            seeds: self.seeds.clone(),
            platform: self.platform.clone(),
            peer_keys: vec![self.peer_key.clone()],
            session_keys: vec![self.session_key.clone()],
            operator_keys: vec![self.operator_key.clone()],
            trace_collector: None,
            log_level: Arc::clone(&self.log_level),
            drain_seconds: 0,
        })
    }
}

/// A random key, known only to this process.
fn random_key(id: &str) -> anyhow::Result<SecretKey> {
    let secret = format!("{:032x}", rand::random::<u128>());
    Ok(SecretKey { id: KeyId::new(id)?, secret: Arc::from(secret) })
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

/// Waits until the catalog is in force and every process is a member.
async fn wait_until_ready(host: &RunningHost) -> anyhow::Result<()> {
    let members = host.members();
    let ready = async {
        while host.catalog.status() != CatalogStatus::InForce
            || members.members().len() < EXPECTED_MEMBERS
        {
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(START_TIMEOUT, ready).await;
    waited.context("expected three members and the catalog in force within 10 s")
}

fn start_ledger(host: &RunningHost) -> Arc<LedgerNode> {
    let HostSettings { id, region, domain, .. } = host.settings.clone();
    let ports = LedgerPorts {
        table: Arc::clone(&host.platform.table),
        objects: Arc::clone(&host.platform.objects),
        peers: host.calls(),
        members: host.members(),
        clock: Arc::clone(&host.clock),
    };
    let node = LedgerNode::new(NodeConfig::new(id, region, domain, host.incarnation), ports);
    for (channel, handler) in node.handlers() {
        host.peers.handle(channel, handler);
    }
    node
}
