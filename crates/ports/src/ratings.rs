//! The platform's service that rates answers; ratings are late and sparse.

use crate::{PlatformError, PortFuture};
use oleander_core::ids::{CascadeName, RequestId, VersionName};
use oleander_core::units::{Quality, Timestamp};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An answer offered for rating.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerSample {
    /// The request that was answered.
    pub request: RequestId,
    /// The task class.
    pub cascade: CascadeName,
    /// The version that answered.
    pub version: VersionName,
    /// The answer's text, cut at the service's limit.
    pub text: Arc<str>,
}

/// A rating of one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerRating {
    /// The request that was answered.
    pub request: RequestId,
    /// The task class.
    pub cascade: CascadeName,
    /// The version that answered.
    pub version: VersionName,
    /// The rating.
    pub score: Quality,
    /// When the rating was made.
    pub rated_at: Timestamp,
}

/// Ratings since a cursor, and the cursor for the next call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatingPage {
    /// The ratings, oldest first.
    pub ratings: Vec<AnswerRating>,
    /// Cursor for the next call.
    pub cursor: u64,
}

/// The rating service.
pub trait RatingPort: Send + Sync {
    /// Offers answers for rating; some are rated, later.
    fn submit(&self, samples: Vec<AnswerSample>) -> PortFuture<'_, Result<(), PlatformError>>;

    /// Ratings made since `cursor`, at most `limit`. Any host may read any cursor.
    fn ratings(
        &self,
        cursor: u64,
        limit: usize,
    ) -> PortFuture<'_, Result<RatingPage, PlatformError>>;
}
