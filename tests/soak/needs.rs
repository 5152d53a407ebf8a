//! Upstreams in need: one names a limit for all hosts, and one request crashes each that runs it.

use crate::caller::{CallRecord, KEY};
use crate::cluster::SoakCluster;
use crate::random::SeededRandom;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Target of the request that crashes upstreams.
pub const CRASH_TARGET: &str = "/look/crash";
/// Time after which all hosts must know of a limit or a request, and for which a disturbance excuses
/// one.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Span in which requests beyond a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time for which a change of a link may hold requests up.
const LINK_MEMORY: Duration = Duration::from_secs(3);
/// Number of crashes, and how often the request may reach upstreams after them.
const MAX_CRASHES: usize = 3;
const MAX_LATE_ARRIVALS: usize = 3;
/// Time for which a crashed upstream is away.
const CRASH_TIME: Duration = Duration::from_millis(800);
/// Range of the pause between two requests that crash upstreams.
const MIN_PAUSE_MS: u64 = 600;
const MAX_PAUSE_MS: u64 = 1_600;

/// A limit that an upstream names from the start of a run.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    /// Place of the upstream in the cluster.
    upstream: usize,
    per_second: f64,
    since: Instant,
}

/// Lets an upstream name a limit until the end of the run.
pub fn name_limit(cluster: &SoakCluster, random: &SeededRandom) -> NamedLimit {
    let upstream = random.below(cluster.upstreams.len() as u64) as usize;
    let per_second = 1.0 + random.below(80) as f64 / 10.0;
    cluster.upstreams[upstream].upstream.set_limit(per_second);
    NamedLimit { upstream, per_second, since: Instant::now() }
}

/// Takes crashed upstreams away for a while, for as long as it is polled.
pub async fn restart_crashed(cluster: Arc<SoakCluster>) {
    let mut tasks = tokio::task::JoinSet::new();
    for place in 0..cluster.upstreams.len() {
        let cluster = Arc::clone(&cluster);
        tasks.spawn(async move {
            let proxied = &cluster.upstreams[place];
            loop {
                proxied.upstream.next_crash().await;
                proxied.proxy.set_closed(true);
                tokio::time::sleep(CRASH_TIME).await;
                cluster.return_upstream(&proxied.upstream.name);
                proxied.proxy.set_closed(false);
            }
        });
    }
    tasks.join_all().await;
}

/// Sends the request that crashes upstreams again and again, to any host, until `stop` is true.
/// Returns the hosts that got it, by id.
pub async fn send_crashing_requests(
    cluster: Arc<SoakCluster>,
    random: SeededRandom,
    stop: watch::Receiver<bool>,
) -> HashMap<String, usize> {
    let client = oleander_adapters::http_client::HttpClient::new();
    let mut hosts = HashMap::new();
    while !*stop.borrow() {
        let host = random.below(cluster.hosts.len() as u64) as usize;
        let id = format!("crash{:08x}", hosts.len());
        let target = format!("http://{}{CRASH_TARGET}", cluster.hosts[host].callers);
        let request = http::Request::get(target)
            .header("Host", "desk.example")
            .header("Attempt-Id", &id)
            .header("Deadline-Ms", "1500")
            .header("Api-Key", KEY)
            .body(http_body_util::Full::default())
            .unwrap();
        hosts.insert(id, host);
        let _ = client.send_buffered(request, Duration::from_millis(2_000), 100_000).await;
        let pause = MIN_PAUSE_MS + random.below(MAX_PAUSE_MS - MIN_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    hosts
}

/// The hosts together send no more than one and a half times a limit and five requests in a window.
pub fn check_limit(
    limit: &NamedLimit,
    records: &[CallRecord],
    cluster: &SoakCluster,
) -> Option<String> {
    let hosts: HashMap<&str, usize> =
        records.iter().map(|record| (record.id.as_str(), record.host)).collect();
    let proxied = &cluster.upstreams[limit.upstream];
    let is_excused = |id: &str, at: Instant| {
        let host = hosts.get(id).map(|host| &cluster.hosts[*host]);
        host.is_some_and(|host| host.was_disturbed(at - CONTACT_TIME, at))
    };
    let arrivals = cluster.runs.arrivals();
    let mut counted: Vec<Instant> = arrivals
        .iter()
        .filter(|arrival| arrival.upstream == proxied.upstream.name)
        .filter(|arrival| !is_excused(&arrival.id, arrival.at))
        .map(|arrival| arrival.at)
        .collect();
    counted.sort_unstable();
    let binds = |at: &&Instant| {
        let (since, until) = (**at - CONTACT_TIME, **at + LIMIT_WINDOW);
        since >= limit.since
            && !proxied.upstream.was_restarted(since, until)
            && !proxied.proxy.was_changed(**at - LINK_MEMORY, until)
    };
    let count = |at: &Instant| {
        counted.iter().filter(|other| (*at..*at + LIMIT_WINDOW).contains(other)).count()
    };
    let busiest = counted.iter().filter(binds).map(count).max().unwrap_or(0);
    let allowed = limit.per_second * 1.5 * LIMIT_WINDOW.as_secs_f64() + 5.0;
    eprintln!("limit {}: at most {busiest} in a window, allowed {allowed}", limit.per_second);
    (busiest as f64 > allowed).then(|| {
        let name = &proxied.upstream.name;
        format!("{name} got {busiest} requests in {LIMIT_WINDOW:?}, allowed {allowed}")
    })
}

/// A request that has crashed three upstreams reaches few more.
pub fn check_crashes(sent: &HashMap<String, usize>, cluster: &SoakCluster) -> Option<String> {
    let crashes = cluster.runs.crashes();
    let known_at = *crashes.get(MAX_CRASHES - 1)? + CONTACT_TIME;
    let arrivals = cluster.runs.arrivals();
    let late = arrivals.iter().filter(|arrival| {
        let host = sent.get(&arrival.id).map(|host| &cluster.hosts[*host]);
        arrival.at > known_at
            && host.is_some_and(|host| !host.was_disturbed(arrival.at - CONTACT_TIME, arrival.at))
    });
    let (late, crashes) = (late.count(), crashes.len());
    eprintln!("{crashes} crashes, {late} late requests");
    (late > MAX_LATE_ARRIVALS)
        .then(|| format!("a request reached upstreams {late} times more, {crashes} crashed"))
}
