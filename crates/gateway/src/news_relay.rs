//! Follows the store through other hosts, and lets other hosts follow this one.

use crate::control_port::{ControlPort, HostRecord, Topic, TopicChange, TopicRow};
use crate::news_log::{NewsLog, NewsPage};
use crate::news_wire::{MAX_NEWS_BYTES, NEWS_PATH, NewsAnswer, NewsQuery};
use crate::snapshot_publisher::SharedSnapshot;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use oleander_adapters::http_client::HttpClient;
use oleander_adapters::http_server::{
    HttpHandler, ResponseBody, full_body, read_body, text_response,
};
use oleander_core::ids::{DomainName, HostId};
use oleander_core::news_source::{NewsSource, NewsSources};
use oleander_core::store_era::StoreRevision;
use oleander_core::units::Timestamp;
use oleander_ports::clock::ClockPort;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// How long another host holds a call when there is no news. A host that froze is noticed after it.
const NEWS_WAIT: Duration = Duration::from_millis(2_000);
/// The same for a host that knows nothing yet, since it cannot serve until then.
const FIRST_NEWS_WAIT: Duration = Duration::from_millis(600);
/// Time for a call beyond that wait, and for a large answer.
const NEWS_CALL_TIME: Duration = Duration::from_millis(600);
/// Time for which a starting host waits for the list of hosts, whom it can ask instead of the store.
/// Requests wait for 0.7 s in all, and a slow store takes 0.24 s for each of two calls.
const MAX_LIST_WAIT: Duration = Duration::from_millis(300);
/// Time for which it waits for others to register when the list is empty.
const MAX_OTHERS_WAIT: Duration = Duration::from_millis(800);
/// Maximum size of a query, in bytes.
const MAX_QUERY_BYTES: usize = 256;

/// Result of asking another host for news.
#[derive(Debug)]
pub enum NewsReply {
    /// Changes of the topic, or none, and how old they are.
    Change(TopicChange, Duration),
    /// The other host cannot reach the store.
    Unavailable,
    /// It did not answer, or has nothing; the reason was logged.
    Failed,
}

