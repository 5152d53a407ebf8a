//! An in-memory rating service, with lag, sampling and noise.

use oleander_core::ids::{CascadeName, RequestId, VersionName};
use oleander_core::units::{Quality, Timestamp};
use oleander_ports::ratings::{AnswerRating, AnswerSample, RatingPage, RatingPort};
use oleander_ports::{PlatformError, PortFuture};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// True quality of versions for which none is set.
const DEFAULT_QUALITY: f64 = 0.8;
/// Half width of the uniform noise around the true quality.
const NOISE: f64 = 0.15;

struct RatingsState {
    qualities: HashMap<(CascadeName, VersionName), f64>,
    ratings: Vec<(Instant, AnswerRating)>,
    rated_share: f64,
    lag: Duration,
}

/// A rating service. Clones share the state.
#[derive(Clone)]
pub struct MemoryRatings {
    state: Arc<Mutex<RatingsState>>,
}

impl Default for MemoryRatings {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryRatings {
    /// Creates a service that rates every answer immediately.
    #[must_use]
    pub fn new() -> Self {
        let state = RatingsState {
            qualities: HashMap::new(),
            ratings: Vec::new(),
            rated_share: 1.0,
            lag: Duration::ZERO,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Sets the true quality of a version for a cascade.
    pub fn set_quality(&self, cascade: &CascadeName, version: &VersionName, quality: f64) {
        self.lock().qualities.insert((cascade.clone(), version.clone()), quality);
    }

    /// Sets the true quality of a version for every cascade that already has one.
    pub fn set_version_quality(&self, version: &VersionName, quality: f64) {
        let mut state = self.lock();
        let qualities = state.qualities.iter_mut().filter(|((_, name), _)| name == version);
        qualities.for_each(|(_, value)| *value = quality);
    }

    /// Sets the share of answers that are rated and the lag of the ratings.
    pub fn set_sampling(&self, share: f64, lag: Duration) {
        let mut state = self.lock();
        (state.rated_share, state.lag) = (share, lag);
    }

    fn lock(&self) -> MutexGuard<'_, RatingsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A hash of request and salt, as a number in 0..1.
fn unit_hash(request: RequestId, salt: u64) -> f64 {
    let folded = (request.get() as u64) ^ ((request.get() >> 64) as u64);
    let mut mixed = folded.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

fn rate(state: &RatingsState, sample: &AnswerSample) -> Option<AnswerRating> {
    if unit_hash(sample.request, 1) >= state.rated_share {
        return None;
    }
    let key = (sample.cascade.clone(), sample.version.clone());
    let quality = state.qualities.get(&key).copied().unwrap_or(DEFAULT_QUALITY);
    let noise = (unit_hash(sample.request, 2) * 2.0 - 1.0) * NOISE;
    let score = Quality::new((quality + noise).clamp(0.0, 1.0)).ok()?;
    Some(AnswerRating {
        request: sample.request,
        cascade: sample.cascade.clone(),
        version: sample.version.clone(),
        score,
        rated_at: Timestamp::from_millis(sample.request.created_at().as_millis()) + state.lag,
    })
}

impl RatingPort for MemoryRatings {
    fn submit(&self, samples: Vec<AnswerSample>) -> PortFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move {
            let mut state = self.lock();
            let available_at = Instant::now() + state.lag;
            let rated: Vec<_> = samples.iter().filter_map(|sample| rate(&state, sample)).collect();
            state.ratings.extend(rated.into_iter().map(|rating| (available_at, rating)));
            Ok(())
        })
    }

    fn ratings(
        &self,
        cursor: u64,
        limit: usize,
    ) -> PortFuture<'_, Result<RatingPage, PlatformError>> {
        Box::pin(async move {
            let state = self.lock();
            let now = Instant::now();
            let remaining = state.ratings.iter().skip(cursor as usize).take(limit);
            let ready = remaining.take_while(|(available_at, _)| *available_at <= now);
            let ratings: Vec<AnswerRating> = ready.map(|(_, rating)| rating.clone()).collect();
            let cursor = cursor + ratings.len() as u64;
            Ok(RatingPage { ratings, cursor })
        })
    }
}
