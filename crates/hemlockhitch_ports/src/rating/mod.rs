//! Client interface of the rating service, which rates the quality of responses.

mod http;

pub use http::{HttpRating, RATE_PATH};

use std::future::Future;

use hemlockhitch_model::{Class, RequestId, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Request to rate one response.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RatingRequest {
    /// ID of the request that was answered.
    pub request_id: RequestId,
    /// The version that generated the response.
    pub version: VersionName,
    /// Class of the request.
    pub class: Class,
    /// Prompt of the request.
    pub prompt: String,
    /// Text of the response to rate.
    pub answer: String,
}

/// The rating of one response.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Rating {
    /// Quality of the response, from 0 (useless) to 1 (perfect).
    pub quality_ratio: f64,
}

/// Error returned when a response could not be rated.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("rating service: {detail}; the request is counted as not rated")]
pub struct RatingError {
    /// Cause of the failure.
    pub detail: String,
}

/// A client of the rating service.
pub trait RatingService: Clone + Send + Sync + 'static {
    /// Rates one response.
    fn rate(
        &self,
        request: RatingRequest,
    ) -> impl Future<Output = Result<Rating, RatingError>> + Send;
}
