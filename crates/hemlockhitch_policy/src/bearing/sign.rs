//! Signs of what an endpoint bears.

/// What was seen of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotSign {
    /// It served a request.
    Served {
        /// Milliseconds to the first token or answer.
        first_token_ms: u64,
    },
    /// It refused a request.
    Refused,
    /// It could not be reached or broke off.
    Failed,
    /// It reported its load.
    Reported(ReportSign),
}

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSign {
    /// Whether the endpoint was in cold start.
    pub cold: bool,
    /// Requests that ran.
    pub running: u32,
    /// The most requests that it bore.
    pub limit: u32,
    /// How old the report is.
    pub age_ms: u64,
}
