//! Orders to upstreams over real connections: the desired versions are loaded, a few at a time, and
//! the effect of a stale order is corrected.

mod support;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use oleander_adapters::http_client::HttpClient;
use oleander_catalog::FixedCatalog;
use oleander_core::catalog::Catalog;
use oleander_core::ids::{FencingNumber, UpstreamName, VersionName};
use oleander_ports::clock::SystemClock;
use oleander_ports::upstream::{Order, OrderAction};
use oleander_standin::engine::{EngineSettings, EngineStandin};
use oleander_steward::{StewardNode, StewardParts};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::{TestPlatform, host, small_catalog, version};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which a steward runs at least one pass.
const PASS_WAIT: Duration = Duration::from_secs(4);

struct Pool {
    engines: Vec<(EngineStandin, SocketAddr)>,
    catalog: Catalog,
}

/// A pool of engines that have one version loaded; every second one ignores fencing.
async fn start_pool(count: usize) -> Pool {
    let mut catalog = small_catalog();
    let pool = catalog.pools.get_mut(&"engines".parse().unwrap()).unwrap();
    let template = pool.upstreams.values().next().unwrap().clone();
    pool.upstreams.clear();
    let mut engines = Vec::new();
    for number in 0..count {
        let name = UpstreamName::new(&format!("engine-{number}")).unwrap();
        let mut settings = EngineSettings::new(name.clone(), vec![version("menu-small@1")]);
        settings.checks_fencing = number % 2 == 0;
        settings.load_time = Duration::from_millis(100);
        let engine = EngineStandin::new(settings);
        let address = engine.start(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        pool.upstreams.insert(
            name,
            oleander_core::catalog::objects::Upstream { address, ..template.clone() },
        );
        engines.push((engine, address));
    }
    Pool { engines, catalog }
}

impl Pool {
    fn steward(&self, platform: &TestPlatform, number: u64) -> StewardNode {
        let catalog = Arc::new(FixedCatalog::new(self.catalog.clone()));
        let parts = StewardParts { clock: SystemClock::shared(), ..platform.parts(catalog) };
        StewardNode::start(parts, &host(number), number * 1_000)
    }

    fn holders(&self, name: &VersionName) -> usize {
        self.engines.iter().filter(|(engine, _)| engine.versions().contains(name)).count()
    }
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("timed out: {what}"));
}

async fn order(client: &HttpClient, address: SocketAddr, order: &Order) -> u16 {
    let body = Full::new(Bytes::from(serde_json::to_vec(order).unwrap()));
    let request = Request::post(format!("http://{address}/orders")).body(body).unwrap();
    let answer = client.send_buffered(request, Duration::from_secs(5), 10_000).await.unwrap();
    answer.status().as_u16()
}

#[tokio::test]
async fn desired_versions_are_loaded_and_a_stale_order_is_corrected() {
    let platform = TestPlatform::new();
    let pool = start_pool(4).await;
    let steward = pool.steward(&platform, 1);
    let (large, small) = (version("menu-large@1"), version("menu-small@1"));
    wait_until("menu-large@1 is loaded", || pool.holders(&large) >= 1).await;
    steward.stop().await;
    // The next holder has a higher fencing number; its orders reach the engines.
    let _next = pool.steward(&platform, 2);
    let new = version("menu-large@2");
    wait_until("every desired version is loaded", || {
        pool.holders(&large) == 4 && pool.holders(&new) >= 1
    })
    .await;
    // The reconciler has to see the last load confirmed before it is undone.
    tokio::time::sleep(PASS_WAIT).await;
    let client = HttpClient::new();
    let stale = |version: &VersionName| Order {
        fencing: FencingNumber::new(0),
        action: OrderAction::Unload(version.clone()),
    };
    let mut unloaded = 0;
    for (engine, address) in &pool.engines {
        let status = order(&client, *address, &stale(&large)).await;
        let ignores_fencing = !engine.versions().contains(&large);
        assert_eq!(status == 200, ignores_fencing, "{status}");
        unloaded += usize::from(ignores_fencing);
    }
    assert_eq!(unloaded, 2, "engines that ignore fencing execute a stale order");
    wait_until("the version is loaded everywhere again", || pool.holders(&large) == 4).await;
    assert_eq!(pool.holders(&small), 4);
}

/// While the weight store grants no loads, none is ordered, and loaded versions stay.
#[tokio::test]
async fn loads_wait_for_the_weight_store() {
    let platform = TestPlatform::new();
    let mut pool = start_pool(2).await;
    for object in pool.catalog.versions.values_mut() {
        object.weight_megabytes = 1_000_000;
    }
    platform.weights.set_rate(1);
    let granted = platform.weights.granted();
    let _steward = pool.steward(&platform, 1);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(platform.weights.granted() - granted <= 1);
    assert!(pool.holders(&version("menu-large@1")) + pool.holders(&version("menu-large@2")) <= 1);
}
