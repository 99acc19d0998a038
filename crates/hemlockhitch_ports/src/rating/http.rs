//! The client of a rating service that speaks HTTP and JSON.

use super::{Rating, RatingError, RatingRequest, RatingService};
use crate::service_client::HttpService;
use crate::{CallKind, StoreCalls};

/// The path that a [`RatingRequest`] is posted to; answered by a [`Rating`].
pub const RATE_PATH: &str = "/rate";

/// A client of a rating service over HTTP; clones share connections and
/// counters.
#[derive(Clone, Debug)]
pub struct HttpRating {
    service: HttpService,
}

impl HttpRating {
    /// Creates a client of the service at `address`, written `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            service: HttpService::new(address),
        }
    }

    /// Sets how long a call may take, in milliseconds.
    #[must_use]
    pub fn limit_ms(mut self, limit_ms: u64) -> Self {
        self.service.set_limit_ms(limit_ms);
        self
    }

    /// Returns the counters of the calls made through this client.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.service.calls()
    }
}

impl RatingService for HttpRating {
    async fn rate(&self, request: RatingRequest) -> Result<Rating, RatingError> {
        let answer = self.service.post(CallKind::Read, RATE_PATH, &request).await;
        let rating = answer.map_err(|error| failed(error.to_string()))?;
        check_range(rating)
    }
}

fn check_range(rating: Rating) -> Result<Rating, RatingError> {
    let quality_ratio = rating.quality_ratio;
    if (0.0..=1.0).contains(&quality_ratio) {
        return Ok(rating);
    }
    let detail = format!("quality {quality_ratio} lies outside 0 to 1; correct the service");
    Err(failed(detail))
}

fn failed(detail: String) -> RatingError {
    tracing::debug!(event = "HH0104", detail, "answer not rated");
    RatingError { detail }
}
