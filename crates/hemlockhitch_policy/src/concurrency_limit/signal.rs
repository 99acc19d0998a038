//! Observations that adjust the concurrency limit of an endpoint.

/// An observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSignal {
    /// The endpoint served a request.
    Served {
        /// Time to the first token, or to the response if it has no tokens, in
        /// milliseconds.
        first_token_ms: u64,
    },
    /// The endpoint refused a request.
    Refused,
    /// The endpoint could not be reached, or the connection broke.
    Failed,
    /// The endpoint reported its load.
    Reported(LoadReportSignal),
}

/// A load report of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReportSignal {
    /// Whether the endpoint was in its cold start when it measured its load.
    pub cold: bool,
    /// Requests running at the endpoint.
    pub running: u32,
    /// Maximum number of concurrent requests that the endpoint accepts.
    pub limit: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}
