//! Client of the rating service over HTTP and JSON.

use super::{Rating, RatingError, RatingRequest, RatingService};
use crate::service_client::ServiceClient;
use crate::{CallKind, StoreCalls};

/// The path that a [`RatingRequest`] is posted to; the response is a [`Rating`].
pub const RATE_PATH: &str = "/rate";

/// A client of the rating service over HTTP. Its clones share the connection pool and
/// the call counters.
#[derive(Clone, Debug)]
pub struct HttpRating {
    client: ServiceClient,
}

impl HttpRating {
    /// Creates a client of the service at `address`, written `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: ServiceClient::new(address),
        }
    }

    /// Sets the timeout of a call, in milliseconds.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.client.set_timeout_ms(timeout_ms);
        self
    }

    /// Returns the counters of the calls made through this client and its clones.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.client.calls()
    }
}

impl RatingService for HttpRating {
    async fn rate(&self, request: RatingRequest) -> Result<Rating, RatingError> {
        let result = self.client.post(CallKind::Read, RATE_PATH, &request).await;
        let rating = result.map_err(|error| log_and_wrap(error.to_string()))?;
        check_quality_range(rating)
    }
}

fn check_quality_range(rating: Rating) -> Result<Rating, RatingError> {
    let quality_ratio = rating.quality_ratio;
    if (0.0..=1.0).contains(&quality_ratio) {
        return Ok(rating);
    }
    let detail =
        format!("quality {quality_ratio} is outside the range 0 to 1; correct the service");
    Err(log_and_wrap(detail))
}

fn log_and_wrap(detail: String) -> RatingError {
    tracing::debug!(event = "HH0104", detail, "failed to rate a response");
    RatingError { detail }
}
