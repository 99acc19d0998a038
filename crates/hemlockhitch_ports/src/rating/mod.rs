//! The platform's rating service.

mod http;

pub use http::{HttpRating, RATE_PATH};

use std::future::Future;

use hemlockhitch_model::{Class, RequestId, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An answer that is sent to be rated.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RatingRequest {
    /// The request that was answered.
    pub request_id: RequestId,
    /// The version that answered.
    pub version: VersionName,
    /// The class of the request.
    pub class: Class,
    /// The prompt.
    pub prompt: String,
    /// The answer.
    pub answer: String,
}

/// The rating of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Rating {
    /// Quality between 0 (useless) and 1 (perfect).
    pub quality_ratio: f64,
}

/// The answer was not rated.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("rating service: {detail}; the request is counted as not rated")]
pub struct RatingError {
    /// What went wrong.
    pub detail: String,
}

/// A client of the rating service.
pub trait RatingService: Clone + Send + Sync + 'static {
    /// Rates one answer.
    fn rate(
        &self,
        request: RatingRequest,
    ) -> impl Future<Output = Result<Rating, RatingError>> + Send;
}
