//! The platform's rating service. Only some answers are rated, and ratings arrive late.

use crate::{PlatformError, PortFuture};
use oleander_core::ids::{CascadeName, RequestId, VersionName};
use oleander_core::units::{Quality, Timestamp};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An answer submitted for rating.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerSample {
    /// The request that was answered.
    pub request: RequestId,
    /// The cascade of the request.
    pub cascade: CascadeName,
    /// The version that answered.
    pub version: VersionName,
    /// The answer's text, truncated to the service's limit.
    pub text: Arc<str>,
}

/// The rating of one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerRating {
    /// The request that was answered.
    pub request: RequestId,
    /// The cascade of the request.
    pub cascade: CascadeName,
    /// The version that answered.
    pub version: VersionName,
    /// The score.
    pub score: Quality,
    /// Time of the rating.
    pub rated_at: Timestamp,
}

/// One page of ratings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatingPage {
    /// The ratings, oldest first.
    pub ratings: Vec<AnswerRating>,
    /// Cursor for the next call.
    pub cursor: u64,
}

/// The rating service.
pub trait RatingPort: Send + Sync {
    /// Submits answers for rating. Only some of them are rated, and later.
    fn submit(&self, samples: Vec<AnswerSample>) -> PortFuture<'_, Result<(), PlatformError>>;

    /// Returns at most `limit` ratings made since `cursor`. Any host may read from any cursor.
    fn ratings(
        &self,
        cursor: u64,
        limit: usize,
    ) -> PortFuture<'_, Result<RatingPage, PlatformError>>;
}
