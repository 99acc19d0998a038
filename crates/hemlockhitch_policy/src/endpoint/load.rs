//! How loaded an endpoint probably is.

use hemlockhitch_model::Now;

use super::FAILURE_PENALTY_MS;

/// Time in which a report loses half of its weight, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 500.0;

/// What a node knows of an endpoint's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// Requests of this node that run at the endpoint.
    pub own_in_flight: u32,
    /// Running and waiting requests by the last report.
    pub reported: u32,
    /// Age of the report in milliseconds.
    pub report_age_ms: u64,
    /// When the endpoint last failed a request of this node, on the monotonic
    /// clock in milliseconds.
    pub failed_mono_ms: Option<u64>,
}

impl EndpointLoad {
    pub(super) fn has_just_failed(self, now: Now) -> bool {
        self.failed_mono_ms
            .is_some_and(|at| now.mono_ms < at + FAILURE_PENALTY_MS)
    }

    /// Estimates the requests at the endpoint: its own, and those of others as
    /// far as the report is fresh.
    pub(super) fn estimate(self) -> f64 {
        let own = f64::from(self.own_in_flight);
        let others = f64::from(self.reported.saturating_sub(self.own_in_flight));
        #[allow(clippy::cast_precision_loss)]
        let half_lives = self.report_age_ms as f64 / REPORT_HALF_LIFE_MS;
        own + others * (-half_lives).exp2()
    }
}
