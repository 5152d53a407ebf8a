//! State that all requests of an entry share.

use crate::account_limits::AccountLimits;
use crate::chat_context::ChatContext;
use crate::identity::SeededRandom;
use crate::in_flight::InFlightRegistry;
use crate::metrics::{EntryMetrics, GaugeValues};
use crate::parts::EntryParts;
use crate::request_trace::TraceRing;
use crate::sample_queue::SampleQueue;
use crate::session_pin::{NamedSessions, SESSION_LIFETIME};
use crate::upstream_directory::UpstreamDirectory;
use oleander_core::catalog::Snapshot;
use oleander_core::confidence::ConfidenceTable;
use oleander_core::ids::{CascadeName, UpstreamName, VersionName};
use oleander_core::prefix_hints::PrefixHints;
use oleander_core::session::{SessionClaims, SessionKey, SessionSigner};
use oleander_core::units::TokenCount;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Largest number of prompt prefixes with cache hints, over all upstreams.
const MAX_PREFIX_HINTS: usize = 4_096;

type ConfidenceTables = HashMap<(CascadeName, VersionName), ConfidenceTable>;

/// State shared by all requests.
pub struct EntryState {
    /// Ports and settings.
    pub parts: EntryParts,
    /// Pools and leaving upstreams.
    pub upstreams: UpstreamDirectory,
    /// Random numbers.
    pub rng: SeededRandom,
    /// Signs and verifies session tokens.
    pub signer: SessionSigner,
    /// Rate limits of client accounts.
    pub limits: AccountLimits,
    /// Cache of caller-named sessions.
    pub named_sessions: NamedSessions,
    /// Requests in flight.
    pub in_flight: InFlightRegistry,
    /// Answers to be submitted for rating.
    pub samples: SampleQueue,
    /// Traces of the latest requests.
    pub traces: TraceRing,
    /// Metrics.
    pub metrics: EntryMetrics,
    hints: Mutex<PrefixHints>,
    confidence: Mutex<ConfidenceTables>,
    draining: AtomicBool,
}

impl EntryState {
    /// Creates the state of an entry that has served no request yet.
    pub fn new(parts: EntryParts) -> Self {
        let key = |key: &oleander_adapters::settings::SecretKey| {
            SessionKey::new(key.id.clone(), key.secret.as_bytes())
        };
        Self {
            upstreams: UpstreamDirectory::new(parts.id.clone(), parts.region.clone()),
            rng: SeededRandom::new(parts.seed, parts.id.as_str()),
            signer: SessionSigner::new(parts.session_keys.iter().map(key).collect()),
            limits: AccountLimits::default(),
            named_sessions: NamedSessions::default(),
            in_flight: InFlightRegistry::default(),
            samples: SampleQueue::default(),
            traces: TraceRing::default(),
            metrics: EntryMetrics::new(),
            hints: Mutex::new(PrefixHints::new(MAX_PREFIX_HINTS)),
            confidence: Mutex::default(),
            draining: AtomicBool::new(false),
            parts,
        }
    }

    /// Makes the health check fail from now on.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the entry is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns the gauges for the metrics.
    pub fn gauges(&self) -> GaugeValues {
        GaugeValues {
            in_flight: self.in_flight.len(),
            revision: self.parts.catalog.snapshot().revision().get(),
            draining: self.is_draining(),
        }
    }

    /// Returns the time that a request is expected to wait for a slot of the version's pool.
    pub fn expected_wait(&self, snapshot: &Snapshot, version: &VersionName) -> Duration {
        let object = snapshot.version(version);
        let pool = object.and_then(|object| self.upstreams.pool(snapshot, &object.pool));
        pool.map_or(Duration::ZERO, |pool| pool.expected_wait())
    }

    /// Returns the prompt tokens that the upstream's prefix cache is expected to save.
    pub fn expected_saving(&self, upstream: &UpstreamName, ctx: &ChatContext) -> TokenCount {
        let hints = self.hints.lock().unwrap_or_else(PoisonError::into_inner);
        hints.expected_saving(upstream, ctx.prefix, ctx.prompt_tokens, ctx.now())
    }

    /// Records that a prompt was sent to an upstream, which has its prefix cached now.
    pub fn record_dispatch(&self, upstream: &UpstreamName, ctx: &ChatContext) {
        let mut hints = self.hints.lock().unwrap_or_else(PoisonError::into_inner);
        hints.record_dispatch(upstream, ctx.prefix, ctx.prompt_tokens, ctx.now());
    }

    /// Drops the cache hints of an upstream.
    pub fn forget_prefixes(&self, upstream: &UpstreamName) {
        self.hints.lock().unwrap_or_else(PoisonError::into_inner).remove_upstream(upstream);
    }

    /// Returns how a version's confidence relates to the quality of its answers in a cascade.
    pub fn confidence_table(
        &self,
        cascade: &CascadeName,
        version: &VersionName,
    ) -> ConfidenceTable {
        let tables = self.confidence.lock().unwrap_or_else(PoisonError::into_inner);
        tables.get(&(cascade.clone(), version.clone())).cloned().unwrap_or_default()
    }

    /// Records the confidence of an answer.
    pub fn record_confidence(&self, ctx: &ChatContext, version: &VersionName, confidence: f64) {
        let Some(cascade) = &ctx.cascade else { return };
        let mut tables = self.confidence.lock().unwrap_or_else(PoisonError::into_inner);
        tables.entry((cascade.clone(), version.clone())).or_default().record_answer(confidence);
    }

    /// Signs a token that binds the request's session to a version.
    pub fn session_token(&self, ctx: &ChatContext, version: &VersionName) -> Option<Arc<str>> {
        let claims = SessionClaims {
            account: ctx.account.name.clone(),
            target: ctx.body.target.clone(),
            version: version.clone(),
            session: ctx.session.clone(),
            expires_at: ctx.now() + SESSION_LIFETIME,
        };
        self.signer.sign(&claims).ok().map(Arc::from)
    }
}
