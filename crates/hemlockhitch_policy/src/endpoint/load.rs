//! Estimates the load of an endpoint.

use hemlockhitch_model::Now;

use super::FAILURE_COOLDOWN_MS;

/// Half-life of the weight of a load report, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 500.0;

/// A node's view of the load of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// Requests that this node has in flight at the endpoint.
    pub own_in_flight: u32,
    /// Running and queued requests according to the last load report.
    pub reported_requests: u32,
    /// Age of the last load report, in milliseconds.
    pub report_age_ms: u64,
    /// Monotonic time at which a request of this node last failed at the
    /// endpoint, in milliseconds.
    pub last_failure_mono_ms: Option<u64>,
}

impl EndpointLoad {
    /// Returns whether the last failure is within [`FAILURE_COOLDOWN_MS`].
    pub(super) fn failed_recently(self, now: Now) -> bool {
        self.last_failure_mono_ms
            .is_some_and(|failure_ms| now.mono_ms < failure_ms + FAILURE_COOLDOWN_MS)
    }

    /// Estimates the requests in flight at the endpoint: this node's own, plus
    /// the reported requests of other nodes, discounted by the report's age.
    pub(super) fn estimated_in_flight(self) -> f64 {
        let own = f64::from(self.own_in_flight);
        let others = f64::from(self.reported_requests.saturating_sub(self.own_in_flight));
        #[allow(clippy::cast_precision_loss)]
        let half_lives = self.report_age_ms as f64 / REPORT_HALF_LIFE_MS;
        own + others * (-half_lives).exp2()
    }
}
