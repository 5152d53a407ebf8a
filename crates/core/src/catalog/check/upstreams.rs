//! Checks of regions, pools, upstreams, services and drains.

use crate::catalog::check::check_share;
use crate::catalog::objects::{Catalog, Operation, Pool, Upstream};
use crate::catalog::place::FindingCollector;
use crate::ids::{DomainName, RegionName, UpstreamName};
use std::collections::HashMap;
use std::net::SocketAddr;

/// HTTP methods that an operation of a service may have.
const KNOWN_METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];

/// Checks that each failure domain belongs to exactly one region.
pub(super) fn check_regions(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    let mut owners: HashMap<&DomainName, &RegionName> = HashMap::new();
    for (name, region) in &catalog.regions {
        if region.domains.is_empty() {
            let path = format!("regions/{name}");
            collector.add(&path, "the region has no failure domains", "add one to domains");
        }
        for (index, domain) in region.domains.iter().enumerate() {
            if let Some(owner) = owners.insert(domain, name) {
                let path = format!("regions/{name}/domains/{index}");
                let problem =
                    format!("the failure domain {domain} already belongs to the region {owner}");
                collector.add(&path, problem, "list it once, in one region");
            }
        }
    }
}

/// Checks that every pool has upstreams, and that upstream names and addresses are unique.
pub(super) fn check_pools(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    let mut names: HashMap<&UpstreamName, String> = HashMap::new();
    let mut addresses: HashMap<SocketAddr, &UpstreamName> = HashMap::new();
    for (pool_name, pool) in &catalog.pools {
        let path = format!("pools/{pool_name}");
        check_pool(pool, &path, collector);
        for (name, upstream) in &pool.upstreams {
            let path = format!("{path}/upstreams/{name}");
            if let Some(first) = names.insert(name, path.clone()) {
                let problem = format!("the name is already used by {first}");
                collector.add(&path, problem, "choose another name");
            }
            if let Some(owner) = addresses.insert(upstream.address, name) {
                let problem = format!("the upstream {owner} also listens on {}", upstream.address);
                collector.add(&format!("{path}/address"), problem, "correct the address");
            }
            check_upstream(catalog, upstream, &path, collector);
        }
    }
}

fn check_pool(pool: &Pool, path: &str, collector: &mut FindingCollector<'_>) {
    if pool.upstreams.is_empty() {
        collector.add(path, "the pool has no upstreams", "add one to upstreams");
    }
    check_share(collector, &format!("{path}/retry_share"), pool.retry_share);
}

fn check_upstream(
    catalog: &Catalog,
    upstream: &Upstream,
    path: &str,
    collector: &mut FindingCollector<'_>,
) {
    if upstream.slots == 0 {
        let field = format!("{path}/slots");
        collector.add(&field, "an upstream with 0 slots runs no requests", "use at least 1");
    }
    if upstream.address.port() == 0 || upstream.address.ip().is_unspecified() {
        let field = format!("{path}/address");
        let problem = format!("{} has port 0 or an unspecified IP address", upstream.address);
        collector.add(&field, problem, "use the address on which the upstream listens");
    }
    let Some(region) = catalog.regions.get(&upstream.region) else {
        let field = format!("{path}/region");
        return collector.add_missing(&field, "regions", "region", &upstream.region);
    };
    if !region.domains.contains(&upstream.domain) {
        let problem =
            format!("the region {} has no failure domain {}", upstream.region, upstream.domain);
        collector.add(&format!("{path}/domain"), problem, "name one of the region's domains");
    }
}

/// Checks that every service has an existing pool and valid operations.
pub(super) fn check_services(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    for (name, service) in &catalog.services {
        let path = format!("services/{name}");
        if !catalog.pools.contains_key(&service.pool) {
            let field = format!("{path}/pool");
            collector.add_missing(&field, "pools", "pool", &service.pool);
        }
        if service.operations.is_empty() {
            collector.add(&path, "the service has no operations", "add one to operations");
        }
        for (operation_name, operation) in &service.operations {
            check_operation(operation, &format!("{path}/operations/{operation_name}"), collector);
        }
    }
}

fn check_operation(operation: &Operation, path: &str, collector: &mut FindingCollector<'_>) {
    if !KNOWN_METHODS.contains(&&*operation.method) {
        let problem = format!("{:?} is not a supported HTTP method", operation.method);
        let advice = format!("use one of {}", KNOWN_METHODS.join(", "));
        collector.add(&format!("{path}/method"), problem, advice);
    }
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '"' | '<' | '>');
    if !operation.path.starts_with('/') || !operation.path.chars().all(plain) {
        let problem = format!("{:?} is not a valid path", operation.path);
        collector.add(
            &format!("{path}/path"),
            problem,
            "use a path that starts with / and has no spaces, ? or #",
        );
    }
    if operation.timeout.get() == 0 {
        let field = format!("{path}/timeout");
        collector.add(
            &field,
            "with a timeout of 0 every call would fail",
            "use at least 1 millisecond",
        );
    }
}

/// Checks that the upstreams that drains name exist.
pub(super) fn check_drains(catalog: &Catalog, collector: &mut FindingCollector<'_>) {
    for name in catalog.drains.keys() {
        if !catalog.pools.values().any(|pool| pool.upstreams.contains_key(name)) {
            let problem = format!("no upstream is named {name}");
            let path = format!("drains/{name}");
            collector.add(&path, problem, "remove the drain or correct the name");
        }
    }
}
