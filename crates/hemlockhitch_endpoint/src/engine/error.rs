//! Errors returned by clients of model engines.

use thiserror::Error;

/// Why a call to an engine failed, and whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineErrorKind {
    /// No connection was established, so the request did not run.
    Unreachable,
    /// The engine refused the request before running it: it is at capacity, still
    /// warming up, or does not serve the version.
    Refused,
    /// The engine rejected the request as invalid; it did not run.
    BadRequest,
    /// The engine reported an internal failure; the request may have run.
    Failed,
    /// The connection was lost after the request was sent; it may have run.
    Broken,
    /// The response ended before its last chunk.
    Truncated,
    /// No response or chunk arrived before the timeout.
    TimedOut,
    /// The response does not follow the protocol.
    Protocol,
}

/// Error returned when a call to an engine fails.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("engine {address}: {detail}")]
pub struct EngineError {
    kind: EngineErrorKind,
    address: String,
    detail: String,
}

impl EngineError {
    /// Creates an error; `detail` states the cause and the remedy.
    #[must_use]
    pub fn new(
        kind: EngineErrorKind,
        address: impl Into<String>,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            address: address.into(),
            detail: detail.into(),
        }
    }

    /// Returns the kind of the failure.
    #[must_use]
    pub fn kind(&self) -> EngineErrorKind {
        self.kind
    }

    /// Returns whether the request is known not to have run.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(
            self.kind,
            EngineErrorKind::Unreachable | EngineErrorKind::Refused | EngineErrorKind::BadRequest
        )
    }
}