/// News of the store between hosts.
pub struct NewsRelay {
    log: Mutex<NewsLog>,
    changed: watch::Sender<u64>,
    sources: Mutex<NewsSources>,
    /// Counts changes of the sources that make a host choose again.
    sources_changed: watch::Sender<u64>,
    domain: DomainName,
    addresses: Mutex<BTreeMap<HostId, SocketAddr>>,
    /// Number of failure domains, once hosts are known.
    domains: watch::Sender<Option<usize>>,
    client: HttpClient,
    clock: Arc<dyn ClockPort>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl NewsRelay {
    /// A relay of a host that knows no others.
    #[must_use]
    pub fn new(own: HostId, domain: DomainName, clock: Arc<dyn ClockPort>) -> Self {
        Self {
            log: Mutex::default(),
            changed: watch::Sender::new(0),
            sources: Mutex::new(NewsSources::new(own)),
            sources_changed: watch::Sender::new(0),
            domain,
            addresses: Mutex::default(),
            domains: watch::Sender::new(None),
            client: HttpClient::new(),
            clock,
        }
    }

    /// Replaces the list of hosts. Hosts without an address, or of an unknown failure domain, are
    /// not followed.
    pub fn set_hosts(&self, hosts: &[HostRecord]) {
        let in_domain = |host: &&HostRecord| host.domain.as_ref() == Some(&self.domain);
        let addresses: BTreeMap<HostId, SocketAddr> = hosts
            .iter()
            .filter(in_domain)
            .filter_map(|host| Some((host.host.clone(), host.peers?)))
            .collect();
        lock(&self.sources).set_hosts(addresses.keys());
        *lock(&self.addresses) = addresses;
        let mut domains: Vec<&DomainName> =
            hosts.iter().filter_map(|host| host.domain.as_ref()).collect();
        domains.sort_unstable();
        domains.dedup();
        self.domains.send_replace(Some(domains.len()));
    }

    /// Number of hosts that are expected to follow the store; `None` until hosts are counted.
    #[must_use]
    pub fn readers(&self, hosts: Option<usize>) -> Option<usize> {
        let domains = (*self.domains.borrow())?;
        // Without known domains every host follows the store.
        let readers =
            if domains == 0 { usize::MAX } else { domains * oleander_core::news_source::READERS };
        Some(hosts?.min(readers))
    }

    /// Waits until the list of hosts was read, and for longer if it is empty, as when all hosts start
    /// for the first time.
    pub async fn wait_for_hosts(&self) {
        let mut domains = self.domains.subscribe();
        let known = domains.wait_for(Option::is_some);
        if tokio::time::timeout(MAX_LIST_WAIT, known).await.is_err() {
            return;
        }
        let others = domains.wait_for(|domains| domains.is_some_and(|count| count > 0));
        // Fails only after the timeout, since the sender outlives this call.
        let _ = tokio::time::timeout(MAX_OTHERS_WAIT, others).await.is_ok();
    }

    /// Where to ask now.
    #[must_use]
    pub fn source(&self) -> NewsSource {
        lock(&self.sources).source(self.clock.now())
    }

    /// Records that other hosts have news that has not arrived here.
    pub fn mark_late(&self) {
        lock(&self.sources).mark_late(self.clock.now());
    }

    /// Records that the store answered this host while `host` could not reach it.
    pub fn mark_cut_off(&self, host: &HostId) {
        lock(&self.sources).mark_cut_off(host, self.clock.now());
        self.sources_changed.send_modify(|count| *count += 1);
    }

    /// Resolves when `host` is no longer the source; a call to it may hang for a while still.
    pub async fn source_changed(&self, host: &HostId) {
        let mut changed = self.sources_changed.subscribe();
        loop {
            changed.mark_unchanged();
            if self.source() != NewsSource::Host(host.clone()) {
                return;
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Whether this host should ask the store itself, as its source cannot reach it.
    pub fn should_check_store(&self, spread: f64) -> bool {
        lock(&self.sources).record_unavailable(self.clock.now(), spread)
    }

    /// Records a change that this host read, for the hosts that follow it.
    pub fn record(&self, topic: Topic, change: &TopicChange, age: Duration) {
        if lock(&self.log).record(topic, change, age, self.clock.now()) {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Records that this host cannot reach the store.
    pub fn record_unavailable(&self, topic: Topic) {
        if lock(&self.log).mark_unavailable(topic, self.clock.now()) {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Asks `host` for changes of a topic after `since`.
    pub async fn ask(
        &self,
        host: &HostId,
        topic: Topic,
        since: Option<StoreRevision>,
        control: &dyn ControlPort,
    ) -> NewsReply {
        let wait = if since.is_some() { NEWS_WAIT } else { FIRST_NEWS_WAIT };
        let page = self.call(host, &NewsQuery::new(topic, since, wait), wait).await;
        let (page, store_now) = match page {
            Ok(found) => found,
            Err(reason) => {
                log::info!(
                    target: "dependency", host:%, topic:% = topic, reason:%;
                    "no news from this host, asking another"
                );
                lock(&self.sources).mark_failed(host, self.clock.now());
                self.sources_changed.send_modify(|count| *count += 1);
                return NewsReply::Failed;
            }
        };
        let (age, now) = (page.age, self.clock.now());
        let has_news = page.is_full || !page.rows.is_empty();
        if page.is_unavailable && !has_news {
            return NewsReply::Unavailable;
        }
        if !lock(&self.sources).record_age(host, age, now) {
            log::info!(
                target: "dependency", host:%, topic:% = topic, age_ms = age.as_millis() as u64;
                "outdated news from this host, asking another"
            );
        }
        NewsReply::Change(topic_change(topic, page, store_now, control), age)
    }

    async fn call(
        &self,
        host: &HostId,
        query: &NewsQuery,
        wait: Duration,
    ) -> anyhow::Result<(NewsPage, Timestamp)> {
        let address = lock(&self.addresses).get(host).copied();
        let address = address.ok_or_else(|| anyhow::anyhow!("its address is not known"))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{NEWS_PATH}"))
            .body(Full::new(Bytes::from(query.encode())))?;
        let timeout = wait + NEWS_CALL_TIME;
        let response = self.client.send_buffered(request, timeout, MAX_NEWS_BYTES).await?;
        if response.status() != StatusCode::OK {
            anyhow::bail!("expected status 200, found {}", response.status());
        }
        Ok(NewsAnswer::decode(response.body())?.into_page())
    }

    /// Answers a call of a host that follows this one.
    async fn answer(
        &self,
        request: Request<Incoming>,
        snapshot: &SharedSnapshot,
    ) -> Response<ResponseBody> {
        if request.uri().path() != NEWS_PATH {
            return text_response(StatusCode::NOT_FOUND, "unknown path\n");
        }
        let body = read_body(request.into_body(), MAX_QUERY_BYTES).await;
        let query = body
            .map_err(|error| error.to_string())
            .and_then(|body| NewsQuery::decode(&body).map_err(|error| error.to_string()));
        let query = match query {
            Ok(query) => query,
            Err(reason) => {
                log::warn!(target: "dependency", reason; "news query of another host refused");
                return text_response(StatusCode::BAD_REQUEST, format!("{reason}\n"));
            }
        };
        match self.wait_for_news(&query).await {
            Some(page) => {
                let store_now = snapshot.load().store_time(self.clock.now());
                Response::new(full_body(NewsAnswer::new(page, store_now).encode()))
            }
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "nothing was read yet\n"),
        }
    }

    async fn wait_for_news(&self, query: &NewsQuery) -> Option<NewsPage> {
        let topic = query.topic().ok()?;
        let end = tokio::time::Instant::now() + query.wait();
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let page = lock(&self.log).page(topic, query.since(), self.clock.now());
            if page.as_ref().is_some_and(|page| !page.is_empty()) {
                return page;
            }
            let waited = tokio::time::timeout_at(end, changed.changed()).await;
            if waited.is_err() {
                return lock(&self.log).page(topic, query.since(), self.clock.now());
            }
        }
    }
}

/// Handler for calls of hosts that follow this one.
pub fn news_handler(relay: &Arc<NewsRelay>, snapshot: &SharedSnapshot) -> HttpHandler {
    let (relay, snapshot) = (Arc::clone(relay), Arc::clone(snapshot));
    Arc::new(move |request, _| {
        let (relay, snapshot) = (Arc::clone(&relay), Arc::clone(&snapshot));
        Box::pin(async move { relay.answer(request, &snapshot).await })
    })
}

fn topic_change(
    topic: Topic,
    page: NewsPage,
    store_now: Timestamp,
    control: &dyn ControlPort,
) -> TopicChange {
    let era = page.cursor.era;
    let rows = page.rows.into_iter().filter_map(|raw| {
        let value = control.decode(topic, &raw, StoreRevision::new(era, raw.version))?;
        Some(TopicRow { value, raw })
    });
    TopicChange {
        is_full: page.is_full,
        cursor: page.cursor,
        waited: NEWS_WAIT,
        store_now,
        rows: rows.collect(),
    }
}
