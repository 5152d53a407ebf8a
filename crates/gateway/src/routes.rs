//! The operators' configuration: routes by host name and longest prefix, services, client accounts.

use oleander_core::home_regions::HomeRegions;
use oleander_core::ids::ServiceName;
use oleander_core::request_rate::RequestRate;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Which requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Requests may run any number of times.
    Retryable,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events. A resumable stream may continue on another
    /// upstream; any other runs at most once.
    Stream {
        /// Whether a stream may be resumed after an event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request whose outcome is unknown may be sent again.
    #[must_use]
    pub const fn allows_retry(self) -> bool {
        matches!(self, Self::Retryable | Self::Stream { resumable: true })
    }

    /// Time that must be left for a request before this host ends, of the `time_left` to its deadline. One that
    /// must not run twice and is given up may have run, so it gets all of it; one that may be repeated gets what it
    /// takes, if that is known. A stream that is cut cannot go on from another host, so no time is enough.
    ///
    /// ```
    /// use oleander_gateway::routes::RetryPolicy;
    /// use std::time::Duration;
    ///
    /// let (time_left, expected) = (Duration::from_secs(3), Some(Duration::from_secs(1)));
    /// assert_eq!(RetryPolicy::AtMostOnce.needed_time(time_left, expected), time_left);
    /// assert_eq!(RetryPolicy::Retryable.needed_time(time_left, expected), Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn needed_time(self, time_left: Duration, expected: Option<Duration>) -> Duration {
        match self {
            Self::Retryable => expected.unwrap_or_default().min(time_left),
            Self::AtMostOnce => time_left,
            Self::Stream { .. } => Duration::MAX,
        }
    }

    /// Whether answers are event streams.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that serves a share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Host name that callers request.
    pub host: Arc<str>,
    /// Prefix of the paths that it serves; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Which requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Maximum time until the complete answer.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, has its full value.
    pub latency_target: Duration,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Models to choose from, smallest first; empty where callers name the model or none.
    pub models: Vec<Arc<str>>,
    /// Services that serve the route, by weight.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Maximum gap between events of a stream that is still on time.
    pub max_event_gap: Option<Duration>,
    /// Regions in which its requests may be served.
    pub home_regions: HomeRegions,
}

impl Route {
    /// The service for a `point` in 0..1; requests with the same point get the same service.
    ///
    /// Returns `None` only for a route without targets.
    #[must_use]
    pub fn target(&self, point: f64) -> Option<&ServiceName> {
        let total: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut left = point * total;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// A model that the engines of a service run.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Name of the model.
    pub name: Arc<str>,
    /// Price of 1,000 generated tokens, in the deployment's unit; a prompt token costs a quarter of
    /// a generated one.
    pub cost: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Models of its engines; empty for plain services.
    pub models: Vec<EngineModel>,
    /// How its upstreams warm up; `None` if they take full load from their start.
    pub warm_up: Option<WarmUpSpec>,
    /// Tokens of running requests and cached prompt parts that fit into an engine's memory; `None` for
    /// plain services.
    pub memory_tokens: Option<u32>,
}

/// How upstreams of a service warm up after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpSpec {
    /// Time for which an upstream stays cold.
    pub duration: Duration,
    /// Requests a second that a cold upstream takes from all hosts together.
    pub rate: RequestRate,
}

/// A client account, identified by its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountSpec {
    /// Name of the account.
    pub name: Arc<str>,
    /// Priority, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served.
    pub home_regions: HomeRegions,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of request headers, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive request headers, from their first byte.
    pub head_timeout: Duration,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Generous limits that apply until a configuration sets its own.
    fn default() -> Self {
        Self {
            max_head_bytes: 64 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// One complete, immutable configuration.
///
/// ```
/// use oleander_core::home_regions::HomeRegions;
/// use oleander_gateway::routes::{Route, RouteTable, RetryPolicy};
/// use std::time::Duration;
///
/// let route = |name: &str, prefix: &str| Route {
///     name: name.into(),
///     host: "desk.example".into(),
///     prefix: prefix.into(),
///     retry_policy: RetryPolicy::Retryable,
///     timeout: Duration::from_secs(3),
///     latency_target: Duration::from_millis(400),
///     priority: 1,
///     models: Vec::new(),
///     targets: Vec::new(),
///     max_attempts: 2,
///     public: true,
///     max_event_gap: None,
///     home_regions: HomeRegions::any(),
/// };
/// let table = RouteTable::new(7)
///     .with_route(route("all", "/a/"))
///     .with_route(route("some", "/a/b/"));
/// let found = |path: &str| table.find("desk.example", path).map(|route| route.name.to_string());
/// assert_eq!(found("/a/b/1").as_deref(), Some("some"));
/// assert_eq!(found("/a/1").as_deref(), Some("all"));
/// assert_eq!(found("/b/"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    hosts: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    keys: HashMap<Arc<str>, Arc<AccountSpec>>,
    has_accounts: bool,
    limits: CallerLimits,
}

impl RouteTable {
    /// Creates an empty configuration with a version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self { version, ..Self::default() }
    }

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: Route) -> Self {
        let routes = self.hosts.entry(Arc::clone(&route.host)).or_default();
        let longer = |other: &Arc<Route>| other.prefix.len() >= route.prefix.len();
        let index = routes.partition_point(longer);
        routes.insert(index, Arc::new(route));
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: ServiceSpec) -> Self {
        self.services.insert(service.name.clone(), service);
        self
    }

    /// Adds a client account with its keys; from then on requests need a key.
    #[must_use]
    pub fn with_account(mut self, account: AccountSpec, keys: Vec<Arc<str>>) -> Self {
        let account = Arc::new(account);
        self.has_accounts = true;
        self.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&account))));
        self
    }

    /// Sets the limits on callers.
    #[must_use]
    pub const fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Version of the configuration; newer ones are higher.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request: the longest matching path prefix under its host name.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.hosts.get(name).or_else(|| {
            let lower = name.to_ascii_lowercase();
            self.hosts.get(lower.as_str())
        })?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The account that holds a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<AccountSpec>> {
        self.keys.get(key)
    }

    /// Whether requests need a key.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        self.has_accounts
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// The limits on callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Number of routes, for logs.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
